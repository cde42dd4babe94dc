//! Runs one review case: the project's programs as processes, with stand-ins of the platform, the workers,
//! the operator and the clients around them. Only the standard library is used.
//!
//! `stand-in CASE FOLDER` writes `record.txt` into FOLDER and exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const HOST: &str = "ficu95.example";
const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const RECOVERY_MS: u64 = 12_000;
/// The events of a stream, one each 40 ms, and the one after which its run is preempted: 2 s after its start, so
/// that the longest reservation (`holdMs`) does not cover it any more.
const EVENTS: u64 = 80;
const PREEMPTED_AFTER: u64 = 50;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn add(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, line.into()));
    }
}

/// A request as a worker or the platform reads it.
struct Request {
    method: String,
    target: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.as_str())
    }
}

fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next()?.split(' ');
            let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
            let headers: HashMap<String, String> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            let length = headers
                .get("content-length")
                .and_then(|l| l.parse().ok())
                .unwrap_or(0);
            let mut body = buf[end + 4..].to_vec();
            while body.len() < length {
                let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
                body.extend_from_slice(&chunk[..n]);
            }
            return Some(Request {
                method,
                target,
                headers,
                body,
            });
        }
        let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&chunk[..n]);
    }
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(body);
}

/// The answer that a client got.
#[derive(Debug)]
struct Answer {
    status: u16,
    headers: String,
    body: Vec<u8>,
    /// Whether the answer came to its end as its framing says.
    is_complete: bool,
}

/// Sends one request over a connection of its own and reads the answer.
fn call(address: SocketAddr, request: &str, patience: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let end_by = Instant::now() + patience;
    let mut buf = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        if let Some(answer) = parse_answer(&buf) {
            if answer.is_complete {
                return Some(answer);
            }
        }
        let left = end_by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return parse_answer(&buf);
        }
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return parse_answer(&buf),
        }
    }
}

fn parse_answer(buf: &[u8]) -> Option<Answer> {
    let end = buf.windows(4).position(|w| w == b"\r\n\r\n")?;
    let headers = String::from_utf8_lossy(&buf[..end]).to_lowercase();
    let status = headers.split(' ').nth(1)?.parse().ok()?;
    let mut rest = &buf[end + 4..];
    if headers.contains("transfer-encoding: chunked") {
        let mut body = Vec::new();
        loop {
            let Some(line) = rest.windows(2).position(|w| w == b"\r\n") else {
                break;
            };
            let size = String::from_utf8_lossy(&rest[..line]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                break;
            };
            let Some(data) = rest.get(line + 2..line + 2 + size) else {
                break;
            };
            body.extend_from_slice(data);
            if size == 0 {
                return Some(Answer {
                    status,
                    headers,
                    body,
                    is_complete: true,
                });
            }
            rest = rest.get(line + 2 + size + 2..).unwrap_or(&[]);
        }
        return Some(Answer {
            status,
            headers,
            body,
            is_complete: false,
        });
    }
    let length = headers.split("content-length: ").nth(1);
    let length: usize = length.and_then(|l| l.split("\r\n").next()?.trim().parse().ok())?;
    Some(Answer {
        status,
        headers: headers.clone(),
        body: rest.to_vec(),
        is_complete: rest.len() >= length,
    })
}

