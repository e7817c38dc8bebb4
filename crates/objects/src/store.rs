//! Interface to the platform's object store.

use std::fmt;
use std::time::Duration;

use ids::ObjectVersion;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Kinds of objects that this service reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// Leases; written by this service.
    Lease,
    /// Configuration; written by this service.
    Config,
    /// Live and leaving boxes; written by the platform.
    Box,
    /// Targets; written by the platform.
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

/// Key of an object.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name within the kind.
    pub name: String,
}

impl ObjectKey {
    /// Creates the key of `name` within `kind`.
    pub fn new(kind: ObjectKind, name: impl Into<String>) -> Self {
        Self { kind, name: name.into() }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object read from the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Name within the kind.
    pub name: String,
    /// Version that a conditional write must state.
    pub version: ObjectVersion,
    /// Value as JSON.
    pub value: Value,
}

/// All objects of a kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ListedObjects {
    /// Increases with every change of any object of the kind.
    pub revision: u64,
    /// Objects of the kind.
    pub objects: Vec<StoredObject>,
}

/// Errors of calls to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The object has changed since it was read.
    #[error("{key} was changed by another writer: read it again")]
    Conflict {
        /// Key of the object.
        key: String,
    },
    /// The platform was unreachable or refused the call; nothing took effect.
    #[error("the platform is unavailable and nothing was written: try again later")]
    Unavailable,
    /// No valid response; a write may have taken effect.
    #[error(
        "the platform did not respond, so the write may have taken effect: read the object again"
    )]
    Unknown,
    /// The value does not have the format that this service writes.
    #[error("{key} cannot be parsed: {fault}; fix or delete the object")]
    BadValue {
        /// Key of the object.
        key: String,
        /// What is wrong with the value.
        fault: String,
    },
}

/// Client interface of the platform's object API.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object. Returns `None` if it does not exist.
    fn read(
        &self,
        key: &ObjectKey,
    ) -> impl Future<Output = Result<Option<StoredObject>, StoreError>> + Send;

    /// Writes an object if its version is still `expect`; zero means that it must not exist.
    /// Returns the new version.
    fn write(
        &self,
        key: &ObjectKey,
        expect: ObjectVersion,
        value: Value,
    ) -> impl Future<Output = Result<ObjectVersion, StoreError>> + Send;

    /// Lists all objects of a kind.
    fn list(
        &self,
        kind: ObjectKind,
    ) -> impl Future<Output = Result<ListedObjects, StoreError>> + Send;

    /// Waits until the revision of a kind exceeds `after`, for at most `wait`, and then lists its
    /// objects.
    fn watch(
        &self,
        kind: ObjectKind,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ListedObjects, StoreError>> + Send;
}
