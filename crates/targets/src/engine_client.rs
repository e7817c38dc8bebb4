//! Speaks to engines by HTTP.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use reqwest::{Client, Response, StatusCode};

use crate::{
    EngineLine, EngineState, GenerateRequest, NOT_RUN_HEADER, OrderRequest, OrderResponse,
    REQUEST_ID_HEADER, TRACEPARENT_HEADER, TargetError,
};

/// Longest wait for an engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest silence within a stream before it counts as broken.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest line an engine may send, in bytes; a stream with a longer one is broken.
const MAX_LINE: usize = 1 << 20;

/// One engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    base: String,
    client: Client,
}

impl EngineClient {
    /// The engine at `base`, such as `http://10.0.0.1:8000`.
    pub fn new(base: &str, client: Client) -> Self {
        Self { base: base.trim_end_matches('/').to_owned(), client }
    }

    /// Starts a stream.
    pub async fn generate(
        &self,
        request: &GenerateRequest,
        traceparent: &str,
    ) -> Result<EngineStream, TargetError> {
        let response = self
            .client
            .post(format!("{}/v1/generate", self.base))
            .header(REQUEST_ID_HEADER, request.request_id.as_str())
            .header(TRACEPARENT_HEADER, traceparent)
            .json(request)
            .send()
            .await?;
        if response.headers().contains_key(NOT_RUN_HEADER) {
            return Err(TargetError::Refused(response.text().await.unwrap_or_default()));
        }
        if response.status() != StatusCode::OK {
            return Err(TargetError::Broken(response.status().to_string()));
        }
        Ok(EngineStream { response, buffer: BytesMut::new() })
    }

    /// Cancels a request; an unknown one is no error.
    pub async fn cancel(&self, request_id: &ids::RequestId) -> Result<(), TargetError> {
        let url = format!("{}/v1/cancel/{request_id}", self.base);
        self.client.post(url).timeout(STATE_TIMEOUT).send().await?;
        Ok(())
    }

    /// Reads the engine's state.
    pub async fn state(&self) -> Result<EngineState, TargetError> {
        let url = format!("{}/v1/state", self.base);
        let response = self.client.get(url).timeout(STATE_TIMEOUT).send().await?;
        Ok(response.error_for_status()?.json().await?)
    }

    /// Sends an order and waits for the definite answer.
    pub async fn order(&self, order: &OrderRequest) -> Result<OrderResponse, TargetError> {
        let response = self
            .client
            .post(format!("{}/v1/orders", self.base))
            .timeout(Duration::from_millis(order.life_ms))
            .json(order)
            .send()
            .await?;
        Ok(response.error_for_status()?.json().await?)
    }
}

/// The lines of one answer as they come.
#[derive(Debug)]
pub struct EngineStream {
    response: Response,
    buffer: BytesMut,
}

impl EngineStream {
    /// The next line; an error when the stream stops before its explicit end.
    pub async fn next(&mut self) -> Result<EngineLine, TargetError> {
        loop {
            if let Some(line) = self.take_line()? {
                return Ok(line);
            }
            let next = tokio::time::timeout(CHUNK_TIMEOUT, self.response.chunk());
            match next.await {
                Ok(Ok(Some(bytes))) => self.buffer.extend_from_slice(&bytes),
                Ok(Err(error)) => return Err(error.into()),
                Ok(Ok(None)) => return Err(TargetError::Broken("no explicit end".to_owned())),
                Err(_silence) => return Err(TargetError::Broken("silence".to_owned())),
            }
        }
    }

    fn take_line(&mut self) -> Result<Option<EngineLine>, TargetError> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            if self.buffer.len() > MAX_LINE {
                return Err(TargetError::Broken("a line over 1 MiB".to_owned()));
            }
            return Ok(None);
        };
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        serde_json::from_slice(&line)
            .map(Some)
            .map_err(|error| TargetError::Broken(format!("a line that is no chunk: {error}")))
    }
}
