//! The sessions of gateways at this member, while it leads.

use std::sync;

use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock;
use crate::controller::membership;
use crate::id;
use crate::replica::group;
use crate::sorted;
use crate::state::change;

/// The changes of the membership that wait to be proposed; more are proposed again later.
const WAITING_CHANGES: usize = 1_024;

/// The held watches that fit into a session, so that none ends while a watch is held.
const WAITS_A_SESSION: u64 = 4;

/// The lives of gateways whose last answer is remembered.
const MAX_TOLD: usize = 4_096;

/// The session state machine, with the clock and the configuration that it needs.
#[derive(Debug)]
pub struct Sessions {
    /// The replicated state.
    pub group: group::Group,
    clock: clock::Clock,
    longest_wait: clock::Millis,
    inner: sync::Mutex<Inner>,
    settled: watch::Sender<id::Epoch>,
    changes: mpsc::Sender<Proposed>,
    /// The changes to propose, for the one task that does.
    pub to_propose: tokio::sync::Mutex<mpsc::Receiver<Proposed>>,
}

/// A change of the membership, and the term of the leader that decided it.
#[derive(Debug)]
pub struct Proposed {
    /// The change.
    pub change: change::Change,
    /// The term; in another one the change is void.
    pub term: id::Term,
}

#[derive(Debug)]
struct Inner {
    membership: membership::Membership,
    led_term: Option<id::Term>,
    told: sorted::Map<id::Incarnation, id::Epoch>,
}

impl Sessions {
    /// Makes the sessions of a member that does not lead yet.
    pub fn new(group: group::Group, clock: clock::Clock, session: clock::Millis) -> Self {
        let (changes, to_propose) = mpsc::channel(WAITING_CHANGES);
        Self {
            group,
            clock,
            longest_wait: clock::Millis::new(session.as_u64() / WAITS_A_SESSION),
            inner: sync::Mutex::new(Inner {
                membership: membership::Membership::new(session),
                led_term: None,
                told: sorted::Map::new(),
            }),
            settled: watch::Sender::default(),
            changes,
            to_propose: tokio::sync::Mutex::new(to_propose),
        }
    }

    /// Hands an input to the state machine and queues what it proposes.
    pub fn step(&self, input: membership::Input) {
        for proposed in self.decide(input) {
            if let Err(e) = self.changes.try_send(proposed) {
                // It is decided again when the session is looked at next.
                self.decided(&e.into_inner().change);
            }
        }
    }

    /// Takes in that a proposed change is applied or surely never will be.
    pub fn decided(&self, change: &change::Change) {
        let instance = match change {
            change::Change::PutMember(member) => member.id.clone(),
            change::Change::RemoveMember(instance) => instance.clone(),
            _ => return,
        };
        let more = self.decide(membership::Input::Decided(instance));
        assert!(more.is_empty(), "a decision alone proposes nothing");
    }

    /// Tells whether a gateway's watch may be answered, which renews its lease.
    pub fn may_answer(&self, instance: &id::InstanceId, incarnation: id::Incarnation) -> bool {
        let inner = self.lock();
        inner.membership.may_answer(instance, incarnation)
    }

    /// Hands an input to the state machine, if this member leads, and returns what it proposes.
    pub fn decide(&self, input: membership::Input) -> Vec<Proposed> {
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
                inner.told.clear();
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
        self.settled.send_if_modified(|shown| {
            let changed = *shown != settled;
            *shown = settled;
            changed
        });
        let propose = |change| Proposed { change, term };
        changes.into_iter().map(propose).collect()
    }

    /// Returns how long a watch may be held.
    pub fn longest_wait(&self) -> clock::Millis {
        self.longest_wait
    }

    /// Follows the settled epoch.
    pub fn watch_settled(&self) -> watch::Receiver<id::Epoch> {
        self.settled.subscribe()
    }

    /// Tells whether a gateway's life was told another settled epoch than the present one.
    pub fn has_news(&self, incarnation: id::Incarnation) -> bool {
        let inner = self.lock();
        inner.told.get(&incarnation) != Some(&inner.membership.settled())
    }

    /// Returns the settled epoch and notes that a gateway's life is told so.
    pub fn tell_settled(&self, incarnation: id::Incarnation) -> id::Epoch {
        let mut inner = self.lock();
        let settled = inner.membership.settled();
        if inner.told.len() >= MAX_TOLD {
            // Those forgotten are answered once more than they need.
            inner.told.clear();
        }
        inner.told.insert(incarnation, settled);
        settled
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
