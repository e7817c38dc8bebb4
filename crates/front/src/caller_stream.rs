//! The socket of a caller. Records when the caller takes nothing of its response.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{self, Sleep};

use crate::callers::Caller;

/// Maximum time for which input is discarded after a response to an incomplete request. Closing a
/// socket with unread input resets the connection, and the caller may lose the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of bytes discarded at once.
const DISCARD_BUFFER: usize = 4 << 10;

/// A caller's socket.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    caller: Arc<Caller>,
    /// Ends the discarding of input; set when it starts.
    discard_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps the socket of a caller.
    pub const fn new(stream: TcpStream, caller: Arc<Caller>) -> Self {
        Self { stream, caller, discard_timer: None }
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Pending => self.caller.record_stall(),
            Poll::Ready(_) => self.caller.record_progress(),
        }
    }

    /// Discards input until its end, an error or the timeout.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer =
            self.discard_timer.get_or_insert_with(|| Box::pin(time::sleep(DISCARD_TIMEOUT)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut buffer = [0; DISCARD_BUFFER];
        loop {
            let mut buffer = ReadBuf::new(&mut buffer);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.caller.disconnected.is_cancelled() {
            // Frees the bytes in the kernel's send buffer too. A failure only delays that.
            let _result = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discard_timer.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.caller.discards_input() {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
