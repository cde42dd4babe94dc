//! The health of backend servers for plain calls, as seen from their answers.
//!
//! A server that fails several calls in a row is ejected for a time that grows with every
//! ejection. When the time is over, one call at a time probes it until one succeeds.

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;

/// The failures in a row that eject a server.
pub const MAX_FAILURES: u32 = 3;

/// The length of the first ejection; each further one is twice as long.
pub const FIRST_EJECTION: clock::Millis = clock::Millis::new(500);

/// The length of the longest ejection.
pub const LONGEST_EJECTION: clock::Millis = clock::Millis::from_secs(30);

/// The retries that are allowed without any requests before.
pub const SPARE_RETRIES: u64 = 10;

/// The requests that allow one more retry.
pub const REQUESTS_PER_RETRY: u64 = 10;

macros::data! {copy
    /// The health of one server.
    #[derive(Default)]
    pub struct Health {
        /// The calls that run there.
        pub outstanding: u32,
        /// The failures since the last success.
        pub failures: u32,
        /// The ejections since the last success.
        pub ejections: u32,
        /// When the ejection ends, if the server is ejected or was not probed since.
        pub ejected_until: Option<clock::Millis>,
    }
}

/// The health of all backend servers of plain routes.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    servers: sorted::Map<id::BackendServerId, Health>,
}

impl Outliers {
    /// Starts with all servers healthy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets the servers that are not in service any more and hold no call.
    pub fn retain(&mut self, mut in_service: impl FnMut(&id::BackendServerId) -> bool) {
        self.servers
            .retain(|id, health| health.outstanding > 0 || in_service(id));
    }

    /// Returns the health of a server.
    pub fn health(&self, id: &id::BackendServerId) -> Health {
        self.servers.get(id).copied().unwrap_or_default()
    }

    /// Picks the server for a call among those of a route: of two drawn by `seed`, the one with
    /// fewer calls running.
    ///
    /// An ejected server is left out, but never more than half of `candidates`. Returns `None`
    /// when `exclude` leaves none, and names a server that is due for a probe before any other.
    pub fn pick(
        &self,
        now: clock::Millis,
        candidates: &[id::BackendServerId],
        exclude: &[id::BackendServerId],
        seed: u64,
    ) -> Option<id::BackendServerId> {
        let mut usable = self.usable(now, candidates);
        usable.retain(|id| !exclude.contains(id));
        if let Some(probe) = usable.iter().find(|id| self.is_due(now, id)) {
            return Some((*probe).clone());
        }
        let count = usable.len() as u64;
        let first = *usable.get((seed % count.max(1)) as usize)?;
        let second = usable[((seed / count) % count) as usize];
        let busier = self.health(second).outstanding < self.health(first).outstanding;
        Some(if busier { second } else { first }.clone())
    }

    /// Notes that a call was sent.
    pub fn began(&mut self, id: &id::BackendServerId) {
        let health = self.servers.get_or_insert_with(id.clone(), Health::default);
        health.outstanding += 1;
    }

    /// Notes that a call ended; `ok` tells that the server answered in time and without a fault.
    ///
    /// # Panics
    ///
    /// Panics when no call runs there.
    pub fn ended(&mut self, now: clock::Millis, id: &id::BackendServerId, ok: bool) {
        let health = self.servers.get_or_insert_with(id.clone(), Health::default);
        assert!(health.outstanding > 0, "a call ends once");
        health.outstanding -= 1;
        if ok {
            health.recover();
        } else {
            health.fail(now);
        }
    }

    fn usable<'a>(
        &self,
        now: clock::Millis,
        candidates: &'a [id::BackendServerId],
    ) -> Vec<&'a id::BackendServerId> {
        let mut usable: Vec<&id::BackendServerId> = Vec::new();
        let mut ejected: Vec<&id::BackendServerId> = Vec::new();
        for id in candidates {
            let is_ejected = self.health(id).is_ejected(now);
            let list = if is_ejected {
                &mut ejected
            } else {
                &mut usable
            };
            list.push(id);
        }
        let fewest = candidates.len().div_ceil(2);
        ejected.sort_by_key(|id| self.health(id).ejected_until);
        let missing = fewest.saturating_sub(usable.len());
        usable.extend(ejected.into_iter().take(missing));
        assert!(usable.len() >= fewest, "at most half of a route is ejected");
        usable
    }

    fn is_due(&self, now: clock::Millis, id: &id::BackendServerId) -> bool {
        let health = self.health(id);
        health.outstanding == 0 && health.ejected_until.is_some_and(|until| now >= until)
    }
}

impl Health {
    /// Tells whether the server gets no call now: ejected, or with a probe under way.
    pub fn is_ejected(&self, now: clock::Millis) -> bool {
        self.ejected_until
            .is_some_and(|until| now < until || self.outstanding > 0)
    }

    fn recover(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    fn fail(&mut self, now: clock::Millis) {
        self.failures = self.failures.saturating_add(1);
        let probed = self.ejected_until.is_some_and(|until| now >= until);
        let first = self.ejected_until.is_none() && self.failures >= MAX_FAILURES;
        if !probed && !first {
            return;
        }
        let factor = 1_u64 << self.ejections.min(16);
        let length = (FIRST_EJECTION * factor).min(LONGEST_EJECTION);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + length);
    }
}

/// Bounds retries to a tenth of the requests and a few more.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    credit: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Starts with [`SPARE_RETRIES`].
    pub const fn new() -> Self {
        Self {
            credit: SPARE_RETRIES * REQUESTS_PER_RETRY,
        }
    }

    /// Notes a request that is no retry.
    pub fn note_request(&mut self) {
        self.credit = (self.credit + 1).min(SPARE_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Takes one retry, if the budget has one.
    pub fn try_retry(&mut self) -> bool {
        let Some(credit) = self.credit.checked_sub(REQUESTS_PER_RETRY) else {
            return false;
        };
        self.credit = credit;
        true
    }
}
