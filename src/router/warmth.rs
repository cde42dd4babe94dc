//! What one router knows of whether a server is warm.

use crate::clock;
use crate::document;
use crate::fleet::cold;

/// The evidence on one server, from this router's calls and the leader's word.
///
/// An answer proves that the server has not restarted since less than [`cold::MIN_DOWN_TIME`] before.
/// So of proofs without a gap of that length, all are of one start, and those that come later than a
/// cold start after the first one prove a warm server.
#[derive(Clone, Debug, Default)]
pub struct Warmth {
    /// The newest time for which it is proven that the server was warm.
    warm_at: Option<clock::Millis>,
    /// The newest proof that the server was up.
    alive_at: Option<clock::Millis>,
    /// When the first one of the proofs without a gap was received; `None` while the leader says that
    /// the server is cold.
    alive_since: Option<clock::Millis>,
    /// When the last call was lost, or a connection could not be opened.
    lost_at: Option<clock::Millis>,
    /// When the last call was lost after it was sent.
    broken_at: Option<clock::Millis>,
}

impl Warmth {
    /// Records an answer to a call, or a part of one, that was awaited since `at`; `cold_start` is that of
    /// the server's service.
    pub fn record_proof(
        &mut self,
        now: clock::Millis,
        at: clock::Millis,
        cold_start: Option<document::ColdStart>,
    ) {
        if self.lost_at >= Some(at) {
            return;
        }
        let follows =
            |last: Option<clock::Millis>| last.is_some_and(|last| at < last + cold::MIN_DOWN_TIME);
        if !follows(self.alive_at) || self.alive_since.is_none() {
            self.alive_since = Some(now);
        }
        self.alive_at = self.alive_at.max(Some(at));
        let cold_time = cold_start.map_or(clock::Millis::ZERO, |c| c.time);
        let is_past_cold_start = self.alive_since.is_some_and(|s| at >= s + cold_time);
        if follows(self.warm_at) || is_past_cold_start {
            self.warm_at = self.warm_at.max(Some(at));
        }
    }

    /// Records that a call was lost; `was_sent` if a part of it had been sent.
    pub fn record_loss(&mut self, now: clock::Millis, was_sent: bool) {
        *self = Self {
            lost_at: Some(now),
            broken_at: if was_sent { Some(now) } else { self.broken_at },
            ..Self::default()
        };
    }

    /// Records the leader's word that the server was warm at most `age` before `at`.
    pub fn confirm(&mut self, at: clock::Millis, age: clock::Millis) {
        if self.lost_at < Some(at) {
            self.warm_at = self.warm_at.max(Some(at - age));
        }
    }

    /// Records the leader's word that the server is or may be cold.
    pub fn mark_cold(&mut self) {
        self.warm_at = None;
        self.alive_since = None;
    }

    /// Returns whether the server is certainly not cold, so that it may be called without a permit.
    pub fn is_fresh(&self, now: clock::Millis) -> bool {
        let is_fresh = |at| now <= at + cold::MAX_EVIDENCE_AGE;
        self.warm_at.is_some_and(is_fresh)
    }

    /// Returns the newest time at which the server was certainly up; `None` after a loss.
    pub fn alive_at(&self) -> Option<clock::Millis> {
        self.alive_at
    }

    /// Returns when the last call was lost, before or after it was sent.
    pub fn lost_at(&self) -> Option<clock::Millis> {
        self.lost_at
    }

    /// Returns the age of the newest proof that is worth a report, and whether the server was warm then.
    pub fn proof(&self, now: clock::Millis) -> Option<(clock::Millis, bool)> {
        let at = self.alive_at.max(self.warm_at)?;
        (now < at + cold::MIN_DOWN_TIME).then(|| (now - at, self.warm_at == Some(at)))
    }

    /// Returns the age of the last loss of a call that was sent, if it is not older than `max_age`.
    pub fn loss(&self, now: clock::Millis, max_age: clock::Millis) -> Option<clock::Millis> {
        let at = self.broken_at?;
        (now <= at + max_age).then(|| now - at)
    }
}
