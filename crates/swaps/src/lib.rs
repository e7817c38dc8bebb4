//! Rolls a model version out over the replicas of one failure domain.
//!
//! [`RolloutCoordinator`] runs on one box for each pool and failure domain, under a lease. It is
//! rebuilt by reading the engines back, never from memory of what was ordered. Every order
//! carries the lease's token and a deadline. Engines that ignore tokens are protected by time:
//! a new conductor waits out the longest life of an order before its first one, then reads
//! everything back.

mod conductor;
mod loads;
mod shares;

pub use conductor::{ORDER_LIFE, RolloutAction, RolloutCoordinator, SwapOrder, SwapProgress};
pub use loads::{FollowedEngine, due_loads};
pub use shares::{EngineRanking, divide_engines, needed_engines};
