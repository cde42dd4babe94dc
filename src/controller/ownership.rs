//! Decides which instance owns a role, and when it may serve it.
//!
//! Every instance computes the owner of a role from the members of an epoch by rendezvous hashing.
//! An instance that gains a role serves it only once the epoch is settled: every instance that may
//! still act on an older epoch has acknowledged this one. An instance that is cut off stops by
//! itself when its freshness lease ends.
//!
//! The gateway's lease starts when it sends a request, the leader's session for it when that
//! request arrives. With the default lengths of 2,000 ms and 2,500 ms the lease ends first as long
//! as the rates of the two clocks differ by less than a quarter.

use std::mem;

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::model;

macros::data! {key
    /// A task that one instance at a time performs for the whole fleet.
    pub enum Role {
        /// Keeps the token bucket of a client account.
        Limiter(id::ClientAccountId),
        /// Places the requests of a model.
        Scheduler(id::ModelId),
    }
}

macros::data! {copy
    /// Whether this instance serves a role.
    pub enum Serving {
        /// It does.
        Yes,
        /// It owns the role, but the previous owner may not have stopped yet.
        Wait,
        /// Another instance owns the role, or this instance's freshness lease has ended.
        No,
    }
}

macros::data! {
    /// A role that this instance started or stopped serving.
    pub enum Change {
        /// The role is served from now on, without any state of an earlier time.
        Started(Role),
        /// The role is no longer served.
        Stopped(Role),
    }
}

macros::data! {
    /// A role that another instance gains directly from this one, in the epoch after the last one
    /// in which this instance owned it.
    pub struct HandOver {
        pub role: Role,
        /// The epoch in which the other instance gains it.
        pub epoch: id::Epoch,
    }
}

macros::data! {copy
    struct OwnedRole {
        /// The epoch since which this instance has owned the role without interruption.
        since: id::Epoch,
        /// Whether [`Ownership::update`] reported the role as started.
        started: bool,
    }
}

/// Returns the owner of a role among the members of an epoch.
///
/// Leaving members own no role, unless all members are leaving. Returns `None` without members.
pub fn owner_of<'a>(
    role: &Role,
    members: &'a sorted::Map<id::InstanceId, model::Member>,
) -> Option<&'a id::InstanceId> {
    let all_leave = members.values().all(|m| m.leaving);
    let seed = seed_of(role);
    members
        .values()
        .filter(|m| all_leave || !m.leaving)
        .map(|m| (score(seed, &m.id), &m.id))
        .max()
        .map(|(_, id)| id)
}

fn seed_of(role: &Role) -> u64 {
    let (kind, name) = match role {
        Role::Limiter(id) => (1, id.as_str()),
        Role::Scheduler(id) => (2, id.as_str()),
    };
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), kind)
}

fn score(seed: u64, id: &id::InstanceId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), seed)
}

/// The roles of one incarnation of an instance.
#[derive(Clone, Debug)]
pub struct Ownership {
    instance: id::InstanceId,
    incarnation: id::Incarnation,
    epoch: id::Epoch,
    members: sorted::Map<id::InstanceId, model::Member>,
    settled: id::Epoch,
    fresh_until: clock::Millis,
    owned: sorted::Map<Role, OwnedRole>,
    stopped: Vec<Role>,
    hand_overs: Vec<HandOver>,
}

