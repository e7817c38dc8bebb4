//! Responses of targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{self, Instant};

use crate::connection::Connection;
use crate::request_tag::RequestTag;
use crate::{ByteCount, MemoryUse, Reservation, SendError, TargetPool};

/// Margin subtracted from the time for which a target keeps an idle connection. It covers the round
/// trip and a pause of up to 100 ms when the box has used up its CPU quota. Targets state whole
/// seconds, often a single one, so the margin must be less than a second to allow any reuse.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);

/// A response whose body is still being received. Dropping it closes the connection.
pub struct TargetResponse {
    pool: TargetPool,
    address: SocketAddr,
    connection: Connection,
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    policy: ReusePolicy,
    /// The request that was sent.
    tag: Option<RequestTag>,
}

impl std::fmt::Debug for TargetResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetResponse")
            .field("address", &self.address)
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

/// Which complete responses leave their connection usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Successes only.
    Successes,
    /// Successes, and errors with this header, by which the target states that it did not run the
    /// request. Without reuse, each refusal of a full target costs it another connection.
    SuccessesAndRefusals(&'static str),
}

impl ReusePolicy {
    fn allows(self, status: StatusCode, headers: &HeaderMap) -> bool {
        match self {
            Self::Successes => status.is_success(),
            Self::SuccessesAndRefusals(header) => {
                status.is_success() || headers.contains_key(header)
            }
        }
    }
}

/// A completely received response.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Why a response was not read completely.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The request or the response failed.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response does not fit into the memory budget. The target has run the request.
    #[error("the memory limit is reached: retry later, or raise `--memory-mb`")]
    NoMemory,
}

impl TargetResponse {
    pub(crate) fn new(
        pool: TargetPool,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
        tag: Option<RequestTag>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            pool,
            address,
            connection,
            status: head.status,
            headers: head.headers,
            body,
            policy: ReusePolicy::Successes,
            tag,
        }
    }

    /// Sets which responses leave the connection usable; successes only by default.
    #[must_use]
    pub fn reusable_after(self, policy: ReusePolicy) -> Self {
        Self { policy, ..self }
    }

    /// HTTP status.
    pub const fn status(&self) -> StatusCode {
        self.status
    }

    /// Response headers.
    pub const fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Receives the next bytes of the body; returns `None` at its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(self.connection.failure(self.address, &error)),
                Some(Ok(frame)) => {
                    // Trailers are not forwarded.
                    if let Ok(data) = frame.into_data() {
                        self.connection.read_limit.reset();
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Returns the connection to the pool, unless the status or the headers forbid it, or the
    /// response names another request: then the one to this request is still due. The caller must
    /// have read the complete body.
    pub fn reuse(mut self) {
        if self.pool.tag(&self.headers) != self.tag {
            return;
        }
        self.connection.complete();
        let text = |name: &str| self.headers.get(name).and_then(|value| value.to_str().ok());
        let closes = text("connection").is_some_and(|value| {
            value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"))
        });
        if closes || !self.policy.allows(self.status, &self.headers) {
            return;
        }
        if self.status.is_success() {
            self.connection.answered.record_success(self.tag);
        } else if !self.connection.answered.record_refusal(self.tag) {
            return;
        }
        let keep_alive = text("keep-alive").and_then(keep_alive_time);
        if keep_alive.is_some_and(|keep_alive| keep_alive.is_zero()) {
            return;
        }
        self.pool.put_back(self.address, self.connection, keep_alive);
    }

    /// Reads a complete body of at most `max_bytes` and returns the connection to the pool. Waits
    /// while the body does not fit into the memory budget, in which it stays reserved until its
    /// last copy is dropped.
    pub async fn read_full(self, max_bytes: usize) -> Result<FullResponse, SendError> {
        self.read_reserved(max_bytes, None).await.map_err(|error| match error {
            ReadError::Send(error) => error,
            ReadError::NoMemory => SendError::Broken(error.to_string()),
        })
    }

    /// Like [`Self::read_full`], but stops waiting for memory at `give_up_at`.
    pub async fn read_full_by(
        self,
        max_bytes: usize,
        give_up_at: Instant,
    ) -> Result<FullResponse, ReadError> {
        self.read_reserved(max_bytes, Some(give_up_at)).await
    }

    async fn read_reserved(
        mut self,
        max_bytes: usize,
        give_up_at: Option<Instant>,
    ) -> Result<FullResponse, ReadError> {
        let mut held = self.pool.memory().reserve_nothing();
        // Reserved at once if the target states the length, so that partly read responses don't
        // wait for each other.
        let stated = self.body.size_hint().exact().and_then(|size| usize::try_from(size).ok());
        if let Some(size) = stated.filter(|size| *size <= max_bytes) {
            self.reserve(&mut held, size, give_up_at).await?;
        }
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next().await? {
            let length = body.len() + chunk.len();
            if length > max_bytes {
                log::warn!(target: "targets", address:% = self.address, max_bytes = max_bytes; "response too long");
                return Err(SendError::TooLong(self.address).into());
            }
            self.reserve(&mut held, length, give_up_at).await?;
            body.extend_from_slice(&chunk);
        }
        let full_response = FullResponse {
            status: self.status,
            headers: self.headers.clone(),
            body: held.attach(body.freeze()),
        };
        self.reuse();
        Ok(full_response)
    }

    /// Grows a reservation to `length` bytes.
    async fn reserve(
        &self,
        held: &mut Reservation,
        length: usize,
        give_up_at: Option<Instant>,
    ) -> Result<(), ReadError> {
        let total = ByteCount::new(length);
        if total <= held.bytes() {
            return Ok(());
        }
        if !self.pool.memory().can_ever_fit(MemoryUse::Response, total) {
            return Err(ReadError::NoMemory);
        }
        let grow = held.grow(total.saturating_sub(held.bytes()));
        let Some(give_up_at) = give_up_at else {
            grow.await;
            return Ok(());
        };
        time::timeout_at(give_up_at, grow).await.map_err(|_elapsed| ReadError::NoMemory)
    }
}

/// Returns how long a connection may stay idle according to a `Keep-Alive` header, minus a margin;
/// `None` if the header states no timeout.
pub fn keep_alive_time(value: &str) -> Option<Duration> {
    let timeout = value.split(',').find_map(|part| {
        let (name, seconds) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| seconds.trim().parse::<u64>().ok())?
    })?;
    Some(Duration::from_secs(timeout).saturating_sub(KEEP_ALIVE_MARGIN))
}
