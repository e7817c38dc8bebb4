//! Tells requests on one connection apart.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of refusals after which a connection is closed. Bounds what is remembered of it; opening
/// another connection after so many requests costs little.
const MAX_REFUSALS: usize = 32;

/// Identifies a request on a connection: a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestTag(u64);

impl RequestTag {
    /// Returns the tag of a request id; without ids, all requests have the same tag.
    pub(crate) fn of(id: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Requests that were refused on one connection.
#[derive(Debug, Default)]
pub(crate) struct RefusedTags(Vec<RequestTag>);

impl RefusedTags {
    /// Whether the request was refused on the connection. Another request with the same hash only
    /// uses another connection.
    pub(crate) fn contains(&self, tag: RequestTag) -> bool {
        self.0.contains(&tag)
    }

    /// Records a refusal. Returns whether the connection may be used again.
    pub(crate) fn record(&mut self, tag: RequestTag) -> bool {
        self.0.push(tag);
        self.0.len() < MAX_REFUSALS
    }
}
