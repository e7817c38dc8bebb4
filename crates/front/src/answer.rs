//! Answers to callers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use platform::headers;
use upstream::FullResponse;

/// A stream that a target has broken off: the caller's connection is closed without its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the target broke the stream off: ask for the rest after the last event")]
pub struct StreamBroken;

/// Body of an answer: whole, or passed on as it comes.
pub type FrontBody = Either<FullBody, Channel<Bytes, StreamBroken>>;
/// A body that is held whole.
pub type FullBody = Full<Bytes>;
/// What serving a request gives; an answer in every case.
pub type Served = Result<Response<FrontBody>, Infallible>;

/// Time after which a refused caller may come back.
pub const COME_BACK: Duration = Duration::from_millis(200);

/// Time after which a caller may ask again whose request ends the targets that run it: it may pass once they run
/// other software, which no box knows beforehand, and asking costs no target anything.
const CONDEMNED_COME_BACK: Duration = Duration::from_mins(1);

/// An answer with a whole body.
pub fn whole(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<FrontBody> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// An error of our own; `request_id` is what the caller sent.
pub fn refuse(
    status: StatusCode,
    reason: &str,
    remedy: &str,
    request_id: Option<&str>,
) -> Response<FrontBody> {
    let body = format!("{{\"error\":\"{reason}\",\"remedy\":\"{remedy}\"}}");
    let mut response = whole(status, "application/json", Bytes::from(body));
    if let Some(id) = request_id.and_then(|id| HeaderValue::from_str(id).ok()) {
        response.headers_mut().insert(headers::REQUEST_ID, id);
    }
    response
}

/// A refusal which says that the request has not run, with a time to come back.
pub fn not_run(reason: &str, request_id: Option<&str>) -> Response<FrontBody> {
    let remedy = "it has not run: come back after the time named";
    refuse_until(reason, remedy, COME_BACK, request_id)
}

/// The refusal of a request without a key that a customer has.
pub fn key_not_known(request_id: Option<&str>) -> Response<FrontBody> {
    let remedy = "it has not run: send a key that the operator has given to a customer";
    let mut response = refuse(StatusCode::UNAUTHORIZED, "key not known", remedy, request_id);
    response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    response
}

/// The refusal of a request that ends the targets that run it.
pub fn condemned(request_id: &str) -> Response<FrontBody> {
    let remedy = "it has not run: targets ended under it before; change it, or come back after the time named";
    refuse_until("targets end under this request", remedy, CONDEMNED_COME_BACK, Some(request_id))
}

fn refuse_until(
    reason: &str,
    remedy: &str,
    come_back: Duration,
    request_id: Option<&str>,
) -> Response<FrontBody> {
    let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, reason, remedy, request_id);
    let seconds = format!("{:.1}", come_back.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// A target's answer, unchanged but for the headers of its connection.
pub fn pass_on(answer: FullResponse) -> Response<FrontBody> {
    let mut response = Response::new(Either::Left(Full::new(answer.body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    clean(response.headers_mut());
    response
}

/// Removes what concerns the target's connection; the length is counted anew.
pub fn clean(headers: &mut HeaderMap) {
    headers::strip_connection(headers);
    headers.remove(CONTENT_LENGTH);
}
