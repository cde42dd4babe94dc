//! The cases: servers, clients and the check of the rule.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, HOST, KEY, Record, Run};
use crate::http::{self, End};

pub fn run(case: &str, record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    match case {
        "refused" => refused(record, has_trouble),
        "signature" => signature(record, has_trouble),
        "dark" => crashing_request(record, has_trouble, Crash::Dark),
        "loud" => crashing_request(record, has_trouble, Crash::Loud),
        "late" => crashing_request(record, has_trouble, Crash::Late),
        "slow" => slow(record, has_trouble),
        "pieces" => pieces(record, has_trouble),
        "torn" => torn(record, has_trouble),
        _ => Err("no such case".to_owned()),
    }
}

const PLAIN_SERVICE: &str = r#"{"name":"kedai","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}"#;

const MODEL_SERVICE: &str = r#"{"name":"dapur","healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":37563,"kvTokenBytes":163840,"linkMbps":1200000.0,"moves":true,"backups":true,"stride":11,"most":12,"handleTtlS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}"#;

fn route(prefix: &str, kind: &str, service: &str, times: &str, attempts: u32, resumable: bool) -> String {
    format!(
        r#"{{"name":"r{}","host":"{HOST}","pathPrefix":"{prefix}","kind":"{kind}",{times},"priority":1,"service":"{service}","maxAttempts":{attempts},"public":false,"sessionAffinity":{},"resumable":{resumable}}}"#,
        prefix.replace('/', "-"),
        kind == "streaming"
    )
}

const PLAIN_TIMES: &str = r#""timeoutMs":800,"targetLatencyMs":300"#;
const STREAM_TIMES: &str = r#""timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300"#;

/// Makes a client's request.
fn request(method: &str, path: &str, id: &str, deadline: Duration, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    )
    .into_bytes()
}

/// When a disruption is there.
struct Trouble {
    is_wanted: bool,
    begins_at: AtomicU64,
    length: Duration,
}

impl Trouble {
    fn new(is_wanted: bool, length: Duration) -> Arc<Self> {
        Arc::new(Self {
            is_wanted,
            begins_at: AtomicU64::new(u64::MAX),
            length,
        })
    }

    /// Begins the disruption a second from now, unless it is left out.
    fn begin(&self, record: &Record, name: &str) {
        if self.is_wanted {
            let begins_at = record.now() + 1_000;
            self.begins_at.store(begins_at, Ordering::SeqCst);
            record.line(&format!("{name} from {begins_at} ms, for {} ms", self.length.as_millis()));
        }
    }

    fn is_on(&self, record: &Record) -> bool {
        let begins_at = self.begins_at.load(Ordering::SeqCst);
        let end = begins_at.saturating_add(self.length.as_millis() as u64);
        (begins_at..end).contains(&record.now())
    }
}

fn id_of(run: &Run<'_>) -> String {
    run.request.header("request-id").unwrap_or("").to_owned()
}

/// Sends an answer with the headers that each answer of a server has.
fn reply(run: &mut Run<'_>, status: &str, signature: (&str, &str), body: &str) {
    let id = id_of(run);
    let headers = [("Request-Id", id.as_str()), signature];
    let _ = run.stream.write_all(&http::answer(status, &headers, body));
}

/// The signature of a server's answer.
const SIGNATURE: (&str, &str) = ("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");

const WORK_TIME: Duration = Duration::from_millis(60);
const PLAIN_DEADLINE: Duration = Duration::from_millis(1500);

