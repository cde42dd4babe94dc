//! The queue of requests that wait for a placement.

use std::collections;

use crate::clock;
use crate::controller::scheduler::message;
use crate::id;
use crate::state::model;

/// The number of priority classes: for each of three account priorities, one of resumed streams and
/// one of new requests.
pub const CLASS_COUNT: usize = 6;

pub const CLOCK_RESOLUTION: clock::Millis = clock::Millis::new(1);

/// One waiting request.
#[derive(Clone, Debug)]
pub struct Waiting {
    pub gateway: id::InstanceId,
    pub place: Box<message::Place>,
    pub arrived: clock::Millis,
    /// When the first token is due.
    pub deadline: clock::Millis,
    /// The latest time at which a start can still meet the target.
    pub latest_start: clock::Millis,
    /// The smallest number of prompt tokens that a server likely has to compute.
    pub cost: u64,
    /// The tokens that its account is charged when it is placed.
    pub service: u64,
}

/// The position of a request in the queue; valid until the queue changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    class: usize,
    account: usize,
    index: usize,
}

/// The requests of one account in one class, in the order of their latest start.
#[derive(Clone, Debug)]
struct AccountQueue {
    account: id::ClientAccountId,
    requests: collections::VecDeque<Waiting>,
}

/// The waiting requests, by class and account.
#[derive(Clone, Debug)]
pub struct Queue {
    classes: [Vec<AccountQueue>; CLASS_COUNT],
    len: usize,
    /// A time before which no request expires.
    check_at: clock::Millis,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            classes: Default::default(),
            len: 0,
            check_at: clock::Millis::MAX,
        }
    }
}

/// Returns the class of a request; a higher class goes first.
pub fn class_of(place: &message::Place) -> usize {
    let priority = match place.priority {
        model::Priority::Low => 0,
        model::Priority::Normal => 2,
        model::Priority::High => 4,
    };
    priority + usize::from(place.kind == message::PlaceKind::Resume)
}

impl Queue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request behind those of its account and class that must start earlier or at the same
    /// time.
    pub fn push(&mut self, waiting: Waiting) {
        self.check_at = self.check_at.min(waiting.latest_start);
        self.len += 1;
        let accounts = &mut self.classes[class_of(&waiting.place)];
        let found = accounts.binary_search_by(|queue| queue.account.cmp(&waiting.place.account));
        match found {
            Ok(at) => {
                let requests = &mut accounts[at].requests;
                let at = requests.partition_point(|w| w.latest_start <= waiting.latest_start);
                requests.insert(at, waiting);
            }
            Err(at) => {
                let queue = AccountQueue {
                    account: waiting.place.account.clone(),
                    requests: collections::VecDeque::from([waiting]),
                };
                accounts.insert(at, queue);
            }
        }
    }

    /// Removes and returns the request at a position.
    ///
    /// # Panics
    ///
    /// Panics when the queue has changed since and no request is at the position.
    pub fn remove(&mut self, at: Position) -> Waiting {
        let accounts = &mut self.classes[at.class];
        let removed = accounts[at.account].requests.remove(at.index);
        if accounts[at.account].requests.is_empty() {
            accounts.remove(at.account);
        }
        self.len -= 1;
        removed.expect("the position is of a waiting request")
    }

    /// Returns the request at a position.
    ///
    /// # Panics
    ///
    /// Panics when the queue has changed since and no request is at the position.
    pub fn get(&self, at: Position) -> &Waiting {
        &self.classes[at.class][at.account].requests[at.index]
    }

    /// Iterates over one class, account by account, each in the order of the latest start.
    pub fn class(&self, class: usize) -> impl Iterator<Item = (Position, &Waiting)> {
        let accounts = self.classes[class].iter().enumerate();
        accounts.flat_map(move |(account, queue)| {
            let requests = queue.requests.iter().enumerate();
            requests.map(move |(index, waiting)| {
                (
                    Position {
                        class,
                        account,
                        index,
                    },
                    waiting,
                )
            })
        })
    }

    /// Iterates over the most urgent request of each account in one class.
    pub fn heads(&self, class: usize) -> impl Iterator<Item = (Position, &Waiting)> {
        let accounts = self.classes[class].iter().enumerate();
        accounts.map(move |(account, queue)| {
            let index = 0;
            (
                Position {
                    class,
                    account,
                    index,
                },
                &queue.requests[index],
            )
        })
    }

    /// Iterates over all requests.
    pub fn iter(&self) -> impl Iterator<Item = (Position, &Waiting)> {
        (0..CLASS_COUNT).flat_map(|class| self.class(class))
    }

    /// Removes and returns the requests that can no longer meet their target.
    pub fn expire(&mut self, now: clock::Millis) -> Vec<Waiting> {
        if now < self.check_at {
            return Vec::new();
        }
        let expired = self.extract(|waiting| waiting.latest_start < now);
        let starts = self
            .iter()
            .map(|(_, waiting)| waiting.latest_start + CLOCK_RESOLUTION);
        self.check_at = starts.min().unwrap_or(clock::Millis::MAX);
        expired
    }

    /// Removes and returns the requests for which `matches` returns true.
    pub fn extract(&mut self, matches: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut extracted = Vec::new();
        for accounts in &mut self.classes {
            for queue in accounts.iter_mut() {
                let (out, kept) = queue.requests.drain(..).partition(|w| matches(w));
                queue.requests = kept;
                let out: collections::VecDeque<Waiting> = out;
                extracted.extend(out);
            }
            accounts.retain(|queue| !queue.requests.is_empty());
        }
        self.len -= extracted.len();
        extracted
    }

    /// Returns the least urgent request of the account that has the most waiting requests for its
    /// weight, in the lowest class that is not empty. Returns `None` when no request waits.
    pub fn eviction_candidate(
        &self,
        weight: impl Fn(&id::ClientAccountId) -> u64,
    ) -> Option<Position> {
        let class = (0..CLASS_COUNT).find(|class| !self.classes[*class].is_empty())?;
        let weighted_length = |queue: &AccountQueue| {
            queue.requests.len() as u64 * 1_000 / weight(&queue.account).max(1)
        };
        let accounts = self.classes[class].iter().enumerate();
        let (account, queue) = accounts.max_by_key(|(_, queue)| weighted_length(queue))?;
        let index = queue.requests.len() - 1;
        Some(Position {
            class,
            account,
            index,
        })
    }
}
