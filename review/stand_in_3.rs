//! Starts the programs with the commands of the deploy file and plays an operator, a platform, servers and clients.
//!
//! `stand_in_3 removed-voter PROGRAMS RECORD`: a member of the core was replaced while it stood still.
//! `stand_in_3 no-response PROGRAMS RECORD`: a server sends bytes that are no response of it.
//!
//! PROGRAMS is the folder of the built programs. Exit codes: 0 the rule held, 1 it was broken, 2 the case could
//! not run. With `TROUBLE=0` the disruption is left out.

use std::env;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// What `DEPLOY.md` and the sheet of the deployment say.
const CONTACT: Duration = Duration::from_millis(3_000);
const ACK_TIMEOUT: Duration = Duration::from_millis(4_000);
const CATCH_UP: Duration = Duration::from_millis(4_000);
const RECOVERY: Duration = Duration::from_millis(12_000);
const GRACE: Duration = Duration::from_millis(8_000);

/// How long a machine stands still: the largest `node_freeze` of a core machine in the site's list of troubles.
const FREEZE: Duration = Duration::from_millis(4_000);

/// An operator's call moves on to another node after a second without a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

type Failure = Box<dyn std::error::Error>;

/// The record of a run: one line for each thing that was done or seen.
struct Record {
    file: fs::File,
    start: Instant,
}

impl Record {
    fn line(&mut self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file, "{line}");
    }
}

/// The machines of a deployment, each on a loopback address of its own with the same ports. The first ones are
/// core machines with a control member, the others front machines with a gateway.
struct Core {
    programs: PathBuf,
    folder: PathBuf,
    subnet: String,
    ports: Vec<u16>,
    keepers: usize,
    members: Vec<Option<Child>>,
}

/// Which of the ports is for what; those between processes are a range of two.
const CONTROL: usize = 0;
const FRONT: usize = 1;
const READY: usize = 2;
const DIRECTORY: usize = 3;
const FIRST: usize = 4;
const LAST: usize = 5;
const SERVER: usize = 6;
const PLATFORM: usize = 7;
const PORTS: usize = 8;

/// The last part of the address of the platform, and of the first server.
const PLATFORM_HOST: usize = 250;
const SERVER_HOST: usize = 200;

