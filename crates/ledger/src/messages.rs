//! What goes into a step's ledger and comes out of it.

use std::fmt;
use std::sync::Arc;

use ids::{FencingToken, SlotIndex, StepNumber, TokenCount, VersionWindow};
use serde::{Deserialize, Serialize};

use crate::{Sample, SlotSet, SpecError, StepSpec, VersionNaming};

/// One try at filling a slot; a later try has a larger number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub(crate) u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Work for an engine: fill this slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The slot.
    pub slot: SlotIndex,
    /// This try.
    pub attempt: AttemptId,
    /// Position of the group within the step; siblings share a prompt.
    pub group: u32,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Longest answer allowed, in tokens.
    pub max_tokens: TokenCount,
    /// Versions that may make it.
    pub window: VersionWindow,
}

/// A trainer's pull.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pull {
    /// Slots the trainer holds.
    pub held: SlotSet,
    /// Highest fencing token the trainer has seen.
    pub seen: FencingToken,
    /// Most samples wanted in the answer.
    pub most: usize,
}

/// The answer to a pull.
#[derive(Debug, Clone)]
pub struct PulledBatch {
    /// Samples, lowest slot first.
    pub samples: Vec<Arc<Sample>>,
    /// The step's progress.
    pub progress: Progress,
}

/// Why a step still has slots to deliver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitCause {
    /// Nothing is missing.
    Nothing,
    /// Samples are ready to be pulled.
    ReadyToPull,
    /// Engines are at work on all that is missing.
    Generating,
    /// Some slots have no engine yet.
    WaitingForEngine,
    /// Samples were made by a version that is not named yet.
    AheadOfNamed,
}

impl WaitCause {
    const ALL: [(&'static str, Self); 5] = [
        ("nothing", Self::Nothing),
        ("ready_to_pull", Self::ReadyToPull),
        ("generating", Self::Generating),
        ("waiting_for_engine", Self::WaitingForEngine),
        ("ahead_of_named", Self::AheadOfNamed),
    ];

    /// Its stable short name.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(_, cause)| *cause == self).map_or("nothing", |(name, _)| name)
    }

    /// The cause of a short name; an unknown one, from a newer box, counts as generating.
    pub fn from_name(name: &str) -> Self {
        let known = Self::ALL.iter().find(|(known, _)| *known == name);
        known.map_or(Self::Generating, |(_, cause)| *cause)
    }
}

impl fmt::Display for WaitCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Nothing => "nothing missing",
            Self::ReadyToPull => "samples ready to pull",
            Self::Generating => "engines generating",
            Self::WaitingForEngine => "waiting for an engine",
            Self::AheadOfNamed => "samples newer than the named version",
        })
    }
}

/// Counts of a step's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// All slots.
    pub slots: usize,
    /// Slots the trainer holds.
    pub held: usize,
    /// Samples made and not yet held.
    pub ready: usize,
    /// Slots at an engine.
    pub running: usize,
    /// Slots without an engine.
    pub wanted: usize,
    /// Samples thrown away because they became too old or unusable.
    pub discarded: u64,
    /// Why the trainer waits.
    pub cause: WaitCause,
}

/// What became of a finished attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// Its sample waits for the trainer.
    Kept,
    /// The slot was filled or given to another attempt meanwhile.
    Superseded,
    /// Its sample was too old; the slot is wanted again.
    TooOld,
}

/// Why the ledger refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The step cannot be filled.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The number was used for another body.
    #[error(
        "step {step} is open with another body: open a new step number, or repeat the first body unchanged"
    )]
    OtherBody {
        /// The step.
        step: StepNumber,
    },
    /// A keeper with a higher token is at work.
    #[error(
        "the trainer has seen token {seen}, this keeper holds {mine}: ask any box again, the newer keeper answers"
    )]
    Superseded {
        /// Token of this ledger.
        mine: FencingToken,
        /// Token the trainer has seen.
        seen: FencingToken,
    },
    /// A held slot that the step does not have.
    #[error("slot {slot} is not in step {step}: send the bitmap of this step")]
    NoSuchSlot {
        /// The slot.
        slot: SlotIndex,
        /// The step.
        step: StepNumber,
    },
}

/// What a keeper gives its successor in a planned stop.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StepSnapshot {
    /// The step as opened.
    pub spec: StepSpec,
    /// What was named when it was taken.
    pub naming: VersionNaming,
    /// Slots the trainer holds, as far as the keeper knows.
    pub held: SlotSet,
    /// Samples not yet held.
    pub samples: Vec<Sample>,
    /// Which of them were handed out already.
    pub frozen: SlotSet,
}
