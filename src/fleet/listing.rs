//! The platform's list of backend servers on its way from the leader to the gateways.
//!
//! A list is named by the digest of its content, so that the name holds under any leader and for a
//! gateway that read the list itself. A gateway that has one of the last lists gets the changes
//! against it, any other gateway the whole list.

use std::collections;
use std::io::Read as _;
use std::io::Write as _;

use flate2::read;
use flate2::write;

use crate::error;
use crate::fleet::message;
use crate::id;
use crate::macros;

/// The number of former lists against which changes are sent. The platform's list is read at most
/// twice a second, so this covers a gateway that was cut off for some seconds.
const KEPT_LISTS: usize = 8;

/// The upper bound of a list before compression.
const MAX_PLAIN_BYTES: u64 = 64 << 20;

macros::data! {copy
    /// The XXH3 digest of the servers of a list, in the order of their ids.
    pub struct ListDigest(pub u64);
}

macros::data! {
    /// Turns one list into another, compressed.
    pub struct Update {
        /// The list that this is applied to; `None` for a whole list.
        pub base: Option<ListDigest>,
        /// The list that results.
        pub result: ListDigest,
        content: Vec<u8>,
    }
}

macros::data! {
    /// The content of an [`Update`].
    #[derive(Default)]
    struct Changes {
        /// New servers and those with other properties than in the base.
        changed: Vec<message::Server>,
        removed: Vec<id::BackendServerId>,
    }
}

/// A list of backend servers, sorted by their ids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    servers: Vec<message::Server>,
    digest: ListDigest,
}

impl List {
    /// Makes a list of servers in any order; of servers with one id the first counts.
    ///
    /// # Errors
    ///
    /// Fails when the servers can't be encoded, which is a fault in the program.
    pub fn new(mut servers: Vec<message::Server>) -> error::Result<Self> {
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        servers.dedup_by(|a, b| a.id == b.id);
        let digest = ListDigest(xxhash_rust::xxh3::xxh3_64(&encode(&servers)?));
        Ok(Self { servers, digest })
    }

    pub fn servers(&self) -> &[message::Server] {
        &self.servers
    }

    pub fn digest(&self) -> ListDigest {
        self.digest
    }

    /// Returns the list that an update makes of `base`.
    ///
    /// # Errors
    ///
    /// Fails when the update is for another list, or is damaged.
    pub fn from_update(base: Option<&Self>, update: &Update) -> error::Result<Self> {
        let base_servers = match update.base {
            None => &[],
            Some(digest) => match base.filter(|b| b.digest == digest) {
                Some(base) => base.servers(),
                None => return Err(damaged("it changes a list that is not in force here")),
            },
        };
        let changes = update.unpack()?;
        let kept = base_servers.iter().filter(|s| {
            changes.removed.binary_search(&s.id).is_err()
                && changes
                    .changed
                    .binary_search_by(|c| c.id.cmp(&s.id))
                    .is_err()
        });
        let list = Self::new(kept.chain(&changes.changed).cloned().collect())?;
        if list.digest != update.result {
            return Err(damaged("the resulting list has another digest"));
        }
        Ok(list)
    }

    /// Returns what must be changed in `base` to get this list.
    fn changes_from(&self, base: &[message::Server]) -> Changes {
        let find = |servers: &[message::Server], id: &id::BackendServerId| {
            servers.binary_search_by(|s| s.id.cmp(id)).ok()
        };
        let is_changed =
            |s: &&message::Server| find(base, &s.id).is_none_or(|index| base[index] != **s);
        let is_removed = |s: &&message::Server| find(&self.servers, &s.id).is_none();
        Changes {
            changed: self.servers.iter().filter(is_changed).cloned().collect(),
            removed: base
                .iter()
                .filter(is_removed)
                .map(|s| s.id.clone())
                .collect(),
        }
    }
}

impl Update {
    fn new(base: Option<&List>, result: &List) -> error::Result<Self> {
        let changes = result.changes_from(base.map_or(&[], List::servers));
        let plain = encode(&changes)?;
        let mut encoder = write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
        let packed = encoder.write_all(&plain).and_then(|()| encoder.finish());
        Ok(Self {
            base: base.map(List::digest),
            result: result.digest,
            content: packed.map_err(|e| error::Error::io("compressing a server list", e))?,
        })
    }

    fn unpack(&self) -> error::Result<Changes> {
        let mut plain = Vec::new();
        read::DeflateDecoder::new(self.content.as_slice())
            .take(MAX_PLAIN_BYTES)
            .read_to_end(&mut plain)
            .map_err(|e| error::Error::io("decompressing a server list", e))?;
        postcard::from_bytes(&plain).map_err(|e| damaged(&e.to_string()))
    }

    /// Returns the size of the compressed content in bytes.
    pub fn content_len(&self) -> usize {
        self.content.len()
    }
}

/// The newest list at the leader and the updates to it, which are made once for all gateways.
#[derive(Debug, Default)]
pub struct History {
    newest: Option<List>,
    former: collections::VecDeque<List>,
    updates: Vec<Update>,
}

impl History {
    pub fn newest(&self) -> Option<&List> {
        self.newest.as_ref()
    }

    /// Sets the newest list and returns whether it differs from the one before.
    pub fn set(&mut self, list: List) -> bool {
        if self.newest.as_ref() == Some(&list) {
            return false;
        }
        self.updates.clear();
        self.former.retain(|l| l.digest != list.digest);
        self.former.extend(self.newest.replace(list));
        while self.former.len() > KEPT_LISTS {
            self.former.pop_front();
        }
        true
    }

    /// Returns the update for a gateway that has the list `known`; `None` if that is the newest one,
    /// or there is none yet.
    ///
    /// # Errors
    ///
    /// Fails when there is not enough memory to compress the update.
    pub fn update_for(&mut self, known: Option<ListDigest>) -> error::Result<Option<Update>> {
        let Some(newest) = self.newest.as_ref().filter(|l| known != Some(l.digest)) else {
            return Ok(None);
        };
        let base = self.former.iter().find(|l| known == Some(l.digest));
        let base_digest = base.map(List::digest);
        if let Some(update) = self.updates.iter().find(|u| u.base == base_digest) {
            return Ok(Some(update.clone()));
        }
        let update = Update::new(base, newest)?;
        self.updates.push(update.clone());
        Ok(Some(update))
    }
}

fn encode<T: serde::Serialize>(value: &T) -> error::Result<Vec<u8>> {
    postcard::to_stdvec(value)
        .map_err(|e| error::Error::damaged(format!("server list: {e}"), "report this fault"))
}

fn damaged(reason: &str) -> error::Error {
    error::Error::damaged(
        format!("update of the server list: {reason}"),
        "none needed: the whole list is asked for",
    )
}
