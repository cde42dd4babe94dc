//! Follows the body of a server's answer and tells whether it may end where it is.

use hyper::header;

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The `Content-Length`.
    Length,
    /// The last chunk.
    Chunked,
    /// The end of the connection, which a server that stops early causes too.
    UntilClose,
}

impl Framing {
    fn from_headers(headers: &header::HeaderMap) -> Self {
        let encodings = headers.get_all(header::TRANSFER_ENCODING);
        let is_chunked = |value: &header::HeaderValue| {
            let last = value.as_bytes().rsplit(|b| *b == b',').next();
            last.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(b"chunked"))
        };
        if encodings.iter().next_back().is_some_and(is_chunked) {
            Self::Chunked
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    /// Returns the name in the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until close",
        }
    }
}

/// How far a body has been read.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    framing: Framing,
    /// `None` for a body that does not consist of events.
    events: Option<Position>,
    has_content_type: bool,
    is_empty: bool,
}

impl Progress {
    /// Begins a body with these headers.
    pub fn new(headers: &header::HeaderMap) -> Self {
        let content_type = headers.get(header::CONTENT_TYPE);
        let is_event_stream = content_type.is_some_and(|value| {
            let essence = value.as_bytes().split(|b| *b == b';').next();
            essence.is_some_and(|e| e.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"))
        });
        Self {
            framing: Framing::from_headers(headers),
            events: is_event_stream.then(Position::default),
            has_content_type: content_type.is_some(),
            is_empty: true,
        }
    }

    /// Takes a body for events if it has no `Content-Type`.
    pub fn expect_events(&mut self) {
        if !self.has_content_type && self.events.is_none() {
            self.events = Some(Position::default());
        }
    }

    /// Moves over the next bytes of the body.
    pub fn advance(&mut self, bytes: &[u8]) {
        self.is_empty &= bytes.is_empty();
        if let Some(position) = &mut self.events {
            position.advance(bytes);
        }
    }

    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether an event has begun and its blank line has not come yet.
    pub fn is_inside_event(&self) -> bool {
        self.events.is_some_and(Position::is_inside_event)
    }

    /// Returns whether a body that ends here by its framing is complete, when its request may not have
    /// been written to its end.
    ///
    /// A server that has not received the whole request can't have answered it with success and
    /// closed the connection; it was stopped.
    pub fn may_end_with(&self, status: hyper::StatusCode, is_request_written: bool) -> bool {
        let ends_with_connection = self.framing == Framing::UntilClose
            && status.is_success()
            && status != hyper::StatusCode::NO_CONTENT;
        (is_request_written || !ends_with_connection) && self.may_end()
    }

    /// Returns whether a body that ends here by its framing is complete.
    ///
    /// A stream that ends inside an event has been broken off. One that ends with its connection
    /// before the first event can't be told from one that was.
    pub fn may_end(&self) -> bool {
        let may_be_empty = self.events.is_none() || self.framing != Framing::UntilClose;
        !self.is_inside_event() && (may_be_empty || !self.is_empty)
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
