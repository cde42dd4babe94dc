//! Servers that answer before they have read the request, and answers whose status is none.

use std::net::SocketAddr;
use std::time::Duration;

use buckthorncleat::backend::client;
use buckthorncleat::clock::Millis;
use buckthorncleat::router::upstream;
use bytes::Bytes;
use http_body_util::Full;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time;

const TIMEOUT: Millis = Millis::from_secs(10);
const MAX_BODY: usize = 1 << 20;

/// More than the system's buffers take, so that a server which stops reading stops the request.
const LONG: usize = 32 << 20;

/// How a server ends the connection after its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    /// Resets it, this long after the answer.
    Reset(Duration),
    /// Closes its side and reads nothing more.
    CloseUnread,
    /// Reads the whole request, then closes the connection.
    CloseRead,
}

/// The caller of a server: of the router or of the own interface.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Caller {
    Router,
    OwnInterface,
}

const CALLERS: [Caller; 2] = [Caller::Router, Caller::OwnInterface];

impl Caller {
    /// Sends a request with a body of so many bytes; returns the status and the body of a complete
    /// answer.
    async fn call(self, address: SocketAddr, size: usize) -> Result<(u16, Bytes), String> {
        let req = hyper::Request::post("/")
            .header("host", "server")
            .body(Full::new(Bytes::from(vec![b'x'; size])))
            .unwrap();
        match self {
            Self::Router => {
                let answer = upstream::send(address, req, TIMEOUT).await;
                let mut answer = answer.map_err(|e| e.to_string())?;
                let body = answer.read_to_end(TIMEOUT, MAX_BODY).await;
                Ok((answer.status.as_u16(), body.map_err(|e| e.to_string())?))
            }
            Self::OwnInterface => {
                let answer = client::call(address, req, TIMEOUT, MAX_BODY).await;
                let answer = answer.map_err(|e| e.to_string())?;
                Ok((answer.status.as_u16(), answer.body))
            }
        }
    }
}

/// Starts a server that answers one request as soon as its first bytes are there.
async fn start_server(answer: &str, ending: Ending) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = answer.to_owned();
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = vec![0; 4_096];
        let read = stream.read(&mut buf).await.unwrap();
        stream.write_all(answer.as_bytes()).await.unwrap();
        end(stream, ending, read, &buf).await;
    });
    (address, serving)
}

async fn end(mut stream: TcpStream, ending: Ending, read: usize, buf: &[u8]) {
    match ending {
        Ending::Reset(after) => {
            time::sleep(after).await;
            stream.set_zero_linger().unwrap();
        }
        Ending::CloseUnread => {
            stream.shutdown().await.unwrap();
            time::sleep(Duration::from_millis(300)).await;
        }
        Ending::CloseRead => {
            let head = String::from_utf8_lossy(&buf[..read]).to_lowercase();
            let length = head.split("content-length: ").nth(1).unwrap();
            let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
            let end = head.find("\r\n\r\n").unwrap() + 4;
            let mut rest = vec![0; length + end - read];
            stream.read_exact(&mut rest).await.unwrap();
        }
    }
}

async fn call(
    caller: Caller,
    answer: &str,
    ending: Ending,
    size: usize,
) -> Result<(u16, Bytes), String> {
    let (address, serving) = start_server(answer, ending).await;
    let result = caller.call(address, size).await;
    serving.await.unwrap();
    result
}

/// MIXED: a part of an answer without a length passed for the whole, when its connection was reset while
/// the request was still being written.
#[tokio::test]
async fn an_early_answer_that_is_reset_is_not_complete() {
    for caller in CALLERS {
        for size in [2, 256 << 10, 4 << 20, LONG] {
            for after in [0, 1, 5, 20] {
                let ending = Ending::Reset(Duration::from_millis(after));
                let result = call(caller, "HTTP/1.1 200 OK\r\n\r\npart", ending, size).await;
                assert!(result.is_err(), "{caller:?} {size} {after} ms: {result:?}");
            }
        }
    }
}

/// MIXED: a part of an answer without a length passed for the whole, when its server closed the connection
/// before it could have read the request.
#[tokio::test]
async fn an_early_answer_that_ends_before_the_request_is_not_complete() {
    for caller in CALLERS {
        let answer = "HTTP/1.1 200 OK\r\n\r\npart";
        let result = call(caller, answer, Ending::CloseUnread, LONG).await;
        assert!(result.is_err(), "{caller:?}: {result:?}");
    }
}

#[tokio::test]
async fn an_early_answer_whose_end_is_certain_is_complete() {
    let length = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    let unframed = "HTTP/1.1 200 OK\r\n\r\nwhole";
    let refused = "HTTP/1.1 413 Content Too Large\r\n\r\nwhole";
    let cases = [
        (200, length, Ending::CloseUnread, LONG),
        (200, chunked, Ending::CloseUnread, LONG),
        (413, refused, Ending::CloseUnread, LONG),
        (200, unframed, Ending::CloseRead, 4 << 20),
        (200, unframed, Ending::CloseRead, 2),
    ];
    for caller in CALLERS {
        for (status, answer, ending, size) in cases {
            let result = call(caller, answer, ending, size).await;
            let whole = Ok((status, Bytes::from("whole")));
            assert_eq!(result, whole, "{caller:?} {answer:?} {ending:?}");
        }
    }
}

/// MIXED: an answer with a status that HTTP doesn't have reached callers.
#[tokio::test]
async fn an_answer_whose_status_is_none_is_no_answer() {
    for caller in CALLERS {
        for status in ["000", "099", "101", "600", "999", "20", "2000", "abc"] {
            let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nfine");
            let result = call(caller, &answer, Ending::CloseRead, 2).await;
            assert!(result.is_err(), "{caller:?} {status}: {result:?}");
        }
        for status in [200, 299, 404, 500, 599] {
            let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nfine");
            let result = call(caller, &answer, Ending::CloseRead, 2).await;
            assert_eq!(result, Ok((status, Bytes::from("fine"))), "{caller:?}");
        }
    }
}
