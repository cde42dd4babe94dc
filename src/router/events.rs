//! Splits a byte stream into server-sent events.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

use crate::http::memory;
use crate::http::progress;

/// Size limit of an event; a longer one is taken for damaged data. All streams of a router may be
/// inside one at once.
pub const MAX_EVENT_BYTES: usize = 128 << 10;

/// Buffers bytes and returns each event once it is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    memory: memory::Share,
    scanned: usize,
    /// Position after the scanned bytes.
    position: progress::Position,
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// The event id, if it has a numeric one.
    pub id: Option<u64>,
    /// Whether it has one id and data, and does not look like a part of an event or like two of them.
    pub is_single: bool,
    /// Whether it has a field, and not only comments.
    pub has_fields: bool,
}

impl Splitter {
    /// Appends bytes; returns false when the buffered data exceeds the size limit of an event, or the
    /// memory that the process has left.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES && self.memory.resize(self.buf.len())
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.copy_to_bytes(end);
        self.memory.resize(self.buf.len());
        self.scanned = 0;
        let (id, is_single) = (event_id(&bytes), is_single(&bytes));
        let has_fields = lines(&bytes).any(|line| !line.is_empty() && !line.starts_with(b":"));
        Some(Event {
            bytes,
            id,
            is_single,
            has_fields,
        })
    }

    /// Takes what is buffered after the last event: nothing but blank lines if the stream ended
    /// regularly.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(self).buf.freeze()
    }

    /// Returns the length of the first event, including the blank line that ends it.
    fn find_end(&mut self) -> Option<usize> {
        for (at, byte) in self.buf.iter().enumerate().skip(self.scanned) {
            let was_inside = self.position.is_inside_event();
            self.position.advance(&[*byte]);
            if was_inside && !self.position.is_inside_event() {
                let crlf = *byte == b'\r' && self.buf.get(at + 1) == Some(&b'\n');
                return Some(at + 1 + usize::from(crlf));
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|b| matches!(b, b'\r' | b'\n'))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut ids = lines(event).filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}

/// Returns whether the lines are those of one event as servers write them: with one id, with data, and with
/// no field in two places. Where a byte of the blank line is wrong, two events become one.
fn is_single(event: &[u8]) -> bool {
    let mut names: Vec<&[u8]> = Vec::new();
    let mut ids = 0;
    for line in lines(event).filter(|line| !line.is_empty()) {
        let name = line.split(|b| *b == b':').next().unwrap_or_default();
        ids += usize::from(name == b"id");
        if names.last() == Some(&name) {
            continue;
        }
        if names.contains(&name) {
            return false;
        }
        names.push(name);
    }
    ids == 1 && names.contains(&&b"data"[..])
}
