//! A small HTTP/1.1 client and server on threads, and the project's processes.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub start: String,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end by its framing.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` when the connection ends before it is complete.
fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        read_more(stream, buf)?;
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers = lines.filter_map(|l| l.split_once(':'));
    let headers = headers.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
    Some(Message {
        start,
        headers: headers.collect(),
        ..Message::default()
    })
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<usize> {
    let mut chunk = [0; 16 << 10];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(n) => {
            buf.extend_from_slice(&chunk[..n]);
            Some(n)
        }
    }
}

/// Reads a request, or an answer if `is_answer`.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>, is_answer: bool) -> Option<Message> {
    let mut message = read_head(stream, buf)?;
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    let length = message.header("content-length").map(|l| l.parse::<usize>());
    if is_chunked {
        loop {
            let Some(at) = buf.windows(2).position(|w| w == b"\r\n") else {
                if read_more(stream, buf).is_none() {
                    return Some(message);
                }
                continue;
            };
            let size = String::from_utf8_lossy(&buf[..at]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            while buf.len() < at + 2 + size + 2 {
                if read_more(stream, buf).is_none() {
                    let rest = buf.len().min(at + 2 + size);
                    message.body.extend_from_slice(&buf[at + 2..rest]);
                    return Some(message);
                }
            }
            message.body.extend_from_slice(&buf[at + 2..at + 2 + size]);
            buf.drain(..at + 2 + size + 2);
            if size == 0 {
                message.is_whole = true;
                return Some(message);
            }
        }
    }
    let length = match length {
        Some(Ok(length)) => length,
        _ if is_answer => {
            while read_more(stream, buf).is_some() {}
            message.body = std::mem::take(buf);
            message.is_whole = true;
            return Some(message);
        }
        _ => 0,
    };
    while buf.len() < length {
        if read_more(stream, buf).is_none() {
            message.body = std::mem::take(buf);
            return Some(message);
        }
    }
    message.body = buf.drain(..length).collect();
    message.is_whole = true;
    Some(message)
}

/// Sends a request on a connection of its own and reads the answer; `None` without one.
pub fn call(to: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut stream, &mut Vec::new(), true)
}

/// Encodes a call with a JSON body.
pub fn encode_call(method: &str, path: &str, host: SocketAddr, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Serves connections until `stop` is true. The handler gets each request and the connection.
pub fn serve<F>(listener: TcpListener, stop: Arc<AtomicBool>, open: Connections, handler: Arc<F>)
where
    F: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    listener.set_nonblocking(true).expect("a listener");
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                open.lock().unwrap().push(copy);
            }
            thread::spawn(move || {
                let mut buf = Vec::new();
                while let Some(request) = read_message(&mut stream, &mut buf, false) {
                    if !request.is_whole || !handler(&request, &mut stream) {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
}

/// The connections of a server, so that its end can close them.
pub type Connections = Arc<Mutex<Vec<TcpStream>>>;

/// What is sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub begun: Instant,
    /// What each line begins with after the time.
    prefix: String,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
            begun: Instant::now(),
            prefix: String::new(),
        }
    }

    /// Returns the record for one of several deployments.
    pub fn of_deployment(&self, number: u64) -> Self {
        Self {
            prefix: format!("[{number}] "),
            ..self.clone()
        }
    }

    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:9.3} {}{}\n", self.now(), self.prefix, line.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A process of the project that is killed at the end of the case.
pub struct Process {
    child: Child,
    pub settings: PathBuf,
    program: &'static str,
    log: PathBuf,
}

impl Process {
    pub fn start(program: &'static str, settings: &Path) -> Self {
        let log = settings.with_extension("log");
        let child = Self::spawn(program, settings, &log);
        Self {
            child,
            settings: settings.to_owned(),
            program,
            log,
        }
    }

