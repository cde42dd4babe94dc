//! The sessions of entry instances at the leader of the control group.
//!
//! A watch is a heartbeat. An instance that is no member yet, or whose record changed, is put into
//! the log; one that is silent for the session time is taken out. A new life under the name of a
//! member waits until the session of the old life has ended, since the old process may still run
//! on its freshness lease. Only the leader's clock counts here: a lease at an instance starts when
//! it sends a watch, a session starts when that watch arrives, and the session is longer. A new
//! leader gives all members a full session, as it does not know when the old leader heard them.

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::change;
use crate::state::model;

/// The epochs whose revisions are kept until all members have them.
const MAX_EPOCHS: usize = 64;

/// What happens to the sessions.
#[derive(Clone, Debug)]
pub enum Input {
    /// This member of the control group became leader.
    Lead,
    /// An instance sent a watch.
    Watch {
        /// The instance as it wants to be a member.
        member: model::Member,
        /// The revision that it has in force.
        have: id::Revision,
    },
    /// An instance said its last word: it holds no role and runs no request any more.
    Leave {
        /// The name of the instance.
        instance: id::InstanceId,
        /// The life that leaves.
        incarnation: id::Incarnation,
    },
    /// The change of an instance that was proposed is applied, or surely never will be.
    ///
    /// Without this, for a change whose end is not known, nothing else is proposed for the
    /// instance in this term: a change that is committed late must not hit a later life.
    Decided(id::InstanceId),
    /// Time passed, or the configuration changed.
    Tick,
}

/// The sessions of entry instances.
#[derive(Debug)]
pub struct Membership {
    session: clock::Millis,
    sessions: sorted::Map<id::InstanceId, Session>,
    /// The instances with a proposed change that is not decided.
    proposed: Vec<id::InstanceId>,
    /// The lives whose end was proposed and may be committed at any time.
    ending: sorted::Map<id::InstanceId, id::Incarnation>,
    epochs: Vec<EpochFrom>,
    settled: id::Epoch,
}

#[derive(Debug)]
struct Session {
    incarnation: id::Incarnation,
    heard_at: clock::Millis,
    have: id::Revision,
    has_left: bool,
}

macros::data! {copy
    /// The first revision at which an epoch was seen.
    struct EpochFrom {
        epoch: id::Epoch,
        revision: id::Revision,
    }
}

impl Membership {
    /// Makes the sessions of a leader; a session ends after `session` without a watch.
    pub fn new(session: clock::Millis) -> Self {
        Self {
            session,
            sessions: sorted::Map::new(),
            proposed: Vec::new(),
            ending: sorted::Map::new(),
            epochs: Vec::new(),
            settled: id::Epoch::default(),
        }
    }

    /// Takes one input and returns the changes to propose.
    ///
    /// # Panics
    ///
    /// Panics when the epoch of the configuration goes down.
    pub fn step(
        &mut self,
        now: clock::Millis,
        config: &change::Config,
        input: Input,
    ) -> Vec<change::Change> {
        self.note_epoch(config);
        self.forget_ended(config);
        let mut changes = Vec::new();
        match input {
            Input::Lead => self.lead(now, config),
            Input::Watch { member, have } => {
                changes.extend(self.take_watch(now, config, member, have));
            }
            Input::Leave {
                instance,
                incarnation,
            } => changes.extend(self.take_leave(config, instance, incarnation)),
            Input::Decided(instance) => self.proposed.retain(|p| *p != instance),
            Input::Tick => self.end_sessions(now, config, &mut changes),
        }
        self.settle(config);
        changes
    }

    /// Tells whether a life's watch may be answered, which renews its lease.
    ///
    /// Once its end was proposed it may not, even if it is heard again: the end can be committed
    /// after the answer. It is answered when the configuration no longer holds it.
    pub fn may_answer(&self, instance: &id::InstanceId, incarnation: id::Incarnation) -> bool {
        self.ending.get(instance) != Some(&incarnation)
    }

    /// Returns the newest epoch that every member is known to have in force.
    ///
    /// A new leader starts at zero and learns it anew; those who asked before keep the highest
    /// answer, since an epoch once settled stays so.
    pub fn settled(&self) -> id::Epoch {
        self.settled
    }

    fn lead(&mut self, now: clock::Millis, config: &change::Config) {
        self.proposed.clear();
        self.ending.clear();
        self.sessions.clear();
        self.settled = id::Epoch::default();
        self.epochs.clear();
        self.note_epoch(config);
        for member in config.members.values() {
            let session = Session {
                incarnation: member.incarnation,
                heard_at: now,
                have: id::Revision::default(),
                has_left: false,
            };
            self.sessions.insert(member.id.clone(), session);
        }
    }

