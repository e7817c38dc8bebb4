//! Messages with which trainers open, pull, advance and close steps.

use ids::{FencingToken, ModelVersion, StepNumber};
use ledger::{GroupSpec, PoolRule, Progress, Sample, SlotSet, StepSpec};
use serde::{Deserialize, Serialize};

/// Request to open a step, or to open it again at a new keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenBody {
    /// Weight version that the trainer names.
    pub version: ModelVersion,
    /// Groups of samples to generate.
    pub groups: Vec<GroupSpec>,
    /// Slots whose samples the trainer already has.
    #[serde(default)]
    pub held: SlotSet,
    /// Highest fencing token that the trainer has seen.
    #[serde(default)]
    pub seen: FencingToken,
}

impl OpenBody {
    /// Returns the specification of the step with number `step`.
    pub fn spec(&self, step: StepNumber) -> StepSpec {
        StepSpec { step, version: self.version, groups: self.groups.clone() }
    }
}

/// Request for finished samples.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PullBody {
    /// Slots whose samples the trainer has.
    pub held: SlotSet,
    /// Highest fencing token that the trainer has seen.
    pub seen: FencingToken,
    /// Maximum number of samples in the response.
    pub most: u32,
    /// Maximum wait for the first sample, in milliseconds.
    pub wait_ms: u64,
}

/// Request to name a newer weight version for an open step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdvanceBody {
    /// Version to name.
    pub version: ModelVersion,
    /// Highest fencing token that the trainer has seen.
    #[serde(default)]
    pub seen: FencingToken,
}

/// Request to close a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloseBody {
    /// Slots whose samples the trainer has.
    #[serde(default)]
    pub held: SlotSet,
    /// Highest fencing token that the trainer has seen.
    #[serde(default)]
    pub seen: FencingToken,
}

/// State of a step at its keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// Fencing token of the keeper.
    pub token: FencingToken,
    /// Currently named version.
    pub named: ModelVersion,
    /// Current pool rule at the keeper.
    pub rule: PoolRule,
    /// Slot counts, and the reason why the trainer waits.
    pub progress: Progress,
    /// Box that is the keeper of the step.
    pub keeper: String,
}

/// Response to a [`PullBody`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Samples in ascending order of slots.
    pub samples: Vec<Sample>,
    /// State of the step when the samples were pulled.
    pub state: StepState,
}
