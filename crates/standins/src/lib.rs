//! Stand-ins for the outside systems, with switches for faults.
//!
//! Used by tests and by the demo alike. [`engine_model`] is the behaviour of an engine without
//! I/O, so the experiments drive the same engine that the demo's processes serve over HTTP.

pub mod engine;
pub mod engine_model;
pub mod plain;
pub mod platform;
pub mod proxy;
pub mod serve;
