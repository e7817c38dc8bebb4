//! Configuration documents and their checks.
//!
//! One document, [`FleetConfig`], holds every pool under one generation number that only
//! grows. Operators write one pool at a time as TOML; every fault in it is reported at once,
//! each with its remedy, before anything is written. [`TargetList`] is the platform's list of
//! targets.

mod check;
mod fleet;
mod targets;

pub use check::{PoolError, parse_pool};
pub use fleet::{FleetConfig, PoolEntry, PoolLimits, PoolObjective, PoolSpec, SwapPolicy};
pub use targets::{TargetIndex, TargetKind, TargetList, TargetRecord};
