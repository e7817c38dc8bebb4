//! Steps as trainers open and pull them.

use ids::{FencingToken, ModelVersion, StepNumber};
use ledger::{GroupSpec, PoolRule, Progress, Sample, SlotSet, StepSpec};
use serde::{Deserialize, Serialize};

/// Opens a step, or opens it again at a new keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenBody {
    /// The weight version the trainer names.
    pub version: ModelVersion,
    /// The groups.
    pub groups: Vec<GroupSpec>,
    /// Slots the trainer holds already.
    #[serde(default)]
    pub held: SlotSet,
    /// Highest fencing token the trainer has seen.
    #[serde(default)]
    pub seen: FencingToken,
}

impl OpenBody {
    /// The step of this body.
    pub fn spec(&self, step: StepNumber) -> StepSpec {
        StepSpec { step, version: self.version, groups: self.groups.clone() }
    }
}

/// Pulls finished samples.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PullBody {
    /// Slots the trainer holds.
    pub held: SlotSet,
    /// Highest fencing token the trainer has seen.
    pub seen: FencingToken,
    /// Most samples in the answer.
    pub most: u32,
    /// Longest wait for the first sample, in milliseconds.
    pub wait_ms: u64,
}

/// Names a newer version for an open step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdvanceBody {
    /// The version now named.
    pub version: ModelVersion,
    /// Highest fencing token the trainer has seen.
    #[serde(default)]
    pub seen: FencingToken,
}

/// Says what the trainer holds, to close a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloseBody {
    /// Slots the trainer holds.
    #[serde(default)]
    pub held: SlotSet,
    /// Highest fencing token the trainer has seen.
    #[serde(default)]
    pub seen: FencingToken,
}

/// A step as its keeper sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// The keeper's fencing token.
    pub token: FencingToken,
    /// The version now named.
    pub named: ModelVersion,
    /// The pool's rule in force at the keeper.
    pub rule: PoolRule,
    /// Counts of the slots, and why the trainer waits.
    pub progress: Progress,
    /// The box that keeps the step.
    pub keeper: String,
}

/// The answer to a pull.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Samples, lowest slot first.
    pub samples: Vec<Sample>,
    /// The step's state when they were handed out.
    pub state: StepState,
}
