//! At which software version of a service each stream began.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began
//! it, whichever router its caller comes back to. The replicated log has the versions that may have
//! begun a stream which still lasts, and, for services with several of them, the streams. A version is
//! in the log before any router may use its servers. So where the log has one version of a service,
//! each stream of it began there; where it has several, a stream that it does not name is unknown.

mod registry;
mod release;

use crate::document;
use crate::fleet::message;
use crate::id;
use crate::macros;
use crate::sorted;

pub use registry::Registry;

/// The most streams that one generation holds; further ones are unknown.
pub const MAX_STREAMS: usize = 32_768;

macros::data! {copy
    /// The XXH3 digest of a client account and the request id of the attempt that began a stream.
    pub struct StreamId(u128);
}

impl StreamId {
    /// Makes the id of the stream that an account's attempt begins.
    pub fn new(account: Option<&id::ClientAccountId>, request: &str) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(account.map_or("", |a| a.as_str()).as_bytes());
        hasher.update(&[0]);
        hasher.update(request.as_bytes());
        Self(hasher.digest128())
    }

    /// Makes the id under which the log has that routes which send streams to `service` sent them to
    /// `former` before.
    fn for_succession(service: &document::ServiceId, former: &document::ServiceId) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        // No account's name is empty or begins so; see `new`.
        hasher.update(b"\0succession\0");
        hasher.update(service.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(former.as_str().as_bytes());
        Self(hasher.digest128())
    }
}

macros::data! {key
    /// A software version of a service, at which a stream began and may go on.
    pub struct Origin {
        pub service: document::ServiceId,
        /// `None` for servers whose version the platform's list does not say.
        pub version: Option<id::SoftwareVersion>,
    }
}

impl Origin {
    /// Returns the version at which a server of the list begins streams; `None` for one that only
    /// processes prompts.
    pub fn from_server(server: &message::Server) -> Option<Self> {
        let generates = server.stage != Some(message::Stage::Prefill);
        generates.then(|| Self {
            service: server.service.clone(),
            version: server.version.clone(),
        })
    }
}

macros::data! {
    /// The origin of one stream.
    pub struct Record {
        pub stream: StreamId,
        pub origin: Origin,
    }
}

macros::data! {
    /// A change of the replicated origins.
    #[derive(Default)]
    pub struct Batch {
        /// Whether a new generation begins; what only the last but one has is forgotten.
        pub rotate: bool,
        /// Versions that may begin streams from now on.
        pub versions: Vec<Origin>,
        /// Streams that have begun.
        pub streams: Vec<Record>,
    }
}

macros::data! {
    /// The replicated origins, in two generations.
    #[derive(Default)]
    pub struct Origins {
        current: Generation,
        previous: Generation,
    }
}

macros::data! {
    #[derive(Default)]
    struct Generation {
        /// Sorted.
        versions: Vec<Origin>,
        streams: sorted::Map<StreamId, Origin>,
    }
}

impl Origins {
    /// Applies a change. The first origin of a stream holds; streams beyond [`MAX_STREAMS`] stay
    /// unknown.
    pub fn apply(&mut self, batch: &Batch) {
        if batch.rotate {
            self.previous = std::mem::take(&mut self.current);
        }
        for version in &batch.versions {
            if let Err(at) = self.current.versions.binary_search(version) {
                self.current.versions.insert(at, version.clone());
            }
        }
        for record in &batch.streams {
            let is_full = self.current.streams.len() >= MAX_STREAMS;
            if is_full || self.get(&record.stream).is_some() {
                continue;
            }
            let origin = record.origin.clone();
            self.current.streams.insert(record.stream, origin);
        }
    }

    /// Returns the origin of a stream; `None` when it is not recorded.
    pub fn get(&self, stream: &StreamId) -> Option<&Origin> {
        let current = self.current.streams.get(stream);
        current.or_else(|| self.previous.streams.get(stream))
    }

    /// Returns whether a stream is not forgotten at the next rotation.
    fn has_current_stream(&self, stream: &StreamId) -> bool {
        self.current.streams.contains(stream)
    }

    /// Returns whether a version is kept for the full time from now on, also if a rotation is being
    /// committed.
    fn has_current(&self, origin: &Origin) -> bool {
        self.current.versions.binary_search(origin).is_ok()
    }

    /// Returns the versions of all services that may have begun a stream which still lasts, sorted.
    fn versions(&self) -> Vec<&Origin> {
        let generations = [&self.current, &self.previous];
        let mut versions: Vec<_> = generations.iter().flat_map(|g| &g.versions).collect();
        versions.sort();
        versions.dedup();
        versions
    }

    /// Returns the services of which several versions may have begun streams, sorted.
    pub fn mixed(&self) -> Vec<document::ServiceId> {
        let versions = self.versions();
        let several = versions.windows(2).filter(|w| w[0].service == w[1].service);
        let mut mixed: Vec<_> = several.map(|w| w[0].service.clone()).collect();
        mixed.dedup();
        mixed
    }

    /// Returns the version at which every stream of these services began; `None` when there is none or
    /// more than one. Those that are `withheld` from all routers have begun none.
    fn only_version(
        &self,
        services: &[document::ServiceId],
        withheld: &[&Origin],
    ) -> Option<&Origin> {
        let mut versions = self.versions();
        versions.retain(|v| services.contains(&v.service) && !withheld.contains(v));
        match versions[..] {
            [only] => Some(only),
            _ => None,
        }
    }

    fn is_empty_but(&self, listed: &[Origin]) -> bool {
        self.current.streams.is_empty()
            && self.previous.streams.is_empty()
            && self.current.versions == listed
            && self.previous.versions.iter().all(|v| listed.contains(v))
    }
}

macros::data! {
    /// A router's question for the origin of a stream.
    pub struct Question {
        /// `None` when the caller does not name the stream.
        pub stream: Option<StreamId>,
        /// The services that it may have begun at.
        pub services: Vec<document::ServiceId>,
    }
}

macros::data! {
    /// The leader's answer to a [`Question`].
    pub enum Answer {
        /// The stream began here.
        Known(Origin),
        /// The leader may learn it soon.
        Wait,
        /// It is not known, and will not be.
        Unknown,
    }
}
