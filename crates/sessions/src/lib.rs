//! Deterministic sessions of the real decision code against fakes, on the runtime's clock.
//!
//! A [`World`] connects keepers, admission queues, a rollout coordinator and a trainer's receiver
//! to fakes: a store that loses responses, engines that swap weights, a network with delays. It
//! handles events one at a time, so a seed always gives the same session. It tests decisions
//! only: there are no sockets, processes or message formats.

mod checker;
mod engine;
mod events;
mod faults;
mod store;
mod trainer;
mod world;

pub use checker::Verdict;
pub use faults::{Fault, FaultPlan};
pub use world::{World, WorldPlan};
