//! Responses to callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use platform::headers;
use upstream::{ByteCount, FullResponse, MemoryBudget};

/// The target disconnected during a stream; the caller's connection is closed before the end of
/// the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the target broke off the stream: request the remainder after the last event")]
pub struct StreamBroken;

/// Body of a response: buffered, or streamed from the target.
pub type FrontBody = Either<FullBody, Channel<Bytes, StreamBroken>>;
/// A buffered body.
pub type FullBody = Full<Bytes>;
/// Result of serving a request; always a response.
pub type ServeResult = Result<Response<FrontBody>, Infallible>;

/// `Retry-After` time of ordinary refusals.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// `Retry-After` time of quarantined requests. They may succeed once the targets run other
/// software, and a refused retry costs no target anything.
const QUARANTINE_RETRY_DELAY: Duration = Duration::from_mins(1);

/// Creates a response with a buffered body.
pub fn full(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<FrontBody> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Creates an error response; `request_id` is the caller's id, which is sent back.
pub fn refuse(
    status: StatusCode,
    reason: &str,
    remedy: &str,
    request_id: Option<&str>,
) -> Response<FrontBody> {
    let body = format!("{{\"error\":\"{reason}\",\"remedy\":\"{remedy}\"}}");
    let mut response = full(status, "application/json", Bytes::from(body));
    if let Some(id) = request_id.and_then(|id| HeaderValue::from_str(id).ok()) {
        response.headers_mut().insert(headers::REQUEST_ID, id);
    }
    response
}

/// Refuses a request that did not run, with a `Retry-After` time.
pub fn not_run(reason: &str, request_id: Option<&str>) -> Response<FrontBody> {
    not_run_until(reason, RETRY_DELAY, request_id)
}

/// Refuses a request that did not run; the caller should return after `retry_delay`.
pub fn not_run_until(
    reason: &str,
    retry_delay: Duration,
    request_id: Option<&str>,
) -> Response<FrontBody> {
    let remedy = "it has not run: come back after the time named";
    refuse_with_retry(reason, remedy, retry_delay, request_id)
}

/// Refuses a request without a valid key.
pub fn unknown_key(request_id: Option<&str>) -> Response<FrontBody> {
    let remedy = "it has not run: send a key that the operator has given to a customer";
    let mut response = refuse(StatusCode::UNAUTHORIZED, "key not known", remedy, request_id);
    response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    response
}

/// Refuses a request that crashed the targets that ran it.
pub fn quarantined(request_id: &str) -> Response<FrontBody> {
    let remedy = "it has not run: targets ended under it before; change it, or come back after the time named";
    refuse_with_retry(
        "targets end under this request",
        remedy,
        QUARANTINE_RETRY_DELAY,
        Some(request_id),
    )
}

fn refuse_with_retry(
    reason: &str,
    remedy: &str,
    retry_delay: Duration,
    request_id: Option<&str>,
) -> Response<FrontBody> {
    let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, reason, remedy, request_id);
    if let Ok(value) = HeaderValue::from_str(&format_seconds(retry_delay)) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Formats a time as seconds with one to three decimals. Milliseconds matter: callers that are told
/// different times must not return together.
fn format_seconds(time: Duration) -> String {
    let seconds = format!("{:.3}", time.as_secs_f64());
    let short = seconds.trim_end_matches('0');
    if short.ends_with('.') { format!("{short}0") } else { short.to_owned() }
}

/// Forwards a target's response without its connection headers.
pub fn forward(target_response: FullResponse) -> Response<FrontBody> {
    let mut response = Response::new(Either::Left(Full::new(target_response.body)));
    *response.status_mut() = target_response.status;
    *response.headers_mut() = target_response.headers;
    strip_target_headers(response.headers_mut());
    response
}

/// Removes the headers of the target's connection; the content length is computed again.
pub fn strip_target_headers(headers: &mut HeaderMap) {
    headers::strip_connection(headers);
    headers.remove(CONTENT_LENGTH);
}

/// Reserves the bytes of a buffered body until the caller has taken them.
pub fn reserve_body(
    response: Response<FrontBody>,
    memory: &Arc<MemoryBudget>,
) -> Response<FrontBody> {
    response.map(|body| match body {
        Either::Left(full) => {
            let bytes = full.into_inner().unwrap_or_default();
            let held = memory.reserve_held(ByteCount::new(bytes.len()));
            Either::Left(Full::new(held.attach(bytes)))
        }
        Either::Right(stream) => Either::Right(stream),
    })
}

/// Closes the caller's connection after the response.
pub fn close_after(mut response: Response<FrontBody>) -> Response<FrontBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