/// A small deployment on loopback addresses of its own.
struct Deployment {
    net: String,
    folder: String,
    record: Record,
    children: Vec<(String, Option<Child>)>,
    /// Raw entries of the platform's list.
    list: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            if let Some(mut child) = child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

const KEEPERS: [&str; 3] = ["11", "12", "13"];
const ZONES: [&str; 3] = ["klang-a", "klang-b", "klang-c"];

impl Deployment {
    fn start(record: &Record, fronts: usize) -> Option<Self> {
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .ok()?
            .subsec_nanos()
            ^ std::process::id();
        // Addresses on which nothing listens yet.
        let net = (0..50).map(|i| {
            format!(
                "127.{}.{}",
                16 + (seed / 7 + i) % 200,
                1 + (seed / 1000 + i) % 250
            )
        });
        let net = net.into_iter().find(|net| {
            let free =
                |host: &str, port: u16| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok();
            KEEPERS
                .iter()
                .chain(&["21", "22"])
                .all(|h| free(h, 7600) && free(h, 9464))
                && free("200", 8225)
        })?;
        let folder = std::env::temp_dir().join(format!("review-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let list = Arc::new(Mutex::new(Vec::new()));
        let mut deployment = Self {
            folder: folder.to_string_lossy().into_owned(),
            net,
            record: record.clone(),
            children: Vec::new(),
            list: Arc::clone(&list),
        };
        serve_list(deployment.address("200", 8225), list)?;
        for i in 0..KEEPERS.len() {
            deployment
                .children
                .push((format!("core-{}-1", ZONES[i]), None));
        }
        for i in 0..fronts {
            deployment
                .children
                .push((format!("front-{}-1", ZONES[i]), None));
        }
        deployment.start_all(true);
        Some(deployment)
    }

    fn address(&self, host: &str, port: u16) -> SocketAddr {
        format!("{}.{host}:{port}", self.net).parse().unwrap()
    }

    fn front(&self, i: usize) -> SocketAddr {
        self.address(["21", "22"][i], 8221)
    }

    /// Starts the processes that do not run, with the commands of the deploy file.
    fn start_all(&mut self, bootstrap: bool) {
        for i in 0..self.children.len() {
            if self.children[i].1.is_some() {
                continue;
            }
            let name = self.children[i].0.clone();
            let is_keeper = i < KEEPERS.len();
            let (program, zone, host) = if is_keeper {
                (
                    "target/release/buckthorncleat-platform-control",
                    ZONES[i],
                    KEEPERS[i],
                )
            } else {
                let i = i - KEEPERS.len();
                (
                    "target/release/buckthorncleat-platform-gateway",
                    ZONES[i],
                    ["21", "22"][i],
                )
            };
            let settings = self.settings(&name, zone, host, is_keeper, bootstrap);
            let path = format!("{}/{name}.json", self.folder);
            std::fs::write(&path, settings).unwrap();
            let log = std::fs::File::options()
                .create(true)
                .append(true)
                .open(format!("{}/{name}.log", self.folder));
            let child = Command::new(program)
                .env_clear()
                .env("BUCKTHORNCLEAT_CONFIG", &path)
                .stdout(log.unwrap())
                .stderr(Stdio::null())
                .spawn();
            match child {
                Ok(child) => self.children[i].1 = Some(child),
                Err(e) => {
                    eprintln!("can't start {program}: {e}; run the build of the deploy file first");
                    std::process::exit(2);
                }
            }
        }
    }

    /// Kills all processes.
    fn kill_all(&mut self) {
        for (_, child) in &mut self.children {
            if let Some(mut child) = child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Adds the lines of the processes' logs that have a text to the record, for whoever looks for the cause.
    fn quote_logs(&self, text: &str) {
        for (name, _) in &self.children {
            let log =
                std::fs::read_to_string(format!("{}/{name}.log", self.folder)).unwrap_or_default();
            for line in log.lines().filter(|l| l.contains(text)) {
                self.record.add(format!("log of {name}: {line}"));
            }
        }
    }

    fn pid(&self, name: &str) -> u32 {
        let child = self.children.iter().find(|(n, _)| n == name);
        child.and_then(|(_, c)| c.as_ref()).map_or(0, |c| c.id())
    }

    fn settings(
        &self,
        name: &str,
        zone: &str,
        host: &str,
        is_keeper: bool,
        bootstrap: bool,
    ) -> String {
        let net = &self.net;
        let seeds: Vec<String> = KEEPERS
            .iter()
            .map(|h| format!("\"{net}.{h}:8229\""))
            .collect();
        let (listen, data, class) = if is_keeper {
            let data = format!("{}/{name}", self.folder);
            std::fs::create_dir_all(&data).unwrap();
            (
                format!("{{\"control\":\"{net}.{host}:8229\"}}"),
                format!("\"{data}\""),
                "core",
            )
        } else {
            let listen = format!(
                "{{\"front\":\"{net}.{host}:8221\",\"ready\":\"{net}.{host}:8224\",\"directory\":\"{net}.{host}:8220\"}}"
            );
            (listen, "null".to_owned(), "front")
        };
        format!(
            "{{\"nodeName\":\"{name}\",\"machineClass\":\"{class}\",\"ip\":\"{net}.{host}\",\"zone\":\"{zone}\",\
             \"region\":\"klang\",\"listen\":{listen},\"internalPorts\":[7600,7615],\"seeds\":[{}],\
             \"bootstrap\":{bootstrap},\"countsAsLoss\":{is_keeper},\"dataDir\":{data},\"discovery\":\"cloud\",\
             \"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"contactMs\":3000,\"drainMs\":3000,\"graceS\":8,\"configApplyMs\":2000,\
             \"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"budgetSlack\":58,\"quotaWindowS\":8,\"recoveryS\":12,\
             \"ttl_max_s\":5}},\"cloud\":{{\"address\":\"{net}.200:8225\",\"ratePerS\":47.0,\"duties\":[],\
             \"maxLagMs\":800}}}}",
            seeds.join(",")
        )
    }

    /// Sends a configuration to the members in turn until one acknowledges it.
    fn configure(&self, config: &str) -> bool {
        let end_by = Instant::now() + ms(15_000);
        let mut turn = 0;
        while Instant::now() < end_by {
            let mut address = self.address(KEEPERS[turn % KEEPERS.len()], 8229);
            turn += 1;
            for _ in 0..3 {
                let request = format!(
                    "POST /buckthorncleat/config/replace HTTP/1.1\r\nHost: {address}\r\n\
                     Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{config}",
                    config.len()
                );
                let Some(answer) = call(address, &request, ms(1_000)) else {
                    break;
                };
                if answer.status == 200 {
                    self.record
                        .add(format!("operator: configuration acknowledged by {address}"));
                    return true;
                }
                let location = answer.headers.split("location: http://").nth(1);
                let next = location.and_then(|l| l.split('/').next()?.parse().ok());
                match next.filter(|_| answer.status == 307) {
                    Some(next) => address = next,
                    None => break,
                }
            }
            thread::sleep(ms(200));
        }
        false
    }

    /// Waits until the platform's readiness calls say that all routers are ready.
    fn wait_until_ready(&self) -> bool {
        let end_by = Instant::now() + ms(15_000);
        let fronts = self.children.len() - KEEPERS.len();
        while Instant::now() < end_by {
            let is_ready = |i: usize| {
                let address = self.address(["21", "22"][i], 8224);
                let request = "GET /buckthorncleat/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                call(address, request, ms(1_000)).is_some_and(|a| a.status == 200)
            };
            if (0..fronts).all(is_ready) {
                return true;
            }
            thread::sleep(ms(100));
        }
        false
    }
}

/// The platform's list; the entries are sent as they are.
fn serve_list(address: SocketAddr, list: Arc<Mutex<Vec<Vec<u8>>>>) -> Option<()> {
    let listener = TcpListener::bind(address).ok()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = Arc::clone(&list);
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                if read_request(&mut stream).is_none() {
                    return;
                }
                let entries = list.lock().unwrap().join(&b","[..]);
                let body = [&b"{\"instances\":["[..], &entries, b"],\"next\":null}"].concat();
                respond(
                    &mut stream,
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    &body,
                );
            });
        }
    });
    Some(())
}

