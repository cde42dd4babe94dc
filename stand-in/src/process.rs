//! Child processes for tests and measurements: stand-ins and daemons on loopback.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::thread;
use std::time;

/// How long [`Child::wait_listening`] and [`Child::end`] wait.
pub const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// The first port that is given to daemons, and how many there are.
const FIRST_PORT: u16 = 11_000;
const PORTS: u16 = 20_000;

static NEXT_PORT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

const POLL: time::Duration = time::Duration::from_millis(5);

/// Returns loopback addresses with ports that were free a moment ago, all different.
///
/// # Errors
///
/// If the operating system gives no port.
pub fn free_addresses(count: usize) -> buckthorncleat::Result<Vec<net::SocketAddr>> {
    (0..count).map(|_| next_free_address()).collect()
}

/// Takes the next port that can be bound, below those that the system gives to connections: a port
/// from there could be taken by a connection before its daemon listens.
fn next_free_address() -> buckthorncleat::Result<net::SocketAddr> {
    for _ in 0..PORTS {
        let step = NEXT_PORT.fetch_add(1, atomic::Ordering::Relaxed);
        let start = process::id() % u32::from(PORTS);
        let port = FIRST_PORT + ((start + step) % u32::from(PORTS)) as u16;
        if let Ok(listener) = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, port)) {
            return listener
                .local_addr()
                .map_err(failed("read a loopback port"));
        }
    }
    let remedy = "end processes that listen on loopback";
    Err(buckthorncleat::Error::missing(
        "free port",
        FIRST_PORT,
        remedy,
    ))
}

/// Returns a loopback address with a port that was free a moment ago.
///
/// # Errors
///
/// If the operating system gives no port.
pub fn free_address() -> buckthorncleat::Result<net::SocketAddr> {
    Ok(free_addresses(1)?.remove(0))
}

/// Finds a program of the workspace beside the running test or program.
///
/// # Errors
///
/// Says what to build when it is not there.
pub fn program(name: &str) -> buckthorncleat::Result<path::PathBuf> {
    let own = std::env::current_exe().map_err(failed("find the running program"))?;
    let folders = own.ancestors().skip(1).take(2);
    let mut found = folders.map(|folder| folder.join(name));
    found.find(|path| path.is_file()).ok_or_else(|| {
        let remedy = "build it first with `cargo build --workspace`";
        buckthorncleat::Error::missing("program", name, remedy)
    })
}

/// A signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a graceful shutdown.
    Term,
    /// Ends the process at once.
    Kill,
    /// Makes the process stand still.
    Stop,
    /// Lets the process go on.
    Cont,
}

impl Signal {
    fn as_arg(self) -> &'static str {
        match self {
            Self::Term => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Cont => "-CONT",
        }
    }
}

/// A child process; it is killed and waited for when this is dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    child: process::Child,
    stdout: path::PathBuf,
    stderr: path::PathBuf,
}

impl Child {
    /// Starts a program of the workspace; its output goes to `NAME.out` and `NAME.err`.
    ///
    /// A name may be started again in the same folder; the files then start anew.
    ///
    /// # Errors
    ///
    /// If the program is not built or can't be started.
    pub fn start(
        program: &str,
        name: &str,
        args: &[&str],
        logs: &path::Path,
    ) -> buckthorncleat::Result<Self> {
        let stdout = logs.join(format!("{name}.out"));
        let stderr = logs.join(format!("{name}.err"));
        let create = |path| fs::File::create(path).map_err(failed("create a log file"));
        let child = process::Command::new(self::program(program)?)
            .args(args)
            .stdin(process::Stdio::null())
            .stdout(create(&stdout)?)
            .stderr(create(&stderr)?)
            .spawn()
            .map_err(failed("start a program"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            stdout,
            stderr,
        })
    }

    /// Starts `buckthorncleat-stand-in` on a free port and waits until it listens.
    ///
    /// # Errors
    ///
    /// If it can't be started or ends at once.
    pub fn start_stand_in(
        name: &str,
        args: &[&str],
        logs: &path::Path,
    ) -> buckthorncleat::Result<(Self, net::SocketAddr)> {
        Self::start_stand_in_at(name, args, "127.0.0.1:0", logs)
    }

