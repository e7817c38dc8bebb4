//! Typed refusals. "Not run" guarantees that the work did not run.

use std::time::Duration;

use ids::ModelVersion;
use serde::{Deserialize, Serialize};

/// Why work did not run. Nothing was sent to the target, or the target refused it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// No free capacity.
    #[error("the target is overloaded: retry after the given delay")]
    Overloaded,
    /// The target is stopping.
    #[error("the target is leaving: use another target")]
    Leaving,
    /// The target's version or state must be read again first.
    #[error("the target's state is in doubt: use another target or retry later")]
    InDoubt,
    /// The target's version is older than the staleness bound allows.
    #[error("the target holds version {held}: use a target that holds a newer one")]
    TooOld {
        /// The target's version.
        held: ModelVersion,
    },
    /// The target's version is newer than the named one.
    #[error("the target holds version {held}, which is not named: use another target")]
    NotNamed {
        /// The target's version.
        held: ModelVersion,
    },
    /// The target or its box is unreachable.
    #[error("the target cannot be reached: use another target or retry later")]
    Unreachable,
    /// No such target, pool, trainer or step.
    #[error("no such name: check it, or apply its configuration")]
    Unknown,
    /// The deadline passed before the work started.
    #[error("the deadline passed before the work began: allow more time")]
    Expired,
    /// The box is stopping.
    #[error("the box is stopping: use another box")]
    Stopping,
    /// The target refused the work before running it.
    #[error("the target refused before running: see the message of the target")]
    RefusedByTarget,
}

/// Refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The work did not run.
    #[error("not run: {reason}")]
    NotRun {
        /// Reason of the refusal.
        reason: NotRun,
        /// Minimum delay before a retry.
        retry_after: Duration,
    },
    /// The work may have run.
    #[error("unknown: the work may have run; check its effect before sending it again")]
    Unknown,
}

impl Refusal {
    /// Creates a "not run" refusal.
    pub const fn not_run(reason: NotRun, retry_after: Duration) -> Self {
        Self::NotRun { reason, retry_after }
    }

    /// Returns whether the work definitely did not run.
    pub const fn definitely_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}
