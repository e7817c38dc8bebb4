//! The plan of a shard, as held in the platform's store.

use std::fmt;
use std::str::FromStr;

use ids::{BoxId, DomainId, FencingToken};
use serde::{Deserialize, Serialize};

/// Error for text that is not a valid epoch id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not an epoch: expected TOKEN.NUMBER.BOX with NUMBER in hexadecimal")]
pub struct EpochError(String);

/// Identifies one epoch of a shard's log. The token orders epochs; the random number and the box
/// distinguish two candidates for the same token.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct EpochId {
    /// Fencing token, higher in every later plan.
    pub token: FencingToken,
    /// Random number drawn by the box that proposed the epoch.
    pub number: u64,
    /// The box that proposed the epoch.
    pub by: BoxId,
}

impl fmt::Display for EpochId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{}", self.token, self.number, self.by)
    }
}

impl FromStr for EpochId {
    type Err = EpochError;

    fn from_str(text: &str) -> Result<Self, EpochError> {
        let error = || EpochError(text.chars().take(96).collect());
        let mut parts = text.splitn(3, '.');
        let token = parts.next().and_then(|part| part.parse().ok()).ok_or_else(error)?;
        let number = parts.next().and_then(|part| u64::from_str_radix(part, 16).ok());
        let by = parts.next().and_then(|part| part.parse().ok()).ok_or_else(error)?;
        Ok(Self { token, number: number.ok_or_else(error)?, by })
    }
}

impl TryFrom<String> for EpochId {
    type Error = EpochError;

    fn try_from(text: String) -> Result<Self, EpochError> {
        text.parse()
    }
}

impl From<EpochId> for String {
    fn from(epoch: EpochId) -> Self {
        epoch.to_string()
    }
}

/// A box with a copy of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageBox {
    /// Id of the box.
    pub box_id: BoxId,
    /// Address at which other boxes reach it.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainId,
}

/// A segment of a shard's log that accepts no more appends: the file of an earlier epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedSegment {
    /// The epoch that wrote the segment.
    pub epoch: EpochId,
    /// Number of bytes that belong to the log; the rest of the file is ignored.
    pub len: u64,
    /// The boxes that held all of these bytes when the segment was sealed or last copied.
    pub copies: Vec<StorageBox>,
}

/// The server of a shard, and the boxes with copies of its log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardPlan {
    /// The current epoch, which appends to the open segment.
    pub epoch: EpochId,
    /// All boxes with a copy of the open segment; the first one serves the shard.
    pub copies: Vec<StorageBox>,
    /// The earlier segments of the log, oldest first. Plans of releases that kept the log in one
    /// file have none.
    #[serde(default)]
    pub sealed: Vec<SealedSegment>,
}

impl ShardPlan {
    /// Returns the box that serves the shard.
    pub fn server(&self) -> Option<&StorageBox> {
        self.copies.first()
    }

    /// Returns the position of a box among the copies.
    pub fn rank(&self, box_id: &BoxId) -> Option<usize> {
        self.copies.iter().position(|copy| copy.box_id == *box_id)
    }

    /// Returns all boxes with a copy of any segment. A box may appear several times.
    pub fn boxes(&self) -> impl Iterator<Item = &StorageBox> {
        self.copies.iter().chain(self.sealed.iter().flat_map(|segment| &segment.copies))
    }

    /// Returns whether a box has a copy of any segment.
    pub fn names(&self, box_id: &BoxId) -> bool {
        self.boxes().any(|copy| copy.box_id == *box_id)
    }

    /// Returns whether neither this plan nor any later one can name a segment of `epoch`. Later
    /// plans derive from this one by conditional writes: they have this epoch or higher tokens, and
    /// of the earlier segments only those that this plan names.
    pub fn excludes(&self, epoch: &EpochId) -> bool {
        if epoch.token == self.epoch.token {
            return *epoch != self.epoch;
        }
        epoch.token < self.epoch.token && self.sealed.iter().all(|sealed| sealed.epoch != *epoch)
    }

    /// Returns the epochs of all segments, oldest first.
    pub fn segments(&self) -> Vec<EpochId> {
        let sealed = self.sealed.iter().map(|sealed| &sealed.epoch);
        sealed.chain([&self.epoch]).cloned().collect()
    }
}
