//! Carries out what a lease's claim wants of the platform.

use coord::lease::{LeaseAction, LeaseRecord, ReadOutcome, VersionedLease, WriteOutcome};
use ids::ObjectVersion;
use objects::{ObjectKey, ObjectStore, StoreError, StoredObject};

/// What came of a lease action.
#[derive(Debug)]
pub enum LeaseAnswer {
    /// Of a read.
    Read(ReadOutcome),
    /// Of a write.
    Written(WriteOutcome),
}

/// Reads or writes a lease's object.
pub async fn call_store(
    store: &impl ObjectStore,
    key: &ObjectKey,
    action: LeaseAction,
) -> LeaseAnswer {
    match action {
        LeaseAction::Read => LeaseAnswer::Read(read_outcome(store.read(key).await)),
        LeaseAction::Write { expect, record } => {
            let value = serde_json::to_value(record).unwrap_or_default();
            LeaseAnswer::Written(write_outcome(&store.write(key, expect, value).await))
        }
    }
}

/// A lease as read; a value that is no lease counts as no answer, so nothing is overwritten.
fn read_outcome(read: Result<Option<StoredObject>, StoreError>) -> ReadOutcome {
    let object = match read {
        Ok(Some(object)) => object,
        Ok(None) => return ReadOutcome::Absent,
        Err(_) => return ReadOutcome::NoAnswer,
    };
    match serde_json::from_value::<LeaseRecord>(object.value) {
        Ok(record) => ReadOutcome::Found(VersionedLease { version: object.version, record }),
        Err(error) => {
            log::error!(target: "lease", name:% = object.name, error:% = error; "lease cannot be read");
            ReadOutcome::NoAnswer
        }
    }
}

/// How a conditional write ended, for the lease.
fn write_outcome(written: &Result<ObjectVersion, StoreError>) -> WriteOutcome {
    match written {
        Ok(version) => WriteOutcome::Applied(*version),
        Err(StoreError::Conflict { .. }) => WriteOutcome::Conflict,
        Err(StoreError::Unavailable) => WriteOutcome::NotApplied,
        Err(StoreError::Unknown | StoreError::BadValue { .. }) => WriteOutcome::Unknown,
    }
}
