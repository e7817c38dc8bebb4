//! Calls to boxes that keep shards of jobs.

use std::time::Duration;

use ids::whole_millis;
use wire::peer::{
    Request, ShardRequest, ShardResponse, request, response_item, shard_request, shard_response,
};

use crate::{CallError, LinkPool, ResponseStream};

impl LinkPool {
    /// Sends a question to a keeping box; `request_id` is what it is about, for the logs.
    pub async fn call_shard(
        &self,
        address: &str,
        request_id: &str,
        time: Duration,
        body: shard_request::Body,
    ) -> Result<ResponseStream, CallError> {
        let request = Request {
            request_id: request_id.to_owned(),
            traceparent: String::new(),
            time_left_ms: whole_millis(time),
            body: Some(request::Body::Shard(ShardRequest { body: Some(body) })),
        };
        self.call(address, request).await
    }

    /// Asks a keeping box for its one answer, within `time`. When the connection is lost under the
    /// question, it is asked again on a new one, if asking twice does no harm.
    pub async fn call_shard_unary(
        &self,
        address: &str,
        time: Duration,
        body: shard_request::Body,
    ) -> Result<shard_response::Body, CallError> {
        let asked = async {
            let again = may_repeat(&body).then(|| body.clone());
            let answer = self.ask_once(address, time, body).await;
            match (answer, again) {
                (Err(CallError::LinkLost), Some(body)) => {
                    // Whatever the second answer is, the first question may have been carried out.
                    let answer = self.ask_once(address, time, body).await;
                    answer.map_err(|error| match error {
                        CallError::NotSent { .. } => CallError::LinkLost,
                        other => other,
                    })
                }
                (answer, _) => answer,
            }
        };
        let silence = CallError::Broken { why: "silence" };
        tokio::time::timeout(time, asked).await.map_err(|_elapsed| silence)?
    }

    async fn ask_once(
        &self,
        address: &str,
        time: Duration,
        body: shard_request::Body,
    ) -> Result<shard_response::Body, CallError> {
        let item = self.call_shard(address, "", time, body).await?.single(time).await?;
        match item.body {
            Some(response_item::Body::Shard(ShardResponse { body: Some(answer) })) => Ok(answer),
            _ => Err(CallError::Broken { why: "an answer of another kind" }),
        }
    }
}

/// A piece of a copy is appended to those before it; everything else names what it is about.
const fn may_repeat(body: &shard_request::Body) -> bool {
    !matches!(body, shard_request::Body::Copy(_))
}
