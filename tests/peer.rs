//! Links between processes: damaged, repeated, late and unauthentic frames are refused, and a request
//! is answered or fails.

#[path = "../stand-in/src/ports.rs"]
mod ports;

use std::net;
use std::sync;

use buckthorncleat::clock;
use buckthorncleat::event;
use buckthorncleat::fleet::forward;
use buckthorncleat::id;
use buckthorncleat::peer::frame;
use buckthorncleat::peer::link;
use buckthorncleat::peer::message;
use buckthorncleat::peer::server;
use tokio::sync::watch;

const TIMEOUT: clock::Millis = clock::Millis::new(2_000);

struct Echo;

impl server::Handler for Echo {
    async fn handle(&self, _: id::InstanceId, request: message::Request) -> message::Reply {
        match request {
            message::Request::Ping => message::Reply::Accepted,
            _ => message::Reply::Unsupported,
        }
    }
}

fn identity(name: &str, secret: &str) -> sync::Arc<link::Identity> {
    let instance: id::InstanceId = name.parse().unwrap();
    let recorder = sync::Arc::new(event::Recorder::new(instance.clone()));
    let secret = frame::Secret::from_bytes(secret.as_bytes()).unwrap();
    sync::Arc::new(link::Identity::new(instance, secret, recorder))
}

struct Peer {
    address: net::SocketAddr,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<buckthorncleat::Result<()>>,
}

impl Peer {
    fn start(address: net::SocketAddr, secret: &str) -> Self {
        let (stop, stopped) = watch::channel(false);
        let identity = identity("server", secret);
        let task = tokio::spawn(server::serve(
            address,
            identity,
            sync::Arc::new(Echo),
            stopped,
        ));
        Self {
            address,
            stop,
            task,
        }
    }

    async fn shut_down(self) {
        self.stop.send(true).unwrap();
        self.task.await.unwrap().unwrap();
    }
}

