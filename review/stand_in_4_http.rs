//! HTTP/1.1 on plain sockets, as far as the cases need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    /// Returns method and target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

fn parse_head(head: &[u8]) -> Message {
    let text = String::from_utf8_lossy(head);
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    });
    Message {
        start,
        headers: headers.collect(),
        body: Vec::new(),
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|w| w == pattern)
}

/// Reads more bytes until `deadline`; returns false at the end of the connection.
fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>, deadline: Instant) -> io::Result<bool> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(left))?;
    let mut chunk = [0; 16 << 10];
    let count = stream.read(&mut chunk)?;
    buf.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>, deadline: Instant) -> io::Result<Message> {
    loop {
        if let Some(end) = find(buf, b"\r\n\r\n") {
            let message = parse_head(&buf[..end]);
            buf.drain(..end + 4);
            return Ok(message);
        }
        if !fill(stream, buf, deadline)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Reads a request; its body has a length or is empty.
pub fn read_request(stream: &mut TcpStream) -> io::Result<Message> {
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut buf = Vec::new();
    let mut message = read_head(stream, &mut buf, deadline)?;
    let length = message.header("content-length").unwrap_or("0").parse();
    let length: usize = length.unwrap_or(0);
    while buf.len() < length {
        if !fill(stream, &mut buf, deadline)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    buf.truncate(length);
    message.body = buf;
    Ok(message)
}

/// How an answer ended at the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Complete,
    /// The connection ended before that.
    Cut,
    /// The client waited long enough, and closed the connection.
    GaveUp,
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// `None` if no head came.
    pub head: Option<Message>,
    pub end: End,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Message::status)
    }
}

/// Sends a request on a connection of its own and reads the answer. The client gives up after `patience`
/// without a byte, and at the `deadline`.
pub fn call(to: SocketAddr, request: &[u8], patience: Duration, deadline: Duration) -> Answer {
    let none = |end| Answer { head: None, end };
    let deadline = Instant::now() + deadline;
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return none(End::Cut);
    };
    if stream.write_all(request).is_err() {
        return none(End::Cut);
    }
    let until = || deadline.min(Instant::now() + patience);
    let end_of = |e: io::Error| match e.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => End::GaveUp,
        _ => End::Cut,
    };
    let mut buf = Vec::new();
    let mut head = match read_head(&mut stream, &mut buf, until()) {
        Ok(head) => head,
        Err(e) => return none(end_of(e)),
    };
    let length = head.header("content-length").and_then(|l| l.parse().ok());
    let is_chunked = head.header("transfer-encoding") == Some("chunked");
    let end = loop {
        let is_whole = match (length, is_chunked) {
            (Some(length), _) => buf.len() >= length,
            (None, true) => buf.ends_with(b"0\r\n\r\n"),
            (None, false) => false,
        };
        if is_whole {
            break End::Complete;
        }
        match fill(&mut stream, &mut buf, until()) {
            Ok(true) => {}
            Ok(false) if length.is_none() && !is_chunked => break End::Complete,
            Ok(false) => break End::Cut,
            Err(e) => break end_of(e),
        }
    };
    head.body = buf;
    Answer {
        head: Some(head),
        end,
    }
}

/// Makes an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}