impl Core {
    fn new(programs: &Path, keepers: usize, gateways: usize) -> Result<Self, Failure> {
        let folder = env::temp_dir().join(format!("stand-in-3-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let subnet = format!(
            "127.{}.{}",
            20 + process::id() % 200,
            process::id() / 200 % 250
        );
        let members = keepers + gateways;
        let hosts = (11..11 + members).chain([PLATFORM_HOST, SERVER_HOST, SERVER_HOST + 1]);
        let hosts: Vec<usize> = hosts.collect();
        let is_free = |port: &u16| {
            let address = |host| format!("{subnet}.{host}:{port}");
            hosts
                .iter()
                .all(|host| TcpListener::bind(address(host)).is_ok())
        };
        let ports = (10_000 + (process::id() % 9_000) as u16..60_000).step_by(17);
        let ports: Vec<u16> = ports.filter(is_free).take(PORTS).collect();
        if ports.len() < PORTS {
            return Err("there are not enough free ports".into());
        }
        Ok(Self {
            programs: programs.to_owned(),
            folder,
            subnet,
            ports,
            keepers,
            members: (0..members).map(|_| None).collect(),
        })
    }

    fn address(&self, host: usize, port: usize) -> SocketAddr {
        let address = format!("{}.{host}:{}", self.subnet, self.ports[port]);
        address.parse().expect("an address")
    }

    fn ip(&self, member: usize) -> String {
        format!("{}.{}", self.subnet, 11 + member)
    }

    fn control(&self, member: usize) -> SocketAddr {
        self.address(11 + member, CONTROL)
    }

    fn data(&self, member: usize) -> PathBuf {
        self.folder.join(format!("data-{member}"))
    }

    /// Writes the settings of a machine, as the platform renders them with deploy/node.tmpl, and starts its
    /// program.
    fn start(&mut self, member: usize, bootstrap: bool, seeds: &[usize]) -> Result<(), Failure> {
        let seeds = seeds.iter().map(|m| format!("\"{}\"", self.control(*m)));
        let seeds: Vec<String> = seeds.collect();
        let is_keeper = member < self.keepers;
        let host = 11 + member;
        let (class, serves, listen, limits, data) = if is_keeper {
            fs::create_dir_all(self.data(member))?;
            (
                "core",
                r#"["control"]"#,
                format!(r#""control":"{}""#, self.control(member)),
                r#"{"cpuShare":0.15,"cores":1,"memoryMb":256,"maxFds":4096,"linkMbps":1000.0,"diskMb":128}"#,
                format!("\"{}\"", self.data(member).display()),
            )
        } else {
            (
                "front",
                r#"["front","directory"]"#,
                format!(
                    r#""front":"{}","ready":"{}","directory":"{}""#,
                    self.address(host, FRONT),
                    self.address(host, READY),
                    self.address(host, DIRECTORY)
                ),
                r#"{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}"#,
                "null".to_owned(),
            )
        };
        let settings = format!(
            r#"{{"nodeName":"{class}-{member}","role":"{class}","machineClass":"{class}","serves":{serves},
"ip":"{ip}","zone":"zone-{zone}","region":"region",
"zones":{{"zone-0":"region","zone-1":"region","zone-2":"region"}},
"listen":{{{listen}}},"internalPorts":[{first},{last}],"seeds":[{seeds}],
"bootstrap":{bootstrap},"countsAsLoss":{is_keeper},"limits":{limits},
"dataDir":{data},"discovery":"cloud","entry":"directory","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota"],
"faultTolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackTimeoutMs":4000,"catchUpS":4,"drainMs":3000,
"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,
"revokeFailClosed":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":52,
"quotaWindowS":8,"quotaOverage":0.1,"quotaSlack":140000,"recoveryS":12,"transitMs":120,"retryAfterS":8.8,
"requireFencing":true,"leaseMs":3000,"thawSlackMs":300,"ttl_max_s":5}},
"configMode":"highest",
"cloud":{{"address":"{platform}","ratePerS":40.0,"duties":[],"maxLagMs":800}}}}"#,
            ip = self.ip(member),
            zone = member % 3,
            first = self.ports[FIRST],
            last = self.ports[LAST],
            seeds = seeds.join(","),
            platform = self.address(PLATFORM_HOST, PLATFORM),
        );
        let path = self.folder.join(format!("node-{member}.json"));
        fs::write(&path, settings)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{member}.txt")))?;
        let program = match is_keeper {
            true => "buckthorncleat-platform-control",
            false => "buckthorncleat-platform-gateway",
        };
        let child = Command::new(self.programs.join(program))
            .env("BUCKTHORNCLEAT_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.members[member] = Some(child);
        Ok(())
    }

    fn signal(&self, member: usize, signal: &str) -> Result<(), Failure> {
        let child = self.members[member].as_ref().ok_or("no such process")?;
        let command = format!("kill {signal} {}", child.id());
        let sent = Command::new("bash").args(["-c", &command]).status()?;
        sent.success()
            .then_some(())
            .ok_or_else(|| "the signal was not sent".into())
    }

    /// Waits until a member that was told to stop has ended.
    fn join(&mut self, member: usize, limit: Duration) -> Result<(), Failure> {
        let mut child = self.members[member].take().ok_or("no such process")?;
        let until = Instant::now() + limit;
        while child.try_wait()?.is_none() {
            if Instant::now() >= until {
                child.kill()?;
                child.wait()?;
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Returns the voters that a member logged last, by their numbers.
    fn voters(&self, member: usize) -> Vec<usize> {
        let log = fs::read_to_string(self.folder.join(format!("log-{member}.txt")));
        let log = log.unwrap_or_default();
        let mut voters: Vec<usize> = Vec::new();
        for line in log.lines().filter(|l| l.contains("\"event\":\"member\"")) {
            let name = line.split("\"member\":\"").nth(1);
            let name = name.and_then(|s| s.split('"').next()).unwrap_or("");
            let host = name
                .rsplit('.')
                .next()
                .and_then(|n| n.parse::<usize>().ok());
            // A membership is logged voters first, in the order of their names.
            if let Some(voter) = host
                .map(|h| h - 11)
                .filter(|_| line.contains("\"role\":\"votes\""))
            {
                if voters.last().is_none_or(|last| *last >= voter) {
                    voters.clear();
                }
                voters.push(voter);
            }
        }
        voters
    }

    /// Returns whether a member answers reads itself, as the leader does, instead of a 307.
    fn leads(&self, member: usize) -> bool {
        let answer = call_once(
            self.control(member),
            "GET",
            "/buckthorncleat/config/read",
            "",
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Core {
    fn drop(&mut self) {
        for child in self.members.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The answer to an operator's call: the status, 0 without an answer, and the rest.
struct Answer {
    status: u16,
    location: Option<String>,
    body: String,
}

fn call_once(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Answer> {
    let until = Instant::now() + CALL_TIMEOUT;
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.set_write_timeout(Some(CALL_TIMEOUT))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    while Instant::now() < until {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => bytes.extend_from_slice(&buf[..n]),
            Err(e) => return Err(e),
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let location = head
        .lines()
        .find_map(|l| {
            l.split_once(": ")
                .filter(|(n, _)| n.eq_ignore_ascii_case("location"))
        })
        .map(|(_, value)| value.to_owned());
    Ok(Answer {
        status: status.unwrap_or(0),
        location,
        body: body.to_owned(),
    })
}

/// Makes one call and follows a 307 twice.
fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Answer {
    let mut address = address;
    for _ in 0..3 {
        let failed = Answer {
            status: 0,
            location: None,
            body: String::new(),
        };
        let answer = call_once(address, method, path, body).unwrap_or(failed);
        let next = answer.location.as_deref().filter(|_| answer.status == 307);
        let next = next.and_then(|l| l.strip_prefix("http://"));
        let next = next.and_then(|l| l.split('/').next()?.parse().ok());
        match next {
            Some(next) => address = next,
            None => return answer,
        }
    }
    Answer {
        status: 307,
        location: None,
        body: String::new(),
    }
}

fn configuration(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"shop.example","pathPrefix":"/a/","kind":"safe","timeoutMs":600,"targetLatencyMs":100,"priority":1,"service":"app","maxAttempts":2,"public":true,"sessionAffinity":false,"resumable":false}}],"services":[{{"name":"app","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[]}}"#
    )
}

/// Sends a configuration to one node after the other until it is acknowledged; returns whether it was.
fn replace(
    record: &mut Record,
    core: &Core,
    nodes: &[usize],
    version: u64,
    limit: Duration,
) -> bool {
    let body = configuration(version);
    let began = Instant::now();
    let mut last = 0;
    for node in nodes.iter().cycle() {
        if began.elapsed() >= limit {
            break;
        }
        last = call(
            core.control(*node),
            "POST",
            "/buckthorncleat/config/replace",
            &body,
        )
        .status;
        if last == 200 {
            let took = began.elapsed().as_millis();
            record.line(&format!(
                "operator: version {version} is acknowledged after {took} ms"
            ));
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!(
        "operator: version {version} isn't acknowledged within {} ms; the last status is {last}",
        limit.as_millis()
    ));
    false
}

/// Reads the configuration back from one node after the other; returns the version of the first answer.
fn read_back(record: &mut Record, core: &Core, nodes: &[usize], limit: Duration) -> Option<u64> {
    let began = Instant::now();
    let mut seen = Vec::new();
    for node in nodes.iter().cycle() {
        if began.elapsed() >= limit {
            break;
        }
        let answer = call(
            core.control(*node),
            "GET",
            "/buckthorncleat/config/read",
            "",
        );
        if answer.status == 200 {
            let version = answer.body.split("\"version\":").nth(1);
            let version = version.and_then(|v| v.split(',').next()?.trim().parse().ok());
            record.line(&format!(
                "operator: the configuration read back is {version:?}"
            ));
            return version;
        }
        seen.push(answer.status);
        thread::sleep(Duration::from_millis(100));
    }
    let total = seen.len();
    seen.sort_unstable();
    seen.dedup();
    record.line(&format!(
        "operator: {total} reads of the configuration in {} ms got no configuration, only the statuses {seen:?}",
        limit.as_millis()
    ));
    None
}

/// A machine of the core stands still while a planned successor of another one is up already. Later a machine
/// loses its disk.
fn removed_voter(record: &mut Record, programs: &Path, has_trouble: bool) -> Result<bool, Failure> {
    let first = [0, 1, 2];
    let mut core = Core::new(programs, 4, 0)?;
    record.line("platform: starts the core machines A, B and C for the first time");
    for member in first {
        core.start(member, true, &first)?;
    }
    if !replace(record, &core, &first, 1, Duration::from_secs(15)) {
        return Err("the first configuration was never acknowledged".into());
    }
    // The one that stands still is no leader, so that no time goes by with an election.
    let (a, b) = if core.leads(1) { (1, 0) } else { (0, 1) };
    let (c, d) = (2, 3);
    record.line("platform: planned replacement of A: adds the machine D with an empty disk");
    core.start(d, false, &[a, b, c])?;
    thread::sleep(CATCH_UP + CONTACT);
    if has_trouble {
        record.line("trouble: B stands still");
        core.signal(b, "-STOP")?;
    }
    thread::sleep(FREEZE);
    if has_trouble {
        core.signal(b, "-CONT")?;
        record.line("trouble: B goes on");
    }
    thread::sleep(CATCH_UP + CONTACT);
    if !replace(record, &core, &[a, b, c, d], 2, ACK_TIMEOUT) {
        return Err("the second configuration was never acknowledged".into());
    }
    record.line("platform: planned replacement of A: SIGTERM for A, which is gone for good");
    core.signal(a, "-TERM")?;
    core.join(a, GRACE)?;
    record.line("platform: A has ended; B, C and D run");
    thread::sleep(CATCH_UP + CONTACT);
    if !replace(record, &core, &[b, c, d], 3, ACK_TIMEOUT) {
        return Err("the third configuration was never acknowledged".into());
    }
    record.line("platform: C loses power and its disk right after that; B and D run on");
    core.signal(c, "-KILL")?;
    core.join(c, GRACE)?;
    fs::remove_dir_all(core.data(c))?;
    thread::sleep(Duration::from_millis(2_000));
    core.start(c, false, &[b, c, d])?;
    record.line("platform: C is back with an empty disk; B, C and D run");
    thread::sleep(RECOVERY + CONTACT);
    let newest = read_back(record, &core, &[b, c, d], RECOVERY);
    let acknowledged = replace(record, &core, &[b, c, d], 4, RECOVERY);
    let letters = [(a, 'A'), (b, 'B'), (c, 'C'), (d, 'D')];
    for (member, letter) in &letters[1..] {
        let voters = core.voters(*member);
        let voters = letters.iter().filter(|(m, _)| voters.contains(m));
        let voters: String = voters.map(|(_, letter)| letter).collect();
        record.line(&format!(
            "log of {letter}: the last voters that it knows are {voters}"
        ));
    }
    let is_kept = newest == Some(3);
    if !is_kept {
        record.line("BROKEN: the acknowledged version 3 can't be read back, with one machine lost at a time");
    }
    if !acknowledged {
        record.line("BROKEN: a valid configuration isn't acknowledged though all machines run");
    }
    Ok(is_kept && acknowledged)
}

/// Reads one request with its body from a connection; `None` at its end.
fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|l| l.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Ok(Some(text));
            }
        }
        match stream.read(&mut buf)? {
            0 => return Ok(None),
            n => bytes.extend_from_slice(&buf[..n]),
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    lines
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}

/// Answers requests with what `answer` returns, on connections that are kept, until the process ends.
fn serve(
    address: SocketAddr,
    answer: impl Fn(&str) -> Vec<u8> + Clone + Send + 'static,
) -> Result<(), Failure> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut stream = stream;
                while let Ok(Some(request)) = read_request(&mut stream) {
                    if stream.write_all(&answer(&request)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

fn respond(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// What a faulty server sends instead of a response of its own: it neither echoes an id nor signs anything.
const NO_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nwelcome page\n";

/// Starts a server of the plain service, which answers each request that is meant for it. While it is faulty,
/// it sends [`NO_RESPONSE`] instead to one request in ten.
fn start_server(core: &Core, number: usize, is_faulty: Arc<AtomicBool>) -> Result<(), Failure> {
    let id = format!("i-{number}");
    let count = Arc::new(AtomicUsize::new(0));
    serve(core.address(SERVER_HOST + number, SERVER), move |request| {
        let head = request.split("\r\n\r\n").next().unwrap_or("");
        let request_id = header(head, "request-id").unwrap_or("");
        if header(head, "expect-instance").is_some_and(|expected| expected != id) {
            return respond("421 Misdirected Request", "Not-Executed: 1\r\n", b"");
        }
        thread::sleep(Duration::from_millis(15));
        let number = count.fetch_add(1, Ordering::Relaxed);
        if is_faulty.load(Ordering::Relaxed) && number.is_multiple_of(10) {
            return NO_RESPONSE.as_bytes().to_vec();
        }
        let headers =
            format!("Request-Id: {request_id}\r\nResponse-Signature: {id}.{request_id}\r\n");
        respond("200 OK", &headers, b"in stock")
    })
}

/// Starts the platform's list of two servers.
fn start_platform(core: &Core) -> Result<(), Failure> {
    let entries = [0, 1].map(|n| {
        let address = core.address(SERVER_HOST + n, SERVER);
        format!(
            r#"{{"service":"app","address":"{address}","zone":"zone-{n}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"id":"i-{n}","born":17760000{n}0000}}"#
        )
    });
    let page = format!(r#"{{"instances":[{}],"next":null}}"#, entries.join(","));
    serve(core.address(PLATFORM_HOST, PLATFORM), move |_| {
        respond(
            "200 OK",
            "Content-Type: application/json\r\n",
            page.as_bytes(),
        )
    })
}

/// Sends a lookup every 50 ms for a time, each to the next front machine; returns how many were sent and served,
/// and the statuses.
fn send_lookups(
    core: &Core,
    fronts: &[usize],
    time: Duration,
) -> (usize, usize, Vec<(u16, usize)>) {
    let (tx, rx) = mpsc::channel();
    let began = Instant::now();
    let mut sent = 0;
    for front in fronts.iter().cycle() {
        if began.elapsed() >= time {
            break;
        }
        let address = core.address(11 + front, FRONT);
        let tx = tx.clone();
        let id = format!("{:08x}{sent:08x}", process::id());
        thread::spawn(move || {
            let _ = tx.send(look_up(address, &id).unwrap_or(0));
        });
        sent += 1;
        thread::sleep(Duration::from_millis(50));
    }
    drop(tx);
    let mut statuses: Vec<(u16, usize)> = Vec::new();
    for status in rx {
        match statuses.iter_mut().find(|(s, _)| *s == status) {
            Some((_, count)) => *count += 1,
            None => statuses.push((status, 1)),
        }
    }
    statuses.sort_unstable();
    let served = statuses
        .iter()
        .find(|(s, _)| *s == 200)
        .map_or(0, |(_, n)| *n);
    (sent, served, statuses)
}

/// Stands for the status of a success without the server's signature or its body.
const UNSIGNED: u16 = 1;

/// Sends one request of a safe route; a success counts as such only with the signature and the whole body.
fn look_up(address: SocketAddr, id: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let request = format!(
        "GET /a/stock HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 600\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let is_signed = header(head, "response-signature").is_some_and(|s| s.ends_with(id));
    Ok(match status {
        200 if !is_signed || body != "in stock" => UNSIGNED,
        status => status,
    })
}

/// A server of two sends bytes that are no response, in place of some of its responses.
fn no_response(record: &mut Record, programs: &Path, has_trouble: bool) -> Result<bool, Failure> {
    let (keepers, fronts) = ([0, 1, 2], [3, 4]);
    let mut core = Core::new(programs, 3, 2)?;
    start_platform(&core)?;
    let is_faulty = Arc::new(AtomicBool::new(false));
    start_server(&core, 0, Arc::new(AtomicBool::new(false)))?;
    start_server(&core, 1, Arc::clone(&is_faulty))?;
    record.line("platform: starts three core and two front machines; the list names two servers");
    for member in keepers.iter().chain(&fronts) {
        core.start(*member, true, &keepers)?;
    }
    if !replace(record, &core, &keepers, 1, Duration::from_secs(15)) {
        return Err("the first configuration was never acknowledged".into());
    }
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        is_faulty.store(true, Ordering::Relaxed);
        record.line(&format!(
            "trouble: from now on i-1 sends this to one request in ten: {NO_RESPONSE:?}"
        ));
    }
    let (sent, served, statuses) = send_lookups(&core, &fronts, Duration::from_secs(5));
    record.line(&format!(
        "clients: {served} of {sent} lookups are served; statuses {statuses:?}"
    ));
    if served * 4 < sent {
        return Err("too few lookups were served".into());
    }
    let unsigned = statuses.iter().find(|(s, _)| *s == UNSIGNED);
    let unsigned = unsigned.map_or(0, |(_, count)| *count);
    if unsigned > 0 {
        record.line(&format!(
            "BROKEN: {unsigned} clients got a success (200) without a server's Response-Signature (status {UNSIGNED} above)"
        ));
    }
    Ok(unsigned == 0)
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, programs, path] = &args[..] else {
        eprintln!("usage: stand_in_3 removed-voter|no-response PROGRAMS RECORD");
        process::exit(2);
    };
    let file = match fs::File::create(path) {
        Ok(file) => file,
        Err(e) => {
            eprintln!("{path}: {e}");
            process::exit(2);
        }
    };
    let start = Instant::now();
    let mut record = Record { file, start };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let result = match case.as_str() {
        "removed-voter" => removed_voter(&mut record, Path::new(programs), has_trouble),
        "no-response" => no_response(&mut record, Path::new(programs), has_trouble),
        _ => Err("no such case".into()),
    };
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            record.line(&format!("could not run: {e}"));
            2
        }
    };
    record.line(&format!("exit code {code}"));
    process::exit(code);
}