    /// Starts `buckthorncleat-stand-in` on an address and waits until it listens.
    ///
    /// # Errors
    ///
    /// If it can't be started or ends at once.
    pub fn start_stand_in_at(
        name: &str,
        args: &[&str],
        listen: &str,
        logs: &path::Path,
    ) -> buckthorncleat::Result<(Self, net::SocketAddr)> {
        let listening = ["--listen", listen];
        let args: Vec<&str> = args.iter().copied().chain(listening).collect();
        let mut child = Self::start("buckthorncleat-stand-in", name, &args, logs)?;
        let address = child.wait_listening()?;
        Ok((child, address))
    }

    /// Waits for the line `listening ADDR` and returns the address.
    ///
    /// # Errors
    ///
    /// If the process ends or does not print the line in time; the message holds its log.
    pub fn wait_listening(&mut self) -> buckthorncleat::Result<net::SocketAddr> {
        self.wait_for("listening", |output| {
            let line = output
                .lines()
                .find_map(|line| line.strip_prefix("listening "));
            line?.trim().parse().ok()
        })
    }

    /// Waits until the standard output satisfies a test.
    ///
    /// # Errors
    ///
    /// If the process ends first or the time is over; the message holds its log.
    pub fn wait_for<T>(
        &mut self,
        what: &str,
        look: impl Fn(&str) -> Option<T>,
    ) -> buckthorncleat::Result<T> {
        let end = time::Instant::now() + PATIENCE;
        loop {
            let running = self.is_running();
            if let Some(found) = look(&self.output()) {
                return Ok(found);
            }
            if !running || time::Instant::now() > end {
                let state = if running { "is late" } else { "has ended" };
                let reason = format!("{} {state} before {what}: {}", self.name, self.log());
                return Err(buckthorncleat::Error::damaged(reason, "see its log"));
            }
            thread::sleep(POLL);
        }
    }

    /// Returns the name it was started under.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process printed so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.stdout).unwrap_or_default()
    }

    /// Returns what the process logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.stderr).unwrap_or_default()
    }

    /// Tells whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to this one process.
    ///
    /// # Errors
    ///
    /// If the process has ended.
    ///
    /// # Panics
    ///
    /// Panics if `kill` can't deliver the signal to the running child.
    pub fn signal(&mut self, signal: Signal) -> buckthorncleat::Result<()> {
        if !self.is_running() {
            let remedy = "start it again";
            return Err(buckthorncleat::Error::missing(
                "process", &self.name, remedy,
            ));
        }
        let status = process::Command::new("kill")
            .args([signal.as_arg(), &self.pid().to_string()])
            .status()
            .map_err(failed("run `kill`"))?;
        assert!(status.success(), "a running child takes signals");
        Ok(())
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// If the operating system refuses.
    pub fn kill(&mut self) -> buckthorncleat::Result<()> {
        self.child.kill().map_err(failed("kill a process"))?;
        self.child.wait().map_err(failed("wait for a process"))?;
        Ok(())
    }

    /// Waits for the process to end by itself and returns its exit code, if it has one.
    ///
    /// # Errors
    ///
    /// If it does not end in time.
    pub fn wait_end(&mut self) -> buckthorncleat::Result<Option<i32>> {
        let end = time::Instant::now() + PATIENCE;
        while time::Instant::now() < end {
            let status = self
                .child
                .try_wait()
                .map_err(failed("wait for a process"))?;
            if let Some(status) = status {
                return Ok(status.code());
            }
            thread::sleep(POLL);
        }
        let reason = format!("{} does not end: {}", self.name, self.log());
        Err(buckthorncleat::Error::damaged(reason, "see its log"))
    }

    /// Asks for a graceful shutdown, waits for it and returns the exit code.
    ///
    /// # Errors
    ///
    /// If the process has ended before or does not end in time.
    pub fn end(&mut self) -> buckthorncleat::Result<Option<i32>> {
        self.signal(Signal::Term)?;
        self.wait_end()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        if self.is_running() {
            let _ = self.kill();
        }
    }
}

fn failed(doing: &str) -> impl Fn(io::Error) -> buckthorncleat::Error {
    move |e| buckthorncleat::Error::io(doing, e)
}
