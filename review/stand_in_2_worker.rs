//! Workers and the platform's list of them.

use std::io::Write;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::net::{Connections, Message, Record, fail, serve};

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub worker: String,
    pub service: &'static str,
    pub path: String,
    pub request_id: String,
    /// Whether the worker began to run it. Calls for a prefill and reservations are none.
    pub runs: bool,
}

/// How a worker runs a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// One complete answer after a time in milliseconds.
    Plain(u64),
    /// A stream of so many events, one each 50 ms.
    Stream(u64),
    /// The same, but the worker ends so many milliseconds after the first event.
    Crash(u64),
}

/// Decides how a worker runs a request.
pub type Plan = Arc<dyn Fn(&Message) -> Run + Send + Sync>;

/// One worker. Clones share its state.
#[derive(Clone)]
pub struct Worker {
    pub service: &'static str,
    pub stage: Option<&'static str>,
    pub address: SocketAddr,
    pub zone: &'static str,
    /// The incarnation that runs, and the one that the list shows.
    incarnations: Arc<Mutex<(Incarnation, Incarnation)>>,
    /// What ends the incarnation that runs.
    running: Arc<Mutex<Option<(Arc<AtomicBool>, Connections)>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// The times at which workers ended under a request, with its path.
    crashes: Arc<Mutex<Vec<(f64, String)>>>,
    record: Record,
    plan: Plan,
}

/// One start of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    pub id: String,
    /// The version of its software.
    pub version: &'static str,
}

/// The arrivals and crashes at all workers of a case.
#[derive(Clone, Default)]
pub struct Seen {
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub crashes: Arc<Mutex<Vec<(f64, String)>>>,
}

/// How long a worker that has crashed is down.
const DOWN: Duration = Duration::from_secs(3);

/// How long the list shows the former incarnation.
const LIST_LAG: Duration = Duration::from_millis(800);

