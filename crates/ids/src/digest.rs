//! The digest that ends every stream, so that a short answer is never taken for a whole one.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::NumberError;

/// 64-bit digest of a whole answer's bytes; guards against loss, not against forgery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest(u64);

impl ContentDigest {
    /// Digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(bytes))
    }

    /// Wraps a digest received from elsewhere.
    pub const fn new(digest: u64) -> Self {
        Self(digest)
    }

    /// The bare number.
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

/// Digests an answer chunk by chunk.
#[derive(Default)]
pub struct DigestWriter {
    hash: Xxh3Default,
    len: u64,
}

impl DigestWriter {
    /// Takes the next chunk.
    pub fn update(&mut self, chunk: &[u8]) {
        self.hash.update(chunk);
        self.len += chunk.len() as u64;
    }

    /// Bytes taken so far.
    pub const fn len(&self) -> u64 {
        self.len
    }

    /// Whether nothing has been taken.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Digest of all chunks taken so far.
    pub fn digest(&self) -> ContentDigest {
        ContentDigest(self.hash.digest())
    }
}

impl fmt::Debug for DigestWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DigestWriter").field("len", &self.len).finish_non_exhaustive()
    }
}
