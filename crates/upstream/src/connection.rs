//! One connection to a target.

use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::read_limit::{LimitedStream, MAX_HEAD_BYTES, ReadLimit};
use crate::request_tag::AnsweredTags;
use crate::{ConnectionPermit, SendError};

/// A connection to a target, with one request at a time.
pub(crate) struct Connection {
    /// Closes the connection when it is dropped. The first field, so that the connection has not
    /// ended by itself before.
    #[expect(dead_code, reason = "held for its drop, which closes the connection")]
    pub close_guard: DropGuard,
    pub sender: SendRequest<Full<Bytes>>,
    #[expect(dead_code, reason = "held for its drop, which releases the permit")]
    pub permit: ConnectionPermit,
    /// Limit on the bytes received without progress.
    pub read_limit: ReadLimit,
    /// Requests that the target has answered on this connection.
    pub answered: AnsweredTags,
    /// Whether a request or its response is outstanding.
    in_use: Arc<AtomicBool>,
    idle_until: Instant,
}

impl Connection {
    /// Records that the connection is idle for up to `idle_time`.
    pub fn rest(&mut self, idle_time: Duration) {
        self.idle_until = Instant::now() + idle_time;
        self.complete();
    }

    /// Prepares an idle connection for its next request. Returns whether it can carry one.
    pub fn resume(&self) -> bool {
        if Instant::now() >= self.idle_until || !self.sender.is_ready() {
            return false;
        }
        self.in_use.store(true, Ordering::Relaxed);
        self.read_limit.reset();
        true
    }

    /// Whether the connection has been idle for too long, or is closed.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.idle_until || self.sender.is_closed()
    }

    /// Records that the response was received completely.
    pub fn complete(&self) {
        self.in_use.store(false, Ordering::Relaxed);
    }

    /// Returns why a request on this connection failed after it was sent.
    pub fn failure(&self, address: SocketAddr, error: &hyper::Error) -> SendError {
        if self.read_limit.is_reached() || is_too_long(error) {
            log::warn!(target: "targets", address:% = address, error:% = error; "response too long");
            return SendError::TooLong(address);
        }
        SendError::Broken(error.to_string())
    }
}

/// Whether a part of a response exceeds a limit of the HTTP library. It reports extensions and
/// trailers that are too long as invalid data.
fn is_too_long(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<std::io::Error>());
    error.is_parse_too_large()
        || source.is_some_and(|source| source.kind() == ErrorKind::InvalidData)
}

/// Opens a connection.
pub(crate) async fn connect(address: SocketAddr, permit: ConnectionPermit) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let read_limit = ReadLimit::default();
    let stream = LimitedStream::new(stream, read_limit.clone());
    let mut client = http1::Builder::new();
    client.max_buf_size(MAX_HEAD_BYTES);
    let (sender, connection) = client.handshake(TokioIo::new(stream)).await.ok()?;
    let closed = CancellationToken::new();
    let close_guard = closed.clone().drop_guard();
    let in_use = Arc::new(AtomicBool::new(true));
    tokio::spawn(run_connection(connection, closed, Arc::clone(&in_use)));
    let idle_until = Instant::now();
    let answered = AnsweredTags::default();
    Some(Connection { close_guard, sender, permit, read_limit, answered, in_use, idle_until })
}

/// Runs a connection until it ends or is closed.
///
/// A connection that is closed while in use is reset. Otherwise the kernel would still deliver a
/// request that it could not send before, for example after a network cut, when nobody waits for
/// the response any more.
async fn run_connection(
    mut connection: http1::Connection<TokioIo<LimitedStream>, Full<Bytes>>,
    closed: CancellationToken,
    in_use: Arc<AtomicBool>,
) {
    tokio::select! {
        biased;
        () = closed.cancelled() => {}
        // The caller that waits for the response sees an error; an idle connection just ends.
        _ended = &mut connection => return,
    }
    if in_use.load(Ordering::Relaxed) {
        let stream = connection.into_parts().io.into_inner().into_inner();
        // On an error the connection closes in order.
        let _ignored = stream.set_zero_linger();
    }
}
