//! Deterministic simulation of one trainer step: the real decision code runs against fakes.
//!
//! Each simulation is a session. Its [`World`] connects keepers, admission queues, a rollout
//! coordinator and a trainer's receiver to fakes: a store that loses responses, engines that swap
//! weights, a network with delays. It handles events one at a time, so the same [`WorldPlan`] and
//! [`FaultPlan`] always give the same session. It tests decisions only: there are no sockets,
//! processes or message formats.

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
