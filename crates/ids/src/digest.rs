//! Digests of streamed content, which detect incomplete responses.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::NumberError;

/// 64-bit digest of the bytes of a complete response. Detects loss; not cryptographically secure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest(u64);

impl ContentDigest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(bytes))
    }

    /// Wraps a received digest.
    pub const fn new(digest: u64) -> Self {
        Self(digest)
    }

    /// Returns the digest as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ContentDigest {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_parse| NumberError::digest(text))
    }
}

/// Computes the digest of content that arrives in chunks.
#[derive(Default)]
pub struct DigestWriter {
    hash: Xxh3Default,
    len: u64,
}

impl DigestWriter {
    /// Adds the next chunk.
    pub fn update(&mut self, chunk: &[u8]) {
        self.hash.update(chunk);
        self.len += chunk.len() as u64;
    }

    /// Returns the total length of all chunks so far, in bytes.
    pub const fn len(&self) -> u64 {
        self.len
    }

    /// Returns whether the total length is zero.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the digest of all chunks so far.
    pub fn digest(&self) -> ContentDigest {
        ContentDigest(self.hash.digest())
    }
}

impl fmt::Debug for DigestWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DigestWriter").field("len", &self.len).finish_non_exhaustive()
    }
}
