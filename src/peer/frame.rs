//! Frames: authenticated envelopes, each around one message.

use std::collections;
use std::path;

use hmac::Mac as _;

use crate::error;
use crate::event;
use crate::id;
use crate::macros;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// Length of the authentication code.
const MAC_BYTES: usize = 32;

const MIN_SECRET_BYTES: usize = 16;

/// Span of sequence numbers, up to the highest one received, within which a late frame can be told
/// from a repeated one; frames below it are refused.
const REPLAY_WINDOW: u64 = 4_096;

/// Most senders whose sequence numbers are kept; the one first heard from is evicted first.
const MAX_SENDERS: usize = 4_096;

/// The secret that all processes of the system share.
#[derive(Clone)]
pub struct Secret(std::sync::Arc<[u8]>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// # Errors
    ///
    /// Fails when there are fewer than 16 bytes.
    pub fn from_bytes(bytes: &[u8]) -> error::Result<Self> {
        if bytes.len() < MIN_SECRET_BYTES {
            let remedy = "put at least 16 random bytes into the secret file";
            return Err(error::Error::bad_value("secret", "(hidden)", remedy));
        }
        Ok(Self(bytes.into()))
    }

    /// Reads the secret from a file, without the white space at its start and end.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or the secret is too short.
    pub fn from_file(path: &path::Path) -> error::Result<Self> {
        let bytes = std::fs::read(path)
            .map_err(|e| error::Error::io(format!("reading secret file {}", path.display()), e))?;
        Self::from_bytes(bytes.trim_ascii())
    }

    /// Returns the authentication code of a text under this secret.
    pub fn sign(&self, text: &[u8]) -> [u8; MAC_BYTES] {
        let mut mac = self.mac();
        mac.update(text);
        mac.finalize().into_bytes().into()
    }

    /// Returns whether `code` is the authentication code of `text`.
    pub fn verify(&self, text: &[u8], code: &[u8]) -> bool {
        let mut mac = self.mac();
        mac.update(text);
        mac.verify_slice(code).is_ok()
    }

    fn mac(&self) -> HmacSha256 {
        HmacSha256::new_from_slice(&self.0).expect("HMAC takes a secret of any length")
    }
}

macros::data! {
    /// The header of a frame: sender, receiver and sequence number.
    pub struct Header {
        pub from: id::InstanceId,
        pub from_incarnation: id::Incarnation,
        /// The incarnation of the receiver that the sender knows; zero when it knows none.
        pub to_incarnation: id::Incarnation,
        /// The number of the request, unique within the sender's incarnation; a reply has the number
        /// of its request.
        pub sequence: u64,
        /// The sender's hybrid logical clock.
        pub stamp: event::Stamp,
    }
}

/// A frame to be sent, or one whose authentication code was verified.
#[derive(Clone, Debug)]
pub struct Frame {
    pub header: Header,
    /// The encoded message.
    pub body: Vec<u8>,
}

impl Frame {
    /// Encodes and signs a frame.
    ///
    /// # Errors
    ///
    /// Fails when the header can't be encoded.
    pub fn to_bytes(&self, secret: &Secret) -> error::Result<Vec<u8>> {
        let mut buf = postcard::to_stdvec(&self.header).map_err(|e| {
            error::Error::damaged(format!("frame header: {e}"), "report this fault")
        })?;
        buf.extend_from_slice(&self.body);
        let code = secret.sign(&buf);
        buf.extend_from_slice(&code);
        Ok(buf)
    }

    /// Verifies and decodes a frame.
    ///
    /// # Errors
    ///
    /// Fails when the frame is too short, not authentic or of another version of the program.
    pub fn from_bytes(buf: &[u8], secret: &Secret) -> error::Result<Self> {
        let signed = buf.len().checked_sub(MAC_BYTES).ok_or_else(not_authentic)?;
        let (text, code) = buf.split_at(signed);
        if !secret.verify(text, code) {
            return Err(not_authentic());
        }
        let (header, body) = postcard::take_from_bytes(text).map_err(|e| {
            error::Error::damaged(format!("frame header: {e}"), "run one version everywhere")
        })?;
        let body = body.to_vec();
        Ok(Self { header, body })
    }
}

fn not_authentic() -> error::Error {
    let remedy = "give every process the same secret file";
    error::Error::damaged("a frame that is not authentic", remedy)
}

/// Tells new frames from repeated ones by the sequence numbers of each sender.
#[derive(Debug, Default)]
pub struct ReplayFilter {
    senders: collections::HashMap<id::Incarnation, SenderWindow>,
    order: collections::VecDeque<id::Incarnation>,
}

#[derive(Debug, Default)]
struct SenderWindow {
    highest: u64,
    recent: collections::BTreeSet<u64>,
}

impl ReplayFilter {
    /// Returns whether the frame is received for the first time, and records it.
    pub fn accept(&mut self, header: &Header) -> bool {
        if !self.senders.contains_key(&header.from_incarnation) {
            self.evict_oldest_sender();
            self.order.push_back(header.from_incarnation);
        }
        let window = self.senders.entry(header.from_incarnation).or_default();
        if header.sequence + REPLAY_WINDOW <= window.highest
            || !window.recent.insert(header.sequence)
        {
            return false;
        }
        window.highest = window.highest.max(header.sequence);
        let oldest = window.highest.saturating_sub(REPLAY_WINDOW);
        while window
            .recent
            .first()
            .is_some_and(|s| *s <= oldest && window.highest > REPLAY_WINDOW)
        {
            window.recent.pop_first();
        }
        true
    }

    fn evict_oldest_sender(&mut self) {
        if self.order.len() < MAX_SENDERS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.senders.remove(&oldest);
        }
    }
}
