//! Limits of calls that servers name for all routers together.

use std::collections;

use crate::clock;
use crate::macros;
use crate::unit;

/// How long the lowest limit holds that answers named at about the same time: answers cross each
/// other on their way, so the last one to arrive need not be the newest.
const SETTLING_TIME: clock::Millis = clock::Millis::new(500);

/// The limit of one server, by what its answers said.
///
/// Among the answers of the last half second the lowest limit holds, without any the last answer.
#[derive(Clone, Debug, Default)]
pub struct NamedLimit {
    /// What answers said and when, oldest first; each is less restrictive than those before it,
    /// since an older one counts only if it is more restrictive.
    said: collections::VecDeque<Said>,
}

/// What one answer said; a `rate` of `None` is no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Said {
    pub at: clock::Millis,
    pub rate: Option<unit::CallRate>,
}

impl Said {
    /// Returns whether this is at least as restrictive as `other`.
    fn restricts(self, other: Self) -> bool {
        match (self.rate, other.rate) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(own), Some(other)) => own <= other,
        }
    }
}

impl NamedLimit {
    /// Records what an answer said. Answers may be recorded in any order and more than once.
    pub fn record(&mut self, said: Said) {
        let position = self.said.partition_point(|s| s.at <= said.at);
        let is_covered = self.said.iter().skip(position).any(|s| s.restricts(said));
        if is_covered {
            return;
        }
        let newer = self.said.split_off(position);
        self.said.retain(|s| !said.restricts(*s));
        self.said.push_back(said);
        self.said.extend(newer);
        self.forget_settled();
    }

    /// Drops what was said so long before the last answer that it doesn't count any more.
    fn forget_settled(&mut self) {
        let Some(last) = self.last() else { return };
        while self
            .said
            .front()
            .is_some_and(|s| s.at + SETTLING_TIME < last.at)
        {
            self.said.pop_front();
        }
    }

    /// Returns the limit that holds; `None` when the server takes any number of calls.
    pub fn rate(&self, now: clock::Millis) -> Option<unit::CallRate> {
        let recent = self.said.iter().find(|s| now < s.at + SETTLING_TIME);
        recent.or(self.said.back())?.rate
    }

    /// Returns what the last answer said; `None` before the first one.
    pub fn last(&self) -> Option<Said> {
        self.said.back().copied()
    }
}

macros::data! {copy
    /// What an answer said of its server's limit, in a message between processes.
    pub struct News {
        /// The time from the answer to the sending of the message.
        pub age: clock::Millis,
        /// The limit; `None` when the server named none.
        pub rate: Option<unit::CallRate>,
    }
}

impl NamedLimit {
    /// Returns what answers said within `max_age`, and with that everything that holds.
    pub fn news(&self, now: clock::Millis, max_age: clock::Millis) -> Vec<News> {
        let is_recent = self.last().is_some_and(|last| now < last.at + max_age);
        let said = self.said.iter().filter(|_| is_recent);
        let news = said.map(|s| News {
            age: now - s.at,
            rate: s.rate,
        });
        news.collect()
    }
}
