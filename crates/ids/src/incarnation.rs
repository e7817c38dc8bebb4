//! Incarnations of targets.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{InstanceId, StartTime};

/// One incarnation of a target. A restarted target may reuse its instance ID, so the start time
/// distinguishes its incarnations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// ID of the instance.
    pub instance: InstanceId,
    /// Start time of the incarnation.
    #[serde(default)]
    pub born: StartTime,
}

impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.instance, self.born)
    }
}
