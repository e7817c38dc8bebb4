//! Plain requests.

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

use crate::admission::AdmittedRequest;
use crate::answer::{self, FrontBody};

/// Time that a caller is assumed to wait if it does not say.
const DEFAULT_TIME: Duration = Duration::from_secs(10);

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// It is longer than the configuration allows.
    TooLong,
    /// The caller broke off.
    Broken,
}

/// Reads a caller's whole body, `most` bytes at most.
pub async fn read_body(mut body: Incoming, most: usize) -> Result<Bytes, BodyFault> {
    if body.size_hint().lower() > most as u64 {
        return Err(BodyFault::TooLong);
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| BodyFault::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > most {
            return Err(BodyFault::TooLong);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// The answer to a caller whose body could not be read.
pub fn body_fault(fault: BodyFault, request_id: Option<&str>) -> Response<FrontBody> {
    match fault {
        BodyFault::TooLong => answer::refuse(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
            "send a body within the configured limit",
            request_id,
        ),
        BodyFault::Broken => answer::refuse(
            StatusCode::BAD_REQUEST,
            "body_broken",
            "send the whole body",
            request_id,
        ),
    }
}

/// When a request must have its final answer: the caller's time or the route's, whichever is
/// shorter.
pub fn deadline(head: &Parts, route: &Route, received: Instant) -> Instant {
    let caller = headers::time_left(&head.headers).unwrap_or(DEFAULT_TIME);
    received + route.timeout.map_or(caller, |timeout| timeout.min(caller))
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
        is_background: false,
        customer: admitted.caller.customer().cloned(),
    };
    let end = time::timeout_at(deadline, call_plain(view, call)).await;
    let (outcome, response) = match end {
        Ok(PlainOutcome::Answered(whole)) => ("answered", answer::pass_on(whole)),
        Ok(PlainOutcome::NotRun(reason)) => ("not run", answer::not_run(reason, Some(&id))),
        Ok(PlainOutcome::Quarantined) => ("condemned", answer::condemned(&id)),
        Ok(PlainOutcome::Unknown(reason)) => (
            "unknown",
            answer::refuse(
                StatusCode::BAD_GATEWAY,
                reason,
                "it may have run: send it again only if it may be repeated",
                Some(&id),
            ),
        ),
        Err(_elapsed) => (
            "out of time",
            answer::refuse(
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
