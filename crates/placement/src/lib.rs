//! Where work goes, and when a target may take it.
//!
//! Two decisions, apart on purpose:
//!
//! * [`TargetChooser`] runs where a step is kept. It picks a target for a sample from a few
//!   candidates, by what the targets' homes last told it and what it placed since.
//! * [`TargetQueue`] runs at the target's home, the one box that admits work to that target.
//!   Limits are exact there, fairness between trainers is decided there, and a replica whose
//!   version is in doubt gets no work there.
//!
//! A refusal is typed: the work truly did not run, or it may have.

mod chooser;
mod fair;
mod queue;
mod refusal;
mod replica;

pub use chooser::{PlacementPolicy, TargetChooser, TargetHint};
pub use fair::FairShare;
pub use queue::{Admission, AdmissionRequest, QueueEvent, TargetQueue, TicketId};
pub use refusal::{NotRun, Refusal};
pub use replica::{OrderId, OrderOutcome, ReplicaReading, ReplicaState, ReplicaStatus};
