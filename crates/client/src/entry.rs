//! Sends requests to the entry boxes, with retries and failover.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use api::{DIGEST_HEADER, ErrorBody, ErrorKind};
use coord::retry::Backoff;
use ids::ContentDigest;
use rand::Rng;
use reqwest::{Client, Method, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{self, Instant};

use crate::ClientError;

/// Delays between attempts.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(20), Duration::from_secs(1));
/// Timeout of one attempt, in addition to the wait requested of the box. Bounds the time lost at an
/// unresponsive entry box.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Addition to the timeout of an attempt for each MiB of the request body.
const TIMEOUT_PER_MIB: Duration = Duration::from_secs(1);

/// Addresses, key and retry timeout of an [`EntryClient`].
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Addresses of the boxes or their load balancer, as `http://ip:port`.
    pub entries: Vec<String>,
    /// The deployment's key; required by operator requests.
    pub key: Option<String>,
    /// Total time for retries of a repeatable request.
    pub retry_timeout: Duration,
}

/// HTTP client of the entry boxes.
///
/// Retries go to the next entry if the current one is unreachable or gives no valid response.
#[derive(Debug)]
pub struct EntryClient {
    settings: EntrySettings,
    client: Client,
    current: AtomicUsize,
}

impl EntryClient {
    /// Creates a client that starts with the first entry.
    pub fn new(settings: EntrySettings) -> Self {
        Self { settings, client: Client::new(), current: AtomicUsize::new(0) }
    }

    /// Sends a repeatable request; retries it until a box accepts or permanently refuses it, or
    /// `retry_timeout` plus `wait` has passed.
    ///
    /// `wait` is the time for which the box may delay its response.
    ///
    /// If the last attempt did not run the work, but an earlier one may have, the error of the
    /// earlier attempt is returned.
    pub async fn send_with_retries<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: Option<&B>,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let deadline = Instant::now() + self.settings.retry_timeout + wait;
        let mut retry = 0;
        let mut uncertain = None;
        loop {
            let error = match self.send_once(method, path, body, wait).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let delay = match &error {
                ClientError::Refused(refusal) if !is_retryable(refusal) => return Err(error),
                ClientError::Refused(refusal) => Duration::from_millis(refusal.retry_after_ms),
                ClientError::NoEntry | ClientError::Broken(_) => {
                    self.current.fetch_add(1, Ordering::Relaxed);
                    BACKOFF.delay(retry, rand::rng().random())
                }
            };
            let may_have_run = may_have_run(&error);
            if Instant::now() + delay >= deadline {
                return Err(if may_have_run { error } else { uncertain.unwrap_or(error) });
            }
            if may_have_run {
                uncertain = Some(error);
            }
            time::sleep(delay).await;
            retry += 1;
        }
    }

    /// Sends a request once, to the current entry, without retries.
    pub async fn send_once<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: Option<&B>,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let entries = &self.settings.entries;
        let current = self.current.load(Ordering::Relaxed);
        let Some(entry) = entries.get(current.checked_rem(entries.len()).unwrap_or(0)) else {
            return Err(ClientError::NoEntry);
        };
        let url = format!("{}{path}", entry.trim_end_matches('/'));
        let bytes = body.map(serde_json::to_vec).transpose();
        let bytes = bytes.map_err(|error| ClientError::Broken(error.to_string()))?;
        let mib =
            bytes.as_ref().map_or(0, |bytes| u32::try_from(bytes.len() >> 20).unwrap_or(u32::MAX));
        let timeout = wait + ATTEMPT_TIMEOUT + TIMEOUT_PER_MIB * mib;
        let mut request = self.client.request(method.clone(), url).timeout(timeout);
        if let Some(key) = &self.settings.key {
            request = request.bearer_auth(key.trim());
        }
        if let Some(bytes) = bytes {
            request = request.header("content-type", "application/json").body(bytes);
        }
        let response = request.send().await.map_err(|error| send_error(&error))?;
        read_response(response).await
    }
}

/// Returns whether the same request may succeed later or at another box.
fn is_retryable(refusal: &ErrorBody) -> bool {
    matches!(refusal.kind, ErrorKind::NotRun | ErrorKind::Unknown)
}

/// Returns whether the work may have run in the attempt that ended with this error.
const fn may_have_run(error: &ClientError) -> bool {
    match error {
        ClientError::NoEntry => false,
        ClientError::Broken(_) => true,
        ClientError::Refused(refusal) => matches!(refusal.kind, ErrorKind::Unknown),
    }
}

fn send_error(error: &reqwest::Error) -> ClientError {
    if error.is_connect() { ClientError::NoEntry } else { ClientError::Broken(error.to_string()) }
}

async fn read_response<T: DeserializeOwned>(response: Response) -> Result<T, ClientError> {
    let success = response.status().is_success();
    let stated_digest = response.headers().get(DIGEST_HEADER).and_then(|value| value.to_str().ok());
    let stated_digest: Option<ContentDigest> = stated_digest.and_then(|text| text.parse().ok());
    let body = response.bytes().await.map_err(|error| ClientError::Broken(error.to_string()))?;
    if !success {
        let refusal: ErrorBody = serde_json::from_slice(&body).map_err(|_error| {
            ClientError::Broken("the error response has an unknown format".to_owned())
        })?;
        return Err(refusal.into());
    }
    if stated_digest != Some(ContentDigest::of(&body)) {
        return Err(ClientError::Broken("the body does not match its digest".to_owned()));
    }
    serde_json::from_slice(&body).map_err(|error| ClientError::Broken(error.to_string()))
}
