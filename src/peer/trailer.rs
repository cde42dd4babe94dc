//! What builds after the first release add to encoded data, after the bytes of that release.
//!
//! The first release decodes a value and ignores the bytes that follow it, so both builds read the
//! same data. The trailer names the protocol version of its writer; sections that a reader does not
//! know are skipped.

use crate::error;
use crate::macros;

macros::number! {
    /// The version of the protocol between processes that a build speaks, which is also the version
    /// of the data that it stores. [`FIRST`] is the first release.
    ProtocolVersion
}

/// The version that the first release speaks, whose data has no trailer.
pub const FIRST: ProtocolVersion = ProtocolVersion::new(1);

/// The version that this build speaks.
pub const CURRENT: ProtocolVersion = ProtocolVersion::new(2);

/// The names of sections. A name is never used again for other content.
pub mod section {
    /// Data centres that are being evacuated.
    pub const EVACUATIONS: u32 = 1;
    /// Servers that are or may be cold.
    pub const COLD_SERVERS: u32 = 2;
    /// The version that all processes speak.
    pub const FEATURE_LEVEL: u32 = 3;
    /// Shares of quotas; in a snapshot, what accounts were allowed.
    pub const QUOTAS: u32 = 4;
    /// How old the server list is.
    pub const ORIGINS: u32 = 5;
    /// Services that a router does not reach.
    pub const PATHS: u32 = 6;
    /// Verdicts on what crashes servers; in a summary, when they end.
    pub const VERDICTS: u32 = 7;
    /// Servers that ended under a run.
    pub const ENDED: u32 = 8;
    /// Servers that the platform's list named.
    pub const KNOWN_SERVERS: u32 = 9;
}

macros::data! {
    /// The version of the writer and what it adds.
    pub struct Trailer {
        pub version: ProtocolVersion,
        sections: Vec<(u32, Vec<u8>)>,
    }
}

impl Default for Trailer {
    /// Makes the trailer of a build of the first release.
    fn default() -> Self {
        Self {
            version: FIRST,
            sections: Vec::new(),
        }
    }
}

impl Trailer {
    /// Makes a trailer of this build without sections.
    pub fn new() -> Self {
        Self {
            version: CURRENT,
            sections: Vec::new(),
        }
    }

    /// Adds a section.
    ///
    /// # Errors
    ///
    /// Fails when the content can't be encoded, which is a bug.
    pub fn add<T: serde::Serialize>(&mut self, name: u32, content: &T) -> error::Result<()> {
        self.sections.push((name, encode(content)?));
        Ok(())
    }

    /// Returns the content of a section; `None` when there is no such section.
    ///
    /// # Errors
    ///
    /// Fails when the section can't be decoded.
    pub fn get<T: serde::de::DeserializeOwned>(&self, name: u32) -> error::Result<Option<T>> {
        let section = self.sections.iter().find(|(n, _)| *n == name);
        let content = section.map(|(_, content)| postcard::from_bytes(content));
        content.transpose().map_err(|e| {
            let what = format!("section {name} of protocol version {}: {e}", self.version);
            error::Error::damaged(what, format!("this build speaks version {CURRENT}"))
        })
    }

    /// Encodes a value with this trailer.
    ///
    /// # Errors
    ///
    /// Fails when the value can't be encoded, which is a bug.
    pub fn append_to<T: serde::Serialize>(&self, value: &T) -> error::Result<Vec<u8>> {
        let mut buf = encode(value)?;
        buf.extend(encode(self)?);
        Ok(buf)
    }

    /// Decodes a value and the trailer after it.
    ///
    /// # Errors
    ///
    /// Fails when the bytes can't be decoded; the error names the version of this build.
    pub fn split<T: serde::de::DeserializeOwned>(buf: &[u8]) -> error::Result<(T, Self)> {
        let damaged = |e: postcard::Error| {
            let what = format!("data for protocol version {CURRENT}: {e}");
            error::Error::damaged(what, "run builds of the same or the next release")
        };
        let (value, rest) = postcard::take_from_bytes(buf).map_err(damaged)?;
        if rest.is_empty() {
            return Ok((value, Self::default()));
        }
        let trailer = postcard::from_bytes(rest).map_err(damaged)?;
        Ok((value, trailer))
    }
}

fn encode<T: serde::Serialize>(value: &T) -> error::Result<Vec<u8>> {
    postcard::to_stdvec(value)
        .map_err(|e| error::Error::damaged(format!("encoding: {e}"), "report this fault"))
}
