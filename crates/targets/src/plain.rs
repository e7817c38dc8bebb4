//! HTTP client of plain services and scorers.

use std::time::Duration;

use bytes::Bytes;
use ids::{ContentDigest, RequestId};
use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};

use crate::final_status::send;
use crate::{DIGEST_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, TRACEPARENT_HEADER, TargetError};

/// Timeout of score requests.
const SCORE_TIMEOUT: Duration = Duration::from_secs(10);

/// A plain request to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainRequest {
    /// Id of the request, forwarded on every hop.
    pub request_id: RequestId,
    /// HTTP method, such as `POST`.
    pub method: String,
    /// Path and query, starting with a slash.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Time remaining for the request.
    pub timeout: Duration,
}

/// The complete response of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Response body; matches the length and the digest if the service stated them.
    pub body: Bytes,
}

/// Request to score a sample.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoreRequest {
    /// Prompt of the sample.
    pub prompt: String,
    /// Text of the sample.
    pub text: String,
}

/// Response of a scorer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ScoreResponse {
    /// Score of the sample.
    pub score: f64,
}

/// Client of one plain service or scorer.
#[derive(Debug, Clone)]
pub struct PlainClient {
    base: String,
    client: Client,
}

impl PlainClient {
    /// Creates a client of the service at `base`.
    pub fn new(base: &str, client: Client) -> Self {
        Self { base: base.trim_end_matches('/').to_owned(), client }
    }

    /// Sends a request once, without retries. A method that is not valid in HTTP is refused here.
    pub async fn call(
        &self,
        request: &PlainRequest,
        traceparent: &str,
    ) -> Result<PlainResponse, TargetError> {
        let method =
            reqwest::Method::from_bytes(request.method.as_bytes()).map_err(|_invalid| {
                TargetError::Refused(format!("invalid HTTP method {}", request.method))
            })?;
        let sent = self
            .client
            .request(method, format!("{}{}", self.base, request.path))
            .header(REQUEST_ID_HEADER, request.request_id.as_str())
            .header(TRACEPARENT_HEADER, traceparent)
            .timeout(request.timeout)
            .body(request.body.clone());
        let response = send(sent).await?;
        let status = response.status();
        if status == StatusCode::SERVICE_UNAVAILABLE
            && response.headers().contains_key(NOT_RUN_HEADER)
        {
            return Err(TargetError::Refused(response.text().await.unwrap_or_default()));
        }
        let header = |name: &str| {
            response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let stated: Option<ContentDigest> =
            header(DIGEST_HEADER).and_then(|text| text.parse().ok());
        let content_type = header("content-type").unwrap_or_default();
        let body = response.bytes().await?;
        if stated.is_some_and(|digest| digest != ContentDigest::of(&body)) {
            return Err(TargetError::Broken("the body does not match its digest".to_owned()));
        }
        Ok(PlainResponse { status: status.as_u16(), content_type, body })
    }

    /// Requests a score; safe to repeat.
    pub async fn score(&self, request: &ScoreRequest) -> Result<ScoreResponse, TargetError> {
        let sent = self
            .client
            .post(format!("{}/v1/score", self.base))
            .timeout(SCORE_TIMEOUT)
            .json(request);
        let response = send(sent).await?;
        Ok(response.error_for_status()?.json().await?)
    }
}
