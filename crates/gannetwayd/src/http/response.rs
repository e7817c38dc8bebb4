//! Answers and refusals over HTTP.

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

/// A refusal on its way to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure(pub ErrorBody);

impl From<ErrorBody> for Failure {
    fn from(body: ErrorBody) -> Self {
        Self(body)
    }
}

impl From<CallError> for Failure {
    fn from(error: CallError) -> Self {
        Self(caller_error(&wire_call_error(error), rand::rng().random()))
    }
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let status = match self.0.kind {
            ErrorKind::BadRequest => StatusCode::BAD_REQUEST,
            ErrorKind::Forbidden => StatusCode::FORBIDDEN,
            ErrorKind::Conflict => StatusCode::CONFLICT,
            ErrorKind::NotOpen => StatusCode::NOT_FOUND,
            ErrorKind::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            ErrorKind::Unknown => StatusCode::BAD_GATEWAY,
        };
        // The header counts whole seconds; the body has the exact time.
        let seconds = self.0.retry_after_ms.div_ceil(1_000).to_string();
        (status, [(RETRY_AFTER, seconds)], axum::Json(self.0)).into_response()
    }
}

/// An answer with the digest of its body, so that a cut one is not taken for whole.
pub fn json_with_digest<T: Serialize>(value: &T) -> Result<Response, Failure> {
    let body = serde_json::to_vec(value)
        .map_err(|error| Failure(ErrorBody::new(ErrorKind::Unknown, error.to_string())))?;
    let digest = ContentDigest::of(&body).to_string();
    let headers = [(CONTENT_TYPE.as_str(), "application/json".to_owned()), (DIGEST_HEADER, digest)];
    Ok((headers, body).into_response())
}

/// A request's whole body, or a typed refusal when it is too large or breaks off.
#[derive(Debug)]
pub struct FullBody(pub Bytes);

impl<S: Send + Sync> FromRequest<S> for FullBody {
    type Rejection = Failure;

    async fn from_request(req: Request, state: &S) -> Result<Self, Failure> {
        let body = Bytes::from_request(req, state).await;
        body.map(Self).map_err(|rejection| {
            let message =
                format!("the body was not taken ({rejection}): send at most 8 MiB, whole");
            Failure(ErrorBody::new(ErrorKind::BadRequest, message))
        })
    }
}

/// Reads a JSON body; says what is wrong with a bad one.
pub fn read_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        let message =
            format!("the body is not what this path takes ({error}): mend it and send it again");
        Failure(ErrorBody::new(ErrorKind::BadRequest, message))
    })
}

/// Reads a value of a path or header; says what is wrong with a bad one.
pub fn read_value<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, Failure> {
    text.parse()
        .map_err(|error: T::Err| Failure(ErrorBody::new(ErrorKind::BadRequest, error.to_string())))
}

/// Lets only those pass who show the deployment's key.
pub fn require_key(ctx: &BoxContext, headers: &HeaderMap) -> Result<(), Failure> {
    let shown = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = shown.and_then(|text| text.strip_prefix("Bearer "));
    if key.is_some_and(|key| ctx.settings.key.matches(key)) {
        return Ok(());
    }
    let message = "operators must show the deployment key: give gannetctl --key-file";
    Err(Failure(ErrorBody::new(ErrorKind::Forbidden, message)))
}

/// Begins the span of a request that came over HTTP.
pub fn http_span(ctx: &BoxContext, name: &'static str, headers: &HeaderMap) -> HopSpan {
    let parent = headers.get(TRACEPARENT_HEADER).and_then(|value| value.to_str().ok());
    ctx.tracer.hop(name, SpanKind::Server, parent.unwrap_or_default())
}