impl Worker {
    pub fn start(
        service: &'static str,
        stage: Option<&'static str>,
        zone: &'static str,
        ip: IpAddr,
        record: &Record,
        seen: &Seen,
        plan: Plan,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0));
        let listener = listener.unwrap_or_else(|e| fail(&format!("a worker: {e}")));
        let address = listener.local_addr().expect("an address");
        let first = Incarnation {
            id: new_id(),
            version: "v1",
        };
        let worker = Self {
            service,
            stage,
            address,
            zone,
            incarnations: Arc::new(Mutex::new((first.clone(), first))),
            running: Arc::default(),
            arrivals: Arc::clone(&seen.arrivals),
            crashes: Arc::clone(&seen.crashes),
            record: record.clone(),
            plan,
        };
        worker.serve(listener);
        worker
    }

    /// Returns the incarnation that the list shows.
    pub fn listed(&self) -> Incarnation {
        self.incarnations.lock().unwrap().1.clone()
    }

    fn serve(&self, listener: TcpListener) {
        let stop = Arc::new(AtomicBool::new(false));
        let open = Connections::default();
        *self.running.lock().unwrap() = Some((Arc::clone(&stop), Arc::clone(&open)));
        let worker = self.clone();
        let handler =
            move |request: &Message, stream: &mut TcpStream| worker.answer(request, stream);
        serve(listener, stop, open, Arc::new(handler));
    }

    /// Ends the incarnation that runs, and starts the next one after a time.
    pub fn crash(&self, down: Duration, next: Incarnation) {
        let Some((stop, open)) = self.running.lock().unwrap().take() else {
            return;
        };
        stop.store(true, Ordering::SeqCst);
        // The listener is closed before the connections.
        thread::sleep(Duration::from_millis(10));
        for connection in open.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            worker.incarnations.lock().unwrap().0 = next.clone();
            let listener = TcpListener::bind(worker.address);
            let listener = listener.unwrap_or_else(|e| fail(&format!("a worker: {e}")));
            worker.serve(listener);
            worker
                .record
                .note(format!("worker {} is back as {next:?}", worker.address));
            thread::sleep(LIST_LAG);
            worker.incarnations.lock().unwrap().1 = next;
        });
    }

    /// Answers a request; returns whether the connection goes on.
    fn answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let Incarnation { id, version } = self.incarnations.lock().unwrap().0.clone();
        let request_id = request.header("request-id").unwrap_or("").to_owned();
        let head = |status: &str| format!("HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n");
        let path = request.path().to_owned();
        if request.header("expect-instance").is_some_and(|e| e != id) {
            let head = head("421 Misdirected Request");
            let answer =
                format!("{head}Instance-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        if path == "/health" || path == "/buckthorncleat/report" {
            let answer =
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 2\r\n\r\n{{}}");
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let json = |body: &str| {
            let head = head("200 OK");
            let length = body.len();
            format!(
                "{head}Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            )
        };
        if path.starts_with("/buckthorncleat/") {
            let hold = format!("{{\"hold\":\"{}\"}}", new_id());
            return stream.write_all(json(&hold).as_bytes()).is_ok();
        }
        let is_prefill = request.header("serving-stage") == Some("prefill");
        if is_prefill != (self.stage == Some("prefill")) {
            let head = head("421 Misdirected Request");
            let answer =
                format!("{head}Instance-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let what = if is_prefill {
            "reads the prompt of"
        } else {
            "runs"
        };
        self.record.note(format!(
            "worker {id} ({}) {what} {} {path} request {request_id} from event {}",
            self.service,
            request.method(),
            request.header("last-event-id").unwrap_or("-"),
        ));
        self.arrivals.lock().unwrap().push(Arrival {
            at: self.record.now(),
            worker: id.clone(),
            service: self.service,
            path: path.clone(),
            request_id: request_id.clone(),
            runs: !is_prefill,
        });
        if is_prefill {
            thread::sleep(Duration::from_millis(50));
            let body = format!(
                "{{\"kvHandle\":\"{}\",\"tokens\":1460,\"version\":1}}",
                new_id()
            );
            return stream.write_all(json(&body).as_bytes()).is_ok();
        }
        let head = head("200 OK");
        match (self.plan)(request) {
            Run::Plain(time_ms) => {
                thread::sleep(Duration::from_millis(time_ms));
                let body = format!("{id} {path}");
                let length = body.len();
                let answer = format!(
                    "{head}Response-Signature: s.{id}\r\nContent-Length: {length}\r\n\r\n{body}"
                );
                stream.write_all(answer.as_bytes()).is_ok()
            }
            Run::Stream(events) => self.stream(request, stream, &head, version, events),
            Run::Crash(after_ms) => {
                let events = after_ms / EVENT_MS + 1;
                if !self.stream_events(request, stream, &head, version, events) {
                    return false;
                }
                self.record
                    .note(format!("worker {id} ends under request {request_id}"));
                self.crashes.lock().unwrap().push((self.record.now(), path));
                let next = Incarnation {
                    id: new_id(),
                    version,
                };
                self.crash(DOWN, next);
                false
            }
        }
    }

    fn stream(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        head: &str,
        version: &str,
        events: u64,
    ) -> bool {
        self.stream_events(request, stream, head, version, events)
            && stream.write_all(b"0\r\n\r\n").is_ok()
    }

    fn stream_events(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        head: &str,
        version: &str,
        events: u64,
    ) -> bool {
        let after = request
            .header("last-event-id")
            .and_then(|e| e.parse::<u64>().ok());
        let first = after.unwrap_or(0) + 1;
        let head = format!(
            "{head}Response-Signature: s.{}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.address.port()
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in first..first + events {
            let event = format!("id: {number}\ndata: {version} e{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(Duration::from_millis(EVENT_MS));
        }
        true
    }

    /// Returns the entry in the platform's list.
    pub fn entry(&self, state: &str) -> String {
        let stage = match self.stage {
            Some(stage) => {
                format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
            }
            None => String::new(),
        };
        let Incarnation { id, version } = self.listed();
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{version}","slots":6,"state":"{state}","coldRemainingMs":0{stage},"id":"{id}"}}"#,
            self.service, self.address, self.zone
        )
    }
}

/// Milliseconds between two events of a stream.
const EVENT_MS: u64 = 50;

fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!(
        "i-{:08x}",
        0x7f3a_0000 + NEXT.fetch_add(1, Ordering::SeqCst) * 2_713
    )
}

/// Serves the platform's list; `instances` returns the bytes of its entries.
pub fn serve_list<F>(ip: IpAddr, instances: F) -> SocketAddr
where
    F: Fn() -> Vec<Vec<u8>> + Send + Sync + 'static,
{
    let listener = TcpListener::bind((ip, 0));
    let listener = listener.unwrap_or_else(|e| fail(&format!("the list: {e}")));
    let address = listener.local_addr().expect("an address");
    let handler = move |_: &Message, stream: &mut TcpStream| {
        let entries = instances().join(&b","[..]);
        let body = [&br#"{"instances":["#[..], &entries, br#"],"next":null}"#].concat();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), &body].concat()).is_ok()
    };
    serve(
        listener,
        Arc::default(),
        Connections::default(),
        Arc::new(handler),
    );
    address
}