fn entry(
    id: &str,
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    stage: &str,
) -> Vec<u8> {
    let stage = if stage.is_empty() {
        String::new()
    } else {
        format!("\"stage\":\"{stage}\",")
    };
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis();
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,{stage}\"born\":{born},\"id\":\"{id}\"}}"
    )
    .into_bytes()
}

/// The parts of a configuration; `routes` are those of the case.
fn config(routes: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{routes}],\"services\":[{{\"name\":\"kedai\",\"healthPath\":\"/health\",\
         \"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"dapur\",\"healthPath\":\"/health\",\
         \"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kvCapacityTokens\":37563,\"kvTokenBytes\":163840,\"linkMbps\":1200000.0,\"moves\":true,\"backups\":true,\
         \"stride\":11,\"most\":12,\"handleTtlS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\
         \"apiKeys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"token_stream\",\"plainTokens\":200,\
         \"ratePerS\":498170,\"burst\":498170}}]}}"
    )
}

fn route(prefix: &str, kind: &str, service: &str, timeout: u64, target: u64, rest: &str) -> String {
    format!(
        "{{\"name\":\"r{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":1,\"service\":\"{service}\",\
         \"public\":false,{rest}}}",
        prefix.trim_matches('/')
    )
}

fn request(method: &str, target: &str, id: &str, deadline: u64, more: &str, body: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n\
         Authorization: Bearer {KEY}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A worker of the plain service that can crash: it is gone for some seconds and comes back with a new id.
struct Plain {
    index: usize,
    address: SocketAddr,
    zone: &'static str,
    starts: AtomicU64,
    is_down: AtomicBool,
}

impl Plain {
    fn id(&self) -> String {
        format!("i-{}{:07x}", self.index, self.starts.load(SeqCst))
    }
}

type Workers = Arc<Vec<Plain>>;

/// Publishes the entries of the plain workers, `lag` after a change.
fn publish(workers: &Workers, list: &Arc<Mutex<Vec<Vec<u8>>>>, more: &[Vec<u8>]) {
    let mut entries: Vec<Vec<u8>> = workers
        .iter()
        .map(|w| entry(&w.id(), "kedai", w.address, w.zone, 6, ""))
        .collect();
    entries.extend_from_slice(more);
    *list.lock().unwrap() = entries;
}

/// Serves requests at one plain worker; `crashes` says which targets crash it.
fn serve_plain(
    workers: Workers,
    index: usize,
    list: Arc<Mutex<Vec<Vec<u8>>>>,
    record: Record,
    crashes: fn(&str) -> bool,
    runs: Arc<Mutex<Vec<(u64, String, String)>>>,
) {
    thread::spawn(move || {
        loop {
            let worker = &workers[index];
            let Ok(listener) = TcpListener::bind(worker.address) else {
                thread::sleep(ms(20));
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            let generation = worker.starts.load(SeqCst);
            while worker.starts.load(SeqCst) == generation && !worker.is_down.load(SeqCst) {
                let Ok((mut stream, _)) = listener.accept() else {
                    thread::sleep(ms(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let (workers, record, runs) =
                    (Arc::clone(&workers), record.clone(), Arc::clone(&runs));
                thread::spawn(move || {
                    let worker = &workers[index];
                    let Some(req) = read_request(&mut stream) else {
                        return;
                    };
                    let is_same =
                        || worker.starts.load(SeqCst) == generation && !worker.is_down.load(SeqCst);
                    if !is_same() {
                        return;
                    }
                    if !req.header("expect-instance").is_empty()
                        && req.header("expect-instance") != worker.id()
                    {
                        let headers = format!(
                            "Instance-Id: {}\r\nRequest-Id: {}\r\n",
                            worker.id(),
                            req.header("request-id")
                        );
                        respond(&mut stream, "421 Misdirected Request", &headers, b"");
                        return;
                    }
                    let id = req.header("request-id").to_owned();
                    runs.lock()
                        .unwrap()
                        .push((record.now(), id.clone(), req.target.clone()));
                    if crashes(&req.target) {
                        record.add(format!(
                            "worker {} begins to run {id} {} and crashes",
                            worker.id(),
                            req.target
                        ));
                        worker.is_down.store(true, SeqCst);
                        return;
                    }
                    thread::sleep(ms(20));
                    if is_same() {
                        let headers = format!(
                            "Request-Id: {id}\r\nResponse-Signature: {}.{id}\r\n",
                            worker.id()
                        );
                        respond(&mut stream, "200 OK", &headers, req.target.as_bytes());
                    }
                });
            }
            drop(listener);
            // Down for two seconds; the list shows the new start half a second later.
            thread::sleep(ms(2_000));
            worker.starts.fetch_add(1, SeqCst);
            worker.is_down.store(false, SeqCst);
            record.add(format!("worker {} is back", worker.id()));
            let (workers, list) = (Arc::clone(&workers), Arc::clone(&list));
            thread::spawn(move || {
                thread::sleep(ms(500));
                publish(&workers, &list, &[]);
            });
        }
    });
}

fn start_plain(
    deployment: &Deployment,
    crashes: fn(&str) -> bool,
) -> (Workers, Arc<Mutex<Vec<(u64, String, String)>>>) {
    let workers: Workers = Arc::new(
        (0..3)
            .map(|index| Plain {
                index,
                address: deployment.address(&format!("{}", 101 + index), 8080),
                zone: ZONES[index],
                starts: AtomicU64::new(1),
                is_down: AtomicBool::new(false),
            })
            .collect(),
    );
    let runs = Arc::new(Mutex::new(Vec::new()));
    for index in 0..workers.len() {
        let (workers, list) = (Arc::clone(&workers), Arc::clone(&deployment.list));
        serve_plain(
            workers,
            index,
            list,
            deployment.record.clone(),
            crashes,
            Arc::clone(&runs),
        );
    }
    publish(&workers, &deployment.list, &[]);
    (workers, runs)
}

/// BUDGET: a request that crashes workers, beside others of the same path with other queries.
fn poison(record: &Record, trouble: bool) -> Option<bool> {
    const POISON: &str = "/shop/stock?sku=666";
    let deployment = Deployment::start(record, 2)?;
    let (_, runs) = start_plain(
        &deployment,
        if trouble {
            |target| target == POISON
        } else {
            |_| false
        },
    );
    let path = if std::env::var("OTHER_PATH").is_ok() {
        "/shop/other"
    } else {
        "/shop/stock"
    };
    let rest = "\"maxAttempts\":2,\"sessionAffinity\":false,\"resumable\":false";
    if !deployment.configure(&config(&route("/shop/", "safe", "kedai", 1_500, 300, rest)))
        || !deployment.wait_until_ready()
    {
        return None;
    }
    thread::sleep(ms(2_000));
    let stop = Arc::new(AtomicBool::new(false));
    let (served, asked) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut clients = Vec::new();
    for client in 0..4 {
        let (front, stop) = (deployment.front(client % 2), Arc::clone(&stop));
        let (served, asked) = (Arc::clone(&served), Arc::clone(&asked));
        clients.push(thread::spawn(move || {
            let mut n = 0;
            while !stop.load(SeqCst) {
                n += 1;
                let target = format!("{path}?sku={}", n % 50);
                let req = request("GET", &target, &format!("s{client}-{n}"), 1_500, "", "");
                let answer = call(front, &req, ms(1_500));
                asked.fetch_add(1, SeqCst);
                if answer.is_some_and(|a| a.status == 200) {
                    served.fetch_add(1, SeqCst);
                }
                thread::sleep(ms(200));
            }
        }));
    }
    thread::sleep(ms(2_000));
    let mut sent = HashMap::new();
    for n in 0..20 {
        let id = format!("p{n}");
        let at = record.now();
        sent.insert(id.clone(), at);
        let req = request("GET", POISON, &id, 1_500, "", "");
        let status = call(deployment.front(n % 2), &req, ms(1_500)).map_or(0, |a| a.status);
        record.add(format!(
            "client: {id} {POISON} sent at {at} ms to front {}, answered {status}",
            n % 2
        ));
        thread::sleep(ms(3_000).saturating_sub(ms(record.now() - at)));
    }
    stop.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().unwrap();
    let crashes: Vec<&(u64, String, String)> =
        runs.iter().filter(|r| trouble && r.2 == POISON).collect();
    let (served, asked) = (served.load(SeqCst), asked.load(SeqCst));
    record.add(format!(
        "other lookups: {served} of {asked} served; runs of {POISON} that crashed a worker: {}",
        crashes.len()
    ));
    let Some(third) = crashes.get(2).map(|c| c.0) else {
        record.add("verdict: held; it crashed fewer than three workers");
        return Some(false);
    };
    let mut retries: Vec<&String> = crashes
        .iter()
        .filter(|c| sent.get(&c.1).is_some_and(|at| *at > third + CONTACT_MS))
        .map(|c| &c.1)
        .collect();
    retries.dedup();
    record.add(format!(
        "third crash at {third} ms; retries sent later than {CONTACT_MS} ms after it that reached workers: {} (at most 3 are allowed)",
        retries.len()
    ));
    Some(retries.len() > 3)
}

/// RECOVER: the list has an entry whose bytes can't be read, and all processes are killed.
fn odd_entry(record: &Record, trouble: bool) -> Option<bool> {
    let mut deployment = Deployment::start(record, 2)?;
    let (workers, _) = start_plain(&deployment, |_| false);
    let rest = "\"maxAttempts\":2,\"sessionAffinity\":false,\"resumable\":false";
    if !deployment.configure(&config(&route("/shop/", "safe", "kedai", 1_500, 300, rest)))
        || !deployment.wait_until_ready()
    {
        return None;
    }
    thread::sleep(ms(2_000));
    let ask = |deployment: &Deployment, name: &str, count: usize| {
        let mut served = 0;
        let mut statuses: HashMap<u16, usize> = HashMap::new();
        for n in 0..count {
            let req = request("GET", "/shop/stock/1", &format!("{name}{n}"), 1_500, "", "");
            let status = call(deployment.front(n % 2), &req, ms(1_500)).map_or(0, |a| a.status);
            *statuses.entry(status).or_default() += 1;
            served += usize::from(status == 200);
            thread::sleep(ms(50));
        }
        record.add(format!(
            "clients: {served} of {count} served {name}; by status {statuses:?}"
        ));
        served as f64 / count as f64
    };
    let before = ask(&deployment, "before-the-entry-", 100);
    if trouble {
        publish(&workers, &deployment.list, &[vec![0xff, 0xfe, 0x9c]]);
        record.add("platform: the list has another entry, of the bytes ff fe 9c");
    }
    thread::sleep(ms(2_000));
    let beside = ask(&deployment, "beside-the-entry-", 100);
    deployment.kill_all();
    record.add("all processes killed");
    thread::sleep(ms(800));
    deployment.start_all(false);
    record.add("all processes started again");
    thread::sleep(ms(RECOVERY_MS + 500));
    let after = ask(&deployment, "after-recoveryS-", 200);
    if before < 0.25 || beside < 0.25 {
        return None;
    }
    Some(after < 0.25)
}

/// A decode worker of which one has no memory left, and the other preempts a run in its middle.
fn serve_decode(
    address: SocketAddr,
    id: &'static str,
    is_full: bool,
    pause: Arc<AtomicU64>,
    record: Record,
    broken: Arc<Mutex<Vec<(u64, String, u64)>>>,
) {
    let listener = TcpListener::bind(address).unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, pause, broken) = (record.clone(), Arc::clone(&pause), Arc::clone(&broken));
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let Some(req) = read_request(&mut stream) else {
                    return;
                };
                let request_id = req.header("request-id").to_owned();
                let named = format!("Request-Id: {request_id}\r\n");
                if req.target.starts_with("/buckthorncleat/hold-drop/") {
                    return respond(&mut stream, "200 OK", "", b"");
                }
                if req.target == "/buckthorncleat/hold-take" {
                    if is_full {
                        return respond(
                            &mut stream,
                            "503 Service Unavailable",
                            "Not-Executed: 1\r\n",
                            b"",
                        );
                    }
                    let _ = &req.body;
                    return respond(
                        &mut stream,
                        "200 OK",
                        "Content-Type: application/json\r\n",
                        b"{\"hold\":\"h1\"}",
                    );
                }
                if is_full {
                    let headers = format!("{named}Not-Executed: 1\r\n");
                    record.add(format!("worker {id} is full and rejects {request_id}"));
                    return respond(&mut stream, "503 Service Unavailable", &headers, b"");
                }
                record.add(format!("worker {id} runs {} {request_id}", req.method));
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{named}Response-Signature: {id}.{request_id}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                let mut sent = stream.write_all(head.as_bytes()).is_ok();
                let first = req.header("last-event-id").parse().unwrap_or(0) + 1;
                for event in first..=EVENTS {
                    if event == PREEMPTED_AFTER + 1 && pause.load(SeqCst) > 0 {
                        let time = pause.load(SeqCst);
                        record.add(format!("worker {id} preempts {request_id} after event {PREEMPTED_AFTER} and goes on with it in {time} ms"));
                        let begun = Instant::now();
                        // The end of the connection shows in a read.
                        let _ = stream.set_read_timeout(Some(ms(time)));
                        if matches!(stream.read(&mut [0]), Ok(0)) {
                            let after = begun.elapsed().as_millis() as u64;
                            record.add(format!("worker {id}: the router closed the connection of {request_id} after {after} ms without an event"));
                            broken
                                .lock()
                                .unwrap()
                                .push((record.now(), request_id.clone(), after));
                            return;
                        }
                    }
                    let text = format!("id: {event}\ndata: piece {event}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    sent = sent && stream.write_all(chunk.as_bytes()).is_ok();
                    thread::sleep(ms(40));
                }
                if sent && stream.write_all(b"0\r\n\r\n").is_ok() {
                    record.add(format!("worker {id} has sent all events of {request_id}"));
                }
                let _ = stream.shutdown(Shutdown::Write);
            });
        }
    });
}

