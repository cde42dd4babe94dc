//! Fair sharing among client accounts by the weighted number of tokens served.

use crate::id;
use crate::sorted;
use crate::state::model;

/// The units of the virtual counter per token, at weight 1.
const COUNTER_UNITS_PER_TOKEN: u64 = 1_000;

/// The weight of the earlier mean when the length of an answer is observed, in eighths.
const OUTPUT_DECAY_EIGHTHS: u64 = 7;

/// The tokens served to one account.
#[derive(Clone, Debug)]
pub struct Account {
    weight: u64,
    /// The virtual counter: tokens charged, divided by the weight. It never decreases.
    counter: u64,
    /// Refunded tokens, which later charges use up first.
    credit: u64,
    mean_output: Option<u64>,
    waiting: usize,
}

/// The accounts that are configured or have asked for placements.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    accounts: sorted::Map<id::ClientAccountId, Account>,
    /// The highest counter that was reached while no account had a waiting request.
    idle_counter: u64,
}

impl Accounts {
    /// Applies the weights of a configuration, and removes accounts that are neither in it nor have
    /// a waiting request.
    pub fn configure(&mut self, records: &sorted::Map<id::ClientAccountId, model::ClientAccount>) {
        for (id, record) in records.iter() {
            self.entry(id).weight = u64::from(record.weight.max(1));
        }
        self.accounts
            .retain(|id, account| account.waiting > 0 || records.contains(id));
    }

    /// Records that a request starts to wait. The counter of an account that had none is raised to
    /// the lowest counter of the accounts that have waiting requests.
    pub fn add_waiting(&mut self, id: &id::ClientAccountId) {
        let min_counter = self.min_counter();
        let account = self.entry(id);
        if account.waiting == 0 {
            account.counter = account.counter.max(min_counter);
        }
        account.waiting += 1;
    }

    /// Records that a request no longer waits.
    ///
    /// # Panics
    ///
    /// Panics when the account has no waiting request.
    pub fn remove_waiting(&mut self, id: &id::ClientAccountId) {
        let account = self.entry(id);
        assert!(account.waiting > 0, "the account has no waiting request");
        account.waiting -= 1;
    }

    /// Charges tokens to an account; its credit is used up first.
    pub fn charge(&mut self, id: &id::ClientAccountId, tokens: u64) {
        let account = self.entry(id);
        let paid = account.credit.min(tokens);
        account.credit -= paid;
        let before = account.counter;
        account.counter += (tokens - paid) * COUNTER_UNITS_PER_TOKEN / account.weight;
        assert!(account.counter >= before, "a virtual counter decreased");
        let counter = account.counter;
        if self.accounts.values().all(|a| a.waiting == 0) {
            self.idle_counter = self.idle_counter.max(counter);
        }
    }

    /// Credits tokens that were charged but not used; the counter itself never decreases.
    pub fn refund(&mut self, id: &id::ClientAccountId, tokens: u64) {
        self.entry(id).credit += tokens;
    }

    /// Observes the length of an answer.
    pub fn observe_output(&mut self, id: &id::ClientAccountId, tokens: u64) {
        let account = self.entry(id);
        let mean = account.mean_output.unwrap_or(tokens);
        account.mean_output =
            Some((mean * OUTPUT_DECAY_EIGHTHS + tokens) / (OUTPUT_DECAY_EIGHTHS + 1));
    }

    /// Returns the expected length of an answer: the mean of earlier answers, or half of `max`
    /// before the first one, but at most `max`.
    pub fn expected_output(&self, id: &id::ClientAccountId, max: u64) -> u64 {
        let mean = self.accounts.get(id).and_then(|a| a.mean_output);
        mean.unwrap_or(max / 2).min(max)
    }

    /// Returns the virtual counter of an account.
    pub fn counter(&self, id: &id::ClientAccountId) -> u64 {
        self.accounts
            .get(id)
            .map_or(self.idle_counter, |a| a.counter)
    }

    /// Returns the tokens an account may still use before its counter reaches `counter`.
    pub fn tokens_until(&self, id: &id::ClientAccountId, counter: u64) -> u64 {
        let Some(account) = self.accounts.get(id) else {
            return 0;
        };
        counter.saturating_sub(account.counter) / COUNTER_UNITS_PER_TOKEN * account.weight
    }

    /// Returns the weight of an account, 1 when it is unknown.
    pub fn weight(&self, id: &id::ClientAccountId) -> u64 {
        self.accounts.get(id).map_or(1, |a| a.weight)
    }

    /// Returns the counter that an account has while one of its requests waits.
    pub fn counter_if_waiting(&self, id: &id::ClientAccountId) -> u64 {
        match self.accounts.get(id) {
            Some(account) if account.waiting > 0 => account.counter,
            Some(account) => account.counter.max(self.min_counter()),
            None => self.min_counter(),
        }
    }

    /// Returns by how much a charge of `tokens` raises the counter of an account.
    pub fn counter_increment(&self, id: &id::ClientAccountId, tokens: u64) -> u64 {
        tokens * COUNTER_UNITS_PER_TOKEN / self.weight(id)
    }

    fn min_counter(&self) -> u64 {
        let waiting = self.accounts.values().filter(|a| a.waiting > 0);
        waiting
            .map(|a| a.counter)
            .min()
            .unwrap_or(self.idle_counter)
    }

    fn entry(&mut self, id: &id::ClientAccountId) -> &mut Account {
        let idle_counter = self.idle_counter;
        self.accounts.get_or_insert_with(id.clone(), || Account {
            weight: 1,
            counter: idle_counter,
            credit: 0,
            mean_output: None,
            waiting: 0,
        })
    }
}
