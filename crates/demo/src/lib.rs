//! A small deployment as separate processes on loopback, for the demo and for the tests that
//! kill, freeze and stop real daemons.
//!
//! The harness plays the parts of the platform's scheduler and balancer: it starts processes,
//! lists boxes and targets at the platform stand-in, and knows every address.

pub mod fleet;
pub mod process;
