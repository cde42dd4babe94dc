//! One caller request on its way through the chain, and the way back to its caller.

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

/// The longest time that a caller may read nothing of a streamed answer.
pub const STREAM_WRITE_TIMEOUT: clock::Millis = clock::Millis::from_secs(30);

/// One caller request.
#[derive(Debug)]
pub struct Exchange {
    /// What all tasks of the gateway share.
    pub cx: sync::Arc<shared::Shared>,
    /// The identity of the request.
    pub id: id::RequestId,
    /// When its head arrived.
    pub arrived: clock::Millis,
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// What it asks for, once identified.
    pub target: Target,
    /// The key that came with it, once authorised.
    pub key: Option<model::Key>,
    /// The tokens taken for it, once charged.
    pub charged: Option<unit::Tokens>,
    /// The tokens that it used.
    pub used: unit::Tokens,
    /// Its claim, once proposed.
    pub claim: Option<command::ClaimKey>,
    /// How its claim ends as things stand.
    pub claim_end: command::ClaimEnd,
    /// The way back.
    pub responder: Responder,
    /// Where the connection learns which key it is used with.
    pub authorised: watch::Sender<Option<model::Key>>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Target {
    /// Not identified yet.
    Unknown,
    /// The entries that callers may use.
    Entries,
    /// The models that callers may name.
    Models,
    /// An answer of a model.
    Model(sync::Arc<ModelCall>),
    /// A call to a plain service.
    Plain(model::Route),
}

/// A request to a model.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// What the caller wants.
    pub call: chat::Call,
    /// The model's record.
    pub model: model::Model,
    /// The most tokens of the answer.
    pub max_output: unit::Tokens,
}

/// The pieces of a streamed answer that may wait for a slow caller: a few seconds of tokens.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// The way back to a caller.
#[derive(Debug)]
pub struct Responder {
    head: Option<oneshot::Sender<answer::Response>>,
    body: Option<body::Sender>,
}

impl Responder {
    /// Makes the way back and its far end.
    pub fn new() -> (Self, oneshot::Receiver<answer::Response>) {
        let (tx, rx) = oneshot::channel();
        let responder = Self {
            head: Some(tx),
            body: None,
        };
        (responder, rx)
    }

    /// Sends a whole answer; a second answer to the same request is a fault of the program.
    ///
    /// # Panics
    ///
    /// Panics if the request has been answered already.
    pub fn respond(&mut self, response: answer::Response) {
        let head = self.head.take().expect("a request is answered once");
        // A caller that is gone gets nothing; its request has ended all the same.
        let _ = head.send(response);
    }

    /// Sends the head of a streamed answer.
    pub fn begin_stream(&mut self, builder: hyper::http::response::Builder) {
        let (tx, body) = body::Body::channel(STREAM_BUFFER_CHUNKS);
        self.body = Some(tx);
        self.respond(answer::finish(builder, body));
    }

    /// Tells whether the head of the answer was sent.
    pub const fn has_sent_head(&self) -> bool {
        self.head.is_none()
    }

    /// Sends a chunk of a streamed answer; `false` when the caller is gone.
    ///
    /// A caller that reads nothing for [`STREAM_WRITE_TIMEOUT`] counts as gone: its connection may have
    /// gone silent, and its request must not hold an engine for ever.
    pub async fn send_chunk(&self, chunk: Bytes) -> bool {
        let Some(tx) = &self.body else {
            return false;
        };
        let sent = time::timeout(STREAM_WRITE_TIMEOUT.as_duration(), tx.send(Ok(chunk)));
        matches!(sent.await, Ok(Ok(())))
    }

    /// Returns when the caller is gone.
    pub async fn closed(&mut self) {
        match (&mut self.head, &self.body) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Ends a streamed answer.
    pub fn end_stream(&mut self) {
        self.body = None;
    }
}

impl Exchange {
    /// Returns the account that the request runs for.
    pub fn account(&self) -> Option<&id::ClientAccountId> {
        self.key.as_ref().map(|key| &key.account)
    }

    /// Returns how long the request has been here.
    pub fn age(&self) -> clock::Millis {
        self.cx.clock.now() - self.arrived
    }

    /// Tells whether work may start now: the configuration is fresh and the key still in force.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer with.
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

    /// Returns the refusal of keyed work while the configuration is not fresh.
    pub fn entry_not_fresh(&self) -> answer::Refusal {
        let config = self.cx.config();
        let others: Vec<_> = config
            .members
            .values()
            .filter(|m| m.id != *self.cx.instance() && !m.leaving)
            .map(|m| m.caller_address)
            .collect();
        let message = "this entry has lost touch with its control group; use another entry";
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
