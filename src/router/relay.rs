//! Relays the events of a stream to the caller and resumes a broken stream at another server.

use bytes::Bytes;
use tokio::time;

use crate::clock;
use crate::http::body;
use crate::http::progress;
use crate::router::balancer;
use crate::router::forward;
use crate::router::generate;
use crate::router::upstream;

/// Within this time a router that was paused has read all that its connections had for it.
const PROOF_INTERVAL: clock::Millis = clock::Millis::new(100);

/// Lower bound of the time without an event after which a stream is resumed elsewhere. A server that
/// runs long prefills between tokens pauses for up to half a second.
const MIN_IDLE_TIMEOUT: clock::Millis = clock::Millis::new(1_500);

/// The idle timeout is this many times the route's target gap between events.
const IDLE_TIMEOUT_PAUSES: u64 = 5;

/// Outcome of a stream that was delivered completely.
pub const COMPLETE: &str = "complete";

/// Figures of a stream for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// Number of relayed chunks, or of events on a route that resumes streams.
    pub chunks: u64,
    /// Time of the last one.
    last_at: Option<clock::Millis>,
    /// Longest time between two of them.
    pub longest_pause: clock::Millis,
    /// How far the last server's answer was read.
    pub progress: Option<progress::Progress>,
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
    Complete,
    CallerGone,
    /// The connection to the server broke, or no event came within the idle timeout.
    Lost(upstream::Failure),
    /// The deadline of the request has passed.
    TimedOut,
}

/// Relays a stream to its end, over as many servers as it takes, and logs the end.
pub async fn run(
    mut stream: generate::StreamRequest,
    opened: generate::OpenStream,
    tx: body::Sender,
    first_event: clock::Millis,
) {
    let mut opened = opened;
    let resumes = generate::can_resume(&stream.req.route);
    let mut stats = Stats::default();
    let outcome = loop {
        let relayed = if resumes {
            relay_events(&mut stream, &mut opened, &tx, &mut stats).await
        } else {
            relay_chunks(&mut stream, &mut opened, &tx, &mut stats).await
        };
        stats.progress = Some(*opened.answer.progress());
        let failure = match relayed {
            Relayed::Complete => {
                let framing = opened.answer.progress().framing();
                stream.record_end(&opened.pick, framing);
                opened.guard.finish(balancer::Outcome::Succeeded);
                record_tokens_per_event(&stream, stats);
                break COMPLETE;
            }
            Relayed::CallerGone => break "caller gone",
            Relayed::TimedOut => break abort_body(&tx, "time limit").await,
            Relayed::Lost(failure) => failure,
        };
        // Close this connection before another server resumes the stream.
        drop(opened.answer);
        stream.record_lost_server(&opened.pick, opened.guard, failure);
        if !resumes {
            break abort_body(&tx, "server broke off").await;
        }
        if !stream.events.sequence().may_resume() {
            break abort_body(&tx, "ids of events are irregular").await;
        }
        stream.events.begin_run();
        opened = match resume(&mut stream, &tx).await {
            Resumed::Here(next) => *next,
            Resumed::Elsewhere(outcome) => break outcome,
            Resumed::Nowhere => break abort_body(&tx, "no server to go on").await,
        };
    };
    stream.log_end(outcome, stats, first_event);
}

/// Records the size of a complete stream. One that the caller itself resumed is left out, since
/// only its end was seen.
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