/// Orders, which run at most once. One of eight servers fails part of its requests (`srv_grey`, share 0.125,
/// x 0.45, 6.5 s): it runs them, and then answers 503 without `Not-Executed`.
fn refused(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Arc::clone(record))?;
    let ran: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let trouble = Trouble::new(has_trouble, Duration::from_millis(6_500));
    for number in 0..8 {
        let (ran, trouble) = (Arc::clone(&ran), Arc::clone(&trouble));
        let count = AtomicU64::new(0);
        fleet.add_server("kedai", None, 6, move |mut run| {
            let (id, order) = (id_of(&run), String::from_utf8_lossy(&run.request.body).into_owned());
            run.server.record.line(&format!("{} runs {id} ({order})", run.server.id));
            ran.lock().unwrap().push((id, order));
            thread::sleep(WORK_TIME);
            let is_on = number == 0 && trouble.is_on(&run.server.record);
            let fails = is_on && count.fetch_add(1, Ordering::SeqCst) % 20 < 9;
            let status = if fails { "503 Service Unavailable" } else { "200 OK" };
            reply(&mut run, status, SIGNATURE, "recorded");
        });
    }
    let routes = route("/orders/", "unsafe", "kedai", PLAIN_TIMES, 1, false);
    fleet.start(&routes, PLAIN_SERVICE)?;
    trouble.begin(record, "one server of eight fails nine of twenty requests");
    let promised: Mutex<Vec<String>> = Mutex::default();
    let served = AtomicU64::new(0);
    thread::scope(|scope| {
        for client in 0..6 {
            let (fleet, promised, served) = (&fleet, &promised, &served);
            scope.spawn(move || {
                for number in 0..70 {
                    let order = format!("order {client}-{number}");
                    // A client retries once, and an order only after a promise that it has not run.
                    for attempt in 0..2 {
                        let id = format!("c{client}n{number}a{attempt}");
                        let to = fleet.gateways[(number + attempt) % 2];
                        let bytes = request("POST", "/orders/2f", &id, PLAIN_DEADLINE, "", &order);
                        let answer = http::call(to, &bytes, PLAIN_DEADLINE, PLAIN_DEADLINE);
                        let status = answer.status();
                        fleet.record.line(&format!("{id} ({order}) is answered {status} by {to}"));
                        if status == 200 {
                            served.fetch_add(1, Ordering::SeqCst);
                        }
                        if ![408, 421, 429, 503].contains(&status) {
                            break;
                        }
                        promised.lock().unwrap().push(id);
                        thread::sleep(Duration::from_millis(100));
                    }
                    thread::sleep(Duration::from_millis(150));
                }
            });
        }
    });
    let ran = ran.lock().unwrap();
    let promised = promised.into_inner().unwrap();
    let broken: Vec<_> = promised.iter().filter(|id| ran.iter().any(|(r, _)| r == *id)).collect();
    let mut orders: Vec<_> = ran.iter().map(|(_, order)| order).collect();
    orders.sort();
    let runs = orders.len();
    orders.dedup();
    record.line(&format!(
        "{} orders ran {runs} times, {} were answered 200; of {} requests that were answered 408, 421, 429 or 503, {} had run: {broken:?}",
        orders.len(),
        served.into_inner(),
        promised.len(),
        broken.len()
    ));
    if orders.len() < 300 {
        return Err("too few orders ran".to_owned());
    }
    Ok(!broken.is_empty())
}

