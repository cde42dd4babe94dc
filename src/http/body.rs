//! Bodies of answers: whole, or sent piece by piece.

use std::convert;
use std::pin;
use std::task;

use bytes::Bytes;
use hyper::body;
use tokio::sync::mpsc;

/// The pieces of a streamed body that may wait for a slow reader.
const CHANNEL_PIECES: usize = 64;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Option<Bytes>),
    /// Piece by piece; it ends when the sender is dropped.
    Pieces(mpsc::Receiver<Bytes>),
}

impl Body {
    /// Makes a whole body.
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Makes a body that is sent piece by piece, and its sender.
    pub fn channel() -> (mpsc::Sender<Bytes>, Self) {
        let (tx, rx) = mpsc::channel(CHANNEL_PIECES);
        (tx, Self::Pieces(rx))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, convert::Infallible>>> {
        let data = match self.get_mut() {
            Self::Whole(bytes) => bytes.take(),
            Self::Pieces(rx) => std::task::ready!(rx.poll_recv(cx)),
        };
        task::Poll::Ready(data.map(|data| Ok(body::Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(Some(bytes)) => body::SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => body::SizeHint::with_exact(0),
            Self::Pieces(_) => body::SizeHint::default(),
        }
    }
}
