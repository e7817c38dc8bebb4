//! Typed refusals: "not run" is said only when it is true.

use std::time::Duration;

use ids::ModelVersion;
use serde::{Deserialize, Serialize};

/// Why work did not run. Nothing of it reached the target, or the target said so itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The queue cannot serve it before its deadline.
    #[error("the target is overloaded: come back after the stated time")]
    Overloaded,
    /// The target is stopping.
    #[error("the target is leaving: use another target")]
    Leaving,
    /// The target's version or state is being read back.
    #[error("the target's state is in doubt: use another target, or come back later")]
    InDoubt,
    /// The target holds a version that is too old.
    #[error("the target holds version {held}: use a target that holds a newer one")]
    TooOld {
        /// The version it holds.
        held: ModelVersion,
    },
    /// The target holds a version that nobody has named, or not yet.
    #[error("the target holds version {held}, which is not named: use another target")]
    NotNamed {
        /// The version it holds.
        held: ModelVersion,
    },
    /// The target or its box cannot be reached.
    #[error("the target cannot be reached: use another target, or come back later")]
    Unreachable,
    /// No such target, pool, trainer or step.
    #[error("nothing of this name is known: check the name, or apply its configuration")]
    Unknown,
    /// The deadline passed before work began.
    #[error("the deadline passed before the work began: allow more time")]
    Expired,
    /// The box is stopping.
    #[error("the box is stopping: ask another box")]
    Stopping,
    /// The target refused before running.
    #[error("the target refused before running: see its own message")]
    RefusedByTarget,
}

/// A refusal, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// It did not run.
    #[error("not run: {reason}")]
    NotRun {
        /// Why.
        reason: NotRun,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run.
    #[error("unknown: the work may have run; look at its effect before sending it again")]
    Unknown,
}

impl Refusal {
    /// A "not run" refusal.
    pub const fn not_run(reason: NotRun, retry_after: Duration) -> Self {
        Self::NotRun { reason, retry_after }
    }

    /// Whether the work surely did not run.
    pub const fn definitely_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}