async fn ping_until_answered(
    links: &link::Links,
    address: net::SocketAddr,
) -> buckthorncleat::Result<()> {
    let mut last = None;
    for _ in 0..20 {
        match links
            .request(address, &message::Request::Ping, TIMEOUT)
            .await
        {
            Ok(reply) => {
                assert_eq!(reply, message::Reply::Accepted);
                return Ok(());
            }
            Err(e) => last = Some(e),
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    Err(last.unwrap())
}

#[tokio::test]
async fn a_request_is_answered_by_the_next_incarnation_of_a_peer() {
    let links = link::Links::new(identity("client", "0123456789abcdef"));
    let address = ports::claim().unwrap();
    for _ in 0..2 {
        let peer = Peer::start(address, "0123456789abcdef");
        ping_until_answered(&links, peer.address).await.unwrap();
        peer.shut_down().await;
    }
}

/// Counts the requests that are passed on, and never answers them.
struct Silent(sync::Arc<sync::atomic::AtomicUsize>);

impl server::Handler for Silent {
    async fn handle(&self, _: id::InstanceId, request: message::Request) -> message::Reply {
        if request == message::Request::Ping {
            return message::Reply::Accepted;
        }
        self.0.fetch_add(1, sync::atomic::Ordering::Relaxed);
        std::future::pending().await
    }
}

/// TWICE: a request that one incarnation of a router had acted on was sent again to the next one.
#[tokio::test]
async fn a_request_that_is_passed_on_is_acted_on_by_one_incarnation() {
    let acts = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    let address = ports::claim().unwrap();
    let start = || {
        let (stop, stopped) = watch::channel(false);
        let handler = sync::Arc::new(Silent(sync::Arc::clone(&acts)));
        let identity = identity("server", "0123456789abcdef");
        let serving = server::serve(address, identity, handler, stopped);
        (stop, tokio::spawn(serving))
    };
    let links = link::Links::new(identity("client", "0123456789abcdef"));
    let (stop, serving) = start();
    ping_until_answered(&links, address).await.unwrap();
    let forwarded = forward::Forwarded {
        exchange: forward::ExchangeId::new(1),
        method: "POST".to_owned(),
        target: "/b/1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        service: "app".parse().unwrap(),
        time_left: clock::Millis::from_secs(8),
        resume: None,
        progress: forward::Progress::Read,
    };
    let ask = forward::Ask::Begin(Box::new(forwarded));
    let request = message::Request::Forward(Box::new(ask));
    let timeout = clock::Millis::from_secs(5);
    let restart = async {
        while acts.load(sync::atomic::Ordering::Relaxed) == 0 {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        stop.send(true).unwrap();
        serving.await.unwrap().unwrap();
        start()
    };
    let (answer, (stop, serving)) =
        tokio::join!(links.request(address, &request, timeout), restart);
    assert!(answer.unwrap_err().is_unavailable());
    assert_eq!(acts.load(sync::atomic::Ordering::Relaxed), 1);
    stop.send(true).unwrap();
    serving.await.unwrap().unwrap();
}

#[tokio::test]
async fn a_request_under_another_secret_gets_no_answer() {
    let peer = Peer::start(ports::claim().unwrap(), "0123456789abcdef");
    let links = link::Links::new(identity("client", "another-secret-of-16"));
    let timeout = clock::Millis::new(300);
    for _ in 0..2 {
        let result = links
            .request(peer.address, &message::Request::Ping, timeout)
            .await;
        assert!(result.unwrap_err().is_unavailable());
    }
    peer.shut_down().await;
}

#[tokio::test]
async fn a_request_to_a_peer_that_does_not_answer_times_out() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let links = link::Links::new(identity("client", "0123456789abcdef"));
    let address = listener.local_addr().unwrap();
    let timeout = clock::Millis::new(200);
    let result = links
        .request(address, &message::Request::Ping, timeout)
        .await;
    assert!(result.unwrap_err().is_unavailable());
}

#[test]
fn damaged_frames_are_refused() {
    let secret = frame::Secret::from_bytes(b"0123456789abcdef").unwrap();
    let frame = sample_frame(7);
    let good = frame.to_bytes(&secret).unwrap();
    assert_eq!(
        frame::Frame::from_bytes(&good, &secret).unwrap().body,
        b"body"
    );
    for at in 0..good.len() {
        let mut bad = good.clone();
        bad[at] ^= 1;
        assert!(
            frame::Frame::from_bytes(&bad, &secret).is_err(),
            "byte {at}"
        );
        assert!(
            frame::Frame::from_bytes(&good[..at], &secret).is_err(),
            "cut at {at}"
        );
    }
}

#[test]
fn repeated_and_late_frames_are_refused() {
    let mut filter = frame::ReplayFilter::default();
    let cases = [
        (10, true),
        (10, false),
        (9, true),
        (9, false),
        (20_000, true),
        (19_999, true),
        (11, false),
        (10, false),
        (20_000, false),
    ];
    for (sequence, expected) in cases {
        assert_eq!(
            filter.accept(&sample_frame(sequence).header),
            expected,
            "{sequence}"
        );
    }
}

#[test]
fn a_short_secret_is_refused_with_the_remedy() {
    let e = frame::Secret::from_bytes(b"short").unwrap_err();
    assert!(e.to_string().contains("16 random bytes"), "{e}");
}

fn sample_frame(sequence: u64) -> frame::Frame {
    frame::Frame {
        header: frame::Header {
            from: "client".parse().unwrap(),
            from_incarnation: id::Incarnation::new(1),
            to_incarnation: id::Incarnation::new(2),
            sequence,
            stamp: event::Stamp::default(),
        },
        body: b"body".to_vec(),
    }
}

/// A handler whose answer never comes.
struct Stuck;

impl server::Handler for Stuck {
    async fn handle(&self, _: id::InstanceId, _: message::Request) -> message::Reply {
        std::future::pending().await
    }
}

/// Guards against a process that does not end, since a request that it has received depends on a
/// task that has ended before.
#[tokio::test]
async fn a_server_stops_although_an_answer_never_comes() {
    let address = ports::claim().unwrap();
    let (stop, stopped) = watch::channel(false);
    let handler = sync::Arc::new(Stuck);
    let serving = server::serve(
        address,
        identity("server", "a secret of thirty-two characters"),
        handler,
        stopped,
    );
    let serving = tokio::spawn(serving);
    let links = link::Links::new(identity("client", "a secret of thirty-two characters"));
    let timeout = clock::Millis::new(300);
    let mut answer = links
        .request(address, &message::Request::Ping, timeout)
        .await;
    for _ in 0..10 {
        // The server may not listen yet.
        assert!(answer.is_err());
        answer = links
            .request(address, &message::Request::Ping, timeout)
            .await;
    }
    stop.send_replace(true);
    let ended = tokio::time::timeout(std::time::Duration::from_secs(20), serving).await;
    ended.expect("the server ends").unwrap().unwrap();
}
