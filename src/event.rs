//! Events of one process in causal order over all processes.
//!
//! Each event carries a hybrid logical clock: the wall clock, held back from going down, and a
//! counter for events of the same millisecond. Every message between processes carries the clock
//! of its sender, so that an effect is never shown before its cause.

use std::collections;
use std::sync;

use crate::clock;
use crate::id;
use crate::macros;

/// The events that one process keeps: a few minutes of a busy gateway, in 3 MB.
pub const RING_EVENTS: usize = 16_384;

macros::data! {copy
    /// A reading of the hybrid logical clock.
    #[derive(Default)]
    pub struct Stamp {
        /// Milliseconds since 1970 on the wall clock, never lower than a stamp seen before.
        pub wall: u64,
        /// The order among stamps of the same millisecond.
        pub counter: u32,
    }
}

macros::data! {copy
    /// The kind of an event.
    #[serde(rename_all = "kebab-case")]
    pub enum Kind {
        /// The process started.
        Started,
        /// The process began a graceful shutdown.
        Draining,
        /// The process ends.
        Stopped,
        /// A member of the control group became leader.
        LeaderElected,
        /// A member of the control group stopped being leader.
        LeaderLost,
        /// A configuration came into force here.
        Configured,
        /// The freshness lease ended; keyed requests are refused.
        LeaseLost,
        /// The freshness lease was renewed after an end.
        LeaseRegained,
        /// A request arrived.
        Arrived,
        /// A request was refused.
        Refused,
        /// A request was charged to its account.
        Charged,
        /// A request got its place.
        Placed,
        /// A prefill ended.
        Prefilled,
        /// KV cache was imported by the decode engine.
        Transferred,
        /// The first token came.
        FirstToken,
        /// A stream broke and is taken up again.
        Resumed,
        /// A request was answered.
        Answered,
        /// A request was cancelled by its caller.
        Cancelled,
        /// A non-idempotent call was claimed.
        Claimed,
        /// A claimed call was settled.
        Settled,
        /// A request was marked as one that crashes servers.
        Quarantined,
        /// A connection went silent and was replaced.
        Redialled,
        /// A message was not authentic, or was sent again, and was dropped.
        FrameRefused,
        /// The ownership of a role changed.
        OwnerChanged,
        /// A backend server failed.
        ServerFailed,
        /// Engine memory held by a request that is gone was freed.
        OrphanFreed,
    }
}

macros::data! {
    /// Something that happened in one process.
    pub struct Event {
        /// When, on the hybrid logical clock.
        pub at: Stamp,
        /// The instance that saw it.
        pub instance: id::InstanceId,
        /// What happened.
        pub kind: Kind,
        /// The request concerned, if one is.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub request: Option<id::RequestId>,
        /// More in words, such as the reason or the server's name.
        pub detail: String,
    }
}

/// Keeps the last [`RING_EVENTS`] events of a process and its hybrid logical clock.
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
    /// Makes an empty recorder for an instance.
    pub fn new(instance: id::InstanceId) -> Self {
        Self {
            instance,
            inner: sync::Mutex::default(),
        }
    }

    /// Returns the instance whose events these are.
    pub fn instance(&self) -> &id::InstanceId {
        &self.instance
    }

    /// Records an event that concerns no single request.
    pub fn record(&self, kind: Kind, detail: impl Into<String>) {
        self.push(kind, None, detail.into());
    }

    /// Records an event of a request.
    pub fn record_request(&self, kind: Kind, request: id::RequestId, detail: impl Into<String>) {
        self.push(kind, Some(request), detail.into());
    }

    /// Returns a new stamp, for a message that leaves the process.
    pub fn stamp(&self) -> Stamp {
        self.lock().tick(clock::wall_millis())
    }

    /// Takes in the stamp of a message that arrived.
    pub fn observe(&self, stamp: Stamp) {
        let mut inner = self.lock();
        inner.last = inner.last.max(stamp);
    }

    /// Returns the kept events after `since`, oldest first.
    pub fn events_since(&self, since: Stamp) -> Vec<Event> {
        let inner = self.lock();
        let first = inner.ring.partition_point(|e| e.at <= since);
        inner.ring.range(first..).cloned().collect()
    }

    fn push(&self, kind: Kind, request: Option<id::RequestId>, detail: String) {
        let mut inner = self.lock();
        let at = inner.tick(clock::wall_millis());
        if inner.ring.len() == RING_EVENTS {
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

/// Merges the events of several processes into causal order.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.at, &a.instance).cmp(&(b.at, &b.instance)));
    events.dedup();
    events
}
