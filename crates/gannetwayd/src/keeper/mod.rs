//! Step keepers on this box: one actor per trainer.

mod actor;
mod attempt;
mod registry;

pub use actor::{
    AdoptSteps, AdvanceStep, CloseStep, HandOverReply, HandOverSteps, KeeperActor, KeeperView,
    OpenStep, PullReply, PullStep, QueryKeeper, StepStateQuery,
};
pub use registry::{KeeperHandle, KeeperKey, KeeperRegistry};
