//! A small deployment: three control processes, two gateways, the platform's list, servers, operator.

use std::fs;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

pub const CONTROL_PORT: u16 = 8229;
pub const FRONT_PORT: u16 = 8221;
pub const READY_PORT: u16 = 8224;
pub const DIRECTORY_PORT: u16 = 8220;
pub const LIST_PORT: u16 = 8225;
pub const SERVER_PORT: u16 = 8080;
pub const KEY: &str = "key-of-the-kitchen";
pub const HOST: &str = "dapur.example";

/// The times of the run, and what was sent, answered and run.
pub struct Record {
    began: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(fs::File::create(path)?),
        })
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let text = format!("{:>7} ms  {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }
}

/// A request in a server's hands.
pub struct Run<'a> {
    pub server: &'a Server,
    pub request: http::Message,
    pub stream: TcpStream,
}

type Work = dyn Fn(Run<'_>) + Send + Sync;

/// A server of a service. It answers one request for each connection.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// When it is back, in milliseconds of the record; it accepts no connections before.
    back_at: AtomicU64,
    /// Counts its ends, so that what ran before is known to be gone.
    ends: AtomicU64,
    pub record: Arc<Record>,
    work: Box<Work>,
}

impl Server {
    /// Ends the server; it starts again after `down`.
    pub fn crash(&self, down: Duration) {
        let until = self.record.now() + down.as_millis() as u64;
        self.back_at.store(until, Ordering::SeqCst);
        self.ends.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts the ends so far.
    pub fn ends(&self) -> u64 {
        self.ends.load(Ordering::SeqCst)
    }

    pub fn is_down(&self) -> bool {
        self.record.now() < self.back_at.load(Ordering::SeqCst)
    }

    fn serve(self: &Arc<Self>) {
        let bind = || TcpListener::bind(self.address).and_then(|l| l.set_nonblocking(true).map(|()| l));
        let mut listener = bind().ok();
        loop {
            if self.is_down() {
                listener = None;
            } else if listener.is_none() {
                listener = bind().ok();
            }
            let accepted = listener.as_ref().and_then(|l| l.accept().ok());
            let Some((stream, _)) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let server = Arc::clone(self);
            thread::spawn(move || server.handle(stream));
        }
    }

    fn handle(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(request) = http::read_request(&mut stream) else {
            return;
        };
        let expected = request.header("expect-instance");
        if expected.is_some_and(|e| e != self.id) {
            let id = request.header("request-id").unwrap_or("").to_owned();
            let headers = [("Request-Id", id.as_str()), ("Instance-Id", self.id.as_str())];
            let _ = stream.write_all(&http::answer("421 Misdirected Request", &headers, ""));
            return;
        }
        (self.work)(Run {
            server: self,
            request,
            stream,
        });
    }
}

/// The processes and stand-ins of a run. Dropping it ends the processes.
pub struct Fleet {
    pub record: Arc<Record>,
    pub gateways: Vec<SocketAddr>,
    prefix: [u8; 2],
    folder: PathBuf,
    children: Vec<Child>,
    pub servers: Vec<Arc<Server>>,
    list: Arc<Mutex<Vec<String>>>,
}

impl Fleet {
    /// Takes loopback addresses that nobody uses.
    pub fn new(record: Arc<Record>) -> Result<Self, String> {
        let pid = std::process::id();
        let prefix = (0..200u32).find_map(|attempt| {
            let n = pid.wrapping_mul(31).wrapping_add(attempt * 977);
            let prefix = [(64 + n % 128) as u8, (1 + n / 128 % 250) as u8];
            let probe = SocketAddr::from(([127, prefix[0], prefix[1], 1], LIST_PORT));
            TcpListener::bind(probe).ok().map(|_| prefix)
        });
        let prefix = prefix.ok_or("no free loopback address")?;
        let folder = std::env::temp_dir().join(format!("review-third-{pid}"));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        Ok(Self {
            record,
            gateways: Vec::new(),
            prefix,
            folder,
            children: Vec::new(),
            servers: Vec::new(),
            list: Arc::default(),
        })
    }

    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.prefix[0], self.prefix[1], machine], port))
    }

    /// Starts a server and puts it on the list.
    pub fn add_server(
        &mut self,
        service: &str,
        stage: Option<&str>,
        slots: u32,
        work: impl Fn(Run<'_>) + Send + Sync + 'static,
    ) -> Arc<Server> {
        let number = self.servers.len() as u8;
        let address = self.address(100 + number, SERVER_PORT);
        let server = Arc::new(Server {
            id: format!("i-{number:04}"),
            address,
            back_at: AtomicU64::new(0),
            ends: AtomicU64::new(0),
            record: Arc::clone(&self.record),
            work: Box::new(work),
        });
        let zone = ["klang-a", "klang-b", "klang-c"][number as usize % 3];
        let stage = stage.map_or(String::new(), |stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0{stage},"id":"{}"}}"#,
            server.id
        );
        self.list.lock().unwrap().push(entry);
        self.servers.push(Arc::clone(&server));
        let serving = Arc::clone(&server);
        thread::spawn(move || serving.serve());
        server
    }

    /// Starts the platform's list and the processes, and puts the configuration in force.
    pub fn start(&mut self, routes: &str, services: &str) -> Result<(), String> {
        self.serve_list()?;
        let seeds: Vec<_> = (0..3).map(|n| self.address(20 + n, CONTROL_PORT)).collect();
        for n in 0..3 {
            self.spawn(false, n, &seeds)?;
        }
        for n in 0..2 {
            self.spawn(true, n, &seeds)?;
            self.gateways.push(self.address(10 + n, FRONT_PORT));
        }
        let configuration = format!(
            r#"{{"version":3,"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"dapur","apiKeys":["{KEY}"],"priority":1,"unit":"token_stream","plainTokens":200,"ratePerS":0,"burst":0}}]}}"#
        );
        self.configure(&seeds, &configuration)?;
        let ready: Vec<_> = (0..2).map(|n| self.address(10 + n, READY_PORT)).collect();
        let is_ready = || {
            let get = b"GET /buckthorncleat/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
            let second = Duration::from_secs(1);
            ready.iter().all(|r| http::call(*r, get, second, second).status() == 200)
        };
        wait_until(Duration::from_secs(15), is_ready).ok_or("the gateways are not ready")?;
        // The list of servers follows the configuration.
        thread::sleep(Duration::from_secs(2));
        fs::write(self.folder.join("started"), "").map_err(|e| e.to_string())?;
        self.record.line("the deployment serves");
        Ok(())
    }

    fn serve_list(&self) -> Result<(), String> {
        let listener = TcpListener::bind(self.address(1, LIST_PORT)).map_err(|e| e.to_string())?;
        let list = Arc::clone(&self.list);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = Arc::clone(&list);
                thread::spawn(move || {
                    let mut stream = stream;
                    if http::read_request(&mut stream).is_ok() {
                        let entries = list.lock().unwrap().join(",");
                        let body = format!(r#"{{"instances":[{entries}],"next":null}}"#);
                        let json = [("Content-Type", "application/json")];
                        let _ = stream.write_all(&http::answer("200 OK", &json, &body));
                    }
                });
            }
        });
        Ok(())
    }

    fn spawn(&mut self, is_gateway: bool, n: u8, seeds: &[SocketAddr]) -> Result<(), String> {
        let is_first = !self.folder.join("started").exists();
        let (class, role, machine) = match is_gateway {
            true => ("front", "gateway", 10 + n),
            false => ("core", "keeper", 20 + n),
        };
        let zone = ["klang-a", "klang-b", "klang-c"][n as usize];
        let name = format!("{class}-{zone}-1");
        let at = |port| self.address(machine, port);
        let (serves, listen, data) = if is_gateway {
            let listen = format!(
                r#""front":"{}","ready":"{}","directory":"{}""#,
                at(FRONT_PORT),
                at(READY_PORT),
                at(DIRECTORY_PORT)
            );
            (r#""front","directory""#, listen, "null".to_owned())
        } else {
            let folder = self.folder.join(&name);
            fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
            let listen = format!(r#""control":"{}""#, at(CONTROL_PORT));
            (r#""control""#, listen, format!(r#""{}""#, folder.display()))
        };
        let seeds: Vec<_> = seeds.iter().map(|s| format!(r#""{s}""#)).collect();
        let settings = format!(
            r#"{{"nodeName":"{name}","role":"{role}","machineClass":"{class}","serves":[{serves}],"ip":"{}","zone":"{zone}","region":"klang","zones":{{"klang-a":"klang","klang-b":"klang","klang-c":"klang"}},"listen":{{{listen}}},"internalPorts":[7600,7615],"seeds":[{}],"bootstrap":{is_first},"countsAsLoss":{},"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":256,"maxFds":4100,"linkMbps":1000.0,"diskMb":128}},"dataDir":{data},"discovery":"cloud","entry":"directory","heartbeatMs":1200,"contracts":["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota"],"faultTolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackTimeoutMs":4000,"catchUpS":4,"drainMs":3000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"revokeFailClosed":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":58,"quotaWindowS":8,"quotaOverage":0.1,"quotaSlack":140000,"recoveryS":12,"transitMs":120,"retryAfterS":7.7,"requireFencing":true,"leaseMs":3000,"thawSlackMs":300,"ttl_max_s":5}},"configMode":"highest","cloud":{{"address":"{}","ratePerS":47.0,"duties":[],"maxLagMs":800}}}}"#,
            at(0).ip(),
            seeds.join(","),
            !is_gateway,
            self.address(1, LIST_PORT),
        );
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let program = match is_gateway {
            true => "target/release/buckthorncleat-platform-gateway",
            false => "target/release/buckthorncleat-platform-control",
        };
        let child = Command::new(program)
            .env("BUCKTHORNCLEAT_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.map_err(|e| format!("{program}: {e}"))?;
        self.record.line(&format!("started {name} at {}", at(0).ip()));
        self.children.push(child);
        Ok(())
    }

    /// Kills all processes.
    pub fn kill_all(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.clear();
        self.record.line("killed all processes");
    }

    /// Starts all processes again.
    pub fn start_again(&mut self) -> Result<(), String> {
        let seeds: Vec<_> = (0..3).map(|n| self.address(20 + n, CONTROL_PORT)).collect();
        for n in 0..3 {
            self.spawn(false, n, &seeds)?;
        }
        for n in 0..2 {
            self.spawn(true, n, &seeds)?;
        }
        Ok(())
    }

    /// Puts an entry of another writer on the list.
    pub fn put_entry(&self, at: usize, entry: &str) {
        self.record.line(&format!("entry {at} of the list is now {entry}"));
        self.list.lock().unwrap().insert(at, entry.to_owned());
    }

    /// Sends the configuration as an operator does, until it is acknowledged.
    fn configure(&self, control: &[SocketAddr], configuration: &str) -> Result<(), String> {
        let request = format!(
            "POST /buckthorncleat/config/replace HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{configuration}",
            configuration.len()
        );
        let is_acknowledged = || {
            control.iter().any(|to| {
                let seconds = Duration::from_secs(2);
                let answer = http::call(*to, request.as_bytes(), seconds, seconds);
                if answer.status() == 400 {
                    self.record.line(&format!("the configuration is refused: {answer:?}"));
                }
                answer.status() == 200
            })
        };
        wait_until(Duration::from_secs(20), is_acknowledged).ok_or("the configuration is not acknowledged")?;
        self.record.line("the configuration is acknowledged");
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until a condition holds; `None` if it does not in time.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> Option<()> {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return Some(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}
