//! One request at a time to any of the entry boxes.

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

/// Pauses between tries.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(20), Duration::from_secs(1));
/// Time for one try beyond the wait asked of the box; a frozen entry box is left after it.
const TRY_TIME: Duration = Duration::from_secs(2);
/// Time allowed for each MiB of a body on its way.
const TIME_PER_MIB: Duration = Duration::from_secs(1);

/// How to reach the entry boxes.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Addresses, as `http://ip:port`: the balancer's, or the boxes' own.
    pub entries: Vec<String>,
    /// The deployment's key, for operators.
    pub key: Option<String>,
    /// How long a request that may be repeated is tried.
    pub patience: Duration,
}

/// Speaks to the entry boxes.
#[derive(Debug)]
pub struct EntryClient {
    settings: EntrySettings,
    client: Client,
    current: AtomicUsize,
}

impl EntryClient {
    /// A client that begins with the first entry.
    pub fn new(settings: EntrySettings) -> Self {
        Self { settings, client: Client::new(), current: AtomicUsize::new(0) }
    }

    /// Sends a request that may be repeated, until a box answers it or patience runs out.
    pub async fn repeat<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: Option<&B>,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let until = Instant::now() + self.settings.patience + wait;
        let mut retry = 0;
        loop {
            let error = match self.once(method, path, body, wait).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let pause = match &error {
                ClientError::Refused(refusal) if !may_pass(refusal) => return Err(error),
                ClientError::Refused(refusal) => Duration::from_millis(refusal.retry_after_ms),
                ClientError::NoEntry | ClientError::Broken(_) => {
                    self.current.fetch_add(1, Ordering::Relaxed);
                    BACKOFF.delay(retry, rand::rng().random())
                }
            };
            if Instant::now() + pause >= until {
                return Err(error);
            }
            time::sleep(pause).await;
            retry += 1;
        }
    }

    /// Sends a request once, to the current entry.
    pub async fn once<B: Serialize + Sync, T: DeserializeOwned>(
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
        let timeout = wait + TRY_TIME + TIME_PER_MIB * mib;
        let mut request = self.client.request(method.clone(), url).timeout(timeout);
        if let Some(key) = &self.settings.key {
            request = request.bearer_auth(key.trim());
        }
        if let Some(bytes) = bytes {
            request = request.header("content-type", "application/json").body(bytes);
        }
        let response = request.send().await.map_err(|error| send_error(&error))?;
        read_whole(response).await
    }
}

/// Whether the same request may do better later or at another box.
fn may_pass(refusal: &ErrorBody) -> bool {
    matches!(refusal.kind, ErrorKind::NotRun | ErrorKind::Unknown)
}

fn send_error(error: &reqwest::Error) -> ClientError {
    if error.is_connect() { ClientError::NoEntry } else { ClientError::Broken(error.to_string()) }
}

async fn read_whole<T: DeserializeOwned>(response: Response) -> Result<T, ClientError> {
    let success = response.status().is_success();
    let stated = response.headers().get(DIGEST_HEADER).and_then(|value| value.to_str().ok());
    let stated: Option<ContentDigest> = stated.and_then(|text| text.parse().ok());
    let body = response.bytes().await.map_err(|error| ClientError::Broken(error.to_string()))?;
    if !success {
        let refusal: ErrorBody = serde_json::from_slice(&body)
            .map_err(|_foreign| ClientError::Broken("an answer that is no refusal".to_owned()))?;
        return Err(refusal.into());
    }
    if stated != Some(ContentDigest::of(&body)) {
        return Err(ClientError::Broken("the body does not match its digest".to_owned()));
    }
    serde_json::from_slice(&body).map_err(|error| ClientError::Broken(error.to_string()))
}
