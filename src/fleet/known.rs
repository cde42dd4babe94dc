//! The servers that the platform's list named before, by entries of their own.
//!
//! Bytes of other writers in the list may be the parts of one damaged entry, with sound entries between
//! them, or an entry that holds copies of others, which may be out of date. The text does not tell which. So
//! a server that only such an enclosed entry names is used only if an entry of its own named it before. The
//! replicated log keeps which those are: after a loss of all processes nothing else does.

use crate::error;
use crate::fleet::message;
use crate::macros;
use crate::router::discovery;

/// The most servers that are kept.
const MAX_KNOWN: usize = 16_384;

macros::data! {copy
    /// The XXH3 digest of what stays the same while a server runs: its id, service, address, data centre,
    /// version and start.
    pub struct ServerDigest(u64);
}

impl ServerDigest {
    /// Returns the digest of a server.
    ///
    /// # Errors
    ///
    /// Fails when the server can't be encoded, which is a bug.
    pub fn from_server(server: &message::Server) -> error::Result<Self> {
        let identity = (
            &server.id,
            &server.service,
            server.address,
            &server.data_centre,
            &server.version,
            server.started_at,
        );
        let encoded = postcard::to_stdvec(&identity).map_err(|e| {
            error::Error::damaged(format!("server {}: {e}", server.id), "report this fault")
        })?;
        Ok(Self(xxhash_rust::xxh3::xxh3_64(&encoded)))
    }
}

macros::data! {
    /// What turns one set of known servers into another.
    #[derive(Default)]
    pub struct Change {
        added: Vec<ServerDigest>,
        removed: Vec<ServerDigest>,
    }
}

macros::data! {
    /// The servers that entries of their own named, sorted.
    #[derive(Default)]
    pub struct Known(Vec<ServerDigest>);
}

impl Known {
    /// Makes the set of some servers.
    ///
    /// # Errors
    ///
    /// Fails when a server can't be encoded, which is a bug.
    pub fn from_servers(servers: &[message::Server]) -> error::Result<Self> {
        let digests = servers.iter().map(ServerDigest::from_server);
        let mut digests = digests.collect::<error::Result<Vec<_>>>()?;
        digests.sort_unstable();
        digests.dedup();
        digests.truncate(MAX_KNOWN);
        Ok(Self(digests))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn contains(&self, digest: ServerDigest) -> bool {
        self.0.binary_search(&digest).is_ok()
    }

    /// Adds the known ones of the enclosed servers to a list that was read, and returns what is known after
    /// it.
    ///
    /// # Errors
    ///
    /// Fails when a server can't be encoded, which is a bug.
    pub fn recover(&self, listed: &mut discovery::Listed) -> error::Result<Self> {
        if listed.damaged == 0 {
            return Self::from_servers(&listed.servers);
        }
        // A server that has an entry of its own, too, is enclosed as a copy, which may outlast that entry.
        let (copies, mut enclosed): (Vec<_>, Vec<_>) = std::mem::take(&mut listed.enclosed)
            .into_iter()
            .partition(|e| listed.servers.iter().any(|s| s.id == e.server.id));
        let copied = |s: &message::Server| copies.iter().any(|c| c.server.id == s.id);
        let named = listed.servers.iter().filter(|s| !copied(s)).cloned();
        let mut named: Vec<_> = named.collect();
        let digests = enclosed
            .iter()
            .map(|e| ServerDigest::from_server(&e.server));
        let digests = digests.collect::<error::Result<Vec<_>>>()?;
        let mut digests = digests.into_iter();
        enclosed.retain(|_| digests.next().is_some_and(|d| self.contains(d)));
        // Of several with one id, the one that wants no new work counts.
        enclosed.sort_by_key(|e| {
            let is_ready = e.server.state == message::ServerState::Ready;
            (e.server.id.clone(), is_ready)
        });
        enclosed.dedup_by(|a, b| a.server.id == b.server.id);
        listed.recovered = enclosed.len();
        for found in enclosed {
            let cold = found.cold.map(|left| (found.server.id.clone(), left));
            listed.cold.extend(cold);
            named.push(found.server.clone());
            listed.servers.push(found.server);
        }
        Self::from_servers(&named)
    }

    /// Returns what turns this set into another one; `None` when they are the same.
    pub fn change_to(&self, next: &Self) -> Option<Change> {
        let missing = |from: &Self, to: &Self| -> Vec<ServerDigest> {
            let digests = from.0.iter().copied();
            digests.filter(|d| !to.contains(*d)).collect()
        };
        let change = Change {
            added: missing(next, self),
            removed: missing(self, next),
        };
        (change != Change::default()).then_some(change)
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &Change) {
        self.0.retain(|d| !change.removed.contains(d));
        self.0.extend(&change.added);
        self.0.sort_unstable();
        self.0.dedup();
        self.0.truncate(MAX_KNOWN);
    }
}
