//! Limit on the bytes that an upstream may send for one response beside its body.
//!
//! The HTTP library limits a head and a chunk's extensions, but it skips interim responses and the
//! leading zeros of a chunk's size for as long as they come. A [`Metered`] stream therefore ends
//! once more bytes have been read than the [`Allowance`] permits; whoever reads the body grants more
//! for each part of it that has arrived.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use derive_more::{Display, Error};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may be read without any of the body having arrived.
pub const INITIAL_BYTES: usize = 131_072;
/// Bytes that may be read for each byte of the body; a chunk of one byte takes six.
const BYTES_PER_BODY_BYTE: usize = 8;

/// Bytes that may still be read from a stream.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(INITIAL_BYTES)))
    }

    /// Starts the next response.
    pub fn reset(&self) {
        self.0.store(INITIAL_BYTES, Ordering::Relaxed);
    }

    /// Permits more bytes after `size` bytes of a body have arrived.
    pub fn grant(&self, size: usize) {
        let granted = size.saturating_mul(BYTES_PER_BODY_BYTE);
        // Only the task that reads the body grants, so that the sum is bounded by the body.
        self.0.fetch_add(granted, Ordering::Relaxed);
    }

    /// Takes bytes that were read, and returns whether they were permitted.
    fn take(&self, size: usize) -> bool {
        let take = |allowed: usize| allowed.checked_sub(size);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// The upstream sent too many bytes that are not part of a body.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("more bytes than a response may have beside its body")]
struct Excess;

/// A stream that ends with an error once its allowance is used up.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    allowance: Allowance,
}

impl Metered {
    /// Creates a metered stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> (Self, Allowance) {
        let allowance = Allowance::new();
        (Self { stream, allowance: allowance.clone() }, allowance)
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(())))
            && !self.allowance.take(buffer.filled().len() - before)
        {
            return Poll::Ready(Err(io::Error::other(Excess)));
        }
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
