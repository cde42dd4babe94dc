//! Which instance owns a role, and when it may serve it.
//!
//! The owner of a role follows from the members of an epoch by rendezvous hashing, the same at
//! every instance. An instance that gains a role serves it only when the epoch is settled: every
//! instance that may still act on an older epoch has acknowledged this one. An instance that is
//! cut off stops by itself when its freshness lease ends.
//!
//! The lease counts at the gateway from its own send time, the session at the leader from the
//! later receipt. With the standard settings, 2,000 ms and 2,500 ms, the lease ends first as long
//! as the clocks of both run at rates that differ by less than a quarter.

use std::mem;

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::model;

macros::data! {key
    /// A task that exactly one instance does for the whole fleet.
    pub enum Role {
        /// Counts the tokens of a client account.
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
        /// It owns the role, but the owner before may not have stopped yet.
        Wait,
        /// Another instance owns the role, or this one's freshness lease is over.
        No,
    }
}

macros::data! {
    /// A role that this instance took up or gave up.
    pub enum Change {
        /// The role is served from now on, with nothing known from before.
        Started(Role),
        /// The role is not served any more.
        Stopped(Role),
    }
}

macros::data! {
    /// A role that another instance gains from this one in the very next epoch.
    pub struct Passed {
        /// The role.
        pub role: Role,
        /// The epoch in which the other instance gains it.
        pub epoch: id::Epoch,
    }
}

macros::data! {copy
    struct Tenure {
        since: id::Epoch,
        started: bool,
    }
}

/// Returns the owner of a role among the members of an epoch.
///
/// Members that leave own nothing, unless all leave.
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

/// The roles of one life of one instance.
#[derive(Clone, Debug)]
pub struct Ownership {
    me: id::InstanceId,
    incarnation: id::Incarnation,
    epoch: id::Epoch,
    members: sorted::Map<id::InstanceId, model::Member>,
    settled: id::Epoch,
    fresh_until: clock::Millis,
    owned: sorted::Map<Role, Tenure>,
    stopped: Vec<Role>,
    passed: Vec<Passed>,
}

impl Ownership {
    /// Starts without any role.
    pub fn new(me: id::InstanceId, incarnation: id::Incarnation) -> Self {
        Self {
            me,
            incarnation,
            epoch: id::Epoch::new(0),
            members: sorted::Map::new(),
            settled: id::Epoch::new(0),
            fresh_until: clock::Millis::ZERO,
            owned: sorted::Map::new(),
            stopped: Vec::new(),
            passed: Vec::new(),
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

    /// Puts the members of an epoch in force; call it for every commit, in order.
    ///
    /// A role goes on without a break only from one epoch to the very next: when an epoch was left
    /// out, as by a snapshot, another instance may have owned the role in between.
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
            .filter(|role| !is_next || !self.is_mine(role))
            .cloned()
            .collect();
        for role in lost {
            if is_next && self.owned.get(&role).is_some_and(|t| t.started) {
                self.passed.retain(|p| p.role != role);
                let role = role.clone();
                self.passed.push(Passed { role, epoch });
            }
            self.give_up(role);
        }
    }

    /// Returns the roles whose state may be passed on, since the last call.
    ///
    /// No one else served between this instance and the one that owns the role since `epoch`,
    /// which may take the state only if it owns the role [since](Self::since) that very epoch.
    pub fn take_passed(&mut self) -> Vec<Passed> {
        mem::take(&mut self.passed)
    }

    /// Returns the epoch since which this instance has owned a role without a break.
    pub fn since(&self, role: &Role) -> Option<id::Epoch> {
        self.owned.get(role).map(|tenure| tenure.since)
    }

    /// Takes in the epoch that every live member has in force.
    pub fn settle(&mut self, settled: id::Epoch) {
        self.settled = self.settled.max(settled);
    }

    /// Takes in the end of the freshness lease, without any override by an operator.
    pub fn keep_until(&mut self, until: clock::Millis) {
        self.fresh_until = self.fresh_until.max(until);
    }

    /// Tells whether this instance serves a role now.
    ///
    /// The answer is `Yes` only after [`Self::update`] reported the role as started.
    pub fn serves(&self, now: clock::Millis, role: &Role) -> Serving {
        if now >= self.fresh_until {
            return Serving::No;
        }
        match self.owned.get(role) {
            Some(tenure) if tenure.started => Serving::Yes,
            Some(_) => Serving::Wait,
            None if self.is_mine(role) => Serving::Wait,
            None => Serving::No,
        }
    }

    /// Goes through all roles that there are and returns those taken up and given up.
    ///
    /// Call it after every change of the configuration, the settled epoch or the lease. A role
    /// that was lost and gained again is first stopped and then started.
    pub fn update(&mut self, now: clock::Millis, roles: &[Role]) -> Vec<Change> {
        self.drop_unknown(roles);
        let mut changes: Vec<Change> = self.stopped.drain(..).map(Change::Stopped).collect();
        if now >= self.fresh_until {
            return changes;
        }
        for role in roles {
            if self.is_ready(role) {
                changes.push(Change::Started(role.clone()));
            }
        }
        changes
    }

    fn is_ready(&mut self, role: &Role) -> bool {
        if !self.owned.contains(role) && !self.is_mine(role) {
            return false;
        }
        let epoch = self.epoch;
        let settled = self.settled;
        let tenure = self
            .owned
            .get_or_insert_with(role.clone(), || Tenure::new(epoch));
        assert!(tenure.since <= epoch, "no role is held since a later epoch");
        let is_new = !tenure.started && settled >= tenure.since;
        tenure.started |= is_new;
        is_new
    }

    fn drop_unknown(&mut self, roles: &[Role]) {
        let mut known: Vec<&Role> = roles.iter().collect();
        known.sort_unstable();
        let gone: Vec<Role> = self
            .owned
            .keys()
            .filter(|role| known.binary_search(role).is_err())
            .cloned()
            .collect();
        for role in gone {
            self.give_up(role);
        }
    }

    fn give_up(&mut self, role: Role) {
        if self.owned.remove(&role).is_some_and(|t| t.started) {
            self.stopped.push(role);
        }
    }

    fn is_mine(&self, role: &Role) -> bool {
        let lives = self
            .members
            .get(&self.me)
            .is_some_and(|m| m.incarnation == self.incarnation);
        lives && owner_of(role, &self.members) == Some(&self.me)
    }
}

impl Tenure {
    const fn new(since: id::Epoch) -> Self {
        Self {
            since,
            started: false,
        }
    }
}
