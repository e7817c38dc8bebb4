//! The platform's object API: versioned objects, conditional updates and watches.
//!
//! [`ObjectStore`] is the interface and [`HttpStore`] its HTTP client. Errors say whether a write
//! definitely did not take effect; otherwise the caller must read the object again.

mod http;
mod store;

pub use http::HttpStore;
pub use store::{ListedObjects, ObjectKey, ObjectKind, ObjectStore, StoreError, StoredObject};
