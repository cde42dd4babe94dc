//! Follows whether a request has been written to its connection, for answers that come before that.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io as tokio_io;

/// Whether the request has been written; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Outgoing(sync::Arc<atomic::AtomicBool>);

impl Outgoing {
    /// Returns whether the connection has taken all bytes of the request.
    pub fn is_written(&self) -> bool {
        self.0.load(atomic::Ordering::Acquire)
    }

    fn set(&self, is_written: bool) {
        self.0.store(is_written, atomic::Ordering::Release);
    }
}

/// A connection on which one request is sent. Its writer flushes it only once it has written all that
/// it holds of the request, as hyper does.
#[derive(Debug)]
pub struct Tracked<S> {
    stream: S,
    outgoing: Outgoing,
}

impl<S> Tracked<S> {
    pub fn new(stream: S) -> (Self, Outgoing) {
        let outgoing = Outgoing::default();
        let tracked = Self {
            stream,
            outgoing: outgoing.clone(),
        };
        (tracked, outgoing)
    }
}

impl<S: tokio_io::AsyncRead + Unpin> tokio_io::AsyncRead for Tracked<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: tokio_io::AsyncWrite + Unpin> tokio_io::AsyncWrite for Tracked<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.outgoing.set(false);
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::ready!(pin::Pin::new(&mut self.stream).poll_flush(cx))?;
        self.outgoing.set(true);
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.outgoing.set(false);
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
