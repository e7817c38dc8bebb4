//! Coordination parts that others can embed.
//!
//! Each part is a state machine: typed inputs and a [`ids::Moment`] go in, typed actions come
//! out. None does I/O, reads a clock or knows a process, so the same code runs in the daemon,
//! under a test's paused clock and in an embedder's program.
//!
//! * [`lease`]: a lease kept in a conditional-update store, with fencing tokens.
//! * [`members`]: which boxes live, are suspected, or are leaving.
//! * [`follower`]: configuration generations that only grow.
//! * [`rendezvous`]: the same choice of box on every box, without talking.
//! * [`retry`]: retry budgets and jittered backoff.

pub mod follower;
pub mod lease;
pub mod members;
pub mod rendezvous;
pub mod retry;