/// LOST: around SIGHUP, streams whose worker pauses are cut though nobody can take them up.
fn silent(record: &Record, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record, 1)?;
    let pause = Arc::new(AtomicU64::new(0));
    let broken = Arc::new(Mutex::new(Vec::new()));
    let (d1, d2) = (
        deployment.address("101", 8080),
        deployment.address("102", 8080),
    );
    serve_decode(
        d1,
        "i-00000d1",
        false,
        Arc::clone(&pause),
        record.clone(),
        Arc::clone(&broken),
    );
    serve_decode(
        d2,
        "i-00000d2",
        true,
        Arc::clone(&pause),
        record.clone(),
        Arc::clone(&broken),
    );
    *deployment.list.lock().unwrap() = vec![
        entry("i-00000d1", "dapur", d1, ZONES[0], 64, "decode"),
        entry("i-00000d2", "dapur", d2, ZONES[1], 64, "decode"),
    ];
    let rest = "\"maxAttempts\":2,\"sessionAffinity\":true,\"resumable\":true,\"targetGapMs\":300";
    if !deployment.configure(&config(&route(
        "/chat/",
        "streaming",
        "dapur",
        14_000,
        900,
        rest,
    ))) || !deployment.wait_until_ready()
    {
        return None;
    }
    thread::sleep(ms(2_500));
    if trouble {
        // A second or so, and less than what a client waits for: the longest of 2 s, four times the objective and
        // eight times the pause.
        pause.store(1_600, SeqCst);
    }
    let pid = deployment.pid("front-klang-a-1");
    let mut cut = 0;
    let mut complete = 0;
    for n in 0..5 {
        let hup = Command::new("sh")
            .args(["-c", &format!("kill -HUP {pid}")])
            .status();
        if !hup.is_ok_and(|s| s.success()) {
            return None;
        }
        record.add("SIGHUP to the router");
        thread::sleep(ms(300));
        let id = format!("c{n}");
        let more =
            "Model: m\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\n";
        let req = request("POST", "/chat/2f", &id, 14_000, more, "hello");
        let sent = record.now();
        let answer = call(deployment.front(0), &req, ms(14_000));
        let took = record.now() - sent;
        let (status, is_complete, body) = answer.map_or((0, false, Vec::new()), |a| {
            (a.status, a.is_complete, a.body)
        });
        let events = String::from_utf8_lossy(&body).matches("data: ").count();
        record.add(format!("client: {id} sent at {sent} ms, {took} ms later status {status}, {events} of {EVENTS} events, complete: {is_complete}"));
        let closed_by_router = broken.lock().unwrap().iter().any(|(_, b, _)| *b == id);
        if is_complete && status == 200 {
            complete += 1;
        } else if closed_by_router && took < 9_000 {
            cut += 1;
        }
        thread::sleep(ms(500));
    }
    record.add(format!("streams complete: {complete}; cut by the router while their worker was at work, around SIGHUP (configApplyMs {CONFIG_APPLY_MS}): {cut}"));
    Some(cut > 0)
}

