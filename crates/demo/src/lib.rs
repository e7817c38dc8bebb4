//! A small deployment of separate processes on loopback, for the demo and for tests that kill,
//! freeze and stop real daemons.
//!
//! The harness replaces the platform's scheduler and load balancer: it starts processes,
//! registers boxes and targets with the platform stand-in, and stores their addresses.

pub mod fleet;
pub mod process;
