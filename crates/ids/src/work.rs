//! Digests that identify repeated work.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::NumberError;

/// 128-bit digest of the content of a request. Identifies retries of the same work, which have
/// different request IDs. Not cryptographically secure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct WorkDigest(u128);

impl WorkDigest {
    /// Computes the digest of `parts`. It covers the length of each part, so that different splits
    /// of the same bytes have different digests.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Xxh3Default::new();
        for part in parts {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128())
    }
}

impl fmt::Display for WorkDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for WorkDigest {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        u128::from_str_radix(text, 16).map(Self).map_err(|_parse| NumberError::digest(text))
    }
}

impl TryFrom<String> for WorkDigest {
    type Error = NumberError;

    fn try_from(text: String) -> Result<Self, NumberError> {
        text.parse()
    }
}

impl From<WorkDigest> for String {
    fn from(digest: WorkDigest) -> Self {
        digest.to_string()
    }
}
