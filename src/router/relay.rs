//! Relays the events of a stream to the caller, and takes a broken stream up elsewhere.

use bytes::Bytes;
use tokio::time;

use crate::clock;
use crate::http::body;
use crate::router::events;
use crate::router::generate;
use crate::router::places;
use crate::router::upstream;

/// The shortest silence after which a stream is taken up elsewhere; a server that reads long
/// prompts between tokens pauses for up to half a second.
const MIN_SILENCE: clock::Millis = clock::Millis::new(1_500);

/// The longest expected pauses that make a silence.
const SILENT_PAUSES: u64 = 5;

/// The outcome of a stream that came whole.
pub const COMPLETE: &str = "complete";

/// What was seen of a stream, for its last line in the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// The pieces that were relayed.
    pub pieces: u64,
    /// When the last one came.
    last_at: Option<clock::Millis>,
    /// The longest time between two.
    pub longest_pause: clock::Millis,
}

impl Seen {
    fn note(&mut self, now: clock::Millis) {
        if let Some(last_at) = self.last_at {
            self.longest_pause = self.longest_pause.max(now - last_at);
        }
        self.last_at = Some(now);
        self.pieces += 1;
    }
}

/// How the relay of one server's answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relayed {
    /// The answer is complete.
    Complete,
    /// The caller is gone.
    CallerGone,
    /// The server broke off or fell silent.
    Lost(upstream::Failure),
    /// The time of the request is over.
    Late,
}

/// Relays an answer to its end.
pub async fn run(
    mut run: generate::Run,
    opened: generate::Opened,
    tx: body::Sender,
    first_event: clock::Millis,
) {
    let mut opened = opened;
    let resumes = generate::can_resume(&run.req.route);
    let mut splitter = events::Splitter::default();
    let mut seen = Seen::default();
    let outcome = loop {
        let relayed = if resumes {
            relay_events(&mut run, &mut opened, &tx, &mut splitter, &mut seen).await
        } else {
            relay_pieces(&run, &mut opened, &tx, &mut seen).await
        };
        let failure = match relayed {
            Relayed::Complete => {
                opened.held.end(places::End::Good);
                learn_event_size(&run, seen);
                break COMPLETE;
            }
            Relayed::CallerGone => break "caller gone",
            Relayed::Late => break cut(&tx, "time limit").await,
            Relayed::Lost(failure) => failure,
        };
        // The connection closes before another server goes on.
        drop(opened.answer);
        run.lost(&opened.pick, opened.held, failure);
        if !resumes {
            break cut(&tx, "server broke off").await;
        }
        splitter.clear();
        opened = match reopen(&mut run, &tx).await {
            Some(next) => next,
            None => break cut(&tx, "no server to go on").await,
        };
    };
    run.log_end(outcome, seen, first_event);
}

/// Learns from a stream that came whole; one that the caller resumed has only its end.
fn learn_event_size(run: &generate::Run, seen: Seen) {
    if let (Some(generation), None) = (run.req.caller.generation, run.req.caller.resume_after) {
        run.req.core.event_size().learn(generation, seen.pieces);
    }
}

/// Ends the body without its end mark.
async fn cut(tx: &body::Sender, why: &'static str) -> &'static str {
    if tx.send(Err(body::Truncated(why))).await.is_err() {
        return "caller gone";
    }
    why
}

/// Goes on after the last event that the caller has, at another server.
async fn reopen(run: &mut generate::Run, tx: &body::Sender) -> Option<generate::Opened> {
    let opened = tokio::select! {
        opened = run.open() => opened,
        () = tx.closed() => return None,
    };
    match opened {
        Ok(Ok(opened)) => Some(*opened),
        Ok(Err(_)) => None,
        Err(refusal) => {
            log::info!(
                event = "not_resumed",
                request = run.req.name(),
                reason = refusal.reason(),
                last_event = run.resume_after.unwrap_or_default();
                "a broken stream is not taken up"
            );
            None
        }
    }
}

async fn relay_pieces(
    run: &generate::Run,
    opened: &mut generate::Opened,
    tx: &body::Sender,
    seen: &mut Seen,
) -> Relayed {
    let mut piece = opened.first.take();
    while let Some(bytes) = piece {
        seen.note(run.req.core.clock.now());
        count_growth(run, opened, seen.pieces);
        if tx.send(Ok(bytes)).await.is_err() {
            return Relayed::CallerGone;
        }
        piece = match next_piece(run, opened, tx, run.req.left()).await {
            Ok(piece) => piece,
            Err(ended) => return ended,
        };
    }
    Relayed::Complete
}

async fn relay_events(
    run: &mut generate::Run,
    opened: &mut generate::Opened,
    tx: &body::Sender,
    splitter: &mut events::Splitter,
    seen: &mut Seen,
) -> Relayed {
    let silence = MIN_SILENCE.max(run.req.route.longest_pause * SILENT_PAUSES);
    let mut piece = opened.first.take();
    while let Some(bytes) = piece {
        if !splitter.push(&bytes) {
            return Relayed::Lost(upstream::Failure::Broken);
        }
        while let Some(event) = splitter.next_event() {
            let known = event.id.is_some() && event.id <= run.resume_after;
            if known {
                continue;
            }
            run.resume_after = event.id.or(run.resume_after);
            seen.note(run.req.core.clock.now());
            count_growth(run, opened, seen.pieces);
            if tx.send(Ok(event.bytes)).await.is_err() {
                return Relayed::CallerGone;
            }
        }
        piece = match next_piece(run, opened, tx, silence).await {
            Ok(piece) => piece,
            Err(ended) => return ended,
        };
    }
    if splitter.has_rest() {
        return Relayed::Lost(upstream::Failure::Broken);
    }
    Relayed::Complete
}

/// Counts a stream that outgrows its estimate with the memory that it takes.
fn count_growth(run: &generate::Run, opened: &mut generate::Opened, pieces: u64) {
    let Some(generation) = run.req.caller.generation else {
        return;
    };
    let memory = run.req.core.event_size().outgrown(generation, pieces);
    if let Some(memory) = memory {
        opened.held.grow(memory);
    }
}

/// Waits for the next piece of an answer.
async fn next_piece(
    run: &generate::Run,
    opened: &mut generate::Opened,
    tx: &body::Sender,
    silence: clock::Millis,
) -> Result<Option<Bytes>, Relayed> {
    let left = run.req.left();
    let limit = silence.min(left);
    let piece = tokio::select! {
        piece = time::timeout(limit.as_duration(), opened.answer.piece()) => piece,
        () = tx.closed() => return Err(Relayed::CallerGone),
    };
    match piece {
        Ok(Ok(piece)) => Ok(piece),
        Ok(Err(failure)) => Err(Relayed::Lost(failure)),
        Err(_) if run.req.left() == clock::Millis::ZERO => Err(Relayed::Late),
        Err(_) => Err(Relayed::Lost(upstream::Failure::Silent)),
    }
}
