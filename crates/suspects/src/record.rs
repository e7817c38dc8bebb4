//! Records of suspect work that boxes share through the store.

use ids::{ServiceName, SoftwareVersion, TargetIncarnation};
use serde::{Deserialize, Serialize};

/// Maximum number of crashes kept per work digest, above the quarantine thresholds.
pub const MAX_CRASHES: usize = 8;

/// The crash of a target that ran the work.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetCrash {
    /// The incarnation that crashed.
    pub life: TargetIncarnation,
    /// Its software version, if it reported one.
    #[serde(default)]
    pub software: Option<SoftwareVersion>,
}

/// Stored record of one work digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The service whose targets crashed.
    pub service: ServiceName,
    /// The crashes, at most [`MAX_CRASHES`].
    pub ends: Vec<TargetCrash>,
    /// Number of trial runs after the work was quarantined.
    #[serde(default)]
    pub trials: u32,
}
