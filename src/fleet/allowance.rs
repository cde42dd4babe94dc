//! What each client account may have used, in the replicated log.
//!
//! A leader lets routers spend only what the log allows. So what was spent is known after the loss of
//! all processes, also what no router reported. What is allowed and not known to be spent counts as
//! spent just now; a chunk is allowed ahead, so that no request waits for the log.

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;

/// The shortest time between two batches.
const BATCH_INTERVAL: clock::Millis = clock::Millis::new(200);

/// The time after which an empty batch is made while old use is recorded, so that it ages.
const AGING_INTERVAL: clock::Millis = clock::Millis::new(2_000);

/// Use that is this close together is recorded as one.
const SLOT_LENGTH: clock::Millis = clock::Millis::new(250);

/// The part of its limit that an account is allowed ahead at least.
const MIN_AHEAD_PART: u64 = 16;

/// The part of its remaining units that an account is allowed ahead, if that is more. What was allowed
/// and not used counts as used after each change of leader, so a large part makes accounts be refused.
const FREE_AHEAD_PART: u64 = 8;

macros::data! {
    /// A change of the replicated allowances.
    pub struct Batch {
        /// The leader that proposed it. Its marks count from the beginning of its term.
        pub term: id::Term,
        /// The leader's time. The time between two terms is unknown and counts as none.
        pub at: clock::Millis,
        /// How long use is recorded.
        pub window: clock::Millis,
        pub accounts: Vec<Mark>,
    }
}

macros::data! {
    /// The marks of one account.
    pub struct Mark {
        pub account: id::ClientAccountId,
        /// The units that routers reported as charged.
        pub used: u64,
        /// The units that routers may have charged.
        pub allowed: u64,
    }
}

macros::data! {
    /// The replicated allowances.
    #[derive(Default)]
    pub struct Allowances {
        term: id::Term,
        /// The time of the last batch at the leader of `term`.
        at: clock::Millis,
        /// The time that passed between batches of the same leader.
        clock: clock::Millis,
        accounts: sorted::Map<id::ClientAccountId, Allowance>,
    }
}

macros::data! {
    #[derive(Default)]
    struct Allowance {
        used: u64,
        allowed: u64,
        /// What was used, with the time in [`Allowances::clock`], oldest first.
        slots: Vec<(clock::Millis, u64)>,
    }
}

impl Allowances {
    /// Applies a batch. Marks never fall, so one that is applied twice or late has no further effect.
    pub fn apply(&mut self, batch: &Batch) {
        if batch.term < self.term {
            return;
        }
        if batch.term > self.term {
            self.term = batch.term;
            self.at = batch.at;
            for allowance in self.accounts.values_mut() {
                let open = allowance.allowed - allowance.used;
                allowance.record(self.clock, open);
                (allowance.used, allowance.allowed) = (0, 0);
            }
        }
        self.clock = self.clock + (batch.at - self.at);
        self.at = self.at.max(batch.at);
        for mark in &batch.accounts {
            let make = Allowance::default;
            let allowance = self.accounts.get_or_insert_with(mark.account.clone(), make);
            let used = mark.used.max(allowance.used);
            allowance.record(self.clock, used - allowance.used);
            allowance.used = used;
            allowance.allowed = mark.allowed.max(allowance.allowed).max(used);
        }
        let oldest = self.clock - batch.window;
        self.accounts.retain(|_, allowance| {
            allowance.slots.retain(|(at, _)| *at + SLOT_LENGTH > oldest);
            !allowance.slots.is_empty() || allowance.allowed > 0
        });
    }

    /// Returns what each account may have used so far, with ages.
    pub fn used(&self) -> Vec<(id::ClientAccountId, Vec<Used>)> {
        let accounts = self.accounts.iter().map(|(id, allowance)| {
            let slots = allowance.slots.iter().map(|(at, units)| Used {
                // The end of the slot, so that no use counts as older than it is.
                age: self.clock - (*at + SLOT_LENGTH).min(self.clock),
                units: *units,
            });
            let open = Used {
                age: clock::Millis::ZERO,
                units: allowance.allowed - allowance.used,
            };
            (id.clone(), slots.chain([open]).collect())
        });
        accounts.collect()
    }

    /// Returns the units that the leader of `term` may let routers charge to an account.
    pub fn allowed(&self, term: id::Term, account: &id::ClientAccountId) -> u64 {
        let allowance = self.accounts.get(account).filter(|_| self.term == term);
        allowance.map_or(0, |a| a.allowed)
    }

    fn is_aging(&self) -> bool {
        self.accounts.values().any(|a| !a.slots.is_empty())
    }
}

impl Allowance {
    fn record(&mut self, at: clock::Millis, units: u64) {
        match self.slots.last_mut() {
            _ if units == 0 => {}
            Some((begin, sum)) if at < *begin + SLOT_LENGTH => *sum += units,
            _ => self.slots.push((at, units)),
        }
    }
}

/// Units that may have been used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Used {
    pub age: clock::Millis,
    pub units: u64,
}

/// The state of an account at the leader.
#[derive(Clone, Debug)]
pub struct Standing {
    pub account: id::ClientAccountId,
    /// The units that routers reported as charged in this term.
    pub used: u64,
    /// Those, and what routers may charge without asking again.
    pub issued: u64,
    /// The units that the account may use in a window, and those that remain.
    pub limit: u64,
    pub remaining: u64,
}

/// Decides when a leader proposes which batch.
#[derive(Debug, Default)]
pub struct Planner {
    last: Option<clock::Millis>,
}

impl Planner {
    /// Returns the next batch of the leader of `term`; `None` when there is nothing to commit.
    ///
    /// The first batch of a term is due at once.
    pub fn next_batch(
        &mut self,
        now: clock::Millis,
        term: id::Term,
        window: clock::Millis,
        committed: &Allowances,
        standings: &[Standing],
    ) -> Option<Batch> {
        if self.last.is_some_and(|at| now < at + BATCH_INTERVAL) {
            return None;
        }
        let marks = standings.iter().filter_map(|s| {
            let allowed = committed.allowed(term, &s.account);
            let ahead = (s.limit / MIN_AHEAD_PART).max(s.remaining / FREE_AHEAD_PART);
            // An account that uses little is committed again only after half of what is ahead.
            (allowed < s.issued + ahead / 2).then(|| Mark {
                account: s.account.clone(),
                used: s.used,
                allowed: s.issued + ahead,
            })
        });
        let accounts: Vec<Mark> = marks.collect();
        let is_aged = self.last.is_some_and(|at| now >= at + AGING_INTERVAL);
        if accounts.is_empty() && !(is_aged && committed.is_aging()) {
            return None;
        }
        self.last = Some(now);
        Some(Batch {
            term,
            at: now,
            window,
            accounts,
        })
    }
}
