//! Keepers of steps on this box: one actor for each trainer.

mod actor;
mod attempt;
mod registry;

pub use actor::{
    AdoptSteps, AdvanceStep, CloseStep, GivenUp, HandOverSteps, KeeperActor, KeeperView, OpenStep,
    PullStep, Pulled, QueryKeeper, StepStateQuery,
};
pub use registry::{KeeperHandle, KeeperKey, KeeperRegistry};
