//! Sums over a sliding window.

use std::collections;

use crate::clock;

/// The length of the slots into which amounts are grouped; a slot counts until the last of its
/// amounts has left the window.
const SLOT_LENGTH: clock::Millis = clock::Millis::new(250);

/// The sum of the amounts that were added within the last `length` of time.
#[derive(Clone, Debug)]
pub struct Window {
    length: clock::Millis,
    /// The start and the sum of each slot, oldest first.
    slots: collections::VecDeque<(clock::Millis, i64)>,
    sum: i64,
}

impl Window {
    pub fn new(length: clock::Millis) -> Self {
        Self {
            length,
            slots: collections::VecDeque::new(),
            sum: 0,
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: clock::Millis, amount: i64) {
        if amount == 0 {
            return;
        }
        let fresh = self
            .slots
            .back()
            .is_none_or(|(at, _)| now >= *at + SLOT_LENGTH);
        if fresh {
            self.slots.push_back((now, 0));
        }
        if let Some((_, slot)) = self.slots.back_mut() {
            *slot += amount;
            self.sum += amount;
        }
    }

    /// Takes away an amount that was added within the window, from the oldest slots on. So what remains
    /// leaves the window no sooner than if the amount had never been added.
    pub fn remove(&mut self, now: clock::Millis, amount: i64) {
        let mut rest = amount.min(self.sum(now));
        for (_, slot) in &mut self.slots {
            let part = rest.min(*slot).max(0);
            *slot -= part;
            self.sum -= part;
            rest -= part;
        }
    }

    /// Adds an amount at an earlier time, which may lie before amounts that were added already.
    pub fn add_past(&mut self, at: clock::Millis, amount: i64) {
        let after = self.slots.partition_point(|(begin, _)| *begin <= at);
        let within = after
            .checked_sub(1)
            .filter(|i| at < self.slots[*i].0 + SLOT_LENGTH);
        match within {
            Some(i) => self.slots[i].1 += amount,
            None => self.slots.insert(after, (at, amount)),
        }
        self.sum += amount;
    }

    /// Returns the amounts in the window that ends now, with their ages.
    ///
    /// Ages are rounded down to the end of a slot, so an amount is never reported as older than it
    /// is.
    pub fn amounts_with_ages(&mut self, now: clock::Millis) -> Vec<(clock::Millis, i64)> {
        self.sum(now);
        let age = |at: clock::Millis| now - (at + SLOT_LENGTH).min(now);
        let slots = self.slots.iter().filter(|(_, amount)| *amount != 0);
        slots.map(|(at, amount)| (age(*at), *amount)).collect()
    }

    /// Returns the sum of the window that ends now.
    pub fn sum(&mut self, now: clock::Millis) -> i64 {
        while let Some((at, amount)) = self.slots.front() {
            if now < *at + self.length + SLOT_LENGTH {
                break;
            }
            self.sum -= amount;
            self.slots.pop_front();
        }
        self.sum
    }
}
