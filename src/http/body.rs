//! Bodies of answers: whole, or sent piece by piece; and answers that are only a body.

use std::pin;
use std::task;

use bytes::Bytes;
use hyper::body;
use hyper::header;
use tokio::sync::mpsc;

/// An answer that ends before it is complete; the connection is closed without the end mark.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut: {0}")]
pub struct Cut(pub &'static str);

/// The sender of a body that is sent piece by piece.
pub type Sender = mpsc::Sender<Result<Bytes, Cut>>;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Option<Bytes>),
    /// Piece by piece; it is complete when the sender is dropped without a [`Cut`].
    Pieces(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl Body {
    /// Makes a whole body.
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Makes a body that is sent piece by piece, and its sender; `pieces` of them may wait for a
    /// slow reader.
    pub fn channel(pieces: usize) -> (Sender, Self) {
        let (tx, rx) = mpsc::channel(pieces);
        (tx, Self::Pieces(rx))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Cut>>> {
        let piece = match self.get_mut() {
            Self::Whole(bytes) => bytes.take().map(Ok),
            Self::Pieces(rx) => task::ready!(rx.poll_recv(cx)),
        };
        task::Poll::Ready(piece.map(|p| p.map(body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(bytes) => {
                body::SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Pieces(_) => body::SizeHint::default(),
        }
    }
}

/// Makes an answer of a status and a whole body.
pub fn answer(status: hyper::StatusCode, bytes: impl Into<Bytes>) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::from_bytes(bytes));
    *response.status_mut() = status;
    response
}

/// Makes an answer of a whole body in JSON.
pub fn json(bytes: impl Into<Bytes>) -> hyper::Response<Body> {
    let mut response = answer(hyper::StatusCode::OK, bytes);
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
