//! Responses of targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::pool::Connection;
use crate::{SendError, TargetPool};

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

impl TargetResponse {
    pub(crate) fn new(
        pool: TargetPool,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self { pool, address, connection, status: head.status, headers: head.headers, body }
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
                Some(Err(error)) => return Err(SendError::Broken(error.to_string())),
                Some(Ok(frame)) => {
                    // Trailers are not forwarded.
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Returns the connection to the pool, unless the status or the headers forbid it. The caller
    /// must have read the complete body and checked that the response belongs to the request.
    pub fn reuse(self) {
        self.reuse_if(ReusePolicy::Successes);
    }

    fn reuse_if(self, policy: ReusePolicy) {
        let text = |name: &str| self.headers.get(name).and_then(|value| value.to_str().ok());
        let closes = text("connection").is_some_and(|value| {
            value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"))
        });
        if closes || !policy.allows(self.status, &self.headers) {
            return;
        }
        let keep_alive = text("keep-alive").and_then(keep_alive_time);
        if keep_alive.is_some_and(|keep_alive| keep_alive.is_zero()) {
            return;
        }
        self.pool.put_back(self.address, self.connection, keep_alive);
    }

    /// Reads a complete body of at most `max_bytes` and returns the connection to the pool.
    pub async fn read_full(self, max_bytes: usize) -> Result<FullResponse, SendError> {
        self.read_full_reusing(max_bytes, ReusePolicy::Successes).await
    }

    /// Like [`Self::read_full`], with the responses that leave the connection usable.
    pub async fn read_full_reusing(
        mut self,
        max_bytes: usize,
        policy: ReusePolicy,
    ) -> Result<FullResponse, SendError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next().await? {
            if body.len() + chunk.len() > max_bytes {
                return Err(SendError::Broken("the response is too long".to_owned()));
            }
            body.extend_from_slice(&chunk);
        }
        let full_response = FullResponse {
            status: self.status,
            headers: self.headers.clone(),
            body: body.freeze(),
        };
        self.reuse_if(policy);
        Ok(full_response)
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
