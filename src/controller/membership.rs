//! The sessions of gateways at the leader of the control group.
//!
//! A watch is a gateway's request for configuration changes and serves as its heartbeat. The leader
//! proposes to add an instance that is not a member yet, to update one whose record changed, and to
//! remove one that sent no watch for the session time. A new incarnation of a member is admitted
//! only after the session of the previous incarnation has ended, since the old process may still
//! serve on its freshness lease.
//!
//! Sessions use only the leader's clock. An instance's lease starts when it sends a watch and the
//! session when that watch arrives, and the session is longer, so the lease ends first. A new
//! leader gives all members a full session, as it does not know when their last watches arrived.

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::change;
use crate::state::model;

/// The maximum number of epochs whose first revisions are kept until all members have them.
const MAX_EPOCH_STARTS: usize = 64;

/// An event for [`Membership::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// This member of the control group became the leader.
    Elected,
    /// An instance sent a watch.
    Watch {
        /// The record that the instance wants to have in the membership.
        member: model::Member,
        /// The revision of the configuration that it has in force.
        have: id::Revision,
    },
    /// An instance is about to exit: it serves no role and runs no request any more.
    Leave {
        instance: id::InstanceId,
        /// The incarnation that exits.
        incarnation: id::Incarnation,
    },
    /// The change that was proposed for an instance was applied, or is certain never to be.
    ///
    /// Until then nothing else is proposed for the instance in this term: a change that is
    /// committed late must not affect a later incarnation.
    Decided(id::InstanceId),
    /// Time has passed or the configuration has changed.
    Tick,
}

/// The sessions of gateways at one leader.
#[derive(Debug)]
pub struct Membership {
    session_length: clock::Millis,
    sessions: sorted::Map<id::InstanceId, Session>,
    /// The instances with a proposed change whose outcome is not known yet.
    proposed: Vec<id::InstanceId>,
    /// The incarnations whose removal or replacement was proposed and may be committed at any time.
    ending: sorted::Map<id::InstanceId, id::Incarnation>,
    /// Oldest first.
    epochs: Vec<EpochStart>,
    settled: id::Epoch,
}

#[derive(Debug)]
struct Session {
    incarnation: id::Incarnation,
    /// When the last watch arrived, or when this leader was elected.
    last_watch_at: clock::Millis,
    /// The revision that the instance has in force.
    have: id::Revision,
    /// Whether the instance sent `Leave`.
    has_left: bool,
}

macros::data! {copy
    /// The first revision at which an epoch was seen.
    struct EpochStart {
        epoch: id::Epoch,
        revision: id::Revision,
    }
}

impl Membership {
    /// Makes the state of a leader; a session ends after `session_length` without a watch.
    pub fn new(session_length: clock::Millis) -> Self {
        Self {
            session_length,
            sessions: sorted::Map::new(),
            proposed: Vec::new(),
            ending: sorted::Map::new(),
            epochs: Vec::new(),
            settled: id::Epoch::default(),
        }
    }

