//! HTTP client of engines.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use reqwest::{Client, Response, StatusCode};

use crate::final_status::send;
use crate::{
    EngineLine, EngineState, GenerateRequest, NOT_RUN_HEADER, OrderRequest, OrderResponse,
    REQUEST_ID_HEADER, TRACEPARENT_HEADER, TargetError,
};

/// Timeout for reading an engine's state and for cancelling a request.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum wait for the next bytes of a stream.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a line in a stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Client of one engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    base: String,
    client: Client,
}

impl EngineClient {
    /// Creates a client of the engine at `base`, such as `http://10.0.0.1:8000`.
    pub fn new(base: &str, client: Client) -> Self {
        Self { base: base.trim_end_matches('/').to_owned(), client }
    }

    /// Sends a request and returns its response stream.
    pub async fn generate(
        &self,
        request: &GenerateRequest,
        traceparent: &str,
    ) -> Result<EngineStream, TargetError> {
        let sent = self
            .client
            .post(format!("{}/v1/generate", self.base))
            .header(REQUEST_ID_HEADER, request.request_id.as_str())
            .header(TRACEPARENT_HEADER, traceparent)
            .json(request);
        let response = send(sent).await?;
        if response.headers().contains_key(NOT_RUN_HEADER) {
            return Err(TargetError::Refused(response.text().await.unwrap_or_default()));
        }
        if response.status() != StatusCode::OK {
            return Err(TargetError::Broken(response.status().to_string()));
        }
        Ok(EngineStream { response, buffer: BytesMut::new() })
    }

    /// Cancels a request; an unknown request id is not an error.
    pub async fn cancel(&self, request_id: &ids::RequestId) -> Result<(), TargetError> {
        let url = format!("{}/v1/cancel/{request_id}", self.base);
        send(self.client.post(url).timeout(STATE_TIMEOUT)).await?;
        Ok(())
    }

    /// Reads the current state of the engine.
    pub async fn state(&self) -> Result<EngineState, TargetError> {
        let url = format!("{}/v1/state", self.base);
        let response = send(self.client.get(url).timeout(STATE_TIMEOUT)).await?;
        Ok(response.error_for_status()?.json().await?)
    }

    /// Sends an order and waits for its final response.
    pub async fn order(&self, order: &OrderRequest) -> Result<OrderResponse, TargetError> {
        let sent = self
            .client
            .post(format!("{}/v1/orders", self.base))
            .timeout(Duration::from_millis(order.life_ms))
            .json(order);
        let response = send(sent).await?;
        Ok(response.error_for_status()?.json().await?)
    }
}

/// The response stream of one request.
#[derive(Debug)]
pub struct EngineStream {
    response: Response,
    buffer: BytesMut,
}

impl EngineStream {
    /// Receives the next line, the end message included. Fails if the stream stops before it.
    pub async fn next(&mut self) -> Result<EngineLine, TargetError> {
        loop {
            if let Some(line) = self.take_line()? {
                return Ok(line);
            }
            let next = tokio::time::timeout(CHUNK_TIMEOUT, self.response.chunk());
            match next.await {
                Ok(Ok(Some(bytes))) => self.buffer.extend_from_slice(&bytes),
                Ok(Err(error)) => return Err(error.into()),
                Ok(Ok(None)) => return Err(TargetError::Broken("no end message".to_owned())),
                Err(_elapsed) => return Err(TargetError::Broken("no data in time".to_owned())),
            }
        }
    }

    fn take_line(&mut self) -> Result<Option<EngineLine>, TargetError> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(TargetError::Broken("a line over 1 MiB".to_owned()));
            }
            return Ok(None);
        };
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        serde_json::from_slice(&line)
            .map(Some)
            .map_err(|error| TargetError::Broken(format!("a line that cannot be parsed: {error}")))
    }
}
