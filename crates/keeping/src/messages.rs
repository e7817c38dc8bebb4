//! Inputs and outputs of a keeper.

use std::time::Duration;

use coord::lease::LeaseAction;
use ids::{FencingToken, ModelVersion, PoolName, StepNumber, TargetId, TrainerId};
use ledger::{Assignment, LedgerError, PoolRule, Progress, Sample};
use placement::{NotRun, TargetHint};

/// An attempt to send to a target's home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The step.
    pub step: StepNumber,
    /// The slot to fill and its attempt.
    pub assignment: Assignment,
    /// The chosen engine.
    pub target: TargetId,
}

/// An action to perform for a keeper.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperAction {
    /// Read or write the lease, then report the outcome.
    Lease(LeaseAction),
    /// Start the attempt, then call [`crate::StepKeeper::attempt_ended`].
    Start(Placement),
}

/// Outcome of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// A complete, attributed and scored sample.
    Completed(Sample),
    /// The work did not run; the target may be tried again after a delay.
    NotRun {
        /// Reason of the refusal.
        reason: NotRun,
        /// Delay before the target may be tried again.
        retry_after: Duration,
    },
    /// The response is incomplete or cannot be attributed; the slot is filled again.
    Unusable,
    /// The sample's version became too old while the sample was produced.
    TooOld,
}

/// The state of a step, as reported to its trainer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptState {
    /// The keeper's fencing token.
    pub token: FencingToken,
    /// The version currently named.
    pub named: ModelVersion,
    /// The pool's rule in force.
    pub rule: PoolRule,
    /// Slot counts.
    pub progress: Progress,
}

/// Error of a request to a keeper.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeeperRefusal {
    /// This box is not, or not yet, the keeper of the trainer.
    #[error("this box is not the keeper of {trainer} in {pool}: send the request to its keeper")]
    NotKeeping {
        /// The pool.
        pool: PoolName,
        /// The trainer.
        trainer: TrainerId,
        /// Address of the current keeper, if known.
        holder: Option<String>,
        /// Whether this box claims the lease.
        claiming: bool,
    },
    /// The step is not open at this keeper.
    #[error("step {step} is not open: open it again with the held slots")]
    NotOpen {
        /// The step.
        step: StepNumber,
    },
    /// The pool does not exist or does not list the trainer.
    #[error(
        "pool {pool} does not list trainer {trainer}: add the trainer to the pool's configuration"
    )]
    NotInPool {
        /// The pool.
        pool: PoolName,
        /// The trainer.
        trainer: TrainerId,
    },
    /// Too many steps are open.
    #[error("{open} steps are open, the maximum: close one first")]
    TooManySteps {
        /// Number of open steps.
        open: usize,
    },
    /// The ledger rejected the request.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
}

/// State of the target, as reported by its home with the outcome of an attempt.
pub type OutcomeHint = Option<TargetHint>;