    /// Processes one input and returns the changes to propose.
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
        self.record_epoch(config);
        self.prune_ending(config);
        let mut changes = Vec::new();
        match input {
            Input::Elected => self.handle_elected(now, config),
            Input::Watch { member, have } => {
                changes.extend(self.handle_watch(now, config, member, have));
            }
            Input::Leave {
                instance,
                incarnation,
            } => changes.extend(self.handle_leave(config, instance, incarnation)),
            Input::Decided(instance) => self.proposed.retain(|p| *p != instance),
            Input::Tick => self.expire_sessions(now, config, &mut changes),
        }
        self.update_settled(config);
        changes
    }

    /// Returns whether a watch of an incarnation may be answered, which renews its lease.
    ///
    /// It may not once the end of the incarnation was proposed, even if further watches arrive,
    /// since the change could be committed after the answer. When the configuration no longer
    /// contains the incarnation, it may be answered again.
    pub fn may_answer(&self, instance: &id::InstanceId, incarnation: id::Incarnation) -> bool {
        self.ending.get(instance) != Some(&incarnation)
    }

    /// Returns the newest epoch that every member is known to have in force.
    ///
    /// A new leader starts at zero and determines it again; gateways keep the highest epoch that
    /// they were told, since a settled epoch stays settled.
    pub fn settled(&self) -> id::Epoch {
        self.settled
    }

    fn handle_elected(&mut self, now: clock::Millis, config: &change::Config) {
        self.proposed.clear();
        self.ending.clear();
        self.sessions.clear();
        self.settled = id::Epoch::default();
        self.epochs.clear();
        self.record_epoch(config);
        for member in config.members.values() {
            let session = Session {
                incarnation: member.incarnation,
                last_watch_at: now,
                have: id::Revision::default(),
                has_left: false,
            };
            self.sessions.insert(member.id.clone(), session);
        }
    }

    fn handle_watch(
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
            last_watch_at: now,
            have,
            has_left: false,
        };
        self.sessions.insert(member.id.clone(), session);
        if current == Some(&member) {
            return None;
        }
        if !self.try_begin_proposal(&member.id) {
            return None;
        }
        if let Some(old) = current.filter(|c| c.incarnation != member.incarnation) {
            self.ending.insert(old.id.clone(), old.incarnation);
        }
        Some(change::Change::PutMember(member))
    }

    /// Returns whether a watch arrived after the `Leave` of the same incarnation.
    fn has_left(&self, member: &model::Member) -> bool {
        let session = self.sessions.get(&member.id);
        session.is_some_and(|s| s.has_left && s.incarnation == member.incarnation)
    }

    /// Returns whether another incarnation than that of `joining` may still serve on its lease.
    fn may_still_run(
        &self,
        now: clock::Millis,
        current: &model::Member,
        joining: &model::Member,
    ) -> bool {
        if current.incarnation == joining.incarnation {
            return false;
        }
        let session = self.sessions.get(&current.id);
        session.is_some_and(|s| {
            let ended = s.has_left || now >= s.last_watch_at + self.session_length;
            s.incarnation == current.incarnation && !ended
        })
    }

    fn handle_leave(
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
        let is_begun = self.try_begin_proposal(&instance);
        is_begun.then_some(change::Change::RemoveMember(instance))
    }

    fn expire_sessions(
        &mut self,
        now: clock::Millis,
        config: &change::Config,
        changes: &mut Vec<change::Change>,
    ) {
        for member in config.members.values() {
            let session = self.sessions.get(&member.id);
            let alive = session.is_some_and(|s| {
                // If a newer incarnation has a session already, its own watch replaces the member.
                let ends = self.ending.get(&member.id) == Some(&s.incarnation);
                let gone = ends && s.incarnation == member.incarnation;
                now < s.last_watch_at + self.session_length && !gone
            });
            if !alive && self.try_begin_proposal(&member.id) {
                self.ending.insert(member.id.clone(), member.incarnation);
                changes.push(change::Change::RemoveMember(member.id.clone()));
            }
        }
        let session_length = self.session_length;
        self.sessions.retain(|instance, s| {
            config.members.contains(instance) || now < s.last_watch_at + session_length
        });
    }

    fn prune_ending(&mut self, config: &change::Config) {
        self.ending.retain(|instance, incarnation| {
            let member = config.members.get(instance);
            member.is_some_and(|m| m.incarnation == *incarnation)
        });
    }

    /// Marks a proposal for an instance as begun; returns false if another one is still undecided.
    fn try_begin_proposal(&mut self, instance: &id::InstanceId) -> bool {
        if self.proposed.contains(instance) {
            return false;
        }
        self.proposed.push(instance.clone());
        true
    }

    fn record_epoch(&mut self, config: &change::Config) {
        let newest = self.epochs.last().map(|e| e.epoch);
        assert!(
            newest.is_none_or(|e| e <= config.epoch),
            "the epoch never goes down"
        );
        if newest == Some(config.epoch) {
            return;
        }
        if self.epochs.len() == MAX_EPOCH_STARTS {
            self.epochs.remove(0);
        }
        // The configuration may be at a later revision than the one that began the epoch. A later
        // revision is safe: the epoch only counts as settled later.
        self.epochs.push(EpochStart {
            epoch: config.epoch,
            revision: config.revision,
        });
    }

    fn update_settled(&mut self, config: &change::Config) {
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
            "a settled epoch is never newer than the configuration's epoch"
        );
    }
}
