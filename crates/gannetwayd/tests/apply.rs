//! Accepted means confirmed: lost answers, races and outages of the platform.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use api::ErrorKind;
use gannetwayd::apply::apply_pool;
use ids::{Generation, ModelVersion, ObjectVersion};
use objects::{ListedObjects, ObjectKey, ObjectKind, ObjectStore, StoreError, StoredObject};
use pools::{FleetConfig, PoolSpec, parse_pool};
use serde_json::Value;
use standins::platform::{PlatformStore, PutOutcome};

/// The platform with a script of what happens to the next writes.
#[derive(Debug, Clone, Default)]
struct ScriptedStore {
    store: PlatformStore,
    script: Arc<Mutex<Vec<Mishap>>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mishap {
    /// The write takes effect and its answer is lost.
    LostAnswer,
    /// The write is lost on its way.
    LostWrite,
    /// The platform refuses.
    Down,
}

impl ScriptedStore {
    fn with(script: &[Mishap]) -> Self {
        let store = Self::default();
        store.script.lock().expect("no panic").extend(script.iter().rev());
        store
    }

    fn config(&self) -> FleetConfig {
        let object = self.store.get("config", "fleet").expect("it was written");
        serde_json::from_value(object.value).expect("a configuration")
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
        let mishap = self.script.lock().expect("no panic").pop();
        match mishap {
            Some(Mishap::Down) => return Err(StoreError::Unavailable),
            Some(Mishap::LostWrite) => return Err(StoreError::Unknown),
            Some(Mishap::LostAnswer) | None => {}
        }
        let put = self.store.put(&key.kind.to_string(), &key.name, expect.get(), value);
        match put {
            PutOutcome::Written(_) if mishap.is_some() => Err(StoreError::Unknown),
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
    parse_pool(&text).expect("a good pool")
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_read_back_and_counts_once() {
    let store = ScriptedStore::with(&[Mishap::LostAnswer]);
    let applied = apply_pool(&store, pool(2), None, "w1").await.expect("accepted");
    assert_eq!(applied.config.generation, Generation::new(1));
    assert_eq!(store.config().generation, Generation::new(1));
}

#[tokio::test(start_paused = true)]
async fn a_lost_write_is_written_again() {
    let store = ScriptedStore::with(&[Mishap::LostWrite, Mishap::Down, Mishap::LostAnswer]);
    apply_pool(&store, pool(2), None, "w1").await.expect("accepted");
    assert_eq!(store.config().generation, Generation::new(1));
}

#[tokio::test(start_paused = true)]
async fn a_repeat_under_the_same_id_changes_nothing() {
    let store = ScriptedStore::default();
    apply_pool(&store, pool(2), None, "w1").await.expect("accepted");
    apply_pool(&store, pool(2), None, "w1").await.expect("accepted");
    assert_eq!(store.config().generation, Generation::new(1));
}

#[tokio::test(start_paused = true)]
async fn of_two_racing_operators_one_is_told_of_the_other() {
    let store = ScriptedStore::default();
    apply_pool(&store, pool(1), None, "w0").await.expect("accepted");
    let seen = Some(Generation::new(1));
    let (first, second) = tokio::join!(
        apply_pool(&store, pool(2), seen, "w1"),
        apply_pool(&store, pool(3), seen, "w2")
    );
    let (won, lost) = if first.is_ok() { (first, second) } else { (second, first) };
    let generation = won.expect("one wins").config.generation;
    let error = lost.expect_err("the other loses");
    assert_eq!((generation, error.kind), (Generation::new(2), ErrorKind::Conflict));
    let winner = &store.config().pools.values().next().expect("one pool").write_id.clone();
    assert!(error.message.contains(winner.as_str()), "{error}");
}

#[tokio::test(start_paused = true)]
async fn changes_of_different_pools_both_count() {
    let store = ScriptedStore::default();
    let mut other = pool(7);
    other.name = "suggest".parse().expect("an id");
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
async fn an_outage_is_said_to_have_written_nothing() {
    let store = ScriptedStore::with(&[Mishap::Down; 20]);
    let error = apply_pool(&store, pool(2), None, "w1").await.expect_err("down");
    assert_eq!(error.kind, ErrorKind::NotRun);
    let store = ScriptedStore::with(&[Mishap::LostWrite; 20]);
    let error = apply_pool(&store, pool(2), None, "w1").await.expect_err("lost");
    assert_eq!(error.kind, ErrorKind::Unknown);
}
