//! What boxes tell one another of a piece of work.

use ids::{ServiceName, SoftwareVersion, TargetIncarnation};
use serde::{Deserialize, Serialize};

/// Ends that are remembered of one piece of work; a verdict needs fewer.
pub const MAX_CRASHES: usize = 8;

/// The end of a target under a piece of work.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetCrash {
    /// The life that ended.
    pub life: TargetIncarnation,
    /// The software that it ran, where it told.
    #[serde(default)]
    pub software: Option<SoftwareVersion>,
}

/// What is known of a piece of work, as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The service whose targets ended.
    pub service: ServiceName,
    /// Their ends.
    pub ends: Vec<TargetCrash>,
    /// How often it was let through after it was condemned, to see whether the reason has gone.
    #[serde(default)]
    pub trials: u32,
}
