//! Relays the events of a stream to the caller, and takes a broken stream up elsewhere.

use bytes::Bytes;
use tokio::time;

use crate::clock;
use crate::http::body;
use crate::router::balancer;
use crate::router::events;
use crate::router::generate;
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
    mut stream: generate::StreamRequest,
    opened: generate::OpenStream,
    tx: body::Sender,
    first_event: clock::Millis,
) {
    let mut opened = opened;
    let resumes = generate::can_resume(&stream.req.route);
    let mut splitter = events::Splitter::default();
    let mut seen = Seen::default();
    let outcome = loop {
        let relayed = if resumes {
            relay_events(&mut stream, &mut opened, &tx, &mut splitter, &mut seen).await
        } else {
            relay_pieces(&stream, &mut opened, &tx, &mut seen).await
        };
        let failure = match relayed {
            Relayed::Complete => {
                opened.guard.finish(balancer::Outcome::Succeeded);
                learn_event_size(&stream, seen);
                break COMPLETE;
            }
            Relayed::CallerGone => break "caller gone",
            Relayed::Late => break cut(&tx, "time limit").await,
            Relayed::Lost(failure) => failure,
        };
        // The connection closes before another server goes on.
        drop(opened.answer);
        stream.record_lost_server(&opened.pick, opened.guard, failure);
        if !resumes {
            break cut(&tx, "server broke off").await;
        }
        splitter.clear();
        opened = match reopen(&mut stream, &tx).await {
            Some(next) => next,
            None => break cut(&tx, "no server to go on").await,
        };
    };
    stream.log_end(outcome, seen, first_event);
}

/// Learns from a stream that came whole; one that the caller resumed has only its end.
fn learn_event_size(stream: &generate::StreamRequest, seen: Seen) {
    if let (Some(generation), None) = (stream.req.caller.generation, stream.req.caller.resume_after)
    {
        stream.req.core.event_size().learn(generation, seen.pieces);
    }
}

/// Ends the body without its end mark.
async fn cut(tx: &body::Sender, why: &'static str) -> &'static str {
    if tx.send(Err(body::Cut(why))).await.is_err() {
        return "caller gone";
    }
    why
}

/// Goes on after the last event that the caller has, at another server.
async fn reopen(
    stream: &mut generate::StreamRequest,
    tx: &body::Sender,
) -> Option<generate::OpenStream> {
    let opened = tokio::select! {
        opened = stream.open() => opened,
        () = tx.closed() => return None,
    };
    match opened {
        Ok(Ok(opened)) => Some(*opened),
        Ok(Err(_)) => None,
        Err(refusal) => {
            log::info!(
                event = "not_resumed",
                request = stream.req.name(),
                reason = refusal.reason(),
                last_event = stream.resume_after.unwrap_or_default();
                "a broken stream is not taken up"
            );
            None
        }
    }
}

async fn relay_pieces(
    stream: &generate::StreamRequest,
    opened: &mut generate::OpenStream,
    tx: &body::Sender,
    seen: &mut Seen,
) -> Relayed {
    let mut piece = opened.first_chunk.take();
    while let Some(bytes) = piece {
        seen.note(stream.req.core.clock.now());
        count_growth(stream, opened, seen.pieces);
        if tx.send(Ok(bytes)).await.is_err() {
            return Relayed::CallerGone;
        }
        piece = match next_piece(stream, opened, tx, stream.req.time_left()).await {
            Ok(piece) => piece,
            Err(ended) => return ended,
        };
    }
    Relayed::Complete
}

async fn relay_events(
    stream: &mut generate::StreamRequest,
    opened: &mut generate::OpenStream,
    tx: &body::Sender,
    splitter: &mut events::Splitter,
    seen: &mut Seen,
) -> Relayed {
    let silence = MIN_SILENCE.max(stream.req.route.longest_pause * SILENT_PAUSES);
    let mut piece = opened.first_chunk.take();
    while let Some(bytes) = piece {
        if !splitter.push(&bytes) {
            return Relayed::Lost(upstream::Failure::Broken);
        }
        while let Some(event) = splitter.next_event() {
            let known = event.id.is_some() && event.id <= stream.resume_after;
            if known {
                continue;
            }
            stream.resume_after = event.id.or(stream.resume_after);
            seen.note(stream.req.core.clock.now());
            count_growth(stream, opened, seen.pieces);
            if tx.send(Ok(event.bytes)).await.is_err() {
                return Relayed::CallerGone;
            }
        }
        piece = match next_piece(stream, opened, tx, silence).await {
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
fn count_growth(stream: &generate::StreamRequest, opened: &mut generate::OpenStream, pieces: u64) {
    let Some(generation) = stream.req.caller.generation else {
        return;
    };
    let memory = stream.req.core.event_size().outgrown(generation, pieces);
    if let Some(memory) = memory {
        opened.guard.grow(memory);
    }
}

/// Waits for the next piece of an answer.
async fn next_piece(
    stream: &generate::StreamRequest,
    opened: &mut generate::OpenStream,
    tx: &body::Sender,
    silence: clock::Millis,
) -> Result<Option<Bytes>, Relayed> {
    let left = stream.req.time_left();
    let limit = silence.min(left);
    let piece = tokio::select! {
        piece = time::timeout(limit.as_duration(), opened.answer.piece()) => piece,
        () = tx.closed() => return Err(Relayed::CallerGone),
    };
    match piece {
        Ok(Ok(piece)) => Ok(piece),
        Ok(Err(failure)) => Err(Relayed::Lost(failure)),
        Err(_) if stream.req.time_left() == clock::Millis::ZERO => Err(Relayed::Late),
        Err(_) => Err(Relayed::Lost(upstream::Failure::Silent)),
    }
}
