//! Rolls model versions out over replicas.
//!
//! [`divide_engines`] divides the engines of a service among its models, and [`due_loads`] selects
//! the engines that load next.
//!
//! [`RolloutCoordinator`] runs on one box per pool and failure domain, under a lease. It rebuilds
//! its state by reading the engines, never from earlier orders. Every order carries the lease's
//! token and a deadline. For engines that ignore tokens, a new coordinator waits until all earlier
//! orders have expired and reads the engines before it sends its first order.

mod coordinator;
mod loads;
mod shares;

pub use coordinator::{ORDER_TTL, RolloutAction, RolloutCoordinator, SwapOrder, SwapProgress};
pub use loads::{FollowedEngine, due_loads};
pub use shares::{EngineRanking, divide_engines, needed_engines};
