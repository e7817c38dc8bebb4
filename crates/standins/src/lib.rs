//! Stand-ins for external systems, with fault switches, for tests and the demo.
//!
//! [`engine_model`] simulates an engine without I/O, so that experiments use the same engine that
//! the processes of the demo serve over HTTP.

pub mod engine;
pub mod engine_model;
pub mod plain;
pub mod platform;
pub mod proxy;
pub mod serve;
pub mod unreachable;
