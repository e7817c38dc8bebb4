//! Connections kept for reuse, by address.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{self, Instant};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{ConnectionLimit, ConnectionPlace, TargetResponse};

/// Longest wait for a connection; targets answer in about a millisecond, and a lost opening
/// packet is repeated only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a connection may rest where the target does not say.
const IDLE_TIME: Duration = Duration::from_secs(8);
/// Connections kept for one target; more are closed after use.
const MOST_IDLE: usize = 16;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// Nothing was sent.
    #[error("the target at {0} cannot be reached, nothing was sent: choose another")]
    NotSent(SocketAddr),
    /// This box holds as many connections as it may; nothing was sent.
    #[error(
        "no connection may be opened, nothing was sent: wait until others have ended, or raise `--max-fds`"
    )]
    LimitReached,
    /// It was sent, and may have run.
    #[error("the target broke off ({0}): the request may have run")]
    Broken(String),
}

/// What an address does with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortState {
    /// Something takes connections there.
    Listens,
    /// Nothing does: connections are refused.
    Refuses,
    /// No answer: the way may be cut, or its queue be full.
    Unresponsive,
}

pub(crate) struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    #[expect(dead_code, reason = "held for its drop, which frees the place")]
    pub place: ConnectionPlace,
    /// Closes the connection when it is dropped.
    #[expect(dead_code, reason = "held for its drop, which closes the connection")]
    pub open: DropGuard,
    idle_until: Instant,
}

type Idle = Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>;

/// Connections to targets.
#[derive(Clone, Default)]
pub struct TargetPool {
    idle: Idle,
    limit: Arc<ConnectionLimit>,
}

impl std::fmt::Debug for TargetPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetPool").field("targets", &self.lock().len()).finish()
    }
}

impl TargetPool {
    /// A pool that keeps to a limit.
    pub fn new(limit: ConnectionLimit) -> Self {
        Self { idle: Idle::default(), limit: Arc::new(limit) }
    }

    /// How many connections are open, and how many may be.
    pub fn limit(&self) -> &ConnectionLimit {
        &self.limit
    }

    /// Whether another item may be started; resting connections give way where there is no room beside them.
    pub fn has_capacity(&self) -> bool {
        if !self.limit.has_capacity() {
            self.close_idle();
        }
        self.limit.has_capacity()
    }

    /// A place for a connection; resting ones give theirs up where there is none.
    fn place(&self) -> Option<ConnectionPlace> {
        self.limit.take().or_else(|| {
            self.close_idle();
            self.limit.take()
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request and waits for the head of its answer. Nothing is repeated here, except
    /// on a connection that was closed before it took the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<TargetResponse, SendError> {
        let mut request = request;
        while let Some(mut connection) = self.take(address) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(address, connection, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Broken(error.into_error().to_string())),
                },
            }
        }
        self.send_on_new_connection(address, request).await
    }

    /// Sends a request on a connection of its own.
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<TargetResponse, SendError> {
        let Some(place) = self.place() else { return Err(SendError::LimitReached) };
        let connected = time::timeout(CONNECT_TIMEOUT, connect(address, place)).await;
        let Ok(Some(mut connection)) = connected else {
            return Err(SendError::NotSent(address));
        };
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.answer(address, connection, response)),
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(SendError::NotSent(address)),
                None => Err(SendError::Broken(error.into_error().to_string())),
            },
        }
    }

    /// Opens a connection for a moment, to see whether anything listens.
    pub async fn probe(&self, address: SocketAddr) -> PortState {
        match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_stream)) => PortState::Listens,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => PortState::Refuses,
            Ok(Err(_)) | Err(_) => PortState::Unresponsive,
        }
    }

    fn answer(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> TargetResponse {
        TargetResponse::new(self.clone(), address, connection, response)
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            if now < connection.idle_until && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer came whole; `keep` is what the target allows.
    pub(crate) fn put_back(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        keep: Option<Duration>,
    ) {
        let now = Instant::now();
        connection.idle_until = now + keep.unwrap_or(IDLE_TIME);
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        connections.retain(|other| now < other.idle_until && !other.sender.is_closed());
        if connections.len() < MOST_IDLE {
            connections.push(connection);
        }
    }

    /// Closes all resting connections: what made one of them fall silent may have met others, and each
    /// would cost its request the time until that shows. New ones cost a millisecond each.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    /// Closes connections that have rested too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.lock().retain(|_, connections| {
            connections.retain(|other| now < other.idle_until && !other.sender.is_closed());
            !connections.is_empty()
        });
    }
}

async fn connect(address: SocketAddr, place: ConnectionPlace) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let closed = CancellationToken::new();
    let open = closed.clone().drop_guard();
    tokio::spawn(async move {
        tokio::select! {
            // An error here shows to whoever waits for the answer; an idle one only ends.
            _ended = connection => {}
            () = closed.cancelled() => {}
        }
    });
    Some(Connection { sender, place, open, idle_until: Instant::now() })
}
