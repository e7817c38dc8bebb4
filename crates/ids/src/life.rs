//! One life of a target.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{InstanceId, StartTime};

/// One life of a target: it may start again under the id that it had.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Its id.
    pub instance: InstanceId,
    /// When it began.
    #[serde(default)]
    pub born: StartTime,
}

impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.instance, self.born)
    }
}
