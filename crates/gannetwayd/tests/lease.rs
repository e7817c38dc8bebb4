//! Lease reads from a store whose object is not a lease record.

use std::time::Duration;

use coord::lease::{LeaseAction, ReadOutcome};
use gannetwayd::lease::{LeaseResponse, run_lease_action};
use ids::ObjectVersion;
use objects::{ListedObjects, ObjectKey, ObjectKind, ObjectStore, StoreError, StoredObject};
use serde_json::{Value, json};

/// A store whose reads all give one result.
#[derive(Clone)]
struct FixedStore(Result<Option<StoredObject>, StoreError>);

impl ObjectStore for FixedStore {
    async fn read(&self, _: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        self.0.clone()
    }

    async fn write(
        &self,
        _: &ObjectKey,
        _: ObjectVersion,
        _: Value,
    ) -> Result<ObjectVersion, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn list(&self, _: ObjectKind) -> Result<ListedObjects, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn watch(&self, _: ObjectKind, _: u64, _: Duration) -> Result<ListedObjects, StoreError> {
        Err(StoreError::Unavailable)
    }
}

async fn read(result: Result<Option<StoredObject>, StoreError>) -> ReadOutcome {
    let key = ObjectKey::new(ObjectKind::Lease, "a");
    match run_lease_action(&FixedStore(result), &key, LeaseAction::Read).await {
        LeaseResponse::Read(outcome) => outcome,
        LeaseResponse::Written(outcome) => panic!("a read gave {outcome:?}"),
    }
}

/// Guards against treating the platform as unavailable because a record is broken: boxes then act
/// without a lease.
#[tokio::test]
async fn broken_record_is_a_response() {
    let value = json!({"holder": 7});
    let object = StoredObject { name: "a".to_owned(), version: ObjectVersion::new(1), value };
    assert_eq!(read(Ok(Some(object))).await, ReadOutcome::Unreadable);
    let bad = StoreError::BadValue { key: "lease/a".to_owned(), fault: "no version".to_owned() };
    assert_eq!(read(Err(bad)).await, ReadOutcome::Unreadable);
}

#[tokio::test]
async fn failed_read_is_no_response() {
    assert_eq!(read(Err(StoreError::Unknown)).await, ReadOutcome::NoAnswer);
    assert_eq!(read(Err(StoreError::Unavailable)).await, ReadOutcome::NoAnswer);
    assert_eq!(read(Ok(None)).await, ReadOutcome::Absent);
}
