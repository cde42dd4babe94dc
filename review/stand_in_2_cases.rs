//! The cases.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{Deployment, Message, Record, call, fail};
use crate::worker::{Incarnation, Plan, Run, Seen, Worker, serve_list};

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const HOST: &str = "ficu95.example";
const ZONES: [&str; 3] = ["zona-norte", "zona-centro", "zona-sur"];
const REPLACE: &str = "/buckthorncleat/config/replace";

/// `contactMs`, after which machines are in touch again.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `ackTimeoutMs`, with 3 ms more for each of the five routes.
const ACK_TIMEOUT: Duration = Duration::from_millis(4_000 + 15);

/// Returns a configuration; `booking` names the services of the booking route.
fn config(version: u64, booking: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u64, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout},"targetLatencyMs":900,"priority":1,{service},"public":false,{rest}}}"#
        )
    };
    let llm = r#""service":"guia-llm""#;
    let stream = r#""maxAttempts":2,"sessionAffinity":true,"resumable":true,"targetGapMs":300"#;
    let plain = r#""maxAttempts":2,"sessionAffinity":false,"resumable":false"#;
    let once = r#""maxAttempts":1,"sessionAffinity":false,"resumable":false"#;
    let routes = [
        route("r-chat", "/chat/", "streaming", llm, 14_000, stream),
        route("r-book", "/book/", "unsafe", booking, 1_500, once),
        route(
            "r-look",
            "/look/",
            "safe",
            r#""service":"lotes-app""#,
            1_500,
            plain,
        ),
        route(
            "r-pay",
            "/pay/",
            "unsafe",
            r#""service":"pagos-app""#,
            1_500,
            once,
        ),
        route(
            "r-fees",
            "/fees/",
            "safe",
            r#""service":"pagos-app""#,
            1_500,
            plain,
        ),
    ];
    let engine = r#""engine":{"slots":64,"kvCapacityTokens":37952,"kvTokenBytes":163840,"linkMbps":1500000.0,"moves":true,"backups":true,"stride":12,"most":12,"handleTtlS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}"#;
    let service = |name: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false{rest}}}"#
        )
    };
    let services = [
        service("guia-llm", &format!(",{engine}")),
        service("lotes-app", ""),
        service("pagos-app", ""),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1,"unit":"token_stream","plainTokens":200,"ratePerS":516500,"burst":516500}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

fn lotes() -> &'static str {
    r#""service":"lotes-app""#
}

