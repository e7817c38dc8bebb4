//! Whole sessions of the real decision code against small fakes, on the runtime's clock.
//!
//! A [`World`] joins keepers, admission queues, a swap conductor and a trainer's intake with
//! fakes at their interfaces: a store that loses answers, engines that swap, a network that
//! takes time. It runs one event after the other, so a seed gives the same session every time.
//! It is a measuring stick for the decisions, not a simulator of clusters: no sockets, no
//! processes, no message formats.

mod engine;
mod events;
mod faults;
mod store;
mod trainer;
mod truth;
mod world;

pub use faults::{Fault, FaultPlan};
pub use truth::Verdict;
pub use world::{World, WorldPlan};
