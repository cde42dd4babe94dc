//! Response bodies, complete or streamed in chunks, and responses without further headers.

use std::pin;
use std::task;

use bytes::Bytes;
use hyper::body;
use hyper::header;
use tokio::sync::mpsc;

/// Ends a streamed body early: the connection is closed without the final chunk, so that the caller
/// sees the response as incomplete. Holds the reason.
#[derive(Clone, Debug, thiserror::Error)]
#[error("response truncated: {0}")]
pub struct Truncated(pub &'static str);

/// Sends the chunks of a streamed body.
pub type Sender = mpsc::Sender<Result<Bytes, Truncated>>;

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body; `None` once it has been sent, or for an empty body.
    Full(Option<Bytes>),
    /// A body streamed in chunks; complete when the sender is dropped without a [`Truncated`].
    Chunks(mpsc::Receiver<Result<Bytes, Truncated>>),
    /// A streamed body that ends early once its chunks have been flushed.
    Ending(Truncated),
}

impl Body {
    /// Makes a complete body.
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Makes a streamed body and its sender; up to `capacity` chunks are queued for a slow reader.
    pub fn channel(capacity: usize) -> (Sender, Self) {
        let (tx, rx) = mpsc::channel(capacity);
        (tx, Self::Chunks(rx))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Truncated>>> {
        let body = self.get_mut();
        let chunk = match body {
            Self::Full(bytes) => bytes.take().map(Ok),
            Self::Chunks(rx) => task::ready!(rx.poll_recv(cx)),
            Self::Ending(truncated) => Some(Err(truncated.clone())),
        };
        if let (Self::Chunks(_), Some(Err(truncated))) = (&*body, &chunk) {
            // hyper drops what it has not flushed when a body fails, and flushes when it is pending.
            *body = Self::Ending(truncated.clone());
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        task::Poll::Ready(chunk.map(|c| c.map(body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Full(bytes) => {
                body::SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Chunks(_) | Self::Ending(_) => body::SizeHint::default(),
        }
    }
}

/// Makes a response with a status and a complete body, without a content type.
pub fn answer(status: hyper::StatusCode, bytes: impl Into<Bytes>) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::from_bytes(bytes));
    *response.status_mut() = status;
    response
}

/// Makes a response with status 200 and a body that is JSON already.
pub fn json(bytes: impl Into<Bytes>) -> hyper::Response<Body> {
    let mut response = answer(hyper::StatusCode::OK, bytes);
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
