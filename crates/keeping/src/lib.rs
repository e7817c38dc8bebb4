//! Keeps one trainer's steps under a lease.
//!
//! [`StepKeeper`] combines the lease, the ledgers and target selection in one state machine. It is
//! run by the daemon's keeper actor, and by the golden and property tests of the `sessions` crate
//! with simulated clocks and fakes.
//!
//! A keeper whose lease expires because the platform is unavailable continues to serve. The trainer
//! resolves conflicts by its held slots and the highest fencing token it has seen, so a second
//! keeper may duplicate work but never a sample. A keeper stops as soon as it observes a higher
//! token.

mod keeper;
mod messages;

pub use keeper::{KeeperSettings, StepKeeper};
pub use messages::{AttemptOutcome, KeeperAction, KeeperRefusal, KeptState, Placement};