/// REFUSED: workers that have begun an order fail it with a 503 that does not say `Not-Executed`.
fn refused(record: &Record, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record, 2)?;
    let runs = Arc::new(Mutex::new(Vec::<(String, String)>::new()));
    let mut entries = Vec::new();
    for index in 0..3 {
        let address = deployment.address(&format!("{}", 101 + index), 8080);
        let id = format!("i-{index}000001");
        entries.push(entry(&id, "kedai", address, ZONES[index], 6, ""));
        let listener = TcpListener::bind(address).ok()?;
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        thread::spawn(move || {
            for (n, stream) in listener.incoming().flatten().enumerate() {
                let (record, runs, id) = (record.clone(), Arc::clone(&runs), id.clone());
                thread::spawn(move || {
                    let mut stream = stream;
                    let Some(req) = read_request(&mut stream) else {
                        return;
                    };
                    let request_id = req.header("request-id").to_owned();
                    let order = String::from_utf8_lossy(&req.body).into_owned();
                    runs.lock()
                        .unwrap()
                        .push((request_id.clone(), order.clone()));
                    thread::sleep(ms(30));
                    let headers = format!(
                        "Request-Id: {request_id}\r\nResponse-Signature: {id}.{request_id}\r\n"
                    );
                    if trouble && n % 3 == 2 {
                        record.add(format!("worker {id} runs {request_id} ({order}) and fails it at its end with 503, without Not-Executed"));
                        respond(
                            &mut stream,
                            "503 Service Unavailable",
                            &headers,
                            b"the warehouse does not answer",
                        );
                    } else {
                        record.add(format!("worker {id} runs {request_id} ({order})"));
                        respond(&mut stream, "200 OK", &headers, b"recorded");
                    }
                });
            }
        });
    }
    *deployment.list.lock().unwrap() = entries;
    let rest = "\"maxAttempts\":1,\"sessionAffinity\":false,\"resumable\":false";
    if !deployment.configure(&config(&route(
        "/order/", "unsafe", "kedai", 1_500, 300, rest,
    ))) || !deployment.wait_until_ready()
    {
        return None;
    }
    thread::sleep(ms(2_500));
    let mut answers = Vec::new();
    for n in 0..60 {
        // One retry after a promise, as the sheet has it.
        for attempt in 0..2 {
            let id = format!("o{n}-{attempt}");
            let req = request("POST", "/order/2f", &id, 1_500, "", &format!("order {n}"));
            let status =
                call(deployment.front((n + attempt) % 2), &req, ms(1_500)).map_or(0, |a| a.status);
            record.add(format!("client: {id} (order {n}) answered {status}"));
            answers.push((id, status));
            if ![408, 421, 429, 503].contains(&status) {
                break;
            }
        }
        thread::sleep(ms(50));
    }
    let runs = runs.lock().unwrap();
    let has_run = |id: &String| runs.iter().any(|(run, _)| run == id);
    let broken = answers
        .iter()
        .filter(|(id, status)| [408, 421, 429, 503].contains(status) && has_run(id))
        .count();
    let mut orders: HashMap<&String, usize> = HashMap::new();
    for (_, order) in runs.iter() {
        *orders.entry(order).or_default() += 1;
    }
    let doubled = orders.values().filter(|n| **n > 1).count();
    record.add(format!("requests that were answered with a promise and had run: {broken}; orders that ran more than once: {doubled} of 60"));
    Some(broken > 0)
}

