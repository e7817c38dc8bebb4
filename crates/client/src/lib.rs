//! The trainer's client library.
//!
//! [`TrainerClient::open`] opens a step at any entry box; [`OpenStep::next`] gives samples
//! until all are held. The library carries the held slots and the highest fencing token,
//! verifies every answer's digest, moves to another entry box when one fails, opens the step
//! again when its keeper changed, and takes each sample once. It accounts for the time it
//! waited, by cause.

mod entry;
mod error;
mod step;

pub use entry::{EntryClient, EntrySettings};
pub use error::ClientError;
pub use step::{IdleReport, OpenStep, TrainerClient};