/// A request of a client; each attempt has an id of its own.
fn client_request(method: &str, path: &str, id: u64, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let usage = match path.starts_with("/chat/") {
        true => format!(
            "Model: m\r\nToken-Usage: 1460,80\r\nLength-Hint: 40\r\n\
             Prompt-Prefix: 5c1e07a2:200,{:x}:1260\r\n",
            path.len() as u64 * 7_919 + path.bytes().map(u64::from).sum::<u64>()
        ),
        false => String::new(),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id:016x}\r\n{usage}\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Sends a request and notes how it ended.
fn send(record: &Record, to: SocketAddr, request: &[u8], name: &str) -> Option<Message> {
    let answer = call(to, request, Duration::from_secs(16));
    let told = answer.as_ref().map_or_else(
        || "no answer".to_owned(),
        |a| {
            let whole = if a.is_whole { "whole" } else { "cut" };
            let retry = a.header("retry-after").unwrap_or("-");
            format!(
                "{}, {} bytes, {whole}, Retry-After {retry}",
                a.status(),
                a.body.len()
            )
        },
    );
    record.note(format!("client {name} at {to}: {told}"));
    answer
}

fn plan(of: impl Fn(&Message) -> Run + Send + Sync + 'static) -> Plan {
    Arc::new(of)
}

/// Starts three workers of a plain service.
fn plain_workers(
    deployment: &Deployment,
    service: &'static str,
    first: usize,
    record: &Record,
    seen: &Seen,
) -> Vec<Worker> {
    let worker = |index: usize| {
        let ip = deployment.worker_ip(first + index);
        let run = plan(|_| Run::Plain(15));
        Worker::start(service, None, ZONES[index], ip, record, seen, run)
    };
    (0..3).map(worker).collect()
}

fn list_ip(deployment: &Deployment) -> IpAddr {
    deployment.worker_ip(100)
}

/// Starts everything and puts the first configuration.
fn begin(deployment: &mut Deployment, list: SocketAddr, record: &Record) {
    deployment.start(list, 2);
    let first = config(1, lotes());
    let ten = Duration::from_secs(10);
    let answer = deployment.operate(record, "POST", REPLACE, first.as_bytes(), ten);
    if answer.map(|a| a.status()) != Some(200) {
        fail("the first configuration was not acknowledged");
    }
    if !deployment.wait_ready(ten) {
        fail("the gateways are not ready");
    }
    // The list is read within this time.
    thread::sleep(CONTACT);
}

/// Fault: no request is served while the list has an entry that can't be read.
pub fn unreadable_entry(record: &Record, has_trouble: bool) -> bool {
    let mut deployment = Deployment::new();
    let seen = Seen::default();
    let lotes = plain_workers(&deployment, "lotes-app", 0, record, &seen);
    let pagos = plain_workers(&deployment, "pagos-app", 3, record, &seen);
    let list = serve_list(list_ip(&deployment), move || {
        let entries = lotes.iter().chain(&pagos);
        let mut entries: Vec<Vec<u8>> = entries.map(|w| w.entry("ready").into_bytes()).collect();
        if has_trouble {
            // The record of another writer: bytes that are no JSON.
            entries.insert(2, b"\xa7id\xa2i1\xa7service\xfe\x8a\x00\x12".to_vec());
        }
        entries
    });
    begin(&mut deployment, list, record);
    let (mut sent, mut served) = (0, 0);
    let kinds = [
        ("GET", "/look/2f"),
        ("POST", "/book/2f"),
        ("GET", "/fees/2f"),
        ("POST", "/pay/2f"),
    ];
    let until = Instant::now() + Duration::from_secs(30);
    let mut id = 1;
    while Instant::now() < until {
        for (method, path) in kinds {
            id += 1;
            sent += 1;
            let body: &[u8] = if method == "POST" { b"plot=12" } else { b"" };
            let request = client_request(method, path, id, 1_500, body);
            let to = deployment.front(id as usize % 2);
            let answer = send(record, to, &request, &format!("{method} {path} {id:016x}"));
            served += u64::from(answer.is_some_and(|a| a.status() == 200 && a.is_whole));
        }
        thread::sleep(Duration::from_millis(400));
    }
    record.note(format!("{served} of {sent} requests were served in 30 s"));
    if !has_trouble && served < sent {
        fail("not all requests were served without the disruption");
    }
    served == 0
}

/// BUDGET: a request that ends each worker a second after it has begun to run it.
pub fn late_crash(record: &Record, has_trouble: bool) -> bool {
    const POISON: &str = "/chat/plot-compare-4711";
    let mut deployment = Deployment::new();
    let seen = Seen::default();
    let run = move |request: &Message| match request.path() {
        POISON if has_trouble => Run::Crash(1_000),
        _ => Run::Stream(30),
    };
    let stages = [
        "prefill", "decode", "decode", "decode", "decode", "decode", "decode",
    ];
    let workers = stages.into_iter().enumerate().map(|(index, stage)| {
        let ip = deployment.worker_ip(index);
        Worker::start(
            "guia-llm",
            Some(stage),
            ZONES[index % 3],
            ip,
            record,
            &seen,
            plan(run),
        )
    });
    let workers: Vec<Worker> = workers.collect();
    let list = serve_list(list_ip(&deployment), move || {
        workers
            .iter()
            .map(|w| w.entry("ready").into_bytes())
            .collect()
    });
    begin(&mut deployment, list, record);
    let fronts = [deployment.front(0), deployment.front(1)];
    let stop = Arc::new(AtomicBool::new(false));
    let completed = Arc::new(Mutex::new((0, 0)));
    let (others_stop, others_completed) = (Arc::clone(&stop), Arc::clone(&completed));
    let others_record = record.clone();
    // Other clients ask for other things all the while.
    let others = thread::spawn(move || {
        let mut id = 1_000;
        while !others_stop.load(Ordering::SeqCst) {
            id += 1;
            let (record, completed) = (others_record.clone(), Arc::clone(&others_completed));
            let to = fronts[id as usize % 2];
            thread::spawn(move || {
                let path = format!("/chat/other-{id}");
                let request = client_request("POST", &path, id, 14_000, b"which plot?");
                let answer = send(&record, to, &request, &format!("POST {path}"));
                let mut completed = completed.lock().unwrap();
                completed.0 += 1;
                completed.1 += u64::from(answer.is_some_and(|a| a.status() == 200 && a.is_whole));
            });
            thread::sleep(Duration::from_millis(700));
        }
    });
    let until = Instant::now() + Duration::from_secs(75);
    let mut id = 1;
    while Instant::now() < until {
        id += 1;
        let request = client_request("POST", POISON, id, 14_000, b"compare 4711 with all");
        let to = fronts[id as usize % 2];
        send(record, to, &request, &format!("POST {POISON} {id:016x}"));
        thread::sleep(Duration::from_millis(4_000));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = others.join();
    let crashes = seen.crashes.lock().unwrap().clone();
    let third = crashes.get(2).map(|(at, _)| *at);
    let arrivals = seen.arrivals.lock().unwrap().clone();
    let counted_from = third.map(|at| at + CONTACT.as_secs_f64());
    let late = arrivals
        .iter()
        .filter(|a| a.runs && a.path == POISON && counted_from.is_some_and(|from| a.at > from));
    let late = late.count();
    let (sent, whole) = *completed.lock().unwrap();
    record.note(format!(
        "{} workers ended under the request, the third at {third:?}; \
         {late} arrivals of it at workers more than 3 s later; {whole} of {sent} other streams were whole",
        crashes.len()
    ));
    late > 3
}

/// Acks: a control member is lost right after the system has started for the first time, and no configuration is
/// acknowledged: neither by the other two, nor when it is back.
pub fn first_start(record: &Record, has_trouble: bool) -> bool {
    let mut deployment = Deployment::new();
    let seen = Seen::default();
    let lotes = plain_workers(&deployment, "lotes-app", 0, record, &seen);
    let list = serve_list(list_ip(&deployment), move || {
        lotes
            .iter()
            .map(|w| w.entry("ready").into_bytes())
            .collect()
    });
    deployment.start_keeper(0, list);
    record.note("control member 0 starts");
    thread::sleep(Duration::from_millis(150));
    if has_trouble {
        deployment.keepers[0].kill();
        record.note("control member 0 is killed");
    }
    thread::sleep(Duration::from_millis(100));
    deployment.start_keeper(1, list);
    deployment.start_keeper(2, list);
    record.note("control members 1 and 2 start");
    deployment.start_gateways(list, 2);
    // Machines start some seconds before the operator's first call.
    thread::sleep(Duration::from_secs(10));
    let first = config(1, self::lotes());
    let limit = Duration::from_secs(12);
    let (is_in_time, took) = acknowledge(&deployment, record, &first, limit);
    record.note(format!(
        "with members 1 and 2: acknowledged {is_in_time}, after {took} ms"
    ));
    if is_in_time {
        return took > ACK_TIMEOUT.as_millis();
    }
    if !deployment.keepers[1..].iter_mut().all(|k| k.is_running()) {
        fail("a control member has ended by itself");
    }
    // `bootstrap` is true only when the whole system starts for the first time.
    deployment.write_settings("keeper", 0, list, false);
    deployment.keepers[0].restart();
    record.note("control member 0 starts again, with bootstrap false");
    thread::sleep(CONTACT);
    let limit = Duration::from_secs(40);
    let (is_later, took) = acknowledge(&deployment, record, &first, limit);
    record.note(format!(
        "with all three: acknowledged {is_later}, after {took} ms"
    ));
    true
}

/// Sends a configuration until it is acknowledged or the limit is reached; returns whether it was, and after
/// how many milliseconds.
fn acknowledge(
    deployment: &Deployment,
    record: &Record,
    config: &str,
    limit: Duration,
) -> (bool, u128) {
    let begun = Instant::now();
    let answer = deployment.operate(record, "POST", REPLACE, config.as_bytes(), limit);
    (
        answer.is_some_and(|a| a.status() == 200),
        begun.elapsed().as_millis(),
    )
}

/// ROUTE: an entry of another writer that lacks fields names a worker of another service.
pub fn partial_entry(record: &Record, has_trouble: bool) -> bool {
    let mut deployment = Deployment::new();
    let seen = Seen::default();
    let lotes = plain_workers(&deployment, "lotes-app", 0, record, &seen);
    let pagos = plain_workers(&deployment, "pagos-app", 3, record, &seen);
    let list = serve_list(list_ip(&deployment), move || {
        let entries = pagos.iter().chain(&lotes);
        let mut entries: Vec<Vec<u8>> = entries.map(|w| w.entry("ready").into_bytes()).collect();
        if has_trouble {
            // Without `version` and `coldRemainingMs`.
            let worker = &pagos[0];
            let odd = format!(
                r#"{{"service":"lotes-app","address":"{}","zone":"{}","slots":6,"state":"ready","id":"{}"}}"#,
                worker.address,
                worker.zone,
                worker.listed().id
            );
            entries.insert(0, odd.into_bytes());
        }
        entries
    });
    begin(&mut deployment, list, record);
    let until = Instant::now() + Duration::from_secs(20);
    let mut id = 1;
    while Instant::now() < until {
        id += 1;
        let request = client_request("POST", "/book/2f", id, 1_500, b"plot=12");
        let to = deployment.front(id as usize % 2);
        send(record, to, &request, &format!("POST /book/2f {id:016x}"));
        thread::sleep(Duration::from_millis(100));
    }
    let arrivals = seen.arrivals.lock().unwrap().clone();
    let is_foreign =
        |a: &&crate::worker::Arrival| a.path.starts_with("/book/") && a.service != "lotes-app";
    let foreign: Vec<_> = arrivals.iter().filter(is_foreign).collect();
    if let Some(first) = foreign.first() {
        record.note(format!(
            "the first one: request {} at worker {}",
            first.request_id, first.worker
        ));
    }
    record.note(format!(
        "{} of {} bookings were run by a service that no configuration allows",
        foreign.len(),
        arrivals.len()
    ));
    !foreign.is_empty()
}

/// CONFIG: a route names an unknown service beside a split, and the configuration is acknowledged.
pub fn unknown_service(record: &Record, has_trouble: bool) -> bool {
    let mut deployment = Deployment::new();
    let seen = Seen::default();
    let lotes = plain_workers(&deployment, "lotes-app", 0, record, &seen);
    let list = serve_list(list_ip(&deployment), move || {
        lotes
            .iter()
            .map(|w| w.entry("ready").into_bytes())
            .collect()
    });
    begin(&mut deployment, list, record);
    let split = r#""trafficSplit":[{"service":"lotes-app","weight":1}]"#;
    let booking = match has_trouble {
        true => format!(r#""service":"lotes-ap",{split}"#),
        false => split.to_owned(),
    };
    let next = config(5, &booking);
    let ten = Duration::from_secs(10);
    let answer = deployment.operate(record, "POST", REPLACE, next.as_bytes(), ten);
    let status = answer.map_or(0, |a| a.status());
    let read = "/buckthorncleat/config/read";
    let read = deployment.operate(record, "GET", read, b"", ten);
    let body = read.map(|a| String::from_utf8_lossy(&a.body).into_owned());
    let is_in_force = body.is_some_and(|b| b.contains("\"version\":5,"));
    record.note(format!(
        "version 5: {status}; it is read back: {is_in_force}"
    ));
    if !has_trouble && (status != 200 || !is_in_force) {
        fail("a valid configuration was not acknowledged");
    }
    has_trouble && (status == 200 || is_in_force)
}

/// ORDER: workers end and are back at once under their names with newer software, before the list shows it.
pub fn reborn_version(record: &Record, has_trouble: bool) -> bool {
    const EVENTS: u64 = 120;
    let mut deployment = Deployment::new();
    let seen = Seen::default();
    let stages = [
        "prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "decode", "decode",
        "decode",
    ];
    let workers = stages.into_iter().enumerate().map(|(index, stage)| {
        let ip = deployment.worker_ip(index);
        let run = plan(|_| Run::Stream(EVENTS));
        Worker::start(
            "guia-llm",
            Some(stage),
            ZONES[index % 3],
            ip,
            record,
            &seen,
            run,
        )
    });
    let workers: Vec<Worker> = workers.collect();
    let listed = workers.clone();
    let list = serve_list(list_ip(&deployment), move || {
        listed
            .iter()
            .map(|w| w.entry("ready").into_bytes())
            .collect()
    });
    begin(&mut deployment, list, record);
    let fronts = [deployment.front(0), deployment.front(1)];
    let joined = Arc::new(Mutex::new((0, 0, 0)));
    let begun = Instant::now();
    // 13 streams a second, as on the site's sheet, until shortly before the workers end.
    let clients: Vec<_> = (0..40u64)
        .map(|n| {
            let (record, joined) = (record.clone(), Arc::clone(&joined));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(n * 1_000 / 13));
                let request = client_request("POST", &format!("/chat/s{n}"), n, 14_000, b"x");
                let to = fronts[n as usize % 2];
                let answer = send(&record, to, &request, &format!("stream {n}"));
                let mut joined = joined.lock().unwrap();
                joined.0 += 1;
                let Some(answer) = answer else { return };
                joined.1 += u64::from(answer.is_whole && answer.status() == 200);
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                if let (Some(_), Some(at)) = (text.find("data: v1"), text.find("data: v2")) {
                    joined.2 += 1;
                    let around = text[at.saturating_sub(30)..at + 12].replace('\n', "|");
                    record.note(format!("stream {n} holds events of two versions: {around}"));
                }
            })
        })
        .collect();
    if has_trouble {
        // Two of ten at a time.
        for (at_ms, pair) in [(4_000, [2, 3]), (4_500, [4, 5]), (5_000, [6, 7])] {
            thread::sleep(Duration::from_millis(at_ms).saturating_sub(begun.elapsed()));
            for index in pair {
                let worker = workers[index].clone();
                let next = Incarnation {
                    id: worker.listed().id,
                    version: "v2",
                };
                record.note(format!("worker {} ends", next.id));
                thread::spawn(move || worker.crash(Duration::from_millis(200), next));
            }
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let (sent, whole, joined) = *joined.lock().unwrap();
    record.note(format!(
        "{joined} of {sent} streams hold events of two versions; {whole} are whole"
    ));
    joined > 2
}

/// Deployments that play the case on recovery side by side.
const DEPLOYMENTS: u64 = 8;

/// `recoveryS`.
const RECOVERY_S: f64 = 12.0;

/// RECOVER: workers end one after the other right after a final fault. Broken if it is in one of several
/// deployments, which differ in the time of the first crash.
pub fn crash_after_fault(record: &Record, has_trouble: bool) -> bool {
    let deployments: Vec<_> = (0..DEPLOYMENTS)
        .map(|number| {
            let record = record.of_deployment(number);
            let first = Duration::from_millis(50 + 30 * number);
            thread::spawn(move || play_crash_after_fault(&record, has_trouble.then_some(first)))
        })
        .collect();
    let results = deployments.into_iter().map(|d| d.join().unwrap_or(false));
    let broken = results.filter(|is_broken| *is_broken).count();
    record.note(format!("broken in {broken} of {DEPLOYMENTS} deployments"));
    broken > 0
}

/// Plays one deployment; the first workers end `first` after the first run that follows the fault.
fn play_crash_after_fault(record: &Record, first: Option<Duration>) -> bool {
    let mut deployment = Deployment::new();
    let seen = Seen::default();
    let start = |index: usize| {
        let stage = if index < 2 { "prefill" } else { "decode" };
        let ip = deployment.worker_ip(index);
        let run = plan(|_| Run::Stream(40));
        Worker::start(
            "guia-llm",
            Some(stage),
            ZONES[index % 3],
            ip,
            record,
            &seen,
            run,
        )
    };
    let workers: Vec<Worker> = (0..12).map(start).collect();
    let listed = workers.clone();
    let list = serve_list(list_ip(&deployment), move || {
        listed
            .iter()
            .map(|w| w.entry("ready").into_bytes())
            .collect()
    });
    begin(&mut deployment, list, record);
    let fronts = [deployment.front(0), deployment.front(1)];
    let results: Arc<Mutex<Vec<(f64, bool)>>> = Arc::default();
    // 13 streams a second for 30 s, as on the site's sheet.
    let clients: Vec<_> = (0..390u64)
        .map(|n| {
            let (record, results) = (record.clone(), Arc::clone(&results));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(n * 1_000 / 13));
                let sent_at = record.now();
                let is_served = send_twice(&record, fronts, n);
                results.lock().unwrap().push((sent_at, is_served));
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    record.note("the final fault: all processes are killed");
    let fault_at = record.now();
    let processes = deployment
        .keepers
        .iter_mut()
        .chain(&mut deployment.gateways);
    let mut processes: Vec<_> = processes.collect();
    for process in &mut processes {
        process.kill();
    }
    thread::sleep(Duration::from_millis(800));
    for process in &mut processes {
        process.restart();
    }
    let back_at = record.now();
    record.note("all processes are back");
    if let Some(first) = first {
        let before = seen.arrivals.lock().unwrap().len();
        let has_run = || {
            seen.arrivals.lock().unwrap()[before..]
                .iter()
                .any(|a| a.runs)
        };
        while !has_run() && record.now() < back_at + RECOVERY_S {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(first);
        // Two of twelve at a time, for 2 s.
        for pair in workers[2..8].chunks(2) {
            for worker in pair.iter().cloned() {
                let next = Incarnation {
                    id: format!("{}-b", worker.listed().id),
                    version: "v1",
                };
                record.note(format!("worker {} ends", worker.listed().id));
                thread::spawn(move || worker.crash(Duration::from_secs(2), next));
            }
            thread::sleep(Duration::from_millis(150));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    let count = |from: f64, until: f64| {
        let sent: Vec<_> = results
            .iter()
            .filter(|(at, _)| (from..until).contains(at))
            .collect();
        (
            sent.iter().filter(|(_, is_served)| *is_served).count(),
            sent.len(),
        )
    };
    let (served_before, sent_before) = count(0.0, fault_at);
    let (served, sent) = count(back_at + RECOVERY_S, f64::MAX);
    record.note(format!(
        "{served_before} of {sent_before} streams served before the fault, {served} of {sent} of those sent later \
         than recoveryS"
    ));
    if served_before * 4 < sent_before {
        fail("too few streams were served before the fault");
    }
    served * 4 < sent
}

/// Sends a stream's request, and once more after a failure, as clients do.
fn send_twice(record: &Record, fronts: [SocketAddr; 2], n: u64) -> bool {
    for attempt in 0..2 {
        let path = format!("/chat/s{n}");
        let request = client_request("POST", &path, n * 2 + attempt + 1, 14_000, b"x");
        let to = fronts[(n + attempt) as usize % 2];
        let answer = send(record, to, &request, &format!("stream {n}"));
        if answer
            .as_ref()
            .is_some_and(|a| a.status() == 200 && a.is_whole)
        {
            return true;
        }
        let retry_after = answer.and_then(|a| a.header("retry-after")?.parse::<f64>().ok());
        // A third of the time left at most.
        let retry_after = retry_after.unwrap_or(0.2);
        if retry_after > 14.0 / 3.0 {
            return false;
        }
        thread::sleep(Duration::from_secs_f64(retry_after));
    }
    false
}
