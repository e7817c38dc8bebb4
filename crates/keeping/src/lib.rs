//! Keeps one trainer's steps under a lease.
//!
//! [`StepKeeper`] joins the lease, the ledgers and the choice of targets into one state
//! machine. The daemon's keeper actor runs it; so do the golden sessions and the property
//! tests, under their own clocks and fakes.
//!
//! A keeper whose lease runs out because the platform is away goes on: the trainer arbitrates
//! by its held slots and by the highest fencing token it has seen, so a second keeper costs
//! work, never a doubled sample. A keeper stops as soon as it learns of a higher token.

mod keeper;
mod messages;

pub use keeper::{KeeperSettings, StepKeeper};
pub use messages::{AttemptOutcome, KeeperAction, KeeperRefusal, KeptState, Placement};
