//! The ledger of one training step.
//!
//! A step is a fixed number of slots, one sample each. The ledger says which slots still want
//! a sample, checks what comes back, and hands samples out on a trainer's pull. It keeps the
//! promises of attribution, freshness and single delivery, and knows nothing of processes,
//! sockets or clocks.
//!
//! The trainer is the durable end: each pull states the slots it holds and the highest fencing
//! token it has seen. The ledger never makes a held slot again, and a ledger under a lower
//! token refuses to answer.

mod intake;
mod messages;
mod naming;
mod sample;
mod slots;
mod spec;
mod step;
mod trail;

pub use intake::{OldToken, ReceivedBatch, StepReceiver};
pub use messages::{
    Assignment, AttemptId, LedgerError, Progress, Pull, PulledBatch, Settled, StepSnapshot,
    WaitCause,
};
pub use naming::{PoolRule, VersionNaming};
pub use sample::{Sample, VersionSpan};
pub use slots::{SlotSet, SlotSetError};
pub use spec::{GroupSpec, SpecError, StepSpec};
pub use step::StepLedger;
pub use trail::{ChunkAssembler, ChunkError, ChunkStamp};
