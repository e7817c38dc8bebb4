//! HTTP responses, errors and request parsing.

use api::{DIGEST_HEADER, ErrorBody, ErrorKind};
use axum::body::Bytes;
use axum::extract::{FromRequest, Request};
use axum::http::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use ids::ContentDigest;
use links::CallError;
use opentelemetry::trace::SpanKind;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use targets::TRACEPARENT_HEADER;

use crate::context::BoxContext;
use crate::refuse::{caller_error, wire_call_error};
use crate::trace::HopSpan;

/// An error response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiError(pub ErrorBody);

impl From<ErrorBody> for ApiError {
    fn from(body: ErrorBody) -> Self {
        Self(body)
    }
}

impl From<CallError> for ApiError {
    fn from(error: CallError) -> Self {
        Self(caller_error(&wire_call_error(error), rand::rng().random()))
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let status = match self.0.kind {
            ErrorKind::BadRequest => StatusCode::BAD_REQUEST,
            ErrorKind::Forbidden => StatusCode::FORBIDDEN,
            ErrorKind::Conflict => StatusCode::CONFLICT,
            ErrorKind::NotOpen | ErrorKind::NotFound => StatusCode::NOT_FOUND,
            ErrorKind::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            ErrorKind::Unknown => StatusCode::BAD_GATEWAY,
        };
        // The header has a resolution of one second; the body has milliseconds.
        let seconds = self.0.retry_after_ms.div_ceil(1_000).to_string();
        (status, [(RETRY_AFTER, seconds)], axum::Json(self.0)).into_response()
    }
}

/// Creates a JSON response with a digest of its body, so that clients detect truncation.
pub fn json_with_digest<T: Serialize>(value: &T) -> Result<Response, ApiError> {
    let body = serde_json::to_vec(value)
        .map_err(|error| ApiError(ErrorBody::new(ErrorKind::Unknown, error.to_string())))?;
    let digest = ContentDigest::of(&body).to_string();
    let headers = [(CONTENT_TYPE.as_str(), "application/json".to_owned()), (DIGEST_HEADER, digest)];
    Ok((headers, body).into_response())
}

/// Extracts the complete request body; rejects bodies that are too large or truncated.
#[derive(Debug)]
pub struct FullBody(pub Bytes);

impl<S: Send + Sync> FromRequest<S> for FullBody {
    type Rejection = ApiError;

    async fn from_request(req: Request, state: &S) -> Result<Self, ApiError> {
        let body = Bytes::from_request(req, state).await;
        body.map(Self).map_err(|rejection| {
            let message = format!(
                "the body was rejected ({rejection}): send the complete body, at most 8 MiB"
            );
            ApiError(ErrorBody::new(ErrorKind::BadRequest, message))
        })
    }
}

/// Parses a JSON body; the error describes what is invalid.
pub fn read_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|error| {
        let message =
            format!("the body is not valid for this path ({error}): fix it and send it again");
        ApiError(ErrorBody::new(ErrorKind::BadRequest, message))
    })
}

/// Parses a path segment or header value; the error describes what is invalid.
pub fn read_value<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, ApiError> {
    text.parse()
        .map_err(|error: T::Err| ApiError(ErrorBody::new(ErrorKind::BadRequest, error.to_string())))
}

/// Checks that the request is authorized with the deployment key.
pub fn require_key(ctx: &BoxContext, headers: &HeaderMap) -> Result<(), ApiError> {
    let header = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|text| text.strip_prefix("Bearer "));
    if key.is_some_and(|key| ctx.settings.key.matches(key)) {
        return Ok(());
    }
    let message = "operator requests require the deployment key: pass --key-file to gannetctl";
    Err(ApiError(ErrorBody::new(ErrorKind::Forbidden, message)))
}

/// Starts the trace span of an HTTP request.
pub fn http_span(ctx: &BoxContext, name: &'static str, headers: &HeaderMap) -> HopSpan {
    let parent = headers.get(TRACEPARENT_HEADER).and_then(|value| value.to_str().ok());
    ctx.tracer.hop(name, SpanKind::Server, parent.unwrap_or_default())
}