/// Look-ups. Two of five servers spoil part of their answers (`garble`, share 0.4, x 0.02, 5 s): one byte of the
/// head is wrong, in the name of the signature's header.
fn signature(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Arc::clone(record))?;
    let trouble = Trouble::new(has_trouble, Duration::from_secs(5));
    for number in 0..5 {
        let count = AtomicU64::new(0);
        let trouble = Arc::clone(&trouble);
        fleet.add_server("kedai", None, 6, move |mut run| {
            thread::sleep(WORK_TIME);
            let is_on = number < 2 && trouble.is_on(&run.server.record);
            let spoils = is_on && count.fetch_add(1, Ordering::SeqCst) % 50 == 25;
            let name = if spoils { "Response-Signatu~e" } else { SIGNATURE.0 };
            let id = id_of(&run);
            run.server.record.line(&format!("{} answers {id} with {name}", run.server.id));
            reply(&mut run, "200 OK", (name, SIGNATURE.1), "in stock");
        });
    }
    let routes = route("/stock/", "safe", "kedai", PLAIN_TIMES, 2, false);
    fleet.start(&routes, PLAIN_SERVICE)?;
    trouble.begin(record, "two servers of five spoil one of fifty answers");
    let (unsigned, served) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for client in 0..16 {
            let (fleet, unsigned, served) = (&fleet, &unsigned, &served);
            scope.spawn(move || {
                for number in 0..80 {
                    let id = format!("c{client}n{number}");
                    let to = fleet.gateways[number % 2];
                    let bytes = request("GET", "/stock/2f", &id, PLAIN_DEADLINE, "", "");
                    let answer = http::call(to, &bytes, PLAIN_DEADLINE, PLAIN_DEADLINE);
                    let head = answer.head.unwrap_or_default();
                    let is_signed = head.header("response-signature").is_some();
                    if head.status() == 200 {
                        served.fetch_add(1, Ordering::SeqCst);
                        if !is_signed {
                            unsigned.fetch_add(1, Ordering::SeqCst);
                            fleet.record.line(&format!("{id} gets 200 without a Response-Signature: {:?}", head.headers));
                        }
                    } else {
                        fleet.record.line(&format!("{id} gets {}", head.status()));
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
    let (unsigned, served) = (unsigned.into_inner(), served.into_inner());
    record.line(&format!("{served} look-ups were answered 200, {unsigned} of them without a Response-Signature"));
    if served < 700 {
        return Err("too few look-ups were answered".to_owned());
    }
    Ok(unsigned > 0)
}

/// How a server ends under the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crash {
    /// Its connections fall silent.
    Dark,
    /// Its connections break at once.
    Loud,
    /// Its connections break a second after the first event.
    Late,
}

/// How long a crashed server is away.
const DOWN_TIME: Duration = Duration::from_millis(4_500);

/// `contactMs`, and the retries that may reach servers later than that after the third crash.
const CONTACT_MS: u64 = 3_000;
const MOST_RETRIES: usize = 3;

const STREAM_DEADLINE: Duration = Duration::from_secs(14);

/// A client abandons a stream after the longest of two seconds, four times the objective and eight times the
/// longest pause.
const PATIENCE: Duration = Duration::from_millis(3_600);

/// Handles the calls beside requests; returns whether it was one.
fn handle_call(run: &mut Run<'_>, holds: &AtomicU64) -> bool {
    let (method, path) = run.request.request_line();
    let json = [("Content-Type", "application/json")];
    let body = match (method, path) {
        ("POST", "/buckthorncleat/hold-take") => {
            let number = holds.fetch_add(1, Ordering::SeqCst);
            format!(r#"{{"hold":"{}-{number}"}}"#, run.server.id)
        }
        ("DELETE", _) => String::new(),
        _ => return false,
    };
    let _ = run.stream.write_all(&http::answer("200 OK", &json, &body));
    true
}

/// Sends the head of a stream.
fn begin_stream(run: &mut Run<'_>) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {}\r\n{}: {}\r\n\r\n",
        id_of(run),
        SIGNATURE.0,
        SIGNATURE.1
    );
    run.stream.write_all(head.as_bytes())
}

fn send_event(run: &mut Run<'_>, number: u64) -> std::io::Result<()> {
    let event = format!("id: {number}\ndata: piece {number}\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    run.stream.write_all(chunk.as_bytes())
}

fn end_stream(run: &mut Run<'_>) {
    let _ = run.stream.write_all(b"0\r\n\r\n");
}

fn stream_headers(prompt: &str) -> String {
    format!("Model: m\r\nToken-Usage: 3200,120\r\nPrompt-Prefix: 5c1e07a2:200,{prompt}:3000\r\n")
}

/// Milliseconds of the record.
type Times = Arc<Mutex<Vec<u64>>>;

/// One request crashes each server that runs it, and comes again with the same path, caller and body.
fn crashing_request(record: &Arc<Record>, has_trouble: bool, crash: Crash) -> Result<bool, String> {
    let mut fleet = Fleet::new(Arc::clone(record))?;
    let (arrivals, crashes) = (Times::default(), Times::default());
    for _ in 0..8 {
        let (arrivals, crashes) = (Arc::clone(&arrivals), Arc::clone(&crashes));
        let holds = AtomicU64::new(0);
        fleet.add_server("dapur", Some("decode"), 64, move |mut run| {
            if handle_call(&mut run, &holds) {
                return;
            }
            let ends = run.server.ends();
            let id = id_of(&run);
            let is_crashing = run.request.body == b"the crashing prompt";
            if is_crashing {
                run.server.record.line(&format!("{} runs {id}", run.server.id));
                arrivals.lock().unwrap().push(run.server.record.now());
            }
            let end = |run: &Run<'_>| {
                run.server.record.line(&format!("{} ends under {id}", run.server.id));
                crashes.lock().unwrap().push(run.server.record.now());
                run.server.crash(DOWN_TIME);
            };
            thread::sleep(Duration::from_millis(150));
            if has_trouble && is_crashing && crash != Crash::Late {
                end(&run);
            }
            let mut sent = 0;
            loop {
                if run.server.ends() != ends {
                    // What ran before the end is gone. Of a server that went dark the connections stay.
                    if crash == Crash::Dark {
                        thread::sleep(Duration::from_secs(20));
                    }
                    let _ = run.stream.shutdown(Shutdown::Both);
                    return;
                }
                let done = if sent == 0 { begin_stream(&mut run) } else { Ok(()) };
                sent += 1;
                if done.and_then(|()| send_event(&mut run, sent)).is_err() {
                    return;
                }
                if has_trouble && is_crashing && sent == 6 {
                    end(&run);
                }
                if sent == 12 {
                    end_stream(&mut run);
                    return;
                }
                thread::sleep(Duration::from_millis(200));
            }
        });
    }
    let routes = route("/batch/", "streaming", "dapur", STREAM_TIMES, 1, false);
    fleet.start(&routes, MODEL_SERVICE)?;
    let is_over = AtomicBool::new(false);
    let served = AtomicU64::new(0);
    thread::scope(|scope| {
        let (fleet, is_over, served) = (&fleet, &is_over, &served);
        for client in 0..4 {
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{client}n{number}");
                    let headers = stream_headers(&format!("{client:02x}{number:06x}"));
                    let body = format!("prompt {client} {number}");
                    let bytes = request("POST", "/batch/2f", &id, STREAM_DEADLINE, &headers, &body);
                    let answer = http::call(fleet.gateways[number % 2], &bytes, PATIENCE, STREAM_DEADLINE);
                    if answer.status() == 200 && answer.end == End::Complete {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(Duration::from_millis(300));
                }
            });
        }
        for number in 0..30 {
            if record.now() > 70_000 {
                break;
            }
            let id = format!("x{number}");
            let to = fleet.gateways[number % 2];
            let headers = stream_headers("e4402b7d");
            let bytes = request("POST", "/batch/2f", &id, STREAM_DEADLINE, &headers, "the crashing prompt");
            record.line(&format!("{id} is sent to {to}"));
            let answer = http::call(to, &bytes, PATIENCE, STREAM_DEADLINE);
            record.line(&format!("{id} is answered {}, {:?}", answer.status(), answer.end));
            thread::sleep(Duration::from_millis(500));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    let arrivals = arrivals.lock().unwrap();
    let served = served.into_inner();
    let third = crashes.lock().unwrap().get(2).map_or(u64::MAX, |at| *at);
    let bound = third.saturating_add(CONTACT_MS);
    let late = arrivals.iter().filter(|at| **at > bound).count();
    record.line(&format!(
        "the request ran at servers {} times, {late} of them more than {CONTACT_MS} ms after it ended the third; {served} other streams were complete",
        arrivals.len()
    ));
    if served < 20 {
        return Err("too few other streams were complete".to_owned());
    }
    Ok(late > MOST_RETRIES)
}

/// The pause between two events of a server that is not slow, and how many times longer it is at a slow one
/// (`srv_slow`, share 0.14, x 5, 6.5 s).
const PAUSE: Duration = Duration::from_millis(310);
const SLOWNESS: u32 = 5;

/// A run at a server: request, server, begin and end.
type RunTimes = (String, String, u64, u64);

/// Returns whether the other side has closed a connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
    match stream.read(&mut [0; 64]) {
        Ok(count) => count == 0,
        Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

/// Streams that may be resumed. One of seven servers is slow for a time. Six servers drop a request when its
/// connection closes; the slow one does not.
fn slow(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Arc::clone(record))?;
    let runs: Arc<Mutex<Vec<RunTimes>>> = Arc::default();
    let trouble = Trouble::new(has_trouble, Duration::from_millis(6_500));
    for server in 0..7 {
        let (runs, trouble) = (Arc::clone(&runs), Arc::clone(&trouble));
        let holds = AtomicU64::new(0);
        fleet.add_server("dapur", Some("decode"), 64, move |mut run| {
            if handle_call(&mut run, &holds) {
                return;
            }
            let server_record = Arc::clone(&run.server.record);
            let id = id_of(&run);
            let begun = server_record.now();
            let after = run.request.header("last-event-id").and_then(|e| e.parse().ok());
            let after: u64 = after.unwrap_or(0);
            server_record.line(&format!("{} begins {id} after event {after}", run.server.id));
            thread::sleep(Duration::from_millis(150));
            let _ = begin_stream(&mut run);
            for number in after + 1..=12 {
                let _ = send_event(&mut run, number);
                let is_slow = server == 0 && trouble.is_on(&server_record);
                thread::sleep(if is_slow { PAUSE * SLOWNESS } else { PAUSE });
                if server != 0 && is_closed(&mut run.stream) {
                    break;
                }
            }
            end_stream(&mut run);
            let ended = server_record.now();
            server_record.line(&format!("{} has ended {id}", run.server.id));
            runs.lock().unwrap().push((id, run.server.id.clone(), begun, ended));
        });
    }
    let routes = route("/adapt/", "streaming", "dapur", STREAM_TIMES, 2, true);
    fleet.start(&routes, MODEL_SERVICE)?;
    trouble.begin(record, "one server of seven works five times as long");
    let served = AtomicU64::new(0);
    thread::scope(|scope| {
        for client in 0..8 {
            let (fleet, served) = (&fleet, &served);
            scope.spawn(move || {
                for number in 0..6 {
                    let id = format!("c{client}n{number}");
                    let headers = stream_headers(&format!("{client:02x}{number:06x}"));
                    let bytes = request("POST", "/adapt/2f", &id, STREAM_DEADLINE, &headers, &id);
                    let answer = http::call(fleet.gateways[number % 2], &bytes, PATIENCE, STREAM_DEADLINE);
                    fleet.record.line(&format!("{id} is answered {}, {:?}", answer.status(), answer.end));
                    if answer.status() == 200 && answer.end == End::Complete {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
    });
    // Runs that nobody reads any more go on.
    thread::sleep(Duration::from_secs(8));
    let runs = runs.lock().unwrap();
    let mut broken = 0;
    for (id, second, begun, _) in runs.iter() {
        let first = runs.iter().find(|(i, s, b, e)| i == id && s != second && b < begun && *e > begun + 400);
        if let Some((_, first, _, ended)) = first {
            broken += 1;
            record.line(&format!("{id} went on at {second} at {begun} ms, and {first} worked on it until {ended} ms"));
        }
    }
    let served = served.into_inner();
    record.line(&format!("{served} streams were complete; {broken} went on while another server still worked on them"));
    if served < 30 {
        return Err("too few streams were complete".to_owned());
    }
    Ok(broken > 0)
}

/// The events of a stream, and the one whose id is spoiled: 15 becomes 95.
const EVENTS: u64 = 40;
const SPOILED_EVENT: u64 = 15;

/// Streams that may be resumed. Three of six servers spoil part of their answers (`garble`, share 0.5, x 0.02,
/// 5 s): one byte is wrong, in the id of one event.
fn pieces(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Arc::clone(record))?;
    let trouble = Trouble::new(has_trouble, Duration::from_secs(5));
    let spoiled = Arc::new(AtomicU64::new(0));
    for server in 0..6 {
        let (trouble, spoiled) = (Arc::clone(&trouble), Arc::clone(&spoiled));
        let (holds, count) = (AtomicU64::new(0), AtomicU64::new(0));
        fleet.add_server("dapur", Some("decode"), 64, move |mut run| {
            if handle_call(&mut run, &holds) {
                return;
            }
            let id = id_of(&run);
            let after = run.request.header("last-event-id").and_then(|e| e.parse().ok());
            let after: u64 = after.unwrap_or(0);
            let is_on = server < 3 && trouble.is_on(&run.server.record);
            let spoils = is_on && count.fetch_add(1, Ordering::SeqCst) % 50 == 25;
            if spoils {
                spoiled.fetch_add(1, Ordering::SeqCst);
                run.server.record.line(&format!("{} spoils the id of event {SPOILED_EVENT} of {id}", run.server.id));
            }
            if begin_stream(&mut run).is_err() {
                return;
            }
            for number in after + 1..=EVENTS {
                let named = if spoils && number == SPOILED_EVENT { 95 } else { number };
                let event = format!("id: {named}\ndata: piece {number}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if run.stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(10));
            }
            end_stream(&mut run);
            run.server.record.line(&format!("{} has sent {id} whole", run.server.id));
        });
    }
    let routes = route("/adapt/", "streaming", "dapur", STREAM_TIMES, 2, true);
    fleet.start(&routes, MODEL_SERVICE)?;
    trouble.begin(record, "three servers of six spoil one of fifty streams");
    let (complete, missing) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for client in 0..32 {
            let (fleet, complete, missing) = (&fleet, &complete, &missing);
            scope.spawn(move || {
                for number in 0..16 {
                    let id = format!("c{client}n{number}");
                    let headers = stream_headers(&format!("{client:02x}{number:06x}"));
                    let bytes = request("POST", "/adapt/2f", &id, STREAM_DEADLINE, &headers, &id);
                    let answer = http::call(fleet.gateways[number % 2], &bytes, PATIENCE, STREAM_DEADLINE);
                    if answer.status() == 200 && answer.end == End::Complete {
                        complete.fetch_add(1, Ordering::SeqCst);
                        let head = answer.head.unwrap_or_default();
                        let text = String::from_utf8_lossy(&head.body);
                        let is_there = |n: &u64| text.contains(&format!("data: piece {n}\n"));
                        let lacking: Vec<_> = (1..=EVENTS).filter(|n| !is_there(n)).collect();
                        if !lacking.is_empty() {
                            missing.fetch_add(1, Ordering::SeqCst);
                            fleet.record.line(&format!("{id} ends as complete without the pieces {lacking:?}"));
                        }
                    } else {
                        fleet.record.line(&format!("{id} is answered {}, {:?}", answer.status(), answer.end));
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
    let (complete, missing) = (complete.into_inner(), missing.into_inner());
    record.line(&format!(
        "{complete} streams ended as complete, {missing} of them without all pieces; {} had a spoiled id",
        spoiled.load(Ordering::SeqCst)
    ));
    if complete < 300 {
        return Err("too few streams were complete".to_owned());
    }
    Ok(missing > 0)
}

/// `recoveryS`.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Orders before and after a final fault that kills all processes. In that moment the record of another writer of
/// the list is torn: its first half stands as the first entry, the other as the last one.
fn torn(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(Arc::clone(record))?;
    for _ in 0..5 {
        fleet.add_server("kedai", None, 6, move |mut run| {
            run.server.record.line(&format!("{} runs {}", run.server.id, id_of(&run)));
            thread::sleep(WORK_TIME);
            reply(&mut run, "200 OK", SIGNATURE, "recorded");
        });
    }
    let routes = route("/orders/", "unsafe", "kedai", PLAIN_TIMES, 1, false);
    fleet.start(&routes, PLAIN_SERVICE)?;
    let send = |fleet: &Fleet, name: &str, count: u64| {
        let mut served = 0;
        for number in 0..count {
            let id = format!("{name}{number}");
            let to = fleet.gateways[number as usize % 2];
            let bytes = request("POST", "/orders/2f", &id, PLAIN_DEADLINE, "", &id);
            let status = http::call(to, &bytes, PLAIN_DEADLINE, PLAIN_DEADLINE).status();
            fleet.record.line(&format!("{id} is answered {status}"));
            served += u64::from(status == 200);
            thread::sleep(Duration::from_millis(30));
        }
        served
    };
    let before = send(&fleet, "before", 60);
    fleet.kill_all();
    if has_trouble {
        fleet.put_entry(0, r#"{"writer":"audit","seen":[{"at":1}"#);
        fleet.put_entry(6, r#"{"at":2}]}"#);
    }
    thread::sleep(Duration::from_millis(1_500));
    fleet.start_again()?;
    thread::sleep(RECOVERY_TIME + Duration::from_millis(500));
    let after = send(&fleet, "after", 100);
    record.line(&format!("served: {before} of 60 before the fault, {after} of 100 later than recoveryS after it"));
    if before < 50 {
        return Err("too few orders were served before the fault".to_owned());
    }
    Ok(after < 25)
}
