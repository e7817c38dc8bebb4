//! Count, length and digest of an answer's items, on both ends of a call.

use ids::DigestWriter;
use prost::Message;

use crate::peer::{End, ResponseItem};

/// Why an answer is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "the answer's end states {stated} items and {came} came, or their content differs: the answer is refused"
)]
pub struct ChecksumMismatch {
    stated: u64,
    came: u64,
}

/// What has been sent or received of an answer so far.
#[derive(Debug, Default)]
pub struct ResponseChecksum {
    items: u64,
    digest: DigestWriter,
}

impl ResponseChecksum {
    /// Counts an item.
    pub fn count(&mut self, item: &ResponseItem) {
        self.items += 1;
        self.digest.update(&item.encode_to_vec());
    }

    /// The end that closes an answer of these items.
    pub fn end(&self) -> End {
        End {
            items: self.items,
            length: self.digest.len(),
            digest: self.digest.digest().get(),
            ..End::default()
        }
    }

    /// Checks a received end against the received items.
    pub fn check(&self, end: &End) -> Result<(), ChecksumMismatch> {
        let mine = self.end();
        let whole = (mine.items, mine.length, mine.digest) == (end.items, end.length, end.digest);
        if whole { Ok(()) } else { Err(ChecksumMismatch { stated: end.items, came: self.items }) }
    }
}
