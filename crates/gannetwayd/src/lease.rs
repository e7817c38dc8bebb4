//! Executes lease actions against the platform's object store.

use coord::lease::{LeaseAction, LeaseRecord, ReadOutcome, VersionedLease, WriteOutcome};
use ids::ObjectVersion;
use objects::{ObjectKey, ObjectStore, StoreError, StoredObject};

/// Result of a lease action.
#[derive(Debug)]
pub enum LeaseResponse {
    /// Result of a read.
    Read(ReadOutcome),
    /// Result of a conditional write.
    Written(WriteOutcome),
}

/// Reads or conditionally writes the object of a lease.
pub async fn run_lease_action(
    store: &impl ObjectStore,
    key: &ObjectKey,
    action: LeaseAction,
) -> LeaseResponse {
    match action {
        LeaseAction::Read => LeaseResponse::Read(read_outcome(store.read(key).await)),
        LeaseAction::Write { expect, record } => {
            let value = serde_json::to_value(record).unwrap_or_default();
            LeaseResponse::Written(write_outcome(&store.write(key, expect, value).await))
        }
    }
}

/// Converts a read result.
fn read_outcome(read: Result<Option<StoredObject>, StoreError>) -> ReadOutcome {
    let object = match read {
        Ok(Some(object)) => object,
        Ok(None) => return ReadOutcome::Absent,
        Err(error @ StoreError::BadValue { .. }) => {
            log::error!(target: "lease", error:% = error; "lease object cannot be parsed");
            return ReadOutcome::Unreadable;
        }
        Err(_) => return ReadOutcome::NoAnswer,
    };
    match serde_json::from_value::<LeaseRecord>(object.value) {
        Ok(record) => ReadOutcome::Found(VersionedLease { version: object.version, record }),
        Err(error) => {
            log::error!(target: "lease", name:% = object.name, error:% = error; "lease record cannot be parsed");
            ReadOutcome::Unreadable
        }
    }
}

/// Converts the result of a conditional write.
fn write_outcome(written: &Result<ObjectVersion, StoreError>) -> WriteOutcome {
    match written {
        Ok(version) => WriteOutcome::Applied(*version),
        Err(StoreError::Conflict { .. }) => WriteOutcome::Conflict,
        Err(StoreError::Unavailable) => WriteOutcome::NotApplied,
        Err(StoreError::Unknown | StoreError::BadValue { .. }) => WriteOutcome::Unknown,
    }
}
