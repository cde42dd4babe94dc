//! One caller request as the filters handle it, and the sender of its answer.

use std::sync;

use bytes::Bytes;
use hyper::http::request;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::gateway::shared;
use crate::http::body;
use crate::http::caller::answer;
use crate::http::caller::chat;
use crate::id;
use crate::state::command;
use crate::state::model;
use crate::unit;

/// The longest time that one write of a streamed answer waits for the caller to read.
pub const STREAM_WRITE_TIMEOUT: clock::Millis = clock::Millis::from_secs(30);

/// One caller request and what the filters have found out about it.
#[derive(Debug)]
pub struct Exchange {
    pub cx: sync::Arc<shared::Shared>,
    pub id: id::RequestId,
    /// When the head of the request arrived.
    pub arrived: clock::Millis,
    /// The head, from which [`crate::filter::authorise`] removes the headers with the caller's key.
    pub head: request::Parts,
    pub body: Bytes,
    /// Set by [`crate::filter::identify`]; [`Target::Unknown`] before.
    pub target: Target,
    /// The caller's key, set by [`crate::filter::authorise`] for keyed targets only.
    pub key: Option<model::Key>,
    /// The tokens charged by [`crate::filter::limit`]; `None` when the request is not charged.
    pub charged: Option<unit::Tokens>,
    /// The tokens that the request used in the end; zero until a server has run it.
    pub used: unit::Tokens,
    /// The claim proposed by [`crate::filter::claim`] for this request; `None` when it holds none.
    pub claim: Option<command::ClaimKey>,
    /// How the claim is settled if the request ends now.
    pub claim_outcome: command::ClaimOutcome,
    /// Sends the answer to the caller.
    pub responder: Responder,
    /// Tells the caller's connection which key it was last used with.
    pub authorised: watch::Sender<Option<model::Key>>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Target {
    /// Not identified yet.
    Unknown,
    /// The list of entries, the gateways that callers may connect to.
    Entries,
    Models,
    /// A chat or text completion by a model.
    Model(sync::Arc<ModelCall>),
    /// A call to a plain service.
    Plain(model::Route),
}

/// A request to a model.
#[derive(Clone, Debug)]
pub struct ModelCall {
    pub call: chat::Call,
    pub model: model::Model,
    /// The most tokens that the answer may have.
    pub max_output: unit::Tokens,
}

/// The chunks of a streamed answer that are buffered for a slow caller: a few seconds of tokens.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// Sends the answer of one request to its caller, whole or as a stream of chunks.
#[derive(Debug)]
pub struct Responder {
    head: Option<oneshot::Sender<answer::Response>>,
    body: Option<body::Sender>,
}

impl Responder {
    /// Creates a responder and the receiver of its answer.
    pub fn new() -> (Self, oneshot::Receiver<answer::Response>) {
        let (tx, rx) = oneshot::channel();
        let responder = Self {
            head: Some(tx),
            body: None,
        };
        (responder, rx)
    }

    /// Sends an answer. A request must be answered only once.
    ///
    /// # Panics
    ///
    /// Panics if the request has been answered already.
    pub fn respond(&mut self, response: answer::Response) {
        let head = self.head.take().expect("a request is answered once");
        // Sending fails when the caller is gone; the request has ended either way.
        let _ = head.send(response);
    }

    /// Sends the head of a streamed answer; [`Self::send_chunk`] sends its body.
    ///
    /// # Panics
    ///
    /// Panics if the request has been answered already.
    pub fn begin_stream(&mut self, builder: hyper::http::response::Builder) {
        let (tx, body) = body::Body::channel(STREAM_BUFFER_CHUNKS);
        self.body = Some(tx);
        self.respond(answer::finish(builder, body));
    }

    /// Returns whether the head of the answer was sent.
    pub const fn has_sent_head(&self) -> bool {
        self.head.is_none()
    }

    /// Sends a chunk of a streamed answer; returns `false` when the caller is gone or no stream was
    /// begun.
    ///
    /// A caller that reads nothing for [`STREAM_WRITE_TIMEOUT`] counts as gone: its connection may
    /// be dead without having been closed, and its request must not hold an engine for ever.
    pub async fn send_chunk(&self, chunk: Bytes) -> bool {
        let Some(tx) = &self.body else {
            return false;
        };
        let sent = time::timeout(STREAM_WRITE_TIMEOUT.as_duration(), tx.send(Ok(chunk)));
        matches!(sent.await, Ok(Ok(())))
    }

    /// Waits until the caller is gone.
    ///
    /// Waits for ever when the answer was sent as a whole or its stream has ended.
    pub async fn closed(&mut self) {
        match (&mut self.head, &self.body) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    pub fn end_stream(&mut self) {
        self.body = None;
    }
}

impl Exchange {
    /// Returns the account that pays for the request; `None` without an authorised key.
    pub fn account(&self) -> Option<&id::ClientAccountId> {
        self.key.as_ref().map(|key| &key.account)
    }

    /// Returns the time since the head of the request arrived.
    pub fn age(&self) -> clock::Millis {
        self.cx.clock.now() - self.arrived
    }

    /// Checks that work may start now: the configuration is fresh and the key still in force.
    ///
    /// Requests without a key always pass.
    ///
    /// # Errors
    ///
    /// Returns the refusal `entry_not_fresh` or `invalid_key`.
    pub fn check_allowed(&self) -> Result<(), answer::Refusal> {
        let Some(key) = &self.key else {
            return Ok(());
        };
        if !self.cx.is_fresh() {
            return Err(self.entry_not_fresh());
        }
        if self.cx.config().keys.get(&key.id) == Some(key) {
            return Ok(());
        }
        Err(invalid_key())
    }

    /// Returns the refusal while the configuration is not fresh, with the other entries to use.
    pub fn entry_not_fresh(&self) -> answer::Refusal {
        let config = self.cx.config();
        let others: Vec<_> = config
            .members
            .values()
            .filter(|m| m.id != *self.cx.instance() && !m.leaving)
            .map(|m| m.caller_address)
            .collect();
        let message = "this entry has lost contact with its control group; use another entry";
        answer::Refusal::not_run(503, "entry_not_fresh", message)
            .retry_after(clock::Millis::from_secs(1))
            .entries(others)
    }
}

/// Returns the refusal of a key that is not in force.
pub fn invalid_key() -> answer::Refusal {
    let message = "the key is not known or was withdrawn; ask your operator for a new one";
    answer::Refusal::not_run(401, "invalid_key", message)
}
