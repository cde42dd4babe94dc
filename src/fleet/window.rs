//! Sums over a sliding window.

use std::collections;

use crate::clock;

/// The length of the slots in which amounts are added up; a slot counts until its last amount has
/// left the window.
const SLOT: clock::Millis = clock::Millis::new(250);

/// The sum of what was added in the last window.
#[derive(Clone, Debug)]
pub struct Window {
    length: clock::Millis,
    slots: collections::VecDeque<(clock::Millis, i64)>,
    sum: i64,
}

impl Window {
    /// Makes an empty window of a length.
    pub fn new(length: clock::Millis) -> Self {
        Self {
            length,
            slots: collections::VecDeque::new(),
            sum: 0,
        }
    }

    /// Adds an amount; a negative one takes back what was added shortly before.
    pub fn add(&mut self, now: clock::Millis, amount: i64) {
        if amount == 0 {
            return;
        }
        let fresh = self.slots.back().is_none_or(|(at, _)| now >= *at + SLOT);
        if fresh {
            self.slots.push_back((now, 0));
        }
        if let Some((_, slot)) = self.slots.back_mut() {
            *slot += amount;
            self.sum += amount;
        }
    }

    /// Returns the sum of the window that ends now.
    pub fn sum(&mut self, now: clock::Millis) -> i64 {
        while let Some((at, amount)) = self.slots.front() {
            if now < *at + self.length + SLOT {
                break;
            }
            self.sum -= amount;
            self.slots.pop_front();
        }
        self.sum
    }
}
