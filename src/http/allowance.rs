//! Bounds the bytes that are read from a server until a part of its answer is complete, such as the
//! head or an event.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io as tokio_io;

/// The bytes that a server may send until the head of its answer is complete, in addition to what
/// the buffers hold of the body by then.
pub const MAX_HEAD_BYTES: usize = 256 << 10;

/// The size of a connection's read buffer, and so of a head. An instance has some hundred connections
/// to servers.
pub const MAX_BUFFER_BYTES: usize = 32 << 10;

/// The bytes that may still be read from a connection; clones share them.
#[derive(Clone, Debug)]
pub struct Allowance(sync::Arc<atomic::AtomicUsize>);

impl Allowance {
    /// Allows so many bytes from now on.
    pub fn renew(&self, bytes: usize) {
        self.0.store(bytes, atomic::Ordering::Relaxed);
    }

    /// Allows any number of bytes, since what is read is bounded elsewhere.
    pub fn lift(&self) {
        self.renew(usize::MAX);
    }

    /// Takes bytes that were read; fails when they are more than allowed.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(atomic::Ordering::Relaxed);
        self.0
            .store(left.saturating_sub(bytes), atomic::Ordering::Relaxed);
        if left < bytes {
            return Err(io::Error::other(
                "the server sent more bytes than allowed without completing its answer's head or event",
            ));
        }
        Ok(())
    }
}

/// A connection to a server of which only allowed bytes are read.
#[derive(Debug)]
pub struct Bounded<S> {
    stream: S,
    allowance: Allowance,
}

impl<S> Bounded<S> {
    /// Bounds a connection from which the head of an answer is to be read.
    pub fn new(stream: S) -> (Self, Allowance) {
        let allowance = Allowance(sync::Arc::new(atomic::AtomicUsize::new(MAX_HEAD_BYTES)));
        let bounded = Self {
            stream,
            allowance: allowance.clone(),
        };
        (bounded, allowance)
    }
}

impl<S: tokio_io::AsyncRead + Unpin> tokio_io::AsyncRead for Bounded<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        task::ready!(pin::Pin::new(&mut self.stream).poll_read(cx, buf))?;
        task::Poll::Ready(self.allowance.take(buf.filled().len() - before))
    }
}

impl<S: tokio_io::AsyncWrite + Unpin> tokio_io::AsyncWrite for Bounded<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
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
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