/// Aborts the body without its regular end, so that the caller sees a truncated answer. Returns the
/// outcome.
async fn abort_body(tx: &body::Sender, reason: &'static str) -> &'static str {
    if tx.send(Err(body::Truncated(reason))).await.is_err() {
        return "caller gone";
    }
    reason
}

/// How a broken stream goes on.
enum Resumed {
    Here(Box<generate::OpenStream>),
    /// Other routers relayed it to its end, with this outcome.
    Elsewhere(&'static str),
    Nowhere,
}

/// Resumes the stream after the last event that was delivered: at a server that this router reaches, or
/// through another router.
async fn resume(stream: &mut generate::StreamRequest, tx: &body::Sender) -> Resumed {
    let opened = tokio::select! {
        opened = stream.open() => opened,
        () = tx.closed() => return Resumed::Nowhere,
    };
    let ended = match opened {
        Ok(Ok(opened)) => {
            stream.log_resumed(&opened);
            return Resumed::Here(opened);
        }
        Ok(Err(_)) => return Resumed::Nowhere,
        Err(ended) => ended,
    };
    let may_pass_on = ended.pass_on.is_some() && !stream.req.is_forwarded();
    if may_pass_on
        && stream.resume_after().is_some()
        && let Some(outcome) = forward::resume(stream, tx).await
    {
        return Resumed::Elsewhere(outcome);
    }
    log::info!(
        event = "not_resumed",
        request = stream.req.log_id(),
        reason = ended.refusal.reason(),
        last_event = stream.resume_after().unwrap_or_default();
        "broken stream could not be resumed"
    );
    Resumed::Nowhere
}

async fn relay_chunks(
    stream: &mut generate::StreamRequest,
    opened: &mut generate::OpenStream,
    tx: &body::Sender,
    stats: &mut Stats,
) -> Relayed {
    let begun_at = stream.req.core.clock.now();
    let mut chunk = opened.first_chunk.take();
    stream.record_origin(&opened.pick);
    while let Some(bytes) = chunk {
        stream.record_progress(begun_at);
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
    stats: &mut Stats,
) -> Relayed {
    let idle_timeout = MIN_IDLE_TIMEOUT.max(stream.req.route.target_gap * IDLE_TIMEOUT_PAUSES);
    let begun_at = stream.req.core.clock.now();
    let mut progress_at = begun_at;
    let mut has_recorded_origin = false;
    let mut chunk = opened.first_chunk.take();
    while let Some(bytes) = chunk {
        stream.record_progress(begun_at);
        let read = stream.events.push(&bytes);
        if read.has_news {
            progress_at = stream.req.core.clock.now();
        }
        for piece in read.pieces {
            if !has_recorded_origin {
                stream.record_origin(&opened.pick);
                has_recorded_origin = true;
            }
            stats.record(stream.req.core.clock.now());
            update_memory_estimate(stream, opened, stats.chunks);
            if tx.send(Ok(piece)).await.is_err() {
                return Relayed::CallerGone;
            }
        }
        if let Some(failure) = read.failure {
            return Relayed::Lost(failure);
        }
        let idle = stream.req.core.clock.now() - progress_at;
        chunk = match next_chunk(stream, opened, tx, idle_timeout - idle).await {
            Ok(chunk) => chunk,
            Err(end) => return end,
        };
    }
    let rest = match stream.events.finish() {
        Ok(rest) => rest,
        Err(failure) => return Relayed::Lost(failure),
    };
    if !has_recorded_origin && !rest.is_empty() {
        stream.record_origin(&opened.pick);
    }
    for bytes in rest {
        if tx.send(Ok(bytes)).await.is_err() {
            return Relayed::CallerGone;
        }
    }
    Relayed::Complete
}

/// Raises the load counted for a stream that has exceeded its output estimate.
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

/// Takes a chunk for a proof that the server was up when this router awaited it [`PROOF_INTERVAL`]
/// before. A chunk that has just been awaited may be older, when the process was paused.
fn record_proof(stream: &generate::StreamRequest, opened: &mut generate::OpenStream) {
    let core = &stream.req.core;
    let now = core.clock.now();
    if now >= opened.awaited_at + PROOF_INTERVAL {
        let at = std::mem::replace(&mut opened.awaited_at, now);
        core.balancer().record_proof(now, at, &opened.pick.id);
    }
}

/// Waits for the next chunk of an answer, until the idle timeout or the deadline of the request.
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
    if matches!(chunk, Ok(Ok(Some(_)))) {
        record_proof(stream, opened);
    }
    match chunk {
        Ok(Ok(chunk)) => Ok(chunk),
        Ok(Err(failure)) => Err(Relayed::Lost(failure)),
        Err(_) if stream.req.time_left() == clock::Millis::ZERO => Err(Relayed::TimedOut),
        Err(_) => Err(Relayed::Lost(upstream::Failure::TimedOut)),
    }
}
