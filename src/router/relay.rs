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
const MIN_IDLE_TIMEOUT: clock::Millis = clock::Millis::new(1_500);

/// The longest expected pauses that make a silence.
const IDLE_TIMEOUT_PAUSES: u64 = 5;

/// The outcome of a stream that came whole.
pub const COMPLETE: &str = "complete";

/// What was seen of a stream, for its last line in the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// The pieces that were relayed.
    pub chunks: u64,
    /// When the last one came.
    last_at: Option<clock::Millis>,
    /// The longest time between two.
    pub longest_pause: clock::Millis,
}

impl Stats {
    fn record(&mut self, now: clock::Millis) {
        if let Some(last_at) = self.last_at {
            self.longest_pause = self.longest_pause.max(now - last_at);
        }
        self.last_at = Some(now);
        self.chunks += 1;
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
    TimedOut,
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
    let mut stats = Stats::default();
    let outcome = loop {
        let relayed = if resumes {
            relay_events(&mut stream, &mut opened, &tx, &mut splitter, &mut stats).await
        } else {
            relay_chunks(&stream, &mut opened, &tx, &mut stats).await
        };
        let failure = match relayed {
            Relayed::Complete => {
                opened.guard.finish(balancer::Outcome::Succeeded);
                record_tokens_per_event(&stream, stats);
                break COMPLETE;
            }
            Relayed::CallerGone => break "caller gone",
            Relayed::TimedOut => break abort_body(&tx, "time limit").await,
            Relayed::Lost(failure) => failure,
        };
        // The connection closes before another server goes on.
        drop(opened.answer);
        stream.record_lost_server(&opened.pick, opened.guard, failure);
        if !resumes {
            break abort_body(&tx, "server broke off").await;
        }
        splitter.clear();
        opened = match resume(&mut stream, &tx).await {
            Some(next) => next,
            None => break abort_body(&tx, "no server to go on").await,
        };
    };
    stream.log_end(outcome, stats, first_event);
}

/// Learns from a stream that came whole; one that the caller resumed has only its end.
fn record_tokens_per_event(stream: &generate::StreamRequest, stats: Stats) {
    if let (Some(generation), None) = (stream.req.caller.generation, stream.req.caller.resume_after)
    {
        stream
            .req
            .core
            .tokens_per_event()
            .observe(generation, stats.chunks);
    }
}

/// Ends the body without its end mark.
async fn abort_body(tx: &body::Sender, reason: &'static str) -> &'static str {
    if tx.send(Err(body::Cut(reason))).await.is_err() {
        return "caller gone";
    }
    reason
}

/// Goes on after the last event that the caller has, at another server.
async fn resume(
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
                request = stream.req.log_id(),
                reason = refusal.reason(),
                last_event = stream.resume_after.unwrap_or_default();
                "a broken stream is not taken up"
            );
            None
        }
    }
}

async fn relay_chunks(
    stream: &generate::StreamRequest,
    opened: &mut generate::OpenStream,
    tx: &body::Sender,
    stats: &mut Stats,
) -> Relayed {
    let mut chunk = opened.first_chunk.take();
    while let Some(bytes) = chunk {
        stats.record(stream.req.core.clock.now());
        update_memory_estimate(stream, opened, stats.chunks);
        if tx.send(Ok(bytes)).await.is_err() {
            return Relayed::CallerGone;
        }
        chunk = match next_chunk(stream, opened, tx, stream.req.time_left()).await {
            Ok(chunk) => chunk,
            Err(end) => return end,
        };
    }
    Relayed::Complete
}

async fn relay_events(
    stream: &mut generate::StreamRequest,
    opened: &mut generate::OpenStream,
    tx: &body::Sender,
    splitter: &mut events::Splitter,
    stats: &mut Stats,
) -> Relayed {
    let idle_timeout = MIN_IDLE_TIMEOUT.max(stream.req.route.longest_pause * IDLE_TIMEOUT_PAUSES);
    let mut chunk = opened.first_chunk.take();
    while let Some(bytes) = chunk {
        if !splitter.push(&bytes) {
            return Relayed::Lost(upstream::Failure::Broken);
        }
        while let Some(event) = splitter.next_event() {
            let already_delivered = event.id.is_some() && event.id <= stream.resume_after;
            if already_delivered {
                continue;
            }
            stream.resume_after = event.id.or(stream.resume_after);
            stats.record(stream.req.core.clock.now());
            update_memory_estimate(stream, opened, stats.chunks);
            if tx.send(Ok(event.bytes)).await.is_err() {
                return Relayed::CallerGone;
            }
        }
        chunk = match next_chunk(stream, opened, tx, idle_timeout).await {
            Ok(chunk) => chunk,
            Err(end) => return end,
        };
    }
    if splitter.has_partial_event() {
        return Relayed::Lost(upstream::Failure::Broken);
    }
    Relayed::Complete
}

/// Counts a stream that outgrows its estimate with the memory that it takes.
fn update_memory_estimate(
    stream: &generate::StreamRequest,
    opened: &mut generate::OpenStream,
    chunks: u64,
) {
    let Some(generation) = stream.req.caller.generation else {
        return;
    };
    let memory = stream
        .req
        .core
        .tokens_per_event()
        .revised_memory(generation, chunks);
    if let Some(memory) = memory {
        opened.guard.grow(memory);
    }
}

/// Waits for the next piece of an answer.
async fn next_chunk(
    stream: &generate::StreamRequest,
    opened: &mut generate::OpenStream,
    tx: &body::Sender,
    idle_timeout: clock::Millis,
) -> Result<Option<Bytes>, Relayed> {
    let left = stream.req.time_left();
    let timeout = idle_timeout.min(left);
    let chunk = tokio::select! {
        chunk = time::timeout(timeout.as_duration(), opened.answer.next_chunk()) => chunk,
        () = tx.closed() => return Err(Relayed::CallerGone),
    };
    match chunk {
        Ok(Ok(chunk)) => Ok(chunk),
        Ok(Err(failure)) => Err(Relayed::Lost(failure)),
        Err(_) if stream.req.time_left() == clock::Millis::ZERO => Err(Relayed::TimedOut),
        Err(_) => Err(Relayed::Lost(upstream::Failure::TimedOut)),
    }
}
