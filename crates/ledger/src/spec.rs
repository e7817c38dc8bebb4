//! What a trainer asks for in one step.

use std::sync::Arc;

use ids::{ContentDigest, DigestWriter, ModelVersion, SlotIndex, StepNumber, TokenCount};
use serde::{Deserialize, Serialize};

/// Most slots in one step; four times the two-year size, and still a 4 KiB bitmap.
const MAX_SLOTS: usize = 32_768;
/// Longest prompt, in bytes.
const MAX_PROMPT: usize = 65_536;

/// Samples wanted of one prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// The prompt, shared by the group.
    pub prompt: Arc<str>,
    /// Samples in the group.
    pub samples: u16,
    /// Longest answer allowed, in tokens.
    pub max_tokens: TokenCount,
}

/// One step as opened by its trainer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The step's number.
    pub step: StepNumber,
    /// The weight version the trainer names at the start.
    pub version: ModelVersion,
    /// The groups; slots are numbered through them in order.
    pub groups: Vec<GroupSpec>,
}

/// Why a step was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// Nothing asked for.
    #[error("the step asks for no samples: give at least one group with at least one sample")]
    Empty,
    /// Too many slots.
    #[error("the step asks for {asked} samples, more than {MAX_SLOTS}: split it into steps")]
    TooLarge {
        /// Samples asked for.
        asked: usize,
    },
    /// A group no engine could answer.
    #[error("group {group}: {fault}")]
    BadGroup {
        /// Position of the group.
        group: usize,
        /// What is wrong and how to mend it.
        fault: &'static str,
    },
}

impl StepSpec {
    /// Number of slots.
    pub fn slots(&self) -> usize {
        self.groups.iter().map(|group| usize::from(group.samples)).sum()
    }

    /// Refuses a step that could never be filled.
    pub fn check(&self) -> Result<(), SpecError> {
        let asked = self.slots();
        if asked == 0 {
            return Err(SpecError::Empty);
        }
        if asked > MAX_SLOTS {
            return Err(SpecError::TooLarge { asked });
        }
        for (group, spec) in self.groups.iter().enumerate() {
            spec.check().map_err(|fault| SpecError::BadGroup { group, fault })?;
        }
        Ok(())
    }

    /// Digest of the whole body; tells a repeated open from a conflicting one.
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

    /// The group of each slot, in slot order.
    pub(crate) fn group_of_slots(&self) -> Vec<u32> {
        let mut groups = Vec::with_capacity(self.slots());
        for (index, group) in self.groups.iter().enumerate() {
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            groups.extend(std::iter::repeat_n(index, usize::from(group.samples)));
        }
        groups
    }

    /// All slot indexes.
    pub fn slot_indexes(&self) -> impl Iterator<Item = SlotIndex> {
        (0..u32::try_from(self.slots()).unwrap_or(u32::MAX)).map(SlotIndex::new)
    }
}

impl GroupSpec {
    fn check(&self) -> Result<(), &'static str> {
        if self.samples == 0 {
            return Err("`samples` is 0: ask for at least one");
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
