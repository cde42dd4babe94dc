//! Follows the ids of a stream's events, by which another server takes the stream up.
//!
//! Within one run the events are those of the stream, whatever their ids say. An id matters once the run
//! breaks off, here or towards the caller: a stream that goes on after a wrong id lacks events or has some
//! twice. One wrong byte makes an id too high, too low or unreadable, or makes two events of one. So an
//! event whose id does not fit those before waits until a later one shows where the stream stands. If
//! the run breaks off first, the stream goes on behind the last event that fitted.

use std::collections;

use crate::router::events;

/// The id of the first event of a stream: ids count the events.
const FIRST_ID: u64 = 1;

/// The most events that wait for one that fits. A wrong byte needs three: it may cut one event in two, and
/// the one after them fits only by the next.
const MAX_HELD: usize = 4;

/// The most bytes of events that wait. All streams of a router may have some.
const MAX_HELD_BYTES: usize = 16 << 10;

/// The latest events that are remembered, to tell an event that comes again from one with a wrong id.
const MAX_RECENT: usize = 64;

/// A run does not go on where the stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the run does not go on where the stream stands")]
pub struct Misplaced;

/// The ids of the events that a caller has, and the events that wait.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// The id of the last event that fitted, or after which the caller takes the stream up.
    last: Option<u64>,
    /// The difference between two ids.
    step: u64,
    /// Ids and digests of the latest events that fitted.
    recent: collections::VecDeque<(u64, u64)>,
    /// Events that don't fit.
    held: Vec<events::Event>,
    has_delivered: bool,
    /// Whether ids neither rise by one nor in equal steps, so that none shows where the stream stands.
    is_irregular: bool,
    /// Whether the current run has brought nothing new yet.
    is_at_head: bool,
    /// Whether the last event of the run was one that the caller seems to have.
    has_skipped: bool,
}

impl Sequence {
    /// Begins a stream that its caller takes up after an event, or a new one.
    pub fn new(resume_after: Option<u64>) -> Self {
        Self {
            last: resume_after,
            step: 1,
            recent: collections::VecDeque::new(),
            held: Vec::new(),
            has_delivered: false,
            is_irregular: false,
            is_at_head: true,
            has_skipped: false,
        }
    }

    /// Begins the run of another server, which takes the stream up after [`Self::last`].
    pub fn begin_run(&mut self) {
        self.held.clear();
        self.is_at_head = true;
        self.has_skipped = false;
    }

    /// Returns the event after which the stream goes on; `None` if it begins anew.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the caller got an event since the stream was begun or taken up here.
    pub fn has_delivered(&self) -> bool {
        self.has_delivered
    }

    /// Returns whether another server may take the stream up.
    pub fn may_resume(&self) -> bool {
        !self.is_irregular
    }

    /// Takes the next event of a run. Returns the events to deliver by now, `None` if the caller has it already.
    ///
    /// # Errors
    ///
    /// Fails when the run goes on elsewhere than the stream.
    pub fn push(&mut self, event: events::Event) -> Result<Option<Vec<events::Event>>, Misplaced> {
        if self.is_irregular || !event.has_fields {
            return Ok(Some(vec![event]));
        }
        if let Some(step) = self.fitting_step(&event) {
            return Ok(Some(self.deliver(event, step)));
        }
        if self.has(&event) || self.is_at_head && self.is_before_recent(event.id) {
            self.has_skipped = true;
            return Ok(None);
        }
        if self.has_skipped {
            return Err(Misplaced);
        }
        self.held.push(event);
        let bytes: usize = self.held.iter().map(|e| e.bytes.len()).sum();
        if self.held.len() < MAX_HELD && bytes <= MAX_HELD_BYTES {
            return Ok(Some(Vec::new()));
        }
        let is_new = |e: &events::Event| e.id > self.last;
        if self.is_at_head && !self.held.iter().all(is_new) {
            return Err(Misplaced);
        }
        self.is_irregular = true;
        Ok(Some(self.take_held()))
    }

    /// Ends a run that is complete; returns the events that waited.
    ///
    /// # Errors
    ///
    /// Fails when the last event seemed to be one that the caller has: it may be a new one with a wrong id.
    pub fn finish(&mut self) -> Result<Vec<events::Event>, Misplaced> {
        if self.has_skipped {
            return Err(Misplaced);
        }
        Ok(self.take_held())
    }

    fn take_held(&mut self) -> Vec<events::Event> {
        self.has_delivered |= !self.held.is_empty();
        self.is_at_head = false;
        std::mem::take(&mut self.held)
    }

    fn deliver(&mut self, event: events::Event, step: u64) -> Vec<events::Event> {
        self.step = step;
        self.last = event.id;
        self.has_skipped = false;
        let recent = event.id.map(|id| (id, digest(&event)));
        self.recent.extend(recent);
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        self.held.push(event);
        self.take_held()
    }

    /// Returns by which step the id of an event shows where the stream stands; `None` if it does not.
    fn fitting_step(&self, event: &events::Event) -> Option<u64> {
        let id = event.id.filter(|_| event.is_single)?;
        let held = self.held.len() as u64;
        // The events that wait, and this one, follow the last one that fitted.
        let counted = match self.last {
            Some(last) => last.saturating_add(self.step.saturating_mul(held + 1)),
            None => FIRST_ID + held,
        };
        if id == counted {
            return Some(self.step);
        }
        // It follows the event before it, which follows one that does not fit, or ids rise in other steps. One
        // of those that wait may be a part of an event.
        let is_possible = self.last.is_none_or(|last| id >= last.saturating_add(held));
        let before = self.held.last().filter(|_| is_possible)?;
        let rise = id.checked_sub(before.id?).filter(|rise| *rise > 0)?;
        (rise == self.step || Some(rise) == self.rise_before()).then_some(rise)
    }

    /// Returns the difference between the ids of the two events before.
    fn rise_before(&self) -> Option<u64> {
        let (last, others) = self.held.split_last()?;
        let before = others.last().map_or(self.last, |e| e.id);
        last.id?.checked_sub(before?)
    }

    fn has(&self, event: &events::Event) -> bool {
        let digest = digest(event);
        let mut recent = self.recent.iter();
        recent.any(|(id, known)| event.id == Some(*id) && digest == *known)
    }

    /// Returns whether an event may be one that the caller got before those that are remembered.
    fn is_before_recent(&self, id: Option<u64>) -> bool {
        let first = self.recent.front().map(|(id, _)| *id);
        let bound = first.or(self.last.map(|last| last.saturating_add(1)));
        id.is_some_and(|id| bound.is_some_and(|bound| id < bound))
    }
}

fn digest(event: &events::Event) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&event.bytes)
}
