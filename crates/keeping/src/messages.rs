//! What goes into a keeper and comes out of it.

use std::time::Duration;

use coord::lease::LeaseAction;
use ids::{FencingToken, ModelVersion, PoolName, StepNumber, TargetId, TrainerId};
use ledger::{Assignment, LedgerError, PoolRule, Progress, Sample};
use placement::{NotRun, TargetHint};

/// Work to be sent to a target's home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The step.
    pub step: StepNumber,
    /// The slot to fill, and how.
    pub assignment: Assignment,
    /// The engine chosen.
    pub target: TargetId,
}

/// What a keeper wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperAction {
    /// Read or write the lease, then report the outcome.
    Lease(LeaseAction),
    /// Send the work, then call [`crate::StepKeeper::attempt_ended`].
    Start(Placement),
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// A whole, attributed and judged sample.
    Completed(Sample),
    /// The work did not run; come back to this target after the time stated.
    NotRun {
        /// Why.
        reason: NotRun,
        /// When to come back.
        retry_after: Duration,
    },
    /// The answer broke off or cannot be attributed; the slot is filled anew.
    Unusable,
    /// The trainer's version moved past it while it was made.
    TooOld,
}

/// A step's state, for its trainer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptState {
    /// The keeper's fencing token.
    pub token: FencingToken,
    /// The version now named.
    pub named: ModelVersion,
    /// The pool's rule in force.
    pub rule: PoolRule,
    /// Counts of the slots.
    pub progress: Progress,
}

/// Why a keeper refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeeperRefusal {
    /// This box does not keep the trainer's steps, or not yet.
    #[error("this box does not keep the steps of {trainer} in {pool}: ask its keeper")]
    NotKeeping {
        /// The pool.
        pool: PoolName,
        /// The trainer.
        trainer: TrainerId,
        /// Where the keeper is, if known.
        holder: Option<String>,
        /// Whether this box is about to become the keeper.
        claiming: bool,
    },
    /// The step is not open here.
    #[error("step {step} is not open: open it again with the held slots")]
    NotOpen {
        /// The step.
        step: StepNumber,
    },
    /// The pool is gone or does not name the trainer.
    #[error(
        "pool {pool} does not name trainer {trainer}: add the trainer to the pool's configuration"
    )]
    NotInPool {
        /// The pool.
        pool: PoolName,
        /// The trainer.
        trainer: TrainerId,
    },
    /// Too many steps are open.
    #[error("{open} steps are open, the most allowed: close one first")]
    TooManySteps {
        /// Steps open.
        open: usize,
    },
    /// The ledger refused.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
}

/// What a target's home said along with an attempt's end.
pub type EndHint = Option<TargetHint>;
