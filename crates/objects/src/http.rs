//! HTTP client of the platform's object API.

use std::time::Duration;

use ids::{ObjectVersion, whole_millis};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde_json::Value;

use crate::{ListedObjects, ObjectKey, ObjectKind, ObjectStore, StoreError, StoredObject};

/// Timeout of a call that does not wait for changes. A healthy platform responds in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Additional timeout of a watch beyond its own wait time.
const WATCH_SLACK: Duration = Duration::from_secs(2);

/// Client for the platform at one address.
#[derive(Debug, Clone)]
pub struct HttpStore {
    base_url: String,
    client: Client,
}

#[derive(Deserialize)]
struct WriteResponse {
    version: ObjectVersion,
}

impl HttpStore {
    /// Creates a client for the URL `base_url`, such as `http://10.0.0.1:7000`.
    pub fn new(base_url: &str, client: Client) -> Self {
        Self { base_url: base_url.trim_end_matches('/').to_owned(), client }
    }

    fn object_url(&self, key: &ObjectKey) -> String {
        format!("{}/v1/objects/{}/{}", self.base_url, key.kind, key.name)
    }

    fn kind_url(&self, kind: ObjectKind) -> String {
        format!("{}/v1/objects/{kind}", self.base_url)
    }
}

/// If connecting failed, nothing was sent. After any later error the request may have taken effect.
fn send_error(error: &reqwest::Error) -> StoreError {
    if error.is_connect() { StoreError::Unavailable } else { StoreError::Unknown }
}

async fn send(request: RequestBuilder, timeout: Duration) -> Result<Response, StoreError> {
    let response = request.timeout(timeout).send().await.map_err(|error| send_error(&error))?;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        || response.status() == StatusCode::TOO_MANY_REQUESTS
    {
        return Err(StoreError::Unavailable);
    }
    Ok(response)
}

/// The body of an error response is not an object and may have any format.
fn require_success(response: Response) -> Result<Response, StoreError> {
    if response.status().is_success() { Ok(response) } else { Err(StoreError::Unknown) }
}

impl ObjectStore for HttpStore {
    async fn read(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        let response = send(self.client.get(self.object_url(key)), CALL_TIMEOUT).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let response = require_success(response)?;
        response.json().await.map(Some).map_err(|error| bad_value(key, &error))
    }

    async fn write(
        &self,
        key: &ObjectKey,
        expect: ObjectVersion,
        value: Value,
    ) -> Result<ObjectVersion, StoreError> {
        let request = self
            .client
            .put(self.object_url(key))
            .query(&[("if_version", expect.get())])
            .json(&value);
        let response = send(request, CALL_TIMEOUT).await?;
        if response.status() == StatusCode::CONFLICT {
            return Err(StoreError::Conflict { key: key.to_string() });
        }
        let response = require_success(response)?;
        let written: WriteResponse = response.json().await.map_err(|_error| StoreError::Unknown)?;
        Ok(written.version)
    }

    async fn list(&self, kind: ObjectKind) -> Result<ListedObjects, StoreError> {
        let response = send(self.client.get(self.kind_url(kind)), CALL_TIMEOUT).await?;
        let response = require_success(response)?;
        response.json().await.map_err(|_error| StoreError::Unknown)
    }

    async fn watch(
        &self,
        kind: ObjectKind,
        after: u64,
        wait: Duration,
    ) -> Result<ListedObjects, StoreError> {
        let wait_ms = whole_millis(wait);
        let request =
            self.client.get(self.kind_url(kind)).query(&[("after", after), ("wait_ms", wait_ms)]);
        let response = send(request, wait + WATCH_SLACK).await?;
        let response = require_success(response)?;
        response.json().await.map_err(|_error| StoreError::Unknown)
    }
}

fn bad_value(key: &ObjectKey, error: &reqwest::Error) -> StoreError {
    if error.is_decode() {
        return StoreError::BadValue { key: key.to_string(), fault: error.to_string() };
    }
    StoreError::Unknown
}
