//! Placement of work at targets, and admission to a target.
//!
//! * [`TargetChooser`] runs at the keeper of a step. It chooses a target for a sample from a few
//!   candidates, by the load that their homes reported and the work that it placed since.
//! * [`TargetQueue`] runs at the target's home, the only box that admits work to that target.
//!   It enforces exact limits and fairness between trainers, and rejects work while the version
//!   of the replica is in doubt.
//!
//! A [`Refusal`] states whether the work definitely did not run or may have run.

mod chooser;
mod fair;
mod queue;
mod refusal;
mod replica;

pub use chooser::{PlacementPolicy, TargetChooser, TargetHint};
pub use fair::FairShare;
pub use queue::{Admission, AdmissionRequest, QueueEvent, TargetQueue, TicketId};
pub use refusal::{NotRun, Refusal};
pub use replica::{OrderOutcome, ReplicaReading, ReplicaState, ReplicaStatus};
