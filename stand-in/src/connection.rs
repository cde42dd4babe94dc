//! TCP connections that record the bytes they receive and can be made silent.

use std::collections;
use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::net;

/// The most bytes recorded per connection; the oldest are dropped first.
pub const MAX_KEPT_BYTES: usize = 64 << 10;

/// The most connections whose bytes are recorded; the oldest are dropped first.
pub const MAX_KEPT_CONNECTIONS: usize = 256;

/// The bytes that one connection received, for tests that check them.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Received {
    /// The number of the connection; the first accepted is 1.
    pub connection: u64,
    /// The number of bytes dropped from the start of the record.
    pub dropped_bytes: u64,
    /// The recorded bytes as text; invalid UTF-8 is replaced by U+FFFD.
    pub text: String,
}

#[derive(Debug, Default)]
struct Kept {
    dropped_bytes: u64,
    bytes: collections::VecDeque<u8>,
}

impl Kept {
    fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
        let excess = self.bytes.len().saturating_sub(MAX_KEPT_BYTES);
        self.bytes.drain(..excess);
        self.dropped_bytes += excess as u64;
    }
}

/// The registry's entry for one accepted connection.
#[derive(Debug, Default)]
pub struct Entry {
    number: u64,
    silent: atomic::AtomicBool,
    kept: sync::Mutex<Kept>,
}

impl Entry {
    /// Returns the number of the connection; the first accepted is 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    fn is_silent(&self) -> bool {
        self.silent.load(atomic::Ordering::Relaxed)
    }
}

/// The accepted connections of one server, oldest first.
#[derive(Debug, Default)]
pub struct Registry {
    entries: sync::Mutex<collections::VecDeque<sync::Arc<Entry>>>,
    accepted: atomic::AtomicU64,
}

impl Registry {
    /// Registers a newly accepted connection.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the registry's lock.
    pub fn accept(&self, stream: net::TcpStream) -> Connection {
        let number = self.accepted.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        let entry = sync::Arc::new(Entry {
            number,
            ..Entry::default()
        });
        let mut entries = self.entries.lock().expect("registry lock");
        entries.push_back(sync::Arc::clone(&entry));
        while entries.len() > MAX_KEPT_CONNECTIONS {
            entries.pop_front();
        }
        Connection { stream, entry }
    }

    /// Makes all registered connections silent for good, except the one with this number.
    ///
    /// Connections that are accepted later are not affected.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the registry's lock.
    pub fn silence_all_but(&self, number: u64) {
        for entry in self.entries.lock().expect("registry lock").iter() {
            let silent = entry.number != number;
            entry.silent.fetch_or(silent, atomic::Ordering::Relaxed);
        }
    }

    /// Returns what each registered connection received, oldest connection first.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the registry's lock.
    pub fn received(&self) -> Vec<Received> {
        let entries = self.entries.lock().expect("registry lock");
        entries.iter().map(|entry| received(entry)).collect()
    }
}

fn received(entry: &Entry) -> Received {
    let mut kept = entry.kept.lock().expect("bytes lock");
    Received {
        connection: entry.number,
        dropped_bytes: kept.dropped_bytes,
        text: String::from_utf8_lossy(kept.bytes.make_contiguous()).into_owned(),
    }
}

/// A TCP connection that records what it reads.
///
/// Once silent, it reads nothing and discards what is written, but stays open.
#[derive(Debug)]
pub struct Connection {
    stream: net::TcpStream,
    entry: sync::Arc<Entry>,
}

impl Connection {
    /// Returns the registry's entry for this connection.
    pub fn entry(&self) -> &sync::Arc<Entry> {
        &self.entry
    }
}

impl tokio::io::AsyncRead for Connection {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.entry.is_silent() {
            return task::Poll::Pending;
        }
        let before = buf.filled().len();
        let poll = tokio::io::AsyncRead::poll_read(pin::Pin::new(&mut self.stream), cx, buf);
        let new = &buf.filled()[before..];
        self.entry.kept.lock().expect("bytes lock").push(new);
        poll
    }
}

impl tokio::io::AsyncWrite for Connection {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        if self.entry.is_silent() {
            return task::Poll::Ready(Ok(buf.len()));
        }
        tokio::io::AsyncWrite::poll_write(pin::Pin::new(&mut self.stream), cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        tokio::io::AsyncWrite::poll_flush(pin::Pin::new(&mut self.stream), cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.entry.is_silent() {
            return task::Poll::Pending;
        }
        tokio::io::AsyncWrite::poll_shutdown(pin::Pin::new(&mut self.stream), cx)
    }
}
