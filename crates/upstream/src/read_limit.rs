//! Limit on the bytes that a target sends without getting further in its response.
//!
//! A target in trouble may send bytes without end that are no response: a head that never ends,
//! informational responses, padding around the chunks of a body. The HTTP library limits some of
//! these, but not all. So the bytes read from a connection are counted, and the count starts anew
//! with each request, response head and part of a body. Beyond the limit the connection fails.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of a response head, in bytes. The HTTP library reads at most as much in advance.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of bytes without progress: several times what the HTTP library reads in advance.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 4 * MAX_HEAD_BYTES;

/// Counts the bytes of one connection since its last progress; clones share the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadLimit(Arc<AtomicUsize>);

impl ReadLimit {
    /// Records progress: a new request, a response head or a part of a body.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Whether the connection has failed at the limit.
    pub(crate) fn is_reached(&self) -> bool {
        self.0.load(Ordering::Relaxed) >= MAX_BYTES_WITHOUT_PROGRESS
    }

    fn record(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A connection to a target that can be read up to a [`ReadLimit`].
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: ReadLimit,
}

impl LimitedStream {
    pub(crate) const fn new(stream: TcpStream, limit: ReadLimit) -> Self {
        Self { stream, limit }
    }

    /// Returns the underlying stream.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_reached() {
            return Poll::Ready(Err(io::Error::other("bytes without end")));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.limit.record(buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