/// CONFIG: a configuration is acknowledged though a route names a service that it does not have.
fn invalid(record: &Record, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(record, 1)?;
    let (_, _) = start_plain(&deployment, |_| false);
    let rest = "\"maxAttempts\":2,\"sessionAffinity\":false,\"resumable\":false,\
                \"trafficSplit\":[{\"service\":\"kedai\",\"weight\":100}]";
    let named = if trouble { "nobody" } else { "kedai" };
    let valid = config(&route("/shop/", "safe", "kedai", 1_500, 300, rest));
    if !deployment.configure(&valid) || !deployment.wait_until_ready() {
        return None;
    }
    let routes = [
        route("/shop/", "safe", "kedai", 1_500, 300, rest),
        route("/late/", "safe", named, 1_500, 300, rest),
    ];
    let next = config(&routes.join(",")).replacen("\"version\":7", "\"version\":8", 1);
    let is_acknowledged = deployment.configure(&next);
    record.add(format!("operator: version 8, in which a route names the service `{named}`, acknowledged: {is_acknowledged}"));
    if !trouble {
        return Some(!is_acknowledged);
    }
    thread::sleep(ms(2_500));
    let status = call(
        deployment.front(0),
        &request("GET", "/late/1", "l1", 1_500, "", ""),
        ms(1_500),
    )
    .map_or(0, |a| a.status);
    record.add(format!(
        "client: a request on that route is answered {status}"
    ));
    Some(is_acknowledged)
}

