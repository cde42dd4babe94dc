//! Client of the HTTP interface of model engines, described by [`wire`].

use std::fmt;
use std::net;
use std::pin;

use eventsource_stream::Eventsource as _;
use futures_util::StreamExt as _;
use futures_util::stream;
use hyper::header;
use tokio::time;

use crate::backend::client;
use crate::backend::wire;
use crate::clock;
use crate::http::allowance;
use crate::id;
use crate::macros;

/// The largest response that is not a stream.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The timeout of calls that read or cancel, and of the response head of a token stream.
const SHORT_CALL_TIMEOUT: clock::Millis = clock::Millis::new(700);

/// A client of one model engine; every call opens its own connection.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    address: net::SocketAddr,
}

macros::data! {
    /// Why a call to an engine failed.
    pub enum EngineError {
        /// The engine sent no usable response.
        Call(client::Failure),
        /// The engine has no capacity left and started nothing.
        Full,
        /// The engine no longer holds the KV cache or the stream.
        Gone,
        /// The engine refused the call for another reason; holds the HTTP status and the body.
        Refused(u16, String),
    }
}

impl EngineError {
    /// Returns whether it is certain that the call started no work.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Call(client::Failure::NotSent(_)) | Self::Full)
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(failure) => failure.fmt(f),
            Self::Full => f.write_str("the engine has no capacity left"),
            Self::Gone => f.write_str("the engine no longer holds the request"),
            Self::Refused(status, why) => write!(f, "status {status}: {why}"),
        }
    }
}

macros::data! {
    /// One event of a token stream.
    pub enum StreamEvent {
        /// The next token.
        Token(wire::Token),
        /// The end of a complete stream.
        Done(wire::Done),
    }
}

impl Engine {
    pub const fn new(address: net::SocketAddr) -> Self {
        Self { address }
    }

    /// Computes the KV cache of a prompt and returns once it is ready to be fetched.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn prefill(
        &self,
        body: &wire::Prefill,
        timeout: clock::Millis,
    ) -> Result<wire::Prefilled, EngineError> {
        self.post("/v1/prefill", body, timeout).await
    }

    /// Makes this engine fetch KV cache from a prefill engine and returns once it holds it.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn import(
        &self,
        body: &wire::Import,
        timeout: clock::Millis,
    ) -> Result<(), EngineError> {
        let _: serde_json::Value = self.post("/v1/import", body, timeout).await?;
        Ok(())
    }

    /// Starts to generate tokens from the imported KV cache.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn decode(&self, body: &wire::Decode) -> Result<TokenStream, EngineError> {
        let request = json_request("/v1/decode", body);
        self.stream(request).await
    }

    /// Resumes a token stream at this engine, beginning with the token of index `from`.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn resume(
        &self,
        request: id::RequestId,
        from: u64,
    ) -> Result<TokenStream, EngineError> {
        let path = format!("/v1/requests/{request}/stream?from={from}");
        self.stream(empty_request(hyper::Method::GET, &path)).await
    }

    /// Frees everything that the engine holds for a request.
    ///
    /// # Errors
    ///
    /// See [`EngineError`]; only a response confirms that the engine holds nothing any more.
    pub async fn cancel(&self, request: id::RequestId) -> Result<wire::Cancelled, EngineError> {
        let path = format!("/v1/requests/{request}");
        self.call(
            empty_request(hyper::Method::DELETE, &path),
            SHORT_CALL_TIMEOUT,
        )
        .await
    }

    /// Lists what the engine holds, per request and phase.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn held(&self) -> Result<wire::Held, EngineError> {
        self.call(
            empty_request(hyper::Method::GET, "/v1/held"),
            SHORT_CALL_TIMEOUT,
        )
        .await
    }

    /// Reads the engine's load report, which may be some time old.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn load(&self) -> Result<wire::Load, EngineError> {
        self.call(
            empty_request(hyper::Method::GET, "/v1/load"),
            SHORT_CALL_TIMEOUT,
        )
        .await
    }

    /// Reads the changes of the prefix cache numbered above `after`.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn cache_events(&self, after: u64) -> Result<wire::CacheEvents, EngineError> {
        let path = format!("/v1/cache-events?after={after}");
        self.call(empty_request(hyper::Method::GET, &path), SHORT_CALL_TIMEOUT)
            .await
    }

    async fn post<T: serde::Serialize, R: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
        timeout: clock::Millis,
    ) -> Result<R, EngineError> {
        self.call(json_request(path, body), timeout).await
    }

    async fn call<R: serde::de::DeserializeOwned>(
        &self,
        request: hyper::Request<client::Body>,
        timeout: clock::Millis,
    ) -> Result<R, EngineError> {
        let answer = client::call(self.address, request, timeout, MAX_ANSWER_BYTES)
            .await
            .map_err(EngineError::Call)?;
        check_status(answer.status, || {
            String::from_utf8_lossy(&answer.body).into_owned()
        })?;
        serde_json::from_slice(&answer.body)
            .map_err(|e| EngineError::Call(client::Failure::Malformed(e.to_string())))
    }

    async fn stream(
        &self,
        request: hyper::Request<client::Body>,
    ) -> Result<TokenStream, EngineError> {
        let streaming = client::open(self.address, request, SHORT_CALL_TIMEOUT)
            .await
            .map_err(EngineError::Call)?;
        check_status(streaming.status, String::new)?;
        Ok(TokenStream::new(streaming))
    }
}

