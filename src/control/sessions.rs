//! The sessions of gateways, at the member that leads the control group.

use std::sync;

use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock;
use crate::controller::membership;
use crate::id;
use crate::replica::group;
use crate::sorted;
use crate::state::change;

/// Most changes of the membership that are queued; a change beyond it is decided again later.
const MAX_QUEUED_CHANGES: usize = 1_024;

/// A watch is held for at most the session time divided by this, so that no session ends while a
/// watch is held.
const WATCH_WAITS_PER_SESSION: u64 = 4;

/// Most incarnations of gateways whose last sent settled epoch is kept.
const MAX_SENT_EPOCHS: usize = 4_096;

/// Runs the session state machine with the clock and the replicated configuration.
#[derive(Debug)]
pub struct Sessions {
    /// The control group, which holds the replicated state.
    pub group: group::Group,
    clock: clock::Clock,
    max_watch_wait: clock::Millis,
    inner: sync::Mutex<Inner>,
    settled: watch::Sender<id::Epoch>,
    changes: mpsc::Sender<Proposal>,
    /// The queue of changes, for the task that proposes them.
    pub queue: tokio::sync::Mutex<mpsc::Receiver<Proposal>>,
}

/// A change of the membership, and the term of the leader that decided it.
#[derive(Debug)]
pub struct Proposal {
    pub change: change::Change,
    /// The change must not be proposed in any other term.
    pub term: id::Term,
}

#[derive(Debug)]
struct Inner {
    membership: membership::Membership,
    led_term: Option<id::Term>,
    /// The settled epoch that was last sent to each incarnation.
    sent_epochs: sorted::Map<id::Incarnation, id::Epoch>,
}

impl Sessions {
    /// Creates the sessions of a member that does not lead yet; `session` is the session time.
    pub fn new(group: group::Group, clock: clock::Clock, session: clock::Millis) -> Self {
        let (changes, queue) = mpsc::channel(MAX_QUEUED_CHANGES);
        Self {
            group,
            clock,
            max_watch_wait: clock::Millis::new(session.as_u64() / WATCH_WAITS_PER_SESSION),
            inner: sync::Mutex::new(Inner {
                membership: membership::Membership::new(session),
                led_term: None,
                sent_epochs: sorted::Map::new(),
            }),
            settled: watch::Sender::default(),
            changes,
            queue: tokio::sync::Mutex::new(queue),
        }
    }

    /// Passes an input to the state machine and queues the changes to propose.
    pub fn step_and_queue(&self, input: membership::Input) {
        for proposal in self.step(input) {
            if let Err(e) = self.changes.try_send(proposal) {
                // The queue is full; a later watch or tick decides on the change again.
                self.mark_decided(&e.into_inner().change);
            }
        }
    }

    /// Tells the state machine that a proposed change was applied or certainly never will be.
    pub fn mark_decided(&self, change: &change::Change) {
        let instance = match change {
            change::Change::PutMember(member) => member.id.clone(),
            change::Change::RemoveMember(instance) => instance.clone(),
            _ => return,
        };
        let more = self.step(membership::Input::Decided(instance));
        assert!(more.is_empty(), "a decision alone proposes nothing");
    }

    /// Returns whether a gateway's watch may be answered, which renews its lease.
    pub fn may_answer(&self, instance: &id::InstanceId, incarnation: id::Incarnation) -> bool {
        let inner = self.lock();
        inner.membership.may_answer(instance, incarnation)
    }

    /// Passes an input to the state machine, if this member leads, and returns the changes to
    /// propose.
    pub fn step(&self, input: membership::Input) -> Vec<Proposal> {
        let leads = self.group.watch().borrow().leads;
        let mut inner = self.lock();
        let is_new = leads.is_some() && leads != inner.led_term;
        inner.led_term = leads;
        let Some(term) = leads else {
            return Vec::new();
        };
        let now = self.clock.now();
        let changes = self.group.with_state(|state| {
            if is_new {
                inner.sent_epochs.clear();
                let none = inner
                    .membership
                    .step(now, state.config(), membership::Input::Elected);
                assert!(
                    none.is_empty(),
                    "a new leader gives all members a session first"
                );
            }
            inner.membership.step(now, state.config(), input)
        });
        let settled = inner.membership.settled();
        drop(inner);
        self.settled.send_if_modified(|current| {
            let changed = *current != settled;
            *current = settled;
            changed
        });
        let propose = |change| Proposal { change, term };
        changes.into_iter().map(propose).collect()
    }

    pub fn max_watch_wait(&self) -> clock::Millis {
        self.max_watch_wait
    }

    /// Returns a receiver of the settled epoch, the newest one that every member has applied.
    pub fn watch_settled(&self) -> watch::Receiver<id::Epoch> {
        self.settled.subscribe()
    }

    /// Returns whether the settled epoch differs from the one last sent to a gateway's incarnation.
    pub fn has_unsent_epoch(&self, incarnation: id::Incarnation) -> bool {
        let inner = self.lock();
        inner.sent_epochs.get(&incarnation) != Some(&inner.membership.settled())
    }

    /// Returns the settled epoch and records it as sent to a gateway's incarnation.
    pub fn mark_settled_sent(&self, incarnation: id::Incarnation) -> id::Epoch {
        let mut inner = self.lock();
        let settled = inner.membership.settled();
        if inner.sent_epochs.len() >= MAX_SENT_EPOCHS {
            // Each dropped gateway gets one more answer than it needs.
            inner.sent_epochs.clear();
        }
        inner.sent_epochs.insert(incarnation, settled);
        settled
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