/// RECOVER: all streams share a part of their prompt, and some workers lose answers for a few seconds.
fn preamble(record: &Record, trouble: bool) -> Option<bool> {
    const WORKERS: usize = 10;
    /// The site's largest dose of `answer_lost`: three fifths of the workers lose four answers in ten, for 4 s.
    const FAULTY: usize = 6;
    const LOST_OF_TEN: usize = 4;
    let mut deployment = Deployment::start(record, 2)?;
    let is_faulty = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let mut entries = Vec::new();
    for index in 0..WORKERS {
        let address = deployment.address(&format!("{}", 101 + index), 8080);
        let id = format!("i-{index}000001");
        entries.push(entry(&id, "dapur", address, ZONES[index % 3], 64, "decode"));
        let listener = TcpListener::bind(address).ok()?;
        let (is_faulty, lost, record) = (Arc::clone(&is_faulty), Arc::clone(&lost), record.clone());
        let runs = Arc::new(AtomicUsize::new(index * 3));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (is_faulty, lost, record, id) = (
                    Arc::clone(&is_faulty),
                    Arc::clone(&lost),
                    record.clone(),
                    id.clone(),
                );
                let runs = Arc::clone(&runs);
                thread::spawn(move || {
                    let mut stream = stream;
                    let _ = stream.set_nodelay(true);
                    let Some(req) = read_request(&mut stream) else {
                        return;
                    };
                    if req.target.starts_with("/buckthorncleat/hold-drop/") {
                        return respond(&mut stream, "200 OK", "", b"");
                    }
                    if req.target == "/buckthorncleat/hold-take" {
                        return respond(
                            &mut stream,
                            "200 OK",
                            "Content-Type: application/json\r\n",
                            b"{\"hold\":\"h1\"}",
                        );
                    }
                    let request_id = req.header("request-id").to_owned();
                    // Spread evenly: 0, 7, 4, 1, 8, 5, 2, 9, 6, 3 of each ten.
                    let draw = runs.fetch_add(1, SeqCst) * 7 % 10;
                    // 3,200 prompt tokens at half of 33.3 tokens a millisecond, and 36 ms to the first event.
                    thread::sleep(ms(228));
                    if index < FAULTY && is_faulty.load(SeqCst) && draw < LOST_OF_TEN {
                        lost.fetch_add(1, SeqCst);
                        record.add(format!(
                            "worker {id} runs {request_id} and loses its answer"
                        ));
                        return;
                    }
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: {id}.{request_id}\r\n\
                         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    );
                    let _ = stream.write_all(head.as_bytes());
                    let first = req.header("last-event-id").parse().unwrap_or(0) + 1;
                    for event in first..=40u64 {
                        let text = format!("id: {event}\ndata: piece {event}\n\n");
                        if stream
                            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                            .is_err()
                        {
                            return;
                        }
                        thread::sleep(ms(40));
                    }
                    let _ = stream.write_all(b"0\r\n\r\n");
                    let _ = stream.shutdown(Shutdown::Write);
                });
            }
        });
    }
    *deployment.list.lock().unwrap() = entries;
    let rest = "\"maxAttempts\":2,\"sessionAffinity\":true,\"resumable\":true,\"targetGapMs\":300";
    if !deployment.configure(&config(&route(
        "/chat/",
        "streaming",
        "dapur",
        14_000,
        900,
        rest,
    ))) || !deployment.wait_until_ready()
    {
        return None;
    }
    thread::sleep(ms(2_500));
    let number = Arc::new(AtomicUsize::new(0));
    // Streams at the rate of the sheet, 13 a second, for a time; returns the share that is served.
    let all_fronts = [deployment.front(0), deployment.front(1)];
    let stream_for = |name: &str, time: u64| {
        let end_by = record.now() + time;
        let mut clients = Vec::new();
        while record.now() < end_by {
            let n = number.fetch_add(1, SeqCst);
            let fronts = [all_fronts[n % 2], all_fronts[(n + 1) % 2]];
            clients.push(thread::spawn(move || {
                let mut last = (0, false);
                // One retry, as the sheet has it: at another router, after a failure at once, after a refusal when
                // the router says, and after a second when no router could be reached.
                for (attempt, front) in fronts.into_iter().enumerate() {
                    let more = format!("Model: m\r\nToken-Usage: 3200,71\r\nPrompt-Prefix: 5c1e07a2:200,{:08x}:3000\r\n", 0x91bd_0000 + n);
                    let id = format!("c{n}-{attempt}");
                    let answer = call(front, &request("POST", "/chat/2f", &id, 14_000, &more, &format!("question {n}")), ms(14_000));
                    let wait = match &answer {
                        None => 1.0,
                        Some(a) if a.status == 200 && a.is_complete => return (200, true),
                        Some(a) => {
                            let after = a.headers.split("retry-after: ").nth(1).and_then(|v| v.split("\r\n").next());
                            after.and_then(|v| v.trim().parse().ok()).unwrap_or(0.0)
                        }
                    };
                    last = (answer.map_or(0, |a| a.status), false);
                    // Clients honour it up to a third of the time that they have left.
                    thread::sleep(Duration::from_secs_f64(f64::min(wait, 4.6)));
                }
                last
            }));
            thread::sleep(ms(77));
        }
        let answers: Vec<(u16, bool)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
        let served = answers.iter().filter(|(_, is_served)| *is_served).count();
        let mut statuses: HashMap<u16, usize> = HashMap::new();
        for (status, _) in &answers {
            *statuses.entry(*status).or_default() += 1;
        }
        record.add(format!(
            "clients: {served} of {} served {name}; by status {statuses:?}",
            answers.len()
        ));
        served as f64 / answers.len() as f64
    };
    let before = stream_for("before the final fault", 10_000);
    thread::scope(|scope| {
        scope.spawn(|| stream_for("around the final fault", 4_000));
        is_faulty.store(trouble, SeqCst);
        record.add(format!("workers lose answers from now on: {trouble}"));
        thread::sleep(ms(200));
        deployment.kill_all();
        record.add("all processes killed");
        thread::sleep(ms(800));
        deployment.start_all(false);
        record.add("all processes started again");
        thread::sleep(ms(3_000));
        is_faulty.store(false, SeqCst);
        record.add(format!(
            "no worker loses answers any more; lost: {}",
            lost.load(SeqCst)
        ));
        thread::sleep(ms(RECOVERY_MS - 3_000 + 500));
    });
    let after = stream_for("later than recoveryS after the processes are back", 10_000);
    deployment.quote_logs("\"event\":\"quarantined\"");
    if before < 0.25 {
        return None;
    }
    Some(after < 0.25)
}

