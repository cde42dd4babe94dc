//! The recent charges of one bucket in the order of time, open to amendment.

use std::collections;

use crate::clock;
use crate::controller::limiter::flows;
use crate::controller::limiter::level;
use crate::controller::limiter::places;
use crate::id;
use crate::macros;
use crate::unit;

macros::data! {copy
    /// Something that happened to a bucket.
    pub struct Event {
        /// When it takes effect; perhaps in the future.
        pub at: clock::Millis,
        /// The limit in force from then on.
        pub limit: level::Limit,
        /// The request that is charged, or `None` for a change of the limit.
        pub request: Option<id::RequestId>,
        /// The tokens that the request takes.
        pub tokens: unit::Tokens,
        /// Whether the request has ended and `tokens` is what it used.
        pub settled: bool,
    }
}

macros::data! {copy
    /// The state of a bucket before the first event that is still open to amendment.
    pub struct Base {
        /// When the bucket was in this state.
        pub at: clock::Millis,
        /// Its limit.
        pub limit: level::Limit,
        /// Its level.
        pub level: level::Level,
    }
}

/// The events of one bucket that are young enough to be amended.
///
/// The level is always what an ideal bucket would hold after the events as amended so far.
#[derive(Clone, Debug)]
pub struct History {
    base: Base,
    events: collections::VecDeque<Event>,
    flows: flows::Flows,
    first: u64,
    places: places::Places,
    level: level::Level,
}

impl History {
    /// Starts a history.
    pub fn new(base: Base) -> Self {
        Self {
            base,
            events: collections::VecDeque::new(),
            flows: flows::Flows::new(),
            first: 0,
            places: places::Places::new(),
            level: base.level,
        }
    }

    /// Returns the number of events.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Tells whether there is no event.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the time of the last event; it may lie in the future.
    pub fn last_at(&self) -> clock::Millis {
        self.events.back().map_or(self.base.at, |e| e.at)
    }

    /// Returns the limit in force after the last event.
    pub fn limit(&self) -> level::Limit {
        self.events.back().map_or(self.base.limit, |e| e.limit)
    }

    /// Returns the level at a time that is not before the last event.
    pub fn level_at(&self, at: clock::Millis) -> level::Level {
        let time = at - self.last_at();
        level::Flow::fill(self.limit(), time).apply(self.level)
    }

    /// Finds the event of a request.
    pub fn find(&self, request: id::RequestId) -> Option<&Event> {
        let place = self.places.get(request)?;
        self.events.get((place - self.first) as usize)
    }

    /// Appends an event.
    ///
    /// # Panics
    ///
    /// Panics when it is older than the last event or its request has an event already.
    pub fn push(&mut self, event: Event) {
        assert!(event.at >= self.last_at(), "events must be in order");
        let flow = event.flow_from(self.last_at(), self.limit());
        self.flows.push(flow);
        self.level = flow.apply(self.level);
        if let Some(request) = event.request {
            let place = self.first + self.events.len() as u64;
            let before = self.places.insert(request, place);
            assert!(before.is_none(), "a request is charged once");
        }
        self.events.push_back(event);
    }

    /// Puts a limit in force at a time, before the events that are yet to come.
    pub fn set_limit(&mut self, at: clock::Millis, limit: level::Limit) {
        let later = self.take_later(at);
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

    /// Amends what a request takes, and replays what came after.
    pub fn settle(&mut self, request: id::RequestId, tokens: unit::Tokens) {
        let Some(place) = self.places.get(request) else {
            return;
        };
        let index = (place - self.first) as usize;
        let (at, limit) = self.before(index);
        let event = &mut self.events[index];
        event.tokens = tokens;
        event.settled = true;
        let flow = event.flow_from(at, limit);
        self.flows.set(index, flow);
        self.replay();
    }

    /// Closes the first event to amendment.
    pub fn fold_first(&mut self) {
        let (Some(event), Some(flow)) = (self.events.pop_front(), self.flows.pop_first()) else {
            return;
        };
        self.base = Base {
            at: event.at,
            limit: event.limit,
            level: flow.apply(self.base.level),
        };
        self.first += 1;
        if let Some(request) = event.request {
            self.places.remove(request);
        }
    }

    /// Returns the state before the first event.
    pub fn base(&self) -> Base {
        self.base
    }

    /// Closes all events before a time to amendment.
    pub fn close_before(&mut self, at: clock::Millis) {
        while self.first().is_some_and(|e| e.at < at) {
            self.fold_first();
        }
        if self.base.at < at {
            let fill = level::Flow::fill(self.base.limit, at - self.base.at);
            let base = Base {
                at,
                level: fill.apply(self.base.level),
                ..self.base
            };
            *self = Self::rebuild(base, self.events.iter().copied());
        }
    }

    /// Returns the same history on a clock that is behind by a length of time.
    ///
    /// # Panics
    ///
    /// Panics when something happened before that clock's zero.
    #[must_use]
    pub fn earlier_by(&self, time: clock::Millis) -> Self {
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

    /// Returns the first event.
    pub fn first(&self) -> Option<&Event> {
        self.events.front()
    }

    /// Iterates over the events in order.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    fn before(&self, index: usize) -> (clock::Millis, level::Limit) {
        match index.checked_sub(1) {
            Some(before) => (self.events[before].at, self.events[before].limit),
            None => (self.base.at, self.base.limit),
        }
    }

    fn replay(&mut self) {
        self.level = self.flows.joined().apply(self.base.level);
    }

    fn take_later(&mut self, at: clock::Millis) -> Vec<Event> {
        let keep = self.events.partition_point(|e| e.at <= at);
        let later: Vec<Event> = self.events.drain(keep..).collect();
        for event in &later {
            self.flows.pop_last();
            if let Some(request) = event.request {
                self.places.remove(request);
            }
        }
        self.replay();
        later
    }
}

impl Event {
    /// Returns the same event at another time.
    #[must_use]
    pub fn at_time(self, at: clock::Millis) -> Self {
        Self { at, ..self }
    }

    fn flow_from(&self, at: clock::Millis, limit: level::Limit) -> level::Flow {
        level::Flow::fill(limit, self.at - at).then(level::Flow::charge(self.tokens))
    }
}