    fn take_watch(
        &mut self,
        now: clock::Millis,
        config: &change::Config,
        member: model::Member,
        have: id::Revision,
    ) -> Option<change::Change> {
        let current = config.members.get(&member.id);
        if !self.may_answer(&member.id, member.incarnation) || self.has_left(&member) {
            return None;
        }
        if current.is_some_and(|c| self.may_still_run(now, c, &member)) {
            return None;
        }
        let session = Session {
            incarnation: member.incarnation,
            heard_at: now,
            have,
            has_left: false,
        };
        self.sessions.insert(member.id.clone(), session);
        if current == Some(&member) {
            return None;
        }
        if !self.may_propose(&member.id) {
            return None;
        }
        if let Some(old) = current.filter(|c| c.incarnation != member.incarnation) {
            self.ending.insert(old.id.clone(), old.incarnation);
        }
        Some(change::Change::PutMember(member))
    }

    /// Tells whether a watch was overtaken by the goodbye of the same life.
    fn has_left(&self, member: &model::Member) -> bool {
        let session = self.sessions.get(&member.id);
        session.is_some_and(|s| s.has_left && s.incarnation == member.incarnation)
    }

    /// Tells whether another life under the newcomer's name may still serve on its lease.
    fn may_still_run(
        &self,
        now: clock::Millis,
        current: &model::Member,
        newcomer: &model::Member,
    ) -> bool {
        if current.incarnation == newcomer.incarnation {
            return false;
        }
        let session = self.sessions.get(&current.id);
        session.is_some_and(|s| {
            let ended = s.has_left || now >= s.heard_at + self.session;
            s.incarnation == current.incarnation && !ended
        })
    }

    fn take_leave(
        &mut self,
        config: &change::Config,
        instance: id::InstanceId,
        incarnation: id::Incarnation,
    ) -> Option<change::Change> {
        let session = self.sessions.get_mut(&instance)?;
        if session.incarnation != incarnation {
            return None;
        }
        session.has_left = true;
        let current = config.members.get(&instance)?;
        if current.incarnation != incarnation {
            return None;
        }
        self.ending.insert(instance.clone(), incarnation);
        let may_propose = self.may_propose(&instance);
        may_propose.then_some(change::Change::RemoveMember(instance))
    }

    fn end_sessions(
        &mut self,
        now: clock::Millis,
        config: &change::Config,
        changes: &mut Vec<change::Change>,
    ) {
        for member in config.members.values() {
            let session = self.sessions.get(&member.id);
            let alive = session.is_some_and(|s| {
                // A new life that was heard takes the place by its own watch.
                let ends = self.ending.get(&member.id) == Some(&s.incarnation);
                let gone = ends && s.incarnation == member.incarnation;
                now < s.heard_at + self.session && !gone
            });
            if !alive && self.may_propose(&member.id) {
                self.ending.insert(member.id.clone(), member.incarnation);
                changes.push(change::Change::RemoveMember(member.id.clone()));
            }
        }
        let session = self.session;
        self.sessions
            .retain(|instance, s| config.members.contains(instance) || now < s.heard_at + session);
    }

    fn forget_ended(&mut self, config: &change::Config) {
        self.ending.retain(|instance, incarnation| {
            let member = config.members.get(instance);
            member.is_some_and(|m| m.incarnation == *incarnation)
        });
    }

    /// Tells whether nothing is under way for an instance, and notes that now something is.
    fn may_propose(&mut self, instance: &id::InstanceId) -> bool {
        if self.proposed.contains(instance) {
            return false;
        }
        self.proposed.push(instance.clone());
        true
    }

    fn note_epoch(&mut self, config: &change::Config) {
        let newest = self.epochs.last().map(|e| e.epoch);
        assert!(
            newest.is_none_or(|e| e <= config.epoch),
            "the epoch never goes down"
        );
        if newest == Some(config.epoch) {
            return;
        }
        if self.epochs.len() == MAX_EPOCHS {
            self.epochs.remove(0);
        }
        // The configuration may be past the revision that made the epoch: late is safe.
        self.epochs.push(EpochFrom {
            epoch: config.epoch,
            revision: config.revision,
        });
    }

    fn settle(&mut self, config: &change::Config) {
        let have = |member: &model::Member| {
            let session = self.sessions.get(&member.id);
            let session = session.filter(|s| s.incarnation == member.incarnation);
            session.map_or_else(id::Revision::default, |s| s.have)
        };
        let lowest = config.members.values().map(have).min();
        let lowest = lowest.unwrap_or(config.revision);
        let known = self.epochs.iter().rev().find(|e| e.revision <= lowest);
        if let Some(known) = known {
            self.settled = self.settled.max(known.epoch);
        }
        assert!(
            self.settled <= config.epoch,
            "only present epochs are settled"
        );
    }
}
