//! Records the events of a process so that those of several processes sort in causal order.
//!
//! Each event carries a reading of a hybrid logical clock: the wall clock, which is never allowed
//! to decrease, and a counter for events of the same millisecond. Every message between processes
//! carries the reading of its sender, so that an effect never sorts before its cause.

use std::collections;
use std::sync;

use crate::clock;
use crate::id;
use crate::macros;

/// The most events that a process keeps: a few minutes of a busy gateway, in about 3 MB.
pub const MAX_EVENTS: usize = 16_384;

macros::data! {copy
    /// A reading of the hybrid logical clock.
    #[derive(Default)]
    pub struct Stamp {
        /// Milliseconds since 1970 on the wall clock, never lower than in any stamp seen before.
        pub wall: u64,
        /// Orders the stamps of the same millisecond.
        pub counter: u32,
    }
}

macros::data! {copy
    /// The kind of an event.
    #[serde(rename_all = "kebab-case")]
    pub enum Kind {
        Started,
        /// The process began a graceful shutdown.
        Draining,
        /// The process ends.
        Stopped,
        /// A member of the control group became leader.
        LeaderElected,
        /// A member of the control group stopped being leader.
        LeaderLost,
        /// The process applied a configuration.
        Configured,
        /// The freshness lease expired; requests that need a key are refused.
        LeaseLost,
        /// The freshness lease was renewed after it had expired.
        LeaseRegained,
        Arrived,
        Refused,
        /// A request was charged to its account.
        Charged,
        /// A backend server was chosen for a request.
        Placed,
        /// The prefill of a request ended.
        Prefilled,
        /// The decode engine imported the KV cache of a request.
        Transferred,
        /// The first token of an answer arrived.
        FirstToken,
        /// A stream broke and is resumed at another server.
        Resumed,
        Answered,
        /// A request was cancelled by its caller.
        Cancelled,
        /// A non-idempotent call was claimed, so that it runs at most once.
        Claimed,
        /// The outcome of a claimed call was recorded.
        Settled,
        /// A request was marked as one that crashes servers.
        Quarantined,
        /// A connection between processes was silent for too long and was replaced.
        Redialled,
        /// A message that failed authentication or was replayed was dropped.
        FrameRefused,
        OwnerChanged,
        ServerFailed,
        /// Engine memory of a request that no longer exists was freed.
        OrphanFreed,
    }
}

macros::data! {
    /// Something that happened in one process.
    pub struct Event {
        pub at: Stamp,
        /// The instance that recorded the event.
        pub instance: id::InstanceId,
        pub kind: Kind,
        /// The request concerned; `None` for an event of the process itself.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub request: Option<id::RequestId>,
        /// Free text, such as a reason or the name of a server.
        pub detail: String,
    }
}

/// Keeps the last [`MAX_EVENTS`] events of a process and its hybrid logical clock.
#[derive(Debug)]
pub struct Recorder {
    instance: id::InstanceId,
    inner: sync::Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    last: Stamp,
    ring: collections::VecDeque<Event>,
}

impl Recorder {
    pub fn new(instance: id::InstanceId) -> Self {
        Self {
            instance,
            inner: sync::Mutex::default(),
        }
    }

    pub fn instance(&self) -> &id::InstanceId {
        &self.instance
    }

    /// Records an event of the process itself.
    pub fn record(&self, kind: Kind, detail: impl Into<String>) {
        self.push(kind, None, detail.into());
    }

    /// Records an event of a request.
    pub fn record_request(&self, kind: Kind, request: id::RequestId, detail: impl Into<String>) {
        self.push(kind, Some(request), detail.into());
    }

    /// Advances the clock and returns its reading, for a message that is to be sent.
    pub fn stamp(&self) -> Stamp {
        self.lock().tick(clock::wall_millis())
    }

    /// Advances the clock to the stamp of a received message, if that is later.
    pub fn observe(&self, stamp: Stamp) {
        let mut inner = self.lock();
        inner.last = inner.last.max(stamp);
    }

    /// Returns the events kept that are later than `since`, oldest first.
    pub fn events_since(&self, since: Stamp) -> Vec<Event> {
        let inner = self.lock();
        let first = inner.ring.partition_point(|e| e.at <= since);
        inner.ring.range(first..).cloned().collect()
    }

    fn push(&self, kind: Kind, request: Option<id::RequestId>, detail: String) {
        let mut inner = self.lock();
        let at = inner.tick(clock::wall_millis());
        if inner.ring.len() == MAX_EVENTS {
            inner.ring.pop_front();
        }
        inner.ring.push_back(Event {
            at,
            instance: self.instance.clone(),
            kind,
            request,
            detail,
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Inner {
    /// Advances the clock to the wall clock, or by the counter if the wall clock is not ahead.
    fn tick(&mut self, wall: u64) -> Stamp {
        self.last = if wall > self.last.wall {
            Stamp { wall, counter: 0 }
        } else {
            Stamp {
                wall: self.last.wall,
                counter: self.last.counter + 1,
            }
        };
        self.last
    }
}

/// Sorts the events of several processes into causal order and drops duplicates.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.at, &a.instance).cmp(&(b.at, &b.instance)));
    events.dedup();
    events
}