    fn spawn(program: &str, settings: &Path, log: &Path) -> Child {
        let out = fs::OpenOptions::new().create(true).append(true).open(log);
        let out = out.expect("a log file");
        Command::new(format!("target/release/{program}"))
            .env("BUCKTHORNCLEAT_CONFIG", settings)
            .stdin(Stdio::null())
            .stderr(out.try_clone().expect("a log file"))
            .stdout(out)
            .spawn()
            .unwrap_or_else(|e| fail(&format!("starting {program}: {e}")))
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it again with its settings file as it is now.
    pub fn restart(&mut self) {
        self.child = Self::spawn(self.program, &self.settings, &self.log);
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether the case can't run.
pub static HAS_FAILED: AtomicBool = AtomicBool::new(false);

/// Ends a case that can't run. Unwinds, so that the processes are ended.
pub fn fail(why: &str) -> ! {
    HAS_FAILED.store(true, Ordering::SeqCst);
    panic!("the case can't run: {why}");
}

/// A small deployment: three control members and two gateways, each with a loopback address of its own.
pub struct Deployment {
    pub keepers: Vec<Process>,
    pub gateways: Vec<Process>,
    pub folder: PathBuf,
    net: u8,
    zones: [&'static str; 3],
    ports: BTreeMap<&'static str, u16>,
}

impl Deployment {
    /// Prepares a deployment; starts nothing.
    pub fn new() -> Self {
        let nanos = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let nanos = nanos.expect("a clock").as_nanos();
        // Deployments that run side by side have different networks.
        static NETS: AtomicU64 = AtomicU64::new(0);
        let number = NETS.fetch_add(1, Ordering::SeqCst);
        let net = 20 + ((nanos / 100_000_000 * 16 + u128::from(number)) % 200) as u8;
        let folder = std::env::temp_dir().join(format!("review-2-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|e| fail(&format!("a folder: {e}")));
        let names = ["front", "ready", "directory", "control"];
        let free = |ip: IpAddr| {
            let listener = TcpListener::bind((ip, 0));
            let listener = listener.unwrap_or_else(|e| fail(&format!("a port: {e}")));
            listener.local_addr().expect("an address").port()
        };
        let any = IpAddr::V4(Ipv4Addr::new(127, net, 0, 1));
        let mut ports: BTreeMap<_, _> = names.into_iter().map(|n| (n, free(any))).collect();
        let first = 20_000 + (nanos / 7 % 10_000) as u16;
        ports.insert("internal", first);
        Self {
            keepers: Vec::new(),
            gateways: Vec::new(),
            folder,
            net,
            zones: ["zona-norte", "zona-centro", "zona-sur"],
            ports,
        }
    }

    pub fn keeper_ip(&self, index: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net, 1 + index as u8, 7))
    }

    pub fn gateway_ip(&self, index: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net, 1 + index as u8, 14))
    }

    pub fn worker_ip(&self, index: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net, 64 + index as u8, 9))
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        (self.keeper_ip(index), self.ports["control"]).into()
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        (self.gateway_ip(index), self.ports["front"]).into()
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        (self.gateway_ip(index), self.ports["ready"]).into()
    }

