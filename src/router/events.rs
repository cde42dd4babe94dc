//! Splits a byte stream into server-sent events, and follows where in an event it is.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

/// Size limit of an event; a longer one is taken for damaged data.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers bytes and returns each event once it is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    scanned: usize,
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// The event id, if it has a numeric one.
    pub id: Option<u64>,
}

impl Splitter {
    /// Appends bytes; returns false when the buffered data exceeds the size limit of an event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.copy_to_bytes(end);
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether a part of an event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the buffered part of an event.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// Returns the length of the first event, including the blank line that ends it.
    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while at < self.buf.len() {
            let rest = &self.buf[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
            at += 1;
        }
        // The last bytes may be the start of a blank line.
        self.scanned = self.buf.len().saturating_sub(2);
        None
    }
}

/// Where a byte stream is in its events. Lines end with CR, LF, or both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    line: Line,
    /// Whether the last byte was a CR; an LF after it belongs to the same line end.
    after_cr: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Between two events: nothing but blank lines since the last one, or since the start.
    #[default]
    Between,
    /// At the start of a line of an event.
    Start,
    /// Within a line of an event.
    Within,
}

impl Position {
    /// Moves over the next bytes of the stream.
    pub fn advance(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.step(*byte);
        }
    }

    /// Returns whether an event has begun and its blank line has not come yet.
    pub fn is_inside_event(self) -> bool {
        self.line != Line::Between
    }

    fn step(&mut self, byte: u8) {
        let ends_crlf = self.after_cr && byte == b'\n';
        self.after_cr = byte == b'\r';
        self.line = match (byte, self.line) {
            _ if ends_crlf => self.line,
            (b'\r' | b'\n', Line::Within) => Line::Start,
            (b'\r' | b'\n', Line::Start | Line::Between) => Line::Between,
            _ => Line::Within,
        };
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
