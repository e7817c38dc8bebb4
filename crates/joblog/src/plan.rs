//! What the platform's store holds of a shard.

use std::fmt;
use std::str::FromStr;

use ids::{BoxId, DomainId, FencingToken};
use serde::{Deserialize, Serialize};

/// Why an epoch's name was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not an epoch: write TOKEN.NUMBER.BOX, the number in hexadecimal")]
pub struct EpochError(String);

/// Names one epoch of a shard's log. The token orders epochs; the chance number and the box
/// tell apart two candidates for the same token.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct EpochId {
    /// Higher in every later plan.
    pub token: FencingToken,
    /// Drawn by the box that proposed the epoch.
    pub number: u64,
    /// That box.
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
        let fault = || EpochError(text.chars().take(96).collect());
        let mut parts = text.splitn(3, '.');
        let token = parts.next().and_then(|part| part.parse().ok()).ok_or_else(fault)?;
        let number = parts.next().and_then(|part| u64::from_str_radix(part, 16).ok());
        let by = parts.next().and_then(|part| part.parse().ok()).ok_or_else(fault)?;
        Ok(Self { token, number: number.ok_or_else(fault)?, by })
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
    /// The box.
    pub box_id: BoxId,
    /// Where other boxes reach it.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainId,
}

/// Who serves a shard, and where the copies of its log lie.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardPlan {
    /// The epoch in force.
    pub epoch: EpochId,
    /// All copies; the first is that of the box that serves the shard.
    pub copies: Vec<StorageBox>,
}

impl ShardPlan {
    /// The box that serves the shard.
    pub fn server(&self) -> Option<&StorageBox> {
        self.copies.first()
    }

    /// Place of a box among the copies.
    pub fn rank(&self, box_id: &BoxId) -> Option<usize> {
        self.copies.iter().position(|copy| copy.box_id == *box_id)
    }
}
