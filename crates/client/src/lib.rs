//! Client library for trainers and operators.
//!
//! [`TrainerClient::open`] opens a step at any entry box; [`OpenStep::next`] returns samples until
//! every slot has one. The library tracks the filled slots and the highest fencing token, verifies
//! the digest of every successful response, switches to another entry box when one fails, reopens
//! the step when its keeper changed, and returns each sample once. It measures the time spent
//! waiting, by cause. [`EntryClient`] sends other requests to the entry boxes.

mod entry;
mod error;
mod step;

pub use entry::{EntryClient, EntrySettings};
pub use error::ClientError;
pub use step::{IdleReport, OpenStep, TrainerClient};
