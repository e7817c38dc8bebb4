//! Pool of idle connections, by target address.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use crate::connection::{Connection, connect};
use crate::request_tag::RequestTag;
use crate::{ConnectionLimit, ConnectionPermit, MemoryBudget, TargetResponse};

/// Timeout for opening a connection; shorter than the retransmission delay of a lost SYN packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a connection may stay idle if the target's response states no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// How long each connection to a target carries a single request, after the target has sent a
/// response to another request.
const SINGLE_USE_TIME: Duration = Duration::from_secs(10);
/// Default maximum number of idle connections per target; further ones are closed after use.
const MAX_IDLE_PER_TARGET: usize = 16;

/// Statuses of final responses. The library returns others: 101, which would end HTTP on the
/// connection although nobody asked for it, and any number of three digits above.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The target is unreachable; nothing was sent.
    #[error("the target at {0} cannot be reached, nothing was sent: choose another target")]
    NotSent(SocketAddr),
    /// This box has reached its connection limit; nothing was sent.
    #[error("the connection limit is reached, nothing was sent: retry later, or raise `--max-fds`")]
    LimitReached,
    /// The target sent more bytes than a response may have. The request was sent and may have run.
    #[error("the target at {0} sent more bytes than a response may have: the request may have run")]
    TooLong(SocketAddr),
    /// The request was sent and may have run.
    #[error("the connection to the target broke ({0}): the request may have run")]
    Broken(String),
}

/// How an address reacts to a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortState {
    /// Connections are accepted.
    Listens,
    /// Connections are refused: nothing listens on the port.
    Refuses,
    /// No reaction: the network path may be down, or the accept queue full.
    Unresponsive,
}

type IdleConnections = Arc<Mutex<HashMap<SocketAddr, TargetConnections>>>;

/// Idle connections to one target.
struct TargetConnections {
    idle: Vec<Connection>,
    max_idle: usize,
    /// Until when connections are closed after one request.
    single_use_until: Option<Instant>,
}

impl Default for TargetConnections {
    fn default() -> Self {
        Self { idle: Vec::new(), max_idle: MAX_IDLE_PER_TARGET, single_use_until: None }
    }
}

impl TargetConnections {
    fn is_single_use(&self, now: Instant) -> bool {
        self.single_use_until.is_some_and(|until| now < until)
    }
}

/// Pool of connections to targets; clones share it.
#[derive(Clone, Default)]
pub struct TargetPool {
    idle: IdleConnections,
    limit: Arc<ConnectionLimit>,
    memory: Arc<MemoryBudget>,
    id_header: Option<HeaderName>,
}

impl std::fmt::Debug for TargetPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetPool").field("targets", &self.lock().len()).finish()
    }
}

impl TargetPool {
    /// Creates a pool with a limit on open connections.
    pub fn new(limit: ConnectionLimit) -> Self {
        Self { limit: Arc::new(limit), ..Self::default() }
    }

    /// Sets the budget in which buffered responses are reserved.
    #[must_use]
    pub fn with_memory(self, memory: Arc<MemoryBudget>) -> Self {
        Self { memory, ..self }
    }

    /// Names the header that identifies a request and that its response repeats.
    #[must_use]
    pub fn with_id_header(self, id_header: HeaderName) -> Self {
        Self { id_header: Some(id_header), ..self }
    }

    /// The budget for buffered bytes.
    pub const fn memory(&self) -> &Arc<MemoryBudget> {
        &self.memory
    }

    /// The limit and the number of open connections.
    pub fn limit(&self) -> &ConnectionLimit {
        &self.limit
    }

    /// Whether another item may be started. Closes the idle connections if they use up the limit.
    pub fn has_capacity(&self) -> bool {
        if !self.limit.has_capacity() {
            self.close_idle();
        }
        self.limit.has_capacity()
    }

