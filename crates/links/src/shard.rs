//! Calls to storage boxes, which serve the shards of the job log.

use std::time::Duration;

use ids::whole_millis;
use wire::peer::{
    Request, ShardRequest, ShardResponse, request, response_item, shard_request, shard_response,
};

use crate::{CallError, LinkPool, ResponseStream};

impl LinkPool {
    /// Sends a shard request to a storage box; `request_id` identifies the request in logs.
    pub async fn call_shard(
        &self,
        address: &str,
        request_id: &str,
        timeout: Duration,
        body: shard_request::Body,
    ) -> Result<ResponseStream, CallError> {
        let request = Request {
            request_id: request_id.to_owned(),
            traceparent: String::new(),
            time_left_ms: whole_millis(timeout),
            body: Some(request::Body::Shard(ShardRequest { body: Some(body) })),
        };
        self.call(address, request).await
    }

    /// Makes a call to a storage box that returns a single item within `timeout`. If the connection
    /// is lost during the call, an idempotent request is retried once on a new connection.
    pub async fn call_shard_unary(
        &self,
        address: &str,
        timeout: Duration,
        body: shard_request::Body,
    ) -> Result<shard_response::Body, CallError> {
        let call = async {
            let retry_body = is_idempotent(&body).then(|| body.clone());
            let result = self.call_shard_once(address, timeout, body).await;
            match (result, retry_body) {
                (Err(CallError::LinkLost), Some(body)) => {
                    // The first request may have run, so the retry must not report `NotSent`.
                    let result = self.call_shard_once(address, timeout, body).await;
                    result.map_err(|error| match error {
                        CallError::NotSent { .. } => CallError::LinkLost,
                        other => other,
                    })
                }
                (result, _) => result,
            }
        };
        let timed_out = CallError::Broken { why: "timeout" };
        tokio::time::timeout(timeout, call).await.map_err(|_elapsed| timed_out)?
    }

    async fn call_shard_once(
        &self,
        address: &str,
        timeout: Duration,
        body: shard_request::Body,
    ) -> Result<shard_response::Body, CallError> {
        let item = self.call_shard(address, "", timeout, body).await?.single(timeout).await?;
        match item.body {
            Some(response_item::Body::Shard(ShardResponse { body: Some(response) })) => {
                Ok(response)
            }
            _ => Err(CallError::Broken { why: "unexpected item kind" }),
        }
    }
}

/// Returns whether a request is idempotent. Only copy chunks are not: each one is appended to the
/// previous chunks.
const fn is_idempotent(body: &shard_request::Body) -> bool {
    !matches!(body, shard_request::Body::Copy(_))
}