    /// Writes the settings of a machine as the platform renders them, and returns their path.
    pub fn write_settings(
        &self,
        role: &str,
        index: usize,
        list: SocketAddr,
        bootstrap: bool,
    ) -> PathBuf {
        let is_keeper = role == "keeper";
        let zone = self.zones[index % 3];
        let ip = match is_keeper {
            true => self.keeper_ip(index),
            false => self.gateway_ip(index),
        };
        let ports = &self.ports;
        let listen = match is_keeper {
            true => format!(r#"{{"control":"{ip}:{}"}}"#, ports["control"]),
            false => format!(
                r#"{{"front":"{ip}:{}","ready":"{ip}:{}","directory":"{ip}:{}"}}"#,
                ports["front"], ports["ready"], ports["directory"]
            ),
        };
        let seeds: Vec<String> = (0..3).map(|i| format!("\"{}\"", self.control(i))).collect();
        let data = match is_keeper {
            true => {
                let data = self.folder.join(format!("keeper-{index}"));
                fs::create_dir_all(&data).unwrap_or_else(|e| fail(&format!("a folder: {e}")));
                format!("\"{}\"", data.display())
            }
            false => "null".to_owned(),
        };
        let class = if is_keeper { "core" } else { "front" };
        let internal = ports["internal"];
        let settings = format!(
            r#"{{"nodeName":"{class}-{zone}-{index}","role":"{role}","machineClass":"{class}","ip":"{ip}",
"zone":"{zone}","region":"altiplano-gt","listen":{listen},"internalPorts":[{internal},{}],
"seeds":[{}],"bootstrap":{bootstrap},"countsAsLoss":{is_keeper},
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":256,"maxFds":4096,"linkMbps":1000.0,"diskMb":128}},
"dataDir":{data},"discovery":"cloud","entry":"directory","heartbeatMs":1200,
"faultTolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackTimeoutMs":4000,"catchUpS":4,"drainMs":3000,
"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,
"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":52,"quotaWindowS":8,"quotaOverage":0.1,
"quotaSlack":140000,"recoveryS":12,"transitMs":120,"retryAfterS":8.8,"requireFencing":true,"leaseMs":3000,
"thawSlackMs":300,"ttl_max_s":5}},
"configMode":"highest","cloud":{{"address":"{list}","ratePerS":40.0,"duties":[],"maxLagMs":800}}}}"#,
            internal + 15,
            seeds.join(",")
        );
        let path = self.folder.join(format!("{class}-{index}.json"));
        fs::write(&path, settings).unwrap_or_else(|e| fail(&format!("a settings file: {e}")));
        path
    }

    /// Starts all machines for the first time.
    pub fn start(&mut self, list: SocketAddr, gateways: usize) {
        for index in 0..3 {
            self.start_keeper(index, list);
        }
        self.start_gateways(list, gateways);
    }

    /// Starts a control member for the first time.
    pub fn start_keeper(&mut self, index: usize, list: SocketAddr) {
        let settings = self.write_settings("keeper", index, list, true);
        let keeper = Process::start("buckthorncleat-platform-control", &settings);
        self.keepers.push(keeper);
    }

    pub fn start_gateways(&mut self, list: SocketAddr, gateways: usize) {
        for index in 0..gateways {
            let settings = self.write_settings("gateway", index, list, true);
            let gateway = Process::start("buckthorncleat-platform-gateway", &settings);
            self.gateways.push(gateway);
        }
    }

    /// Sends an operator's call to one node after the other, follows a 307 twice, and goes on until an
    /// answer that ends the call or the deadline. Returns the answer.
    pub fn operate(
        &self,
        record: &Record,
        method: &str,
        path: &str,
        body: &[u8],
        deadline: Duration,
    ) -> Option<Message> {
        let until = Instant::now() + deadline;
        let mut node = 0;
        while Instant::now() < until {
            let mut to = self.control(node % 3);
            node += 1;
            for _ in 0..3 {
                let request = encode_call(method, path, to, body);
                let answer = call(to, &request, Duration::from_secs(1));
                let status = answer.as_ref().map_or(0, Message::status);
                record.note(format!("operator {method} {path} to {to}: {status}"));
                if status == 307 {
                    let location = answer.as_ref().and_then(|a| a.header("location"));
                    let host = location.and_then(|l| l.strip_prefix("http://"));
                    let host = host.and_then(|l| l.split('/').next()?.parse().ok());
                    let Some(next) = host else { break };
                    to = next;
                    continue;
                }
                if matches!(status, 200..=299 | 400 | 409 | 412 | 413 | 422) {
                    return answer;
                }
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Waits until all gateways say that they are ready; returns whether they do.
    pub fn wait_ready(&self, deadline: Duration) -> bool {
        let until = Instant::now() + deadline;
        let is_ready = |index| {
            let to = self.ready(index);
            let request = encode_call("GET", "/buckthorncleat/readiness", to, b"");
            call(to, &request, Duration::from_secs(1)).is_some_and(|a| a.status() == 200)
        };
        while Instant::now() < until {
            if (0..self.gateways.len()).all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        self.keepers.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
