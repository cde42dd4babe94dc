//! Streams of answers as server-sent events.

use std::fmt::Write as _;
use std::io;
use std::sync;

use buckthorncleat::backend::wire;
use buckthorncleat::id;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::sync::watch;

use crate::engine::decode;
use crate::engine::server;
use crate::server as http;

/// A counted reader of an answer. Detaches from the answer when it is dropped.
#[derive(Debug)]
struct Reader {
    shared: sync::Arc<server::Shared>,
    request: id::RequestId,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let request = self.request;
        self.shared.change(|engine| engine.detach(request));
    }
}

struct State {
    reader: Reader,
    next_token: u64,
    changes: watch::Receiver<u64>,
    stream_cuts: u64,
    ended: bool,
}

/// Responds with the stream of a request from token `from` on.
///
/// The caller has counted this reader, by `Engine::decode` or `Engine::attach`.
///
/// # Panics
///
/// Panics if the fixed response headers are not valid.
pub fn answer(
    shared: sync::Arc<server::Shared>,
    request: id::RequestId,
    from: u64,
) -> http::Response {
    let state = State {
        next_token: from,
        changes: shared.changes(),
        stream_cuts: shared.stream_cuts(),
        ended: false,
        reader: Reader { shared, request },
    };
    let frames = stream::unfold(state, next_frame);
    hyper::Response::builder()
        .header(hyper::header::CONTENT_TYPE, "text/event-stream")
        .header(hyper::header::CACHE_CONTROL, "no-store")
        .body(http_body_util::StreamBody::new(frames).boxed_unsync())
        .expect("fixed headers are valid")
}

async fn next_frame(mut state: State) -> Option<(io::Result<body::Frame<Bytes>>, State)> {
    if state.ended {
        return None;
    }
    loop {
        state.changes.mark_unchanged();
        match state.read() {
            Ok(text) if text.is_empty() => {}
            Ok(text) => return Some((Ok(body::Frame::data(text.into())), state)),
            Err(e) => {
                state.ended = true;
                return Some((Err(e), state));
            }
        }
        state.changes.changed().await.ok()?;
    }
}

impl State {
    fn read(&mut self) -> io::Result<String> {
        let shared = &self.reader.shared;
        if shared.stream_cuts() != self.stream_cuts {
            return Err(io::Error::other("the stream was cut by an injected fault"));
        }
        let request = self.reader.request;
        let (progress, done) = shared
            .read(|engine| Ok((engine.answer_progress(request)?, engine.done(request)?)))
            .map_err(|e: crate::engine::refusal::Refusal| io::Error::other(e))?;
        let mut text = token_events(&progress, self.next_token);
        self.next_token = self.next_token.max(progress.produced);
        if progress.complete {
            self.ended = true;
            let done = serde_json::to_string(&done).expect("a plain struct serializes to JSON");
            write!(text, "event: done\ndata: {done}\n\n")
                .expect("writing to a String does not fail");
        }
        Ok(text)
    }
}

fn token_events(progress: &decode::Progress, from: u64) -> String {
    let mut text = String::new();
    for index in from..progress.produced {
        let token = wire::Token {
            index,
            text: progress.answer.token(index),
        };
        let json = serde_json::to_string(&token).expect("a plain struct serializes to JSON");
        write!(text, "data: {json}\n\n").expect("writing to a String does not fail");
    }
    text
}
