//! Splits a stream of server-sent events into whole events.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

/// The largest event, in bytes; a longer one is taken for damage.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The events that have arrived as a whole.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    scanned: usize,
}

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes with the blank line that ends it.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

impl Splitter {
    /// Takes in bytes; returns false when an event is longer than any can be.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.copy_to_bytes(end);
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Tells whether part of an event has arrived.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Forgets the part of an event that has arrived.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// Returns where the first event ends: after a blank line.
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
        // The last bytes may be the begin of a blank line.
        self.scanned = self.buf.len().saturating_sub(2);
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
