//! The requests that wait for a place.

use std::collections;

use crate::clock;
use crate::controller::scheduler::message;
use crate::id;
use crate::state::model;

/// The classes of requests: three priorities, each with resumed streams and new requests.
pub const CLASSES: usize = 6;

/// The resolution of the clock.
pub const LEAST_STEP: clock::Millis = clock::Millis::new(1);

/// One waiting request.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The gateway that asked.
    pub gateway: id::InstanceId,
    /// What it asked for.
    pub place: Box<message::Place>,
    /// When it asked.
    pub arrived: clock::Millis,
    /// When the first token is due.
    pub deadline: clock::Millis,
    /// The last moment at which a start can still meet the target.
    pub latest_start: clock::Millis,
    /// The prompt tokens that it likely computes.
    pub cost: u64,
    /// The tokens that its account will be charged for.
    pub service: u64,
}

/// Where a request waits; valid until the queue changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    class: usize,
    lane: usize,
    index: usize,
}

/// Requests of one account in one class, by their latest start.
#[derive(Clone, Debug)]
struct Lane {
    account: id::ClientAccountId,
    requests: collections::VecDeque<Waiting>,
}

/// The waiting requests, by class and account.
#[derive(Clone, Debug)]
pub struct Queue {
    classes: [Vec<Lane>; CLASSES],
    len: usize,
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
    priority + usize::from(place.role == message::Role::Resume)
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request behind those of its account and class that must start earlier.
    pub fn push(&mut self, waiting: Waiting) {
        self.check_at = self.check_at.min(waiting.latest_start);
        self.len += 1;
        let lanes = &mut self.classes[class_of(&waiting.place)];
        let found = lanes.binary_search_by(|lane| lane.account.cmp(&waiting.place.account));
        match found {
            Ok(at) => {
                let requests = &mut lanes[at].requests;
                let behind = requests.partition_point(|w| w.latest_start <= waiting.latest_start);
                requests.insert(behind, waiting);
            }
            Err(at) => {
                let lane = Lane {
                    account: waiting.place.account.clone(),
                    requests: collections::VecDeque::from([waiting]),
                };
                lanes.insert(at, lane);
            }
        }
    }

    /// Takes a request out.
    pub fn remove(&mut self, at: Position) -> Waiting {
        let lanes = &mut self.classes[at.class];
        let removed = lanes[at.lane].requests.remove(at.index);
        if lanes[at.lane].requests.is_empty() {
            lanes.remove(at.lane);
        }
        self.len -= 1;
        removed.expect("a position names a waiting request")
    }

    /// Returns the request at a position.
    pub fn get(&self, at: Position) -> &Waiting {
        &self.classes[at.class][at.lane].requests[at.index]
    }

    /// Iterates over one class with positions, account by account, each by latest start.
    pub fn class(&self, class: usize) -> impl Iterator<Item = (Position, &Waiting)> {
        let lanes = self.classes[class].iter().enumerate();
        lanes.flat_map(move |(lane, content)| {
            let requests = content.requests.iter().enumerate();
            requests.map(move |(index, waiting)| (Position { class, lane, index }, waiting))
        })
    }

    /// Iterates over the most urgent request of each account in one class.
    pub fn heads(&self, class: usize) -> impl Iterator<Item = (Position, &Waiting)> {
        let lanes = self.classes[class].iter().enumerate();
        lanes.map(move |(lane, content)| {
            let index = 0;
            (Position { class, lane, index }, &content.requests[index])
        })
    }

    /// Iterates over all requests.
    pub fn iter(&self) -> impl Iterator<Item = (Position, &Waiting)> {
        (0..CLASSES).flat_map(|class| self.class(class))
    }

    /// Takes out the requests that can't meet their target any more.
    pub fn expire(&mut self, now: clock::Millis) -> Vec<Waiting> {
        if now < self.check_at {
            return Vec::new();
        }
        let expired = self.take(|waiting| waiting.latest_start < now);
        let starts = self
            .iter()
            .map(|(_, waiting)| waiting.latest_start + LEAST_STEP);
        self.check_at = starts.min().unwrap_or(clock::Millis::MAX);
        expired
    }

    /// Takes out the requests that `wanted` names.
    pub fn take(&mut self, wanted: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for lanes in &mut self.classes {
            for lane in lanes.iter_mut() {
                let (out, kept) = lane.requests.drain(..).partition(|w| wanted(w));
                lane.requests = kept;
                let out: collections::VecDeque<Waiting> = out;
                taken.extend(out);
            }
            lanes.retain(|lane| !lane.requests.is_empty());
        }
        self.len -= taken.len();
        taken
    }

    /// Finds the least urgent request of the account that waits with the most in the lowest class.
    pub fn most_crowded(&self, weight: impl Fn(&id::ClientAccountId) -> u64) -> Option<Position> {
        let class = (0..CLASSES).find(|class| !self.classes[*class].is_empty())?;
        let crowd = |lane: &Lane| lane.requests.len() as u64 * 1_000 / weight(&lane.account).max(1);
        let lanes = self.classes[class].iter().enumerate();
        let (lane, content) = lanes.max_by_key(|(_, lane)| crowd(lane))?;
        let index = content.requests.len() - 1;
        Some(Position { class, lane, index })
    }
}
