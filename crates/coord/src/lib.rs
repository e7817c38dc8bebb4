//! Embeddable building blocks for coordination.
//!
//! Each module is a state machine that takes typed inputs and an [`ids::Moment`] and returns typed
//! actions. None performs I/O or reads a clock, so the same code runs in the daemon, in tests with
//! a simulated clock and in other programs.
//!
//! * [`lease`]: a lease held in a store with conditional updates, with fencing tokens.
//! * [`members`]: membership: which boxes are live, suspected or leaving.
//! * [`follower`]: monotonic configuration generations.
//! * [`rendezvous`]: rendezvous hashing, which makes all boxes choose the same box.
//! * [`retry`]: retry budgets and jittered backoff.

pub mod follower;
pub mod lease;
pub mod members;
pub mod rendezvous;
pub mod retry;
