//! Plain requests: one request, one complete response.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ids::whole_millis;
use node::{NodeView, PlainCall, PlainOutcome, call_plain};
use platform::headers;
use routing::Route;
use tokio::time::{self, Instant};
use upstream::{ByteCount, MemoryBudget, MemoryUse, OutOfMemory};

use crate::admission::AdmittedRequest;
use crate::callers::Caller;
use crate::response::{self, FrontBody};

/// Timeout of callers that don't send one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the buffer that is allocated before any byte of a body has arrived, in bytes. A
/// caller may state a length and send nothing.
const MAX_INITIAL_CAPACITY: usize = 16 << 10;

/// Why a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than the configured limit.
    TooLong,
    /// The caller disconnected.
    Broken,
    /// The body does not fit into the memory budget.
    NoMemory,
}

impl From<OutOfMemory> for BodyError {
    fn from(_error: OutOfMemory) -> Self {
        Self::NoMemory
    }
}

/// Reads a complete request body of at most `max_bytes`. Its bytes are reserved in the memory budget
/// as they arrive, and until the last copy of the body is dropped. While the budget is short of
/// room for bodies, requests without a body are refused as well, since their responses need room.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    memory: &Arc<MemoryBudget>,
    caller: &Caller,
) -> Result<Bytes, BodyError> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > max_bytes {
        return Err(BodyError::TooLong);
    }
    memory.check_room(MemoryUse::RequestBody, ByteCount::new(stated.max(1)))?;
    let mut held = memory.reserve_nothing();
    let mut bytes = BytesMut::with_capacity(stated.min(MAX_INITIAL_CAPACITY));
    loop {
        if !bytes.is_empty() {
            caller.record_stall();
        }
        let frame = body.frame().await;
        caller.record_progress();
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_broken| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        held.try_grow(MemoryUse::RequestBody, ByteCount::new(data.len()))?;
        bytes.extend_from_slice(&data);
    }
    Ok(held.attach(bytes.freeze()))
}

/// Creates the response to a request whose body could not be read.
pub fn body_error_response(error: BodyError, request_id: Option<&str>) -> Response<FrontBody> {
    match error {
        BodyError::TooLong => response::refuse(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
            "send a body within the configured limit",
            request_id,
        ),
        BodyError::Broken => response::refuse(
            StatusCode::BAD_REQUEST,
            "body_broken",
            "send the whole body",
            request_id,
        ),
        BodyError::NoMemory => response::not_run("no memory free", request_id),
    }
}

/// Returns the deadline of a request: the shorter of the caller's timeout and the route's.
pub fn deadline(head: &Parts, route: &Route, received: Instant) -> Instant {
    let caller = headers::time_left(&head.headers).unwrap_or(DEFAULT_TIMEOUT);
    received + route.timeout.map_or(caller, |timeout| timeout.min(caller))
}

/// Like [`deadline`], but without a default for callers that send no timeout.
pub fn stated_deadline(head: &Parts, route: &Route, received: Instant) -> Option<Instant> {
    let stated = headers::time_left(&head.headers).into_iter().chain(route.timeout);
    stated.min().map(|timeout| received + timeout)
}

/// Serves a plain request on its route.
pub async fn serve_plain(
    view: &Arc<NodeView>,
    admitted: &AdmittedRequest,
    head: Parts,
    body: Bytes,
    received: Instant,
) -> Response<FrontBody> {
    let route = &admitted.route;
    let deadline = deadline(&head, route, received);
    let id = headers::request_id(&head.headers).unwrap_or_default().to_owned();
    let mut sent_headers = head.headers;
    headers::strip_connection(&mut sent_headers);
    admitted.name_customer(&mut sent_headers);
    let call = PlainCall {
        route,
        request_id: &id,
        method: head.method,
        uri: head.uri,
        headers: sent_headers,
        body,
        deadline,
        is_owed: false,
        customer: admitted.caller.customer().cloned(),
        parent: None,
    };
    let result = time::timeout_at(deadline, call_plain(view, call)).await;
    let (outcome, response) = match result {
        Ok(PlainOutcome::Answered(full_response)) => ("answered", response::forward(full_response)),
        Ok(PlainOutcome::NotRun { reason, retry_after }) => {
            let retry_after = retry_after.unwrap_or(response::RETRY_DELAY);
            ("not run", response::not_run_until(reason, retry_after, Some(&id)))
        }
        Ok(PlainOutcome::Delayed(delay)) => {
            ("not run", response::not_run_until("targets have just failed", delay, Some(&id)))
        }
        Ok(PlainOutcome::Quarantined) => ("condemned", response::quarantined(&id)),
        Ok(PlainOutcome::Unknown(reason)) => (
            "unknown",
            response::refuse(
                StatusCode::BAD_GATEWAY,
                reason,
                "it may have run: send it again only if it may be repeated",
                Some(&id),
            ),
        ),
        Err(_elapsed) => (
            "out of time",
            response::refuse(
                StatusCode::GATEWAY_TIMEOUT,
                "out of time",
                "it may have run: send it again only if it may be repeated",
                Some(&id),
            ),
        ),
    };
    view.metrics.count_outcome("plain", outcome);
    view.metrics.observe_latency(received.elapsed());
    if outcome != "answered" {
        let took_ms = whole_millis(received.elapsed());
        log::info!(
            target: "entry", request = id.as_str(), route:% = route.name, outcome = outcome,
            took_ms = took_ms, config = view.table().version.get();
            "request ended"
        );
    }
    response
}
