//! Configuration documents and their validation.
//!
//! [`FleetConfig`] is one document that contains all pools under one generation number, which
//! never decreases. Operators submit one pool at a time as TOML. Validation reports all errors of
//! a pool together, each with a remedy, before anything is written. [`TargetList`] is the
//! platform's list of targets.

mod check;
mod fleet;
mod targets;

pub use check::{PoolError, parse_pool};
pub use fleet::{FleetConfig, PoolEntry, PoolLimits, PoolObjective, PoolSpec, SwapPolicy};
pub use targets::{TargetIndex, TargetKind, TargetList, TargetRecord};
