//! The answer of a target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::pool::Connection;
use crate::{SendError, TargetPool};

/// Taken off the time for which a target keeps a resting connection: for the ways there and back, some
/// milliseconds, and for a box whose share of a core is used up, which stands still for up to 100 ms. Targets
/// tell whole seconds, often a single one, so a margin of a second would let no connection be used again.
const KEEP_MARGIN: Duration = Duration::from_millis(300);

/// An answer whose body is still on its way. Dropping it closes the connection.
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

/// An answer that came whole.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
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

    /// Its status.
    pub const fn status(&self) -> StatusCode {
        self.status
    }

    /// Its headers.
    pub const fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// The next bytes of the body; `None` after the last.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(SendError::Broken(error.to_string())),
                Some(Ok(frame)) => {
                    // Trailers carry nothing that is passed on.
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Gives the connection back for reuse. Only after the whole body of a success that
    /// belonged to the request.
    pub fn reuse(self) {
        let text = |name: &str| self.headers.get(name).and_then(|value| value.to_str().ok());
        let closes = text("connection").is_some_and(|value| {
            value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"))
        });
        if closes || !self.status.is_success() {
            return;
        }
        let keep = text("keep-alive").and_then(keep_time);
        if keep.is_some_and(|keep| keep.is_zero()) {
            return;
        }
        self.pool.put_back(self.address, self.connection, keep);
    }

    /// Reads the whole body, `most` bytes at most, and gives the connection back.
    pub async fn read_full(mut self, most: usize) -> Result<FullResponse, SendError> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            if body.len() + bytes.len() > most {
                return Err(SendError::Broken("the answer is too long".to_owned()));
            }
            body.extend_from_slice(&bytes);
        }
        let whole = FullResponse {
            status: self.status,
            headers: self.headers.clone(),
            body: body.freeze(),
        };
        self.reuse();
        Ok(whole)
    }
}

/// How long a connection may rest by a `Keep-Alive` header, less a margin; `None` where it tells no time.
pub fn keep_time(value: &str) -> Option<Duration> {
    let timeout = value.split(',').find_map(|part| {
        let (name, seconds) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| seconds.trim().parse::<u64>().ok())?
    })?;
    Some(Duration::from_secs(timeout).saturating_sub(KEEP_MARGIN))
}