fn json_request<T: serde::Serialize>(path: &str, body: &T) -> hyper::Request<client::Body> {
    let body = serde_json::to_vec(body).expect("wire types have string keys only");
    hyper::Request::post(path)
        .header(header::HOST, "engine")
        .header(header::CONTENT_TYPE, "application/json")
        .body(client::Body::from(body))
        .expect("the path is well-formed")
}

fn empty_request(method: hyper::Method, path: &str) -> hyper::Request<client::Body> {
    hyper::Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, "engine")
        .body(client::Body::default())
        .expect("the path is well-formed")
}

fn check_status(
    status: hyper::StatusCode,
    body: impl FnOnce() -> String,
) -> Result<(), EngineError> {
    match status {
        status if status.is_success() => Ok(()),
        hyper::StatusCode::SERVICE_UNAVAILABLE => Err(EngineError::Full),
        hyper::StatusCode::NOT_FOUND | hyper::StatusCode::GONE => Err(EngineError::Gone),
        status => Err(EngineError::Refused(status.as_u16(), body())),
    }
}

type Events = dyn futures_util::Stream<
        Item = Result<
            eventsource_stream::Event,
            eventsource_stream::EventStreamError<client::Failure>,
        >,
    > + Send;

/// What an engine may send until an event is complete; the buffers hold some of the next ones by
/// then.
const MAX_EVENT_BYTES: usize = 128 << 10;

/// A stream of tokens from an engine.
pub struct TokenStream {
    events: pin::Pin<Box<Events>>,
    allowance: allowance::Allowance,
}

impl fmt::Debug for TokenStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenStream")
    }
}

impl TokenStream {
    fn new(streaming: client::Streaming) -> Self {
        let allowance = streaming.allowance();
        allowance.renew(MAX_EVENT_BYTES);
        let bytes = stream::unfold(streaming, |mut streaming| async {
            let next = streaming.next().await?;
            Some((next, streaming))
        });
        Self {
            events: Box::pin(bytes.eventsource()),
            allowance,
        }
    }

    /// Returns the next event of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, the stream ends without [`StreamEvent::Done`], an event is
    /// malformed, or no event comes within `idle_timeout`.
    pub async fn next(
        &mut self,
        idle_timeout: clock::Millis,
    ) -> Result<StreamEvent, client::Failure> {
        let next = time::timeout(idle_timeout.as_duration(), self.events.next())
            .await
            .map_err(|_| client::Failure::Timeout)?;
        self.allowance.renew(MAX_EVENT_BYTES);
        match next {
            Some(Ok(event)) => decode_event(&event),
            Some(Err(e)) => Err(client::Failure::Broken(e.to_string())),
            None => Err(client::Failure::Broken(
                "the stream ended without `done`".into(),
            )),
        }
    }
}

fn decode_event(event: &eventsource_stream::Event) -> Result<StreamEvent, client::Failure> {
    let malformed = |e: serde_json::Error| client::Failure::Malformed(e.to_string());
    if event.event == "done" {
        return serde_json::from_str(&event.data)
            .map(StreamEvent::Done)
            .map_err(malformed);
    }
    serde_json::from_str(&event.data)
        .map(StreamEvent::Token)
        .map_err(malformed)
}
