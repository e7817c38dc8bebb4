//! Speaks to plain services and scorers by HTTP.

use std::time::Duration;

use bytes::Bytes;
use ids::{ContentDigest, RequestId};
use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{DIGEST_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, TRACEPARENT_HEADER, TargetError};

/// Longest wait for a score.
const SCORE_TIMEOUT: Duration = Duration::from_secs(10);

/// A plain request on its way to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainRequest {
    /// Names the request on every hop.
    pub request_id: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path and query, with the leading slash.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Time left.
    pub timeout: Duration,
}

/// A service's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body, checked against the length and digest that the service stated.
    pub body: Bytes,
}

/// Asks a scorer to judge a sample.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoreRequest {
    /// The prompt.
    pub prompt: String,
    /// The sample's text.
    pub text: String,
}

/// A scorer's judgement.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ScoreResponse {
    /// The score.
    pub score: f64,
}

/// One plain service or scorer.
#[derive(Debug, Clone)]
pub struct PlainClient {
    base: String,
    client: Client,
}

impl PlainClient {
    /// The service at `base`.
    pub fn new(base: &str, client: Client) -> Self {
        Self { base: base.trim_end_matches('/').to_owned(), client }
    }

    /// Sends a request once; never tries again by itself.
    pub async fn call(
        &self,
        request: &PlainRequest,
        traceparent: &str,
    ) -> Result<PlainResponse, TargetError> {
        let method = reqwest::Method::from_bytes(request.method.as_bytes())
            .map_err(|_bad| TargetError::Refused(format!("method {}", request.method)))?;
        let response = self
            .client
            .request(method, format!("{}{}", self.base, request.path))
            .header(REQUEST_ID_HEADER, request.request_id.as_str())
            .header(TRACEPARENT_HEADER, traceparent)
            .timeout(request.timeout)
            .body(request.body.clone())
            .send()
            .await?;
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

    /// Asks for a score; asking again is harmless.
    pub async fn score(&self, request: &ScoreRequest) -> Result<ScoreResponse, TargetError> {
        let response = self
            .client
            .post(format!("{}/v1/score", self.base))
            .timeout(SCORE_TIMEOUT)
            .json(request)
            .send()
            .await?;
        Ok(response.error_for_status()?.json().await?)
    }
}
