//! The origins of the streams that one router has begun or taken up.

use crate::clock;
use crate::document;
use crate::fleet::origin;
use crate::id;
use crate::sorted;

/// The most streams that are kept; further ones are not recorded.
const MAX_STREAMS: usize = 16_384;

/// The most streams that the leader is told of at once.
const MAX_TOLD: usize = 512;

#[derive(Debug)]
struct Begun {
    origin: origin::Origin,
    forget_at: clock::Millis,
    /// The term of the leader that was told.
    told: Option<id::Term>,
}

/// How long a caller waits for a leader that knows the origin of its stream.
const MAX_ANSWER_WAIT: clock::Millis = clock::Millis::new(1_000);

/// The time between two questions for one origin.
pub const ASK_INTERVAL: clock::Millis = clock::Millis::new(50);

/// What is done next for a caller that takes a stream up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The stream goes on at servers of this origin only.
    GoOn(origin::Origin),
    /// The leader is asked again after [`ASK_INTERVAL`].
    AskAgain,
    /// The caller is refused, since nobody knows the origin, or the route does not lead there.
    RefuseUnknown,
    /// The caller is refused, since no leader that may know the origin answered in time.
    RefuseLate,
}

/// Decides on a caller that takes a stream up and has waited for `waited`, by the leader's answer;
/// `None` stands for none. Without an answer that names the origin the stream never goes on.
pub fn decide(
    answer: Option<origin::Answer>,
    waited: clock::Millis,
    route: &[document::Share],
) -> Step {
    match answer {
        Some(origin::Answer::Known(origin)) => {
            let is_routed = |s: &document::Share| s.service == origin.service && s.weight > 0;
            if route.iter().any(is_routed) {
                Step::GoOn(origin)
            } else {
                Step::RefuseUnknown
            }
        }
        Some(origin::Answer::Unknown) => Step::RefuseUnknown,
        Some(origin::Answer::Wait) | None if waited + ASK_INTERVAL < MAX_ANSWER_WAIT => {
            Step::AskAgain
        }
        Some(origin::Answer::Wait) | None => Step::RefuseLate,
    }
}

/// The streams of one router, and what the leader must be told of them.
#[derive(Debug, Default)]
pub struct Origins {
    streams: sorted::Map<origin::StreamId, Begun>,
    /// Services of which several versions may have begun streams, by the last summary; sorted.
    mixed: Vec<document::ServiceId>,
    /// The versions that a leader's list had and every list since: those that the replicated log is
    /// certain to have.
    admitted: Vec<origin::Origin>,
    /// The term of the last summary.
    term: Option<id::Term>,
}

impl Origins {
    /// Records the origin of a stream that has begun, or was taken up, and ends before `ends_by`.
    pub fn record(
        &mut self,
        now: clock::Millis,
        stream: origin::StreamId,
        origin: origin::Origin,
        ends_by: clock::Millis,
    ) {
        if self.streams.len() >= MAX_STREAMS || self.streams.len().is_multiple_of(256) {
            self.streams.retain(|_, begun| now < begun.forget_at);
        }
        if self.streams.len() >= MAX_STREAMS {
            metrics::counter!("buckthorncleat_origins_dropped_total").increment(1);
            return;
        }
        let begun = || Begun {
            origin,
            forget_at: ends_by,
            told: None,
        };
        let begun = self.streams.get_or_insert_with(stream, begun);
        if begun.forget_at < ends_by {
            // Taken up: it lasts longer than the leader was told.
            begun.forget_at = ends_by;
            begun.told = None;
        }
    }

    /// Returns the origin of a stream; `None` when this router has not recorded it.
    pub fn get(&self, stream: &origin::StreamId) -> Option<&origin::Origin> {
        self.streams.get(stream).map(|begun| &begun.origin)
    }

    /// Applies a summary: its term, and the services of which several versions may have begun streams.
    /// One of a former leader, which may not know of a version yet, is ignored.
    pub fn apply_summary(&mut self, term: id::Term, mixed: Vec<document::ServiceId>) {
        if self.term > Some(term) {
            return;
        }
        self.term = Some(term);
        self.mixed = mixed;
    }

    /// Takes note of the versions of a leader's list. One that is not in it may be forgotten by the log,
    /// and needs a leader when it comes back.
    pub fn admit(&mut self, versions: impl Iterator<Item = origin::Origin>) {
        self.admitted = versions.collect();
        self.admitted.sort();
        self.admitted.dedup();
    }

    /// Takes note of the versions of a list that this router read itself, sorted.
    pub fn retain_admitted(&mut self, listed: &[origin::Origin]) {
        self.admitted.retain(|v| listed.binary_search(v).is_ok());
    }

    /// Returns whether a version was in the last list of a leader and all lists since. Streams must not begin at another one, since
    /// the leader may take it for certain that there is none.
    pub fn is_admitted(&self, version: &origin::Origin) -> bool {
        self.admitted.binary_search(version).is_ok()
    }

    /// Returns the streams that the leader must be told of, and its term.
    pub fn untold(&self, now: clock::Millis) -> Option<(id::Term, Vec<origin::Record>)> {
        let term = self.term?;
        let is_untold = |begun: &Begun| {
            let is_mixed = self.mixed.binary_search(&begun.origin.service).is_ok();
            is_mixed && begun.told < Some(term) && now < begun.forget_at
        };
        let untold = self.streams.iter().filter(|(_, begun)| is_untold(begun));
        let records = untold.take(MAX_TOLD).map(|(stream, begun)| origin::Record {
            stream: *stream,
            origin: begun.origin.clone(),
        });
        let records: Vec<_> = records.collect();
        (!records.is_empty()).then_some((term, records))
    }

    /// Records that the leader in `term` was told of streams.
    pub fn confirm(&mut self, term: id::Term, records: &[origin::Record]) {
        for record in records {
            if let Some(begun) = self.streams.get_mut(&record.stream) {
                begun.told = Some(term);
            }
        }
    }
}
