//! Specification of a step, as sent by its trainer.

use std::sync::Arc;

use ids::{ContentDigest, DigestWriter, ModelVersion, SlotIndex, StepNumber, TokenCount};
use serde::{Deserialize, Serialize};

/// Maximum number of slots in one step. Four times the two-year size; the bitmap of slots is 4 KiB.
const MAX_SLOTS: usize = 32_768;
/// Maximum length of a prompt, in bytes.
const MAX_PROMPT: usize = 65_536;

/// Samples requested for one prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// The prompt, shared by the group.
    pub prompt: Arc<str>,
    /// Number of samples in the group.
    pub samples: u16,
    /// Maximum length of a generated text, in tokens.
    pub max_tokens: TokenCount,
}

/// One step as opened by its trainer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The step's number.
    pub step: StepNumber,
    /// Weight version that the trainer names when it opens the step.
    pub version: ModelVersion,
    /// The groups; slots are numbered consecutively across them.
    pub groups: Vec<GroupSpec>,
}

/// Why a step specification is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The step requests no samples.
    #[error("the step requests no samples: add at least one group with at least one sample")]
    Empty,
    /// The step requests too many samples.
    #[error(
        "the step requests {requested} samples, more than {MAX_SLOTS}: split it into several steps"
    )]
    TooLarge {
        /// Number of samples requested.
        requested: usize,
    },
    /// A group is invalid.
    #[error("group {group}: {fault}")]
    BadGroup {
        /// Index of the group.
        group: usize,
        /// What is wrong and how to fix it.
        fault: &'static str,
    },
}

impl StepSpec {
    /// Returns the number of slots.
    pub fn slots(&self) -> usize {
        self.groups.iter().map(|group| usize::from(group.samples)).sum()
    }

    /// Returns an error if the step is empty, too large, or has an invalid group.
    pub fn check(&self) -> Result<(), SpecError> {
        let requested = self.slots();
        if requested == 0 {
            return Err(SpecError::Empty);
        }
        if requested > MAX_SLOTS {
            return Err(SpecError::TooLarge { requested });
        }
        for (group, spec) in self.groups.iter().enumerate() {
            spec.check().map_err(|fault| SpecError::BadGroup { group, fault })?;
        }
        Ok(())
    }

    /// Returns the digest of the full body, to tell a repeated open from a conflicting one.
    pub fn digest(&self) -> ContentDigest {
        let mut writer = DigestWriter::default();
        writer.update(&self.step.get().to_le_bytes());
        writer.update(&self.version.get().to_le_bytes());
        for group in &self.groups {
            writer.update(&group.samples.to_le_bytes());
            writer.update(&group.max_tokens.get().to_le_bytes());
            writer.update(&(group.prompt.len() as u64).to_le_bytes());
            writer.update(group.prompt.as_bytes());
        }
        writer.digest()
    }

    /// Returns the group index of each slot, in slot order.
    pub(crate) fn group_of_slots(&self) -> Vec<u32> {
        let mut groups = Vec::with_capacity(self.slots());
        for (index, group) in self.groups.iter().enumerate() {
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            groups.extend(std::iter::repeat_n(index, usize::from(group.samples)));
        }
        groups
    }

    /// Iterates over all slots.
    pub fn slot_indexes(&self) -> impl Iterator<Item = SlotIndex> {
        (0..u32::try_from(self.slots()).unwrap_or(u32::MAX)).map(SlotIndex::new)
    }
}

impl GroupSpec {
    fn check(&self) -> Result<(), &'static str> {
        if self.samples == 0 {
            return Err("`samples` is 0: request at least one");
        }
        if self.max_tokens.get() == 0 {
            return Err("`max_tokens` is 0: allow at least one token");
        }
        if self.prompt.len() > MAX_PROMPT {
            return Err("the prompt is longer than 65536 bytes: shorten it");
        }
        Ok(())
    }
}
