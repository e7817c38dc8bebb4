//! Which requests a connection must not carry again.
//!
//! A target may answer a request twice, the second time where the response to the next request is
//! due. The id of that answer tells it apart from the response that is due, unless the next request
//! has the same id. So a connection does not carry the request that was answered last, nor any that
//! was refused on it: sent again, that one would seem to be refused while the target runs it.

use std::hash::{DefaultHasher, Hash, Hasher};

use http::HeaderValue;

/// Number of refusals after which a connection is closed. Bounds what is remembered of it; opening
/// another connection after so many requests costs little.
const MAX_REFUSALS: usize = 32;

/// Identifies a request on a connection: a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestTag(u64);

impl RequestTag {
    /// Returns the tag of a request id.
    pub(crate) fn of(id: &HeaderValue) -> Self {
        let mut hasher = DefaultHasher::new();
        id.as_bytes().hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Requests that were answered on one connection.
#[derive(Debug, Default)]
pub(crate) struct AnsweredTags {
    last: Option<RequestTag>,
    refused: Vec<RequestTag>,
}

impl AnsweredTags {
    /// Whether a late answer on the connection may be taken for the response to the request.
    /// Another request with the same hash only uses another connection.
    pub(crate) fn contains(&self, tag: Option<RequestTag>) -> bool {
        tag.is_some_and(|tag| self.last == Some(tag) || self.refused.contains(&tag))
    }

    /// Records a successful response.
    pub(crate) fn record_success(&mut self, tag: Option<RequestTag>) {
        self.last = tag;
    }

    /// Records a refusal. Returns whether the connection may be used again.
    pub(crate) fn record_refusal(&mut self, tag: Option<RequestTag>) -> bool {
        self.last = tag;
        self.refused.extend(tag);
        tag.is_some() && self.refused.len() < MAX_REFUSALS
    }
}