    /// Acquires a permit for a connection. Closes the idle connections if there is none left.
    fn acquire_permit(&self) -> Option<ConnectionPermit> {
        self.limit.try_acquire().or_else(|| {
            self.close_idle();
            self.limit.try_acquire()
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, TargetConnections>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request, on an idle connection if there is one, and waits for the response head.
    /// Tries another connection only if nothing of the request was sent on the first.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<TargetResponse, SendError> {
        self.send_by(address, request, Instant::now() + CONNECT_TIMEOUT).await
    }

    /// Like [`Self::send`], but returns [`SendError::NotSent`] if a new connection is needed and not
    /// open by `connect_by`. After a timeout around [`Self::send`] it is unknown whether the request
    /// was sent.
    pub async fn send_by(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        connect_by: Instant,
    ) -> Result<TargetResponse, SendError> {
        let mut request = request;
        let tag = self.tag(request.headers());
        while let Some(mut connection) = self.take_idle(address, tag) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    return self.target_response(address, connection, response, tag);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(connection.failure(address, &error.into_error())),
                },
            }
        }
        self.connect_and_send(address, request, connect_by).await
    }

    /// Sends a request on a new connection.
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<TargetResponse, SendError> {
        self.connect_and_send(address, request, Instant::now() + CONNECT_TIMEOUT).await
    }

    async fn connect_and_send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        connect_by: Instant,
    ) -> Result<TargetResponse, SendError> {
        let Some(permit) = self.acquire_permit() else { return Err(SendError::LimitReached) };
        let tag = self.tag(request.headers());
        let connect_by = connect_by.min(Instant::now() + CONNECT_TIMEOUT);
        let connected = time::timeout_at(connect_by, connect(address, permit)).await;
        let Ok(Some(mut connection)) = connected else {
            return Err(SendError::NotSent(address));
        };
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.target_response(address, connection, response, tag),
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(SendError::NotSent(address)),
                None => Err(connection.failure(address, &error.into_error())),
            },
        }
    }

    /// Checks whether anything listens at an address, by opening a connection and closing it again.
    pub async fn probe(&self, address: SocketAddr) -> PortState {
        match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_stream)) => PortState::Listens,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => PortState::Refuses,
            Ok(Err(_)) | Err(_) => PortState::Unresponsive,
        }
    }

    /// Returns the response, unless its status is not one of a final response.
    fn target_response(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
        tag: Option<RequestTag>,
    ) -> Result<TargetResponse, SendError> {
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            log::warn!(target: "targets", address:% = address, status = status; "invalid response status");
            return Err(SendError::Broken(format!("status {status} ends no request")));
        }
        connection.read_limit.reset();
        if self.tag(response.headers()) != tag {
            self.record_foreign_response(address);
        }
        Ok(TargetResponse::new(self.clone(), address, connection, response, tag))
    }

    /// Returns the tag of the request or response with these headers; `None` without an id.
    pub(crate) fn tag(&self, headers: &HeaderMap) -> Option<RequestTag> {
        let id = headers.get(self.id_header.as_ref()?).filter(|id| !id.is_empty())?;
        Some(RequestTag::of(id))
    }

    /// Takes an idle connection on which no late answer can be taken for the response.
    fn take_idle(&self, address: SocketAddr, tag: Option<RequestTag>) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = &mut idle.get_mut(&address)?.idle;
        while let Some(index) = connections.iter().rposition(|other| !other.answered.contains(tag))
        {
            let connection = connections.remove(index);
            if connection.resume() {
                return Some(connection);
            }
        }
        None
    }

    /// Stores a connection as idle for `keep_alive`, or for the default time.
    pub(crate) fn put_back(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        connection.rest(keep_alive.unwrap_or(DEFAULT_IDLE_TIMEOUT));
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        connections.idle.retain(|other| !other.is_expired(now));
        if connections.idle.len() < connections.max_idle && !connections.is_single_use(now) {
            connections.idle.push(connection);
        }
    }

    /// Records that a target has sent a response to another request. It may do so again wherever a
    /// response is due, which costs another request its own.
    fn record_foreign_response(&self, address: SocketAddr) {
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        connections.idle.clear();
        connections.single_use_until = Some(Instant::now() + SINGLE_USE_TIME);
        drop(idle);
        log::warn!(target: "targets", address:% = address; "response to another request");
    }

    /// Limits the idle connections to a target until it has none. A target accepts a limited number
    /// of connections from all boxes together.
    pub fn limit_idle(&self, address: SocketAddr, max_idle: usize) {
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        connections.max_idle = max_idle;
        connections.idle.truncate(max_idle);
    }

    /// Closes all idle connections. If one connection became unresponsive, others may have failed
    /// for the same reason, and each would delay a request until its timeout.
    pub fn close_idle(&self) {
        let now = Instant::now();
        self.lock().retain(|_, connections| {
            connections.idle.clear();
            connections.is_single_use(now)
        });
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.lock().retain(|_, connections| {
            connections.idle.retain(|other| !other.is_expired(now));
            !connections.idle.is_empty() || connections.is_single_use(now)
        });
    }
}