/// LOST: many clients send large bodies at once, and the platform kills a process that uses more than its memory.
fn bodies(record: &Record, trouble: bool) -> Option<bool> {
    /// `memoryMb` of a front machine of the site.
    const MEMORY_KB: u64 = 110 * 1024;
    /// As many clients as the least of the site's zones has.
    const CLIENTS: usize = 20;
    let mut deployment = Deployment::start(record, 1)?;
    let mut entries = Vec::new();
    for index in 0..3 {
        let address = deployment.address(&format!("{}", 101 + index), 8080);
        let id = format!("i-{index}000001");
        entries.push(entry(&id, "kedai", address, ZONES[index], 60, ""));
        let listener = TcpListener::bind(address).ok()?;
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let id = id.clone();
                thread::spawn(move || {
                    let mut stream = stream;
                    let Some(req) = read_request(&mut stream) else {
                        return;
                    };
                    thread::sleep(ms(if req.target == "/look/slow" {
                        4_000
                    } else {
                        60
                    }));
                    let request_id = req.header("request-id").to_owned();
                    let headers = format!(
                        "Request-Id: {request_id}\r\nResponse-Signature: {id}.{request_id}\r\n"
                    );
                    respond(&mut stream, "200 OK", &headers, b"done");
                });
            }
        });
    }
    *deployment.list.lock().unwrap() = entries;
    let rest = "\"maxAttempts\":1,\"sessionAffinity\":false,\"resumable\":false";
    let routes = [
        route("/look/", "safe", "kedai", 8_000, 6_000, rest),
        route("/order/", "unsafe", "kedai", 8_000, 300, rest),
    ];
    if !deployment.configure(&config(&routes.join(","))) || !deployment.wait_until_ready() {
        return None;
    }
    thread::sleep(ms(2_500));
    let front = deployment.front(0);
    let mut lookups = Vec::new();
    for n in 0..10 {
        // The second request of a kept connection; 0 for no answer.
        lookups.push(thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect(front) else {
                return 0;
            };
            let _ = stream.set_read_timeout(Some(ms(8_000)));
            let mut status = 0;
            for (target, id) in [
                ("/look/quick", format!("q{n}")),
                ("/look/slow", format!("l{n}")),
            ] {
                if stream
                    .write_all(request("GET", target, &id, 8_000, "", "").as_bytes())
                    .is_err()
                {
                    return 0;
                }
                let mut buf = Vec::new();
                let mut chunk = [0; 1024];
                status = loop {
                    if let Some(answer) = parse_answer(&buf).filter(|a| a.is_complete) {
                        break answer.status;
                    }
                    match stream.read(&mut chunk) {
                        Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
                        _ => return 0,
                    }
                };
            }
            status
        }));
    }
    thread::sleep(ms(500));
    let mut orders = Vec::new();
    for n in 0..if trouble { CLIENTS } else { 0 } {
        orders.push(thread::spawn(move || {
            // maxBodyBytes of the configuration.
            let body = "b".repeat(4_194_304);
            let text = request("POST", "/order/1", &format!("o{n}"), 8_000, "", &body);
            let Ok(mut stream) = TcpStream::connect(front) else {
                return 0;
            };
            // 4 MiB within a second, as over a link of 34 Mbit/s.
            for part in text.as_bytes().chunks(text.len() / 50) {
                if stream.write_all(part).is_err() {
                    return 0;
                }
                thread::sleep(ms(20));
            }
            let _ = stream.set_read_timeout(Some(ms(8_000)));
            let mut buf = [0; 64];
            let n = stream.read(&mut buf).unwrap_or(0);
            String::from_utf8_lossy(&buf[..n])
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .unwrap_or(0)
        }));
    }
    let pid = deployment.pid("front-klang-a-1");
    let (mut most, mut killed) = (0, false);
    let end_by = record.now() + 5_000;
    while record.now() < end_by {
        // Memory of its own only, without the pages of its program file.
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let rss = status
            .lines()
            .find_map(|l| {
                l.strip_prefix("RssAnon:")?
                    .trim()
                    .split(' ')
                    .next()?
                    .parse()
                    .ok()
            })
            .unwrap_or(0);
        most = most.max(rss);
        if rss > MEMORY_KB && !killed {
            killed = true;
            record.add(format!(
                "platform: the router uses {rss} kB, more than its {MEMORY_KB}; killed"
            ));
            let child = deployment
                .children
                .iter_mut()
                .find(|(name, _)| name == "front-klang-a-1");
            if let Some(child) = child.and_then(|(_, c)| c.as_mut()) {
                let _ = child.kill();
            }
        }
        thread::sleep(ms(10));
    }
    let lookups: Vec<u16> = lookups.into_iter().map(|l| l.join().unwrap()).collect();
    let orders: Vec<u16> = orders.into_iter().map(|o| o.join().unwrap()).collect();
    record.add(format!("most memory of the router: {most} kB; lookups answered {lookups:?}; orders answered {orders:?}"));
    let lost = lookups.iter().filter(|s| **s == 0).count();
    record.add(format!("lookups that sound workers ran and whose connection ended without an answer: {lost} (at most 3 are allowed)"));
    Some(lost > 3)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: stand-in CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record {
        start: Instant::now(),
        lines: Arc::default(),
    };
    record.add(format!("case {case}, with the disruption: {trouble}"));
    let run: fn(&Record, bool) -> Option<bool> = match case.as_str() {
        "poison" => poison,
        "odd-entry" => odd_entry,
        "silent" => silent,
        "refused" => refused,
        "invalid" => invalid,
        "bodies" => bodies,
        "preamble" => preamble,
        _ => {
            eprintln!("no such case");
            std::process::exit(2);
        }
    };
    let outcome = run(&record, trouble);
    record.add(match outcome {
        Some(true) => "verdict: the rule was broken",
        Some(false) => "verdict: the rule held",
        None => "verdict: the case could not run",
    });
    let lines = record.lines.lock().unwrap();
    let text: String = lines
        .iter()
        .map(|(at, line)| format!("{at:>7} ms  {line}\n"))
        .collect();
    print!("{text}");
    if let Err(e) = std::fs::write(format!("{folder}/record.txt"), &text) {
        eprintln!("can't write the record: {e}");
        std::process::exit(2);
    }
    std::process::exit(match outcome {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
