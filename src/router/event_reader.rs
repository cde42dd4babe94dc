//! Reads the events of a stream that may be resumed, over all its runs.

use bytes::Bytes;

use crate::router::events;
use crate::router::sequence;
use crate::router::upstream;

/// The events of a stream, as its runs bring them.
pub struct EventReader {
    splitter: events::Splitter,
    sequence: sequence::Sequence,
}

/// What a part of a run brought.
#[derive(Debug, Default)]
pub struct Read {
    /// The events to deliver. Those that waited for one that fits come with it as one piece, so that a caller
    /// does not go on after one of them.
    pub pieces: Vec<Bytes>,
    /// Whether it brought something that the caller does not have. Comments, events that come again and parts
    /// of an event are nothing new: a stalled server may send them for ever.
    pub has_news: bool,
    /// Why the run can't be read further.
    pub failure: Option<upstream::Failure>,
}

impl EventReader {
    /// Begins with what the caller of the stream has.
    pub fn new(sequence: sequence::Sequence) -> Self {
        Self {
            splitter: events::Splitter::default(),
            sequence,
        }
    }

    /// Begins a stream that its caller takes up after an event, or a new one.
    pub fn resuming(resume_after: Option<u64>) -> Self {
        Self::new(sequence::Sequence::new(resume_after))
    }

    /// Begins the run of another server.
    pub fn begin_run(&mut self) {
        self.splitter = events::Splitter::default();
        self.sequence.begin_run();
    }

    /// Returns what the caller has.
    pub fn sequence(&self) -> &sequence::Sequence {
        &self.sequence
    }

    /// Reads the next part of a run.
    pub fn push(&mut self, chunk: &[u8]) -> Read {
        let mut read = Read::default();
        if !self.splitter.push(chunk) {
            read.failure = Some(upstream::Failure::Broken);
            return read;
        }
        while let Some(event) = self.splitter.next_event() {
            let has_fields = event.has_fields;
            match self.sequence.push(event) {
                Ok(Some(events)) => {
                    if events.is_empty() {
                        metrics::counter!("buckthorncleat_unfit_events_total").increment(1);
                    }
                    read.has_news |= has_fields;
                    read.pieces.extend(join(&events));
                }
                Ok(None) => {}
                Err(e) => {
                    read.failure = Some(misplaced(e));
                    return read;
                }
            }
        }
        read
    }

    /// Ends a run that is complete; returns the bytes that are left to deliver.
    ///
    /// # Errors
    ///
    /// Fails with `Broken` when the run ends inside an event, or may have brought one that was taken for
    /// another.
    pub fn finish(&mut self) -> Result<Vec<Bytes>, upstream::Failure> {
        let rest = self.splitter.take_rest();
        if !rest.trim_ascii().is_empty() {
            return Err(upstream::Failure::Broken);
        }
        let events = self.sequence.finish().map_err(misplaced)?;
        let rest = Some(rest).filter(|r| !r.is_empty());
        Ok(join(&events).into_iter().chain(rest).collect())
    }
}

/// Returns the bytes of events as one piece; `None` without events.
fn join(events: &[events::Event]) -> Option<Bytes> {
    match events {
        [] => None,
        [event] => Some(event.bytes.clone()),
        events => {
            let parts: Vec<&[u8]> = events.iter().map(|e| &e.bytes[..]).collect();
            Some(parts.concat().into())
        }
    }
}

/// Logs that a run is given up, since its events are not those that follow.
fn misplaced(error: sequence::Misplaced) -> upstream::Failure {
    metrics::counter!("buckthorncleat_misplaced_runs_total").increment(1);
    log::info!(event = "run_misplaced"; "{error}; giving up the run");
    upstream::Failure::Broken
}
