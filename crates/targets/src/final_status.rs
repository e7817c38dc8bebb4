//! Checks the statuses of targets' responses.

use std::ops::RangeInclusive;

use reqwest::{RequestBuilder, Response};

use crate::TargetError;

/// Statuses of final responses. The HTTP library returns 101 and those above 599 as well.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Sends a request. A response whose status is not that of a final response is a broken one, which
/// says nothing about the request.
pub(crate) async fn send(request: RequestBuilder) -> Result<Response, TargetError> {
    let response = request.send().await?;
    let status = response.status();
    if FINAL_STATUSES.contains(&status.as_u16()) {
        return Ok(response);
    }
    Err(TargetError::Broken(format!("status {status} ends no request")))
}
