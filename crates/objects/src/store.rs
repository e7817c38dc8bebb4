//! The boundary to the platform.

use std::fmt;
use std::time::Duration;

use ids::ObjectVersion;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The kinds of object this service reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// Leases; ours.
    Lease,
    /// Configuration; ours.
    Config,
    /// Live and leaving boxes; the platform's.
    Box,
    /// Targets; the platform's.
    Target,
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Lease => "lease",
            Self::Config => "config",
            Self::Box => "box",
            Self::Target => "target",
        })
    }
}

/// Names one object.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ObjectKey {
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name within the kind.
    pub name: String,
}

impl ObjectKey {
    /// The key of `name` within `kind`.
    pub fn new(kind: ObjectKind, name: impl Into<String>) -> Self {
        Self { kind, name: name.into() }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object as read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Its name within its kind.
    pub name: String,
    /// The version that a conditional write must name.
    pub version: ObjectVersion,
    /// Its value.
    pub value: Value,
}

/// All objects of a kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ListedObjects {
    /// Grows with every change of any object of the kind.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<StoredObject>,
}

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The object changed since it was read.
    #[error("{key} was changed by somebody else: read it again")]
    Conflict {
        /// The object.
        key: String,
    },
    /// The platform was not reached, or refused; nothing took effect.
    #[error("the platform is unavailable, nothing was written: try again later")]
    Unavailable,
    /// No answer; a write may have taken effect.
    #[error("the platform did not answer, the write may have taken effect: read it back")]
    Unknown,
    /// The value is not what this service writes.
    #[error("{key} cannot be read: {fault}; mend or delete the object")]
    BadValue {
        /// The object.
        key: String,
        /// What is wrong with it.
        fault: String,
    },
}

/// The platform's object API.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads one object; `None` when it is absent.
    fn read(
        &self,
        key: &ObjectKey,
    ) -> impl Future<Output = Result<Option<StoredObject>, StoreError>> + Send;

    /// Writes one object if its version is still `expect`; zero means it must be absent.
    fn write(
        &self,
        key: &ObjectKey,
        expect: ObjectVersion,
        value: Value,
    ) -> impl Future<Output = Result<ObjectVersion, StoreError>> + Send;

    /// Lists a kind.
    fn list(
        &self,
        kind: ObjectKind,
    ) -> impl Future<Output = Result<ListedObjects, StoreError>> + Send;

    /// Lists a kind once its revision is over `after`, or when `wait` has passed.
    fn watch(
        &self,
        kind: ObjectKind,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ListedObjects, StoreError>> + Send;
}
