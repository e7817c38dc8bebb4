//! The ledger of one training step.
//!
//! A step is a fixed number of slots, one sample each. The ledger assigns slots that need a sample,
//! checks finished samples, and returns samples on a trainer's pull. It guarantees attribution,
//! freshness and single delivery, without I/O or clocks.
//!
//! Durable state is kept by the trainer: each pull contains the slots that the trainer holds and
//! the highest fencing token it has seen. The ledger never assigns a held slot again, and a ledger
//! with a lower token refuses the pull.

mod chunks;
mod messages;
mod naming;
mod receiver;
mod sample;
mod slots;
mod spec;
mod step;

pub use chunks::{ChunkAssembler, ChunkError, ChunkStamp};
pub use messages::{
    Assignment, AttemptId, LedgerError, Progress, Pull, PulledBatch, Settled, StepSnapshot,
    WaitCause,
};
pub use naming::{PoolRule, VersionNaming};
pub use receiver::{OldToken, ReceivedBatch, StepReceiver};
pub use sample::{Sample, VersionSpan};
pub use slots::{SlotSet, SlotSetError};
pub use spec::{GroupSpec, SpecError, StepSpec};
pub use step::StepLedger;