impl Ownership {
    /// Makes the state of an instance that owns no role.
    pub fn new(instance: id::InstanceId, incarnation: id::Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            epoch: id::Epoch::new(0),
            members: sorted::Map::new(),
            settled: id::Epoch::new(0),
            fresh_until: clock::Millis::ZERO,
            owned: sorted::Map::new(),
            stopped: Vec::new(),
            hand_overs: Vec::new(),
        }
    }

    /// Returns the epoch in force here.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Returns the members of the epoch in force here.
    pub fn members(&self) -> &sorted::Map<id::InstanceId, model::Member> {
        &self.members
    }

    /// Returns the owner of a role in the epoch in force here.
    pub fn owner(&self, role: &Role) -> Option<&model::Member> {
        self.members.get(owner_of(role, &self.members)?)
    }

    /// Applies the members of an epoch; must be called for every commit, in order.
    ///
    /// Ownership continues only from one epoch to the next. When an epoch was skipped, for example
    /// by a snapshot, another instance may have owned the role in between, so all roles are
    /// released.
    pub fn configure(
        &mut self,
        epoch: id::Epoch,
        members: &sorted::Map<id::InstanceId, model::Member>,
    ) {
        if epoch <= self.epoch {
            return;
        }
        let is_next = epoch == self.epoch.next();
        self.epoch = epoch;
        self.members = members.clone();
        let lost: Vec<Role> = self
            .owned
            .keys()
            .filter(|role| !is_next || !self.is_owned_here(role))
            .cloned()
            .collect();
        for role in lost {
            if is_next && self.owned.get(&role).is_some_and(|t| t.started) {
                self.hand_overs.retain(|p| p.role != role);
                let role = role.clone();
                self.hand_overs.push(HandOver { role, epoch });
            }
            self.release(role);
        }
    }

    /// Returns the roles whose state may be handed over, as collected since the last call.
    ///
    /// No instance served such a role between this one and its owner in `epoch`. That owner may use
    /// the state only if it owns the role [since](Self::since) exactly that epoch.
    pub fn take_hand_overs(&mut self) -> Vec<HandOver> {
        mem::take(&mut self.hand_overs)
    }

    /// Returns the epoch since which this instance has owned a role without interruption; `None`
    /// when it does not own it.
    pub fn since(&self, role: &Role) -> Option<id::Epoch> {
        self.owned.get(role).map(|owned_role| owned_role.since)
    }

    /// Sets the newest epoch that every live member has in force; an older one is ignored.
    pub fn set_settled(&mut self, settled: id::Epoch) {
        self.settled = self.settled.max(settled);
    }

    /// Sets the end of the freshness lease; an earlier end is ignored.
    ///
    /// An operator's override of the lease must not be included.
    pub fn extend_lease(&mut self, until: clock::Millis) {
        self.fresh_until = self.fresh_until.max(until);
    }

    /// Returns whether this instance serves a role now.
    ///
    /// The answer is `Yes` only after [`Self::update`] reported the role as started.
    pub fn serves(&self, now: clock::Millis, role: &Role) -> Serving {
        if now >= self.fresh_until {
            return Serving::No;
        }
        match self.owned.get(role) {
            Some(owned_role) if owned_role.started => Serving::Yes,
            Some(_) => Serving::Wait,
            None if self.is_owned_here(role) => Serving::Wait,
            None => Serving::No,
        }
    }

    /// Returns the roles that this instance starts and stops serving; `roles` are all that exist.
    ///
    /// Must be called after every change of the configuration, the settled epoch or the lease. A
    /// role that was lost and gained again is first stopped and then started.
    pub fn update(&mut self, now: clock::Millis, roles: &[Role]) -> Vec<Change> {
        self.release_unknown(roles);
        let mut changes: Vec<Change> = self.stopped.drain(..).map(Change::Stopped).collect();
        if now >= self.fresh_until {
            return changes;
        }
        for role in roles {
            if self.try_start(role) {
                changes.push(Change::Started(role.clone()));
            }
        }
        changes
    }

    fn try_start(&mut self, role: &Role) -> bool {
        if !self.owned.contains(role) && !self.is_owned_here(role) {
            return false;
        }
        let epoch = self.epoch;
        let settled = self.settled;
        let owned_role = self
            .owned
            .get_or_insert_with(role.clone(), || OwnedRole::new(epoch));
        assert!(
            owned_role.since <= epoch,
            "no role is held since a later epoch"
        );
        let is_new = !owned_role.started && settled >= owned_role.since;
        owned_role.started |= is_new;
        is_new
    }

    fn release_unknown(&mut self, roles: &[Role]) {
        let mut known: Vec<&Role> = roles.iter().collect();
        known.sort_unstable();
        let gone: Vec<Role> = self
            .owned
            .keys()
            .filter(|role| known.binary_search(role).is_err())
            .cloned()
            .collect();
        for role in gone {
            self.release(role);
        }
    }

    fn release(&mut self, role: Role) {
        if self.owned.remove(&role).is_some_and(|t| t.started) {
            self.stopped.push(role);
        }
    }

    fn is_owned_here(&self, role: &Role) -> bool {
        let is_member = self
            .members
            .get(&self.instance)
            .is_some_and(|m| m.incarnation == self.incarnation);
        is_member && owner_of(role, &self.members) == Some(&self.instance)
    }
}

impl OwnedRole {
    const fn new(since: id::Epoch) -> Self {
        Self {
            since,
            started: false,
        }
    }
}
