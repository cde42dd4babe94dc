//! Starts and controls stand-ins and daemons as child processes, for tests and measurements.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use crate::ports;

/// The longest time to wait for a child process to print an expected line or to end.
pub const CHILD_TIMEOUT: time::Duration = time::Duration::from_secs(30);

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Returns different loopback addresses that no other process gets as long as this one runs.
///
/// # Errors
///
/// Returns an error if all ports for tests are taken.
pub fn free_addresses(count: usize) -> buckthorncleat::Result<Vec<net::SocketAddr>> {
    let claimed: io::Result<_> = (0..count).map(|_| ports::claim()).collect();
    claimed.map_err(io_error("claim loopback ports"))
}

/// Returns a loopback address that no other process gets as long as this one runs.
///
/// # Errors
///
/// Returns an error if all ports for tests are taken.
pub fn free_address() -> buckthorncleat::Result<net::SocketAddr> {
    Ok(free_addresses(1)?.remove(0))
}

/// Returns the path of a program of the workspace, found beside the running test or program.
///
/// # Errors
///
/// Returns an error that says what to build if the program is not there.
pub fn program(name: &str) -> buckthorncleat::Result<path::PathBuf> {
    let own = std::env::current_exe().map_err(io_error("find the running program"))?;
    let folders = own.ancestors().skip(1).take(2);
    let mut found = folders.map(|folder| folder.join(name));
    found.find(|path| path.is_file()).ok_or_else(|| {
        let remedy = "build it first with `cargo build --workspace`";
        buckthorncleat::Error::missing("program", name, remedy)
    })
}

/// A signal to a child process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: requests a graceful shutdown.
    Term,
    /// SIGKILL: ends the process at once.
    Kill,
    /// SIGSTOP: suspends the process.
    Stop,
    /// SIGCONT: resumes a suspended process.
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

/// A child process, which is killed and waited for when this is dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    child: process::Child,
    stdout: path::PathBuf,
    stderr: path::PathBuf,
}

impl Child {
    /// Starts a program of the workspace, with its output in `NAME.out` and `NAME.err` in `logs`.
    ///
    /// When a name is used again in the same folder, its files are overwritten.
    ///
    /// # Errors
    ///
    /// Returns an error if the program is not built or can't be started.
    pub fn start(
        program: &str,
        name: &str,
        args: &[&str],
        logs: &path::Path,
    ) -> buckthorncleat::Result<Self> {
        let stdout = logs.join(format!("{name}.out"));
        let stderr = logs.join(format!("{name}.err"));
        let create = |path| fs::File::create(path).map_err(io_error("create a log file"));
        let child = process::Command::new(self::program(program)?)
            .args(args)
            .stdin(process::Stdio::null())
            .stdout(create(&stdout)?)
            .stderr(create(&stderr)?)
            .spawn()
            .map_err(io_error("start a program"))?;
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
    /// Returns an error if it can't be started, or ends or times out before it listens.
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
    /// Returns an error if it can't be started, or ends or times out before it listens.
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
    /// Returns an error with the log of the process if it ends before it prints the line, or does
    /// not print it within [`CHILD_TIMEOUT`].
    pub fn wait_listening(&mut self) -> buckthorncleat::Result<net::SocketAddr> {
        self.wait_for("listening", |output| {
            let line = output
                .lines()
                .find_map(|line| line.strip_prefix("listening "));
            line?.trim().parse().ok()
        })
    }

    /// Waits until `look` finds a value in the standard output, and returns the value.
    ///
    /// `what` names the awaited output in the error.
    ///
    /// # Errors
    ///
    /// Returns an error with the log of the process if it ends first, or if nothing is found
    /// within [`CHILD_TIMEOUT`].
    pub fn wait_for<T>(
        &mut self,
        what: &str,
        look: impl Fn(&str) -> Option<T>,
    ) -> buckthorncleat::Result<T> {
        let end = time::Instant::now() + CHILD_TIMEOUT;
        loop {
            let running = self.is_running();
            if let Some(found) = look(&self.output()) {
                return Ok(found);
            }
            if !running || time::Instant::now() > end {
                let state = if running { "timed out" } else { "has ended" };
                let reason = format!(
                    "{} {state} before {what}; its log: {}",
                    self.name,
                    self.log()
                );
                return Err(buckthorncleat::Error::damaged(
                    reason,
                    "find the cause in the log",
                ));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the name that the process was started under.
    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the standard output so far, or an empty text if it can't be read.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.stdout).unwrap_or_default()
    }

    /// Returns the standard error so far, or an empty text if it can't be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.stderr).unwrap_or_default()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to this one process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or `kill` can't be run.
    ///
    /// # Panics
    ///
    /// Panics if `kill` can't deliver the signal.
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
            .map_err(io_error("run `kill`"))?;
        assert!(
            status.success(),
            "`kill` could not signal a running child process"
        );
        Ok(())
    }

    /// Kills the process and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses.
    pub fn kill(&mut self) -> buckthorncleat::Result<()> {
        self.child.kill().map_err(io_error("kill a process"))?;
        self.child.wait().map_err(io_error("wait for a process"))?;
        Ok(())
    }

    /// Waits until the process ends and returns its exit code; `None` if a signal ended it.
    ///
    /// # Errors
    ///
    /// Returns an error with the log of the process if it does not end within [`CHILD_TIMEOUT`].
    pub fn wait_end(&mut self) -> buckthorncleat::Result<Option<i32>> {
        let end = time::Instant::now() + CHILD_TIMEOUT;
        while time::Instant::now() < end {
            let status = self
                .child
                .try_wait()
                .map_err(io_error("wait for a process"))?;
            if let Some(status) = status {
                return Ok(status.code());
            }
            thread::sleep(POLL_INTERVAL);
        }
        let reason = format!("{} did not end in time; its log: {}", self.name, self.log());
        Err(buckthorncleat::Error::damaged(
            reason,
            "find the cause in the log",
        ))
    }

    /// Requests a graceful shutdown, waits for the end and returns the exit code.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended before, or does not end within
    /// [`CHILD_TIMEOUT`].
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

fn io_error(action: &str) -> impl Fn(io::Error) -> buckthorncleat::Error {
    move |e| buckthorncleat::Error::io(action, e)
}
