//! Outlier detection for backend servers of plain calls, by the results of the calls.
//!
//! A server that fails several calls in a row is ejected, for a time that doubles with every
//! further ejection. After that time one call at a time probes the server until a call succeeds.

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;

/// The number of consecutive failures after which a server is ejected.
pub const MAX_FAILURES: u32 = 3;

/// The length of the first ejection; each further one is twice as long, up to [`MAX_EJECTION`].
pub const MIN_EJECTION: clock::Millis = clock::Millis::new(500);

pub const MAX_EJECTION: clock::Millis = clock::Millis::from_secs(30);

/// The number of retries that a full budget allows at once; a new budget is full.
pub const RETRY_BURST: u64 = 10;

/// The number of requests that earn one retry.
pub const REQUESTS_PER_RETRY: u64 = 10;

macros::data! {copy
    /// The health of one server.
    #[derive(Default)]
    pub struct Health {
        /// The calls that are running at the server.
        pub outstanding: u32,
        /// The failures since the last success.
        pub failures: u32,
        /// The ejections since the last success.
        pub ejections: u32,
        /// When the ejection ends; `None` if the server was not ejected since its last success.
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

    /// Removes the servers that are no longer in service and run no call.
    pub fn retain(&mut self, mut in_service: impl FnMut(&id::BackendServerId) -> bool) {
        self.servers
            .retain(|id, health| health.outstanding > 0 || in_service(id));
    }

    /// Returns the health of a server; an unknown one is healthy.
    pub fn health(&self, id: &id::BackendServerId) -> Health {
        self.servers.get(id).copied().unwrap_or_default()
    }

    /// Selects the server for a call among those of a route: of two servers chosen by `seed`, the
    /// one with fewer running calls.
    ///
    /// A server that is due for a probe is returned before any other. Ejected servers are left out,
    /// but at most half of `candidates`. Returns `None` when `exclude` leaves no server.
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

    /// Records that a call was sent.
    pub fn call_started(&mut self, id: &id::BackendServerId) {
        let health = self.servers.get_or_insert_with(id.clone(), Health::default);
        health.outstanding += 1;
    }

    /// Records that a call ended; `ok` if the server answered in time and without a fault.
    ///
    /// # Panics
    ///
    /// Panics when no call is running at the server.
    pub fn call_ended(&mut self, now: clock::Millis, id: &id::BackendServerId, ok: bool) {
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
        let min_usable = candidates.len().div_ceil(2);
        ejected.sort_by_key(|id| self.health(id).ejected_until);
        let missing = min_usable.saturating_sub(usable.len());
        usable.extend(ejected.into_iter().take(missing));
        assert!(
            usable.len() >= min_usable,
            "at most half of a route is ejected"
        );
        usable
    }

    fn is_due(&self, now: clock::Millis, id: &id::BackendServerId) -> bool {
        let health = self.health(id);
        health.outstanding == 0 && health.ejected_until.is_some_and(|until| now >= until)
    }
}

impl Health {
    /// Returns whether the server gets no calls now, because its ejection has not ended or a probe is
    /// running.
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
        let length = (MIN_EJECTION * factor).min(MAX_EJECTION);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + length);
    }
}

/// Bounds retries to one per [`REQUESTS_PER_RETRY`] requests plus [`RETRY_BURST`].
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// In requests; a retry costs [`REQUESTS_PER_RETRY`].
    credit: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Makes a full budget, which allows [`RETRY_BURST`] retries at once.
    pub const fn new() -> Self {
        Self {
            credit: RETRY_BURST * REQUESTS_PER_RETRY,
        }
    }

    /// Records a request that is not a retry.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + 1).min(RETRY_BURST * REQUESTS_PER_RETRY);
    }

    /// Takes one retry from the budget; returns false if there is none.
    pub fn try_retry(&mut self) -> bool {
        let Some(credit) = self.credit.checked_sub(REQUESTS_PER_RETRY) else {
            return false;
        };
        self.credit = credit;
        true
    }
}
