//! The platform's object API: versioned objects, conditional updates and watches.
//!
//! [`ObjectStore`] is the boundary; [`HttpStore`] speaks to the platform. Errors say whether a
//! write surely did not take effect, so that callers know when to read back.

mod http;
mod store;

pub use http::HttpStore;
pub use store::{ListedObjects, ObjectKey, ObjectKind, ObjectStore, StoreError, StoredObject};
