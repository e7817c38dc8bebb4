//! The platform's object API: versioned objects, conditional writes, lists and watches.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use ids::ObjectVersion;
use objects::{ListedObjects, StoredObject};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;
use tokio::time;

/// Maximum size of a value, in bytes of JSON.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Fault switches; all off by default.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Refuses every call.
    pub down: bool,
    /// Delay added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes to apply without sending the response.
    pub lose_answers: u32,
}

/// Number of calls received.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads and lists.
    pub reads: u64,
    /// Conditional writes, applied or not.
    pub writes: u64,
    /// Watch requests.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct KindTable {
    revision: u64,
    objects: BTreeMap<String, (ObjectVersion, Value)>,
}

#[derive(Debug, Default)]
struct Tables {
    kinds: BTreeMap<String, KindTable>,
    last_version: u64,
    faults: PlatformFaults,
    counts: PlatformCounts,
}

/// The object store behind the API; clones share it.
#[derive(Debug, Clone)]
pub struct PlatformStore {
    tables: Arc<Mutex<Tables>>,
    changed: watch::Sender<u64>,
}

impl Default for PlatformStore {
    fn default() -> Self {
        Self { tables: Arc::default(), changed: watch::Sender::new(0) }
    }
}

#[derive(Debug, Deserialize)]
struct WriteQuery {
    if_version: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ListQuery {
    after: Option<u64>,
    wait_ms: u64,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The object was written with this version.
    Written(ObjectVersion),
    /// The object has a different version than expected.
    Conflict,
}

impl PlatformStore {
    /// Writes an object if its current version is `expect`; 0 means that it does not exist.
    pub fn put(&self, kind: &str, name: &str, expect: u64, value: Value) -> PutOutcome {
        let mut tables = self.lock();
        tables.last_version += 1;
        let version = ObjectVersion::new(tables.last_version);
        let table = tables.kinds.entry(kind.to_owned()).or_default();
        let current = table.objects.get(name).map_or(0, |(version, _)| version.get());
        if current != expect {
            return PutOutcome::Conflict;
        }
        table.revision += 1;
        table.objects.insert(name.to_owned(), (version, value));
        drop(tables);
        self.changed.send_modify(|count| *count += 1);
        PutOutcome::Written(version)
    }

    /// Reads an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<StoredObject> {
        let tables = self.lock();
        let (version, value) = tables.kinds.get(kind)?.objects.get(name)?;
        Some(StoredObject { name: name.to_owned(), version: *version, value: value.clone() })
    }

    /// Lists all objects of a kind.
    pub fn list(&self, kind: &str) -> ListedObjects {
        let tables = self.lock();
        let Some(table) = tables.kinds.get(kind) else {
            return ListedObjects::default();
        };
        let objects = table.objects.iter().map(|(name, (version, value))| StoredObject {
            name: name.clone(),
            version: *version,
            value: value.clone(),
        });
        ListedObjects { revision: table.revision, objects: objects.collect() }
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Returns the number of calls received.
    pub fn counts(&self) -> PlatformCounts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait_for_change(&self, kind: &str, after: u64, wait: Duration) {
        let mut changes = self.changed.subscribe();
        let newer = async {
            while self.list(kind).revision <= after {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // A watch that times out returns the unchanged list.
        let _elapsed = time::timeout(wait, newer).await;
    }

    /// Applies the fault switches. An error contains the response that refuses the call.
    async fn apply_faults(&self) -> Result<(), Box<Response>> {
        let faults = self.lock().faults;
        if faults.slow_ms > 0 {
            time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Err(Box::new(StatusCode::SERVICE_UNAVAILABLE.into_response()));
        }
        Ok(())
    }

    fn loses_response(&self) -> bool {
        let mut tables = self.lock();
        let lost = tables.faults.lose_answers > 0;
        tables.faults.lose_answers = tables.faults.lose_answers.saturating_sub(1);
        lost
    }
}

/// Returns the HTTP routes of the API.
pub fn router(store: PlatformStore) -> Router {
    Router::new()
        .route("/v1/objects/{kind}", get(list_kind))
        .route("/v1/objects/{kind}/{name}", get(read_object).put(write_object))
        .route("/faults", post(set_faults))
        .route("/counts", get(read_counts))
        .with_state(store)
}

async fn list_kind(
    State(store): State<PlatformStore>,
    Path(kind): Path<String>,
    Query(query): Query<ListQuery>,
) -> Response {
    if let Err(refusal) = store.apply_faults().await {
        return *refusal;
    }
    if let Some(after) = query.after {
        store.lock().counts.watches += 1;
        store.wait_for_change(&kind, after, Duration::from_millis(query.wait_ms)).await;
    } else {
        store.lock().counts.reads += 1;
    }
    if store.lock().faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(store.list(&kind)).into_response()
}

async fn read_object(
    State(store): State<PlatformStore>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    if let Err(refusal) = store.apply_faults().await {
        return *refusal;
    }
    store.lock().counts.reads += 1;
    match store.get(&kind, &name) {
        Some(object) => Json(object).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_object(
    State(store): State<PlatformStore>,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<WriteQuery>,
    Json(value): Json<Value>,
) -> Response {
    if let Err(refusal) = store.apply_faults().await {
        return *refusal;
    }
    store.lock().counts.writes += 1;
    if value.to_string().len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    match store.put(&kind, &name, query.if_version, value) {
        PutOutcome::Conflict => StatusCode::CONFLICT.into_response(),
        PutOutcome::Written(_) if store.loses_response() => {
            StatusCode::GATEWAY_TIMEOUT.into_response()
        }
        PutOutcome::Written(version) => {
            Json(serde_json::json!({ "version": version })).into_response()
        }
    }
}

async fn set_faults(
    State(store): State<PlatformStore>,
    Json(faults): Json<PlatformFaults>,
) -> StatusCode {
    store.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn read_counts(State(store): State<PlatformStore>) -> Json<PlatformCounts> {
    Json(store.counts())
}
