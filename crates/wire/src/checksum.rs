//! Checksum over the items of a response, computed on both sides of a call.

use ids::DigestWriter;
use prost::Message;

use crate::peer::{End, ResponseItem};

/// The received items do not match the end frame of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "the response is incomplete: its end states {stated} items and {got} were received, or their content differs"
)]
pub struct ChecksumMismatch {
    stated: u64,
    got: u64,
}

/// Number, encoded length and digest of the items sent or received so far.
#[derive(Debug, Default)]
pub struct ResponseChecksum {
    items: u64,
    digest: DigestWriter,
}

impl ResponseChecksum {
    /// Adds an item.
    pub fn count(&mut self, item: &ResponseItem) {
        self.items += 1;
        self.digest.update(&item.encode_to_vec());
    }

    /// Returns the end frame for the items added so far.
    pub fn end(&self) -> End {
        End {
            items: self.items,
            length: self.digest.len(),
            digest: self.digest.digest().get(),
            ..End::default()
        }
    }

    /// Checks a received end frame against the items added so far.
    pub fn check(&self, end: &End) -> Result<(), ChecksumMismatch> {
        let actual = self.end();
        let equal =
            (actual.items, actual.length, actual.digest) == (end.items, end.length, end.digest);
        if equal { Ok(()) } else { Err(ChecksumMismatch { stated: end.items, got: self.items }) }
    }
}
