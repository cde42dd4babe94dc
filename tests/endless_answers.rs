//! Model engines of the own interface whose answers never end.

use std::net::SocketAddr;
use std::time::Duration;

use buckthorncleat::backend::client::Failure;
use buckthorncleat::backend::engine::{Engine, EngineError};
use buckthorncleat::backend::wire::Decode;
use buckthorncleat::clock::Millis;
use buckthorncleat::id::RequestId;
use buckthorncleat::state::model::Priority;
use buckthorncleat::unit::Tokens;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time;

/// Bytes that the system's buffers take on the way, whatever is read.
const SOCKET_BUFFERS: usize = 8 << 20;

/// What may be read of a head or an event.
const MAX_READ: usize = 2 << 20;

/// Longest time that a test waits for a connection to be closed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts an engine that answers one request with `head`, then sends `filler` until the connection is
/// closed; returns how many bytes it could send.
async fn endless_engine(head: &'static str, filler: String) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut sent = 0;
        while stream.write_all(filler.as_bytes()).await.is_ok() {
            sent += filler.len();
        }
        sent
    });
    (address, serving)
}

fn decode() -> Decode {
    Decode {
        request: RequestId::random(),
        max_tokens: Tokens::new(10),
        priority: Priority::default(),
    }
}

/// Guards against an engine that fills the memory with an event that does not end.
#[tokio::test]
async fn an_event_without_end_breaks_the_stream() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ";
    let (address, serving) = endless_engine(head, "a".repeat(65_536)).await;
    let mut stream = Engine::new(address).decode(&decode()).await.unwrap();
    let next = stream.next(Millis::from_secs(10)).await;
    assert!(matches!(next, Err(Failure::Broken(_))), "{next:?}");
    drop(stream);
    let sent = time::timeout(TEST_TIMEOUT, serving).await.unwrap().unwrap();
    assert!(sent < SOCKET_BUFFERS + MAX_READ, "{sent}");
}

/// Guards against a head that does not end, as one header or as interim answers.
#[tokio::test]
async fn a_head_without_end_is_no_answer() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(1_000);
    for (head, filler) in [
        ("HTTP/1.1 200 OK\r\nX-Filler: ", "a".repeat(65_536)),
        ("", interim),
    ] {
        let (address, serving) = endless_engine(head, filler).await;
        let answer = Engine::new(address).decode(&decode()).await;
        let failure = answer.map(|_| "a stream").unwrap_err();
        assert!(
            matches!(failure, EngineError::Call(Failure::Broken(_))),
            "{head:?}: {failure:?}"
        );
        let sent = time::timeout(TEST_TIMEOUT, serving).await.unwrap().unwrap();
        assert!(sent < SOCKET_BUFFERS + MAX_READ, "{sent}");
    }
}

/// Returns the most memory that this process has had, in kB.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let number = line.unwrap().trim().trim_end_matches("kB").trim();
    number.parse().unwrap()
}

/// Memory of the smallest instances.
const INSTANCE_MEMORY_KB: u64 = 88 * 1_000;

/// Guards against engines whose bodies without end fill the memory together, each of them below its
/// own limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_hundred_bodies_without_end_share_the_memory_for_large_answers() {
    let idle_kb = peak_memory_kb();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..200 {
        let (address, serving) = endless_engine(head, "a".repeat(65_536)).await;
        calls.spawn(async move {
            let failure = Engine::new(address).held().await.unwrap_err();
            assert!(matches!(failure, EngineError::Call(_)), "{failure}");
            serving.await.unwrap();
        });
    }
    calls.join_all().await;
    let peak_kb = peak_memory_kb();
    println!("200 bodies without end: {idle_kb} kB idle, {peak_kb} kB at most");
    assert!(
        peak_kb < INSTANCE_MEMORY_KB,
        "{peak_kb} kB, {idle_kb} kB idle"
    );
}
