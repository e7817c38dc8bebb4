//! A configuration change is accepted only when its write is confirmed. Covers lost responses,
//! concurrent changes and platform outages.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use api::ErrorKind;
use gannetwayd::apply::apply_pool;
use ids::{Generation, ModelVersion, ObjectVersion};
use objects::{ListedObjects, ObjectKey, ObjectKind, ObjectStore, StoreError, StoredObject};
use pools::{FleetConfig, PoolSpec, parse_pool};
use serde_json::Value;
use standins::platform::{PlatformStore, PutOutcome};

/// A platform store that injects scripted faults into the next writes.
#[derive(Debug, Clone, Default)]
struct ScriptedStore {
    store: PlatformStore,
    script: Arc<Mutex<Vec<WriteFault>>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteFault {
    /// The write takes effect, but its response is lost.
    LostResponse,
    /// The write request is lost.
    LostWrite,
    /// The platform refuses the write.
    Down,
}

impl ScriptedStore {
    fn with(script: &[WriteFault]) -> Self {
        let store = Self::default();
        store.script.lock().expect("the script lock is not poisoned").extend(script.iter().rev());
        store
    }

    fn config(&self) -> FleetConfig {
        let object = self.store.get("config", "fleet").expect("the configuration was written");
        serde_json::from_value(object.value).expect("a valid configuration")
    }
}

impl ObjectStore for ScriptedStore {
    async fn read(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        Ok(self.store.get(&key.kind.to_string(), &key.name))
    }

    async fn write(
        &self,
        key: &ObjectKey,
        expect: ObjectVersion,
        value: Value,
    ) -> Result<ObjectVersion, StoreError> {
        let fault = self.script.lock().expect("the script lock is not poisoned").pop();
        match fault {
            Some(WriteFault::Down) => return Err(StoreError::Unavailable),
            Some(WriteFault::LostWrite) => return Err(StoreError::Unknown),
            Some(WriteFault::LostResponse) | None => {}
        }
        let put = self.store.put(&key.kind.to_string(), &key.name, expect.get(), value);
        match put {
            PutOutcome::Written(_) if fault.is_some() => Err(StoreError::Unknown),
            PutOutcome::Written(version) => Ok(version),
            PutOutcome::Conflict => Err(StoreError::Conflict { key: key.to_string() }),
        }
    }

    async fn list(&self, kind: ObjectKind) -> Result<ListedObjects, StoreError> {
        Ok(self.store.list(&kind.to_string()))
    }

    async fn watch(
        &self,
        kind: ObjectKind,
        _: u64,
        _: Duration,
    ) -> Result<ListedObjects, StoreError> {
        self.list(kind).await
    }
}

fn pool(version: u64) -> PoolSpec {
    let text = format!(
        "name = 'layout'\nversion = {version}\ntrainers = ['press-1']\nengines = ['engine-1']\n"
    );
    parse_pool(&text).expect("a valid pool")
}

#[tokio::test(start_paused = true)]
async fn change_with_lost_response_is_applied_once() {
    let store = ScriptedStore::with(&[WriteFault::LostResponse]);
    let applied = apply_pool(&store, pool(2), None, "w1").await.expect("the change is accepted");
    assert_eq!(applied.config.generation, Generation::new(1));
    assert_eq!(store.config().generation, Generation::new(1));
}

#[tokio::test(start_paused = true)]
async fn lost_write_is_retried() {
    let store =
        ScriptedStore::with(&[WriteFault::LostWrite, WriteFault::Down, WriteFault::LostResponse]);
    apply_pool(&store, pool(2), None, "w1").await.expect("the change is accepted");
    assert_eq!(store.config().generation, Generation::new(1));
}

#[tokio::test(start_paused = true)]
async fn repeated_write_id_changes_nothing() {
    let store = ScriptedStore::default();
    apply_pool(&store, pool(2), None, "w1").await.expect("the change is accepted");
    apply_pool(&store, pool(2), None, "w1").await.expect("the change is accepted");
    assert_eq!(store.config().generation, Generation::new(1));
}

#[tokio::test(start_paused = true)]
async fn concurrent_change_of_the_same_pool_is_a_conflict() {
    let store = ScriptedStore::default();
    apply_pool(&store, pool(1), None, "w0").await.expect("the change is accepted");
    let seen = Some(Generation::new(1));
    let (first, second) = tokio::join!(
        apply_pool(&store, pool(2), seen, "w1"),
        apply_pool(&store, pool(3), seen, "w2")
    );
    let (accepted, rejected) = if first.is_ok() { (first, second) } else { (second, first) };
    let generation = accepted.expect("one change is accepted").config.generation;
    let error = rejected.expect_err("the other change is a conflict");
    assert_eq!((generation, error.kind), (Generation::new(2), ErrorKind::Conflict));
    let winner = &store
        .config()
        .pools
        .values()
        .next()
        .expect("the configuration has one pool")
        .write_id
        .clone();
    assert!(error.message.contains(winner.as_str()), "{error}");
}

#[tokio::test(start_paused = true)]
async fn concurrent_changes_of_different_pools_are_both_applied() {
    let store = ScriptedStore::default();
    let mut other = pool(7);
    other.name = "suggest".parse().expect("a valid pool name");
    let (first, second) = tokio::join!(
        apply_pool(&store, pool(2), None, "w1"),
        apply_pool(&store, other, None, "w2")
    );
    assert!(first.is_ok() && second.is_ok());
    let config = store.config();
    assert_eq!((config.generation, config.pools.len()), (Generation::new(2), 2));
    assert_eq!(
        config.pools.values().map(|entry| entry.spec.version).max(),
        Some(ModelVersion::new(7))
    );
}

#[tokio::test(start_paused = true)]
async fn outage_is_reported_as_not_run_and_lost_writes_as_unknown() {
    let store = ScriptedStore::with(&[WriteFault::Down; 20]);
    let error =
        apply_pool(&store, pool(2), None, "w1").await.expect_err("the platform refuses all writes");
    assert_eq!(error.kind, ErrorKind::NotRun);
    let store = ScriptedStore::with(&[WriteFault::LostWrite; 20]);
    let error = apply_pool(&store, pool(2), None, "w1").await.expect_err("all writes are lost");
    assert_eq!(error.kind, ErrorKind::Unknown);
}
