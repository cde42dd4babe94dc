//! The recent charges of one bucket in the order of time, which can still be amended.

use std::collections;

use crate::clock;
use crate::controller::limiter::level;
use crate::controller::limiter::positions;
use crate::controller::limiter::transforms;
use crate::id;
use crate::macros;
use crate::unit;

macros::data! {copy
    /// A charge or a change of the limit of a bucket.
    pub struct Event {
        /// When it takes effect; may be in the future.
        pub at: clock::Millis,
        /// The limit in force from then on.
        pub limit: level::Limit,
        /// The request that is charged; `None` for a change of the limit.
        pub request: Option<id::RequestId>,
        /// The tokens that the request is charged.
        pub tokens: unit::Tokens,
        /// Whether the request has ended, so that `tokens` is what it used.
        pub settled: bool,
    }
}

macros::data! {copy
    /// The state of a bucket before the first event that can still be amended.
    pub struct Base {
        /// When the bucket was in this state.
        pub at: clock::Millis,
        pub limit: level::Limit,
        pub level: level::Level,
    }
}

/// The events of one bucket that are recent enough to be amended.
///
/// The level is always that of an ideal bucket after all events as amended so far.
#[derive(Clone, Debug)]
pub struct History {
    base: Base,
    events: collections::VecDeque<Event>,
    transforms: transforms::Transforms,
    /// The position of the first event: the number of events that were folded.
    first_position: u64,
    positions: positions::Positions,
    /// The level after the last event.
    level: level::Level,
}

impl History {
    /// Makes a history without events.
    pub fn new(base: Base) -> Self {
        Self {
            base,
            events: collections::VecDeque::new(),
            transforms: transforms::Transforms::new(),
            first_position: 0,
            positions: positions::Positions::new(),
            level: base.level,
        }
    }

    pub fn len(&self) -> usize {
        self.events.len()
    }

    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the time of the last event, which may be in the future, or of the base if there is
    /// none.
    pub fn last_at(&self) -> clock::Millis {
        self.events.back().map_or(self.base.at, |e| e.at)
    }

    /// Returns the limit in force after the last event.
    pub fn limit(&self) -> level::Limit {
        self.events.back().map_or(self.base.limit, |e| e.limit)
    }

    /// Returns the level at `at`, which must not be before the last event.
    pub fn level_at(&self, at: clock::Millis) -> level::Level {
        let time = at - self.last_at();
        level::Transform::fill(self.limit(), time).apply(self.level)
    }

    /// Returns the event of a request, if it can still be amended.
    pub fn find(&self, request: id::RequestId) -> Option<&Event> {
        let position = self.positions.get(request)?;
        self.events.get((position - self.first_position) as usize)
    }

    /// Appends an event.
    ///
    /// # Panics
    ///
    /// Panics when the event is older than the last one or its request has an event already.
    pub fn push(&mut self, event: Event) {
        assert!(event.at >= self.last_at(), "events must be in order");
        let transform = event.transform_from(self.last_at(), self.limit());
        self.transforms.push(transform);
        self.level = transform.apply(self.level);
        if let Some(request) = event.request {
            let position = self.first_position + self.events.len() as u64;
            let previous = self.positions.insert(request, position);
            assert!(previous.is_none(), "a request is charged once");
        }
        self.events.push_back(event);
    }

    /// Changes the limit at `at` and for all later events.
    pub fn set_limit(&mut self, at: clock::Millis, limit: level::Limit) {
        let later = self.remove_later(at);
        self.push(Event {
            at: at.max(self.last_at()),
            limit,
            request: None,
            tokens: unit::Tokens::new(0),
            settled: true,
        });
        for event in later {
            self.push(Event { limit, ..event });
        }
    }

    /// Amends the charge of a request to `tokens` and recomputes the level.
    ///
    /// Does nothing when the request has no event.
    pub fn settle(&mut self, request: id::RequestId, tokens: unit::Tokens) {
        let Some(position) = self.positions.get(request) else {
            return;
        };
        let index = (position - self.first_position) as usize;
        let (at, limit) = self.state_before(index);
        let event = &mut self.events[index];
        event.tokens = tokens;
        event.settled = true;
        let transform = event.transform_from(at, limit);
        self.transforms.set(index, transform);
        self.replay();
    }

    /// Folds the first event into the base, so that it can no longer be amended.
    pub fn fold_first(&mut self) {
        let (Some(event), Some(transform)) = (self.events.pop_front(), self.transforms.pop_first())
        else {
            return;
        };
        self.base = Base {
            at: event.at,
            limit: event.limit,
            level: transform.apply(self.base.level),
        };
        self.first_position += 1;
        if let Some(request) = event.request {
            self.positions.remove(request);
        }
    }

    pub fn base(&self) -> Base {
        self.base
    }

    /// Folds all events before `at` into the base and moves the base to `at` if it is earlier.
    pub fn fold_before(&mut self, at: clock::Millis) {
        while self.first().is_some_and(|e| e.at < at) {
            self.fold_first();
        }
        if self.base.at < at {
            let fill = level::Transform::fill(self.base.limit, at - self.base.at);
            let base = Base {
                at,
                level: fill.apply(self.base.level),
                ..self.base
            };
            *self = Self::rebuild(base, self.events.iter().copied());
        }
    }

    /// Returns the history on a clock that is behind by `time`.
    ///
    /// # Panics
    ///
    /// Panics when the base would be before that clock's zero.
    #[must_use]
    pub fn shifted_back(&self, time: clock::Millis) -> Self {
        assert!(self.base.at >= time, "a history begins at zero or later");
        let base = Base {
            at: self.base.at - time,
            ..self.base
        };
        Self::rebuild(base, self.events.iter().map(|e| e.at_time(e.at - time)))
    }

    fn rebuild(base: Base, events: impl Iterator<Item = Event>) -> Self {
        let mut history = Self::new(base);
        events.for_each(|event| history.push(event));
        history
    }

    pub fn first(&self) -> Option<&Event> {
        self.events.front()
    }

    /// Iterates over the events, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    fn state_before(&self, index: usize) -> (clock::Millis, level::Limit) {
        match index.checked_sub(1) {
            Some(previous) => (self.events[previous].at, self.events[previous].limit),
            None => (self.base.at, self.base.limit),
        }
    }

    fn replay(&mut self) {
        self.level = self.transforms.composed().apply(self.base.level);
    }

    fn remove_later(&mut self, at: clock::Millis) -> Vec<Event> {
        let keep = self.events.partition_point(|e| e.at <= at);
        let later: Vec<Event> = self.events.drain(keep..).collect();
        for event in &later {
            self.transforms.pop_last();
            if let Some(request) = event.request {
                self.positions.remove(request);
            }
        }
        self.replay();
        later
    }
}

impl Event {
    #[must_use]
    pub fn at_time(self, at: clock::Millis) -> Self {
        Self { at, ..self }
    }

    fn transform_from(&self, at: clock::Millis, limit: level::Limit) -> level::Transform {
        level::Transform::fill(limit, self.at - at).then(level::Transform::charge(self.tokens))
    }
}
