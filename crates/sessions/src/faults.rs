//! Faults that a session injects.

use std::time::Duration;

use ids::ModelVersion;

/// A fault. Indexes are those of boxes or engines, counts are numbers of affected messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Restarts a box, which loses its memory.
    RestartBox(usize),
    /// Freezes a box; events for it are deferred.
    FreezeBox(usize),
    /// Resumes a frozen box.
    ThawBox(usize),
    /// Stops a box as planned, with a handover to the next box.
    StopBox(usize),
    /// Drops requests of the trainer to a box.
    DisconnectBox(usize),
    /// Ends `DisconnectBox`.
    ReconnectBox(usize),
    /// Makes the store fail every call.
    StoreDown,
    /// Ends `StoreDown`.
    StoreUp,
    /// Loses the responses of the next writes, which take effect.
    LoseStoreResponses(u32),
    /// Loses the next replies to the trainer.
    LoseReplies(u32),
    /// Delivers the next replies to the trainer twice.
    DuplicateReplies(u32),
    /// Restarts the trainer, which drops its current request and keeps its samples.
    RestartTrainer,
    /// Restarts an engine with this version loaded.
    RestartEngine(usize, ModelVersion),
    /// Loses the response of an engine's next order, which takes effect.
    LoseOrderResponse(usize),
    /// Makes an engine refuse its next order.
    RefuseOrder(usize),
    /// Omits the stamps of an engine's next chunks.
    DropStamps(usize, u32),
    /// Breaks the running streams of an engine.
    BreakStreams(usize),
    /// Makes an engine report that it is leaving.
    MarkEngineLeaving(usize),
    /// Makes the trainer name this version.
    AdvanceTrainer(ModelVersion),
    /// Changes the pool to name this version.
    NameVersion(ModelVersion),
}

/// Faults with their times since the start of the session.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    faults: Vec<(Duration, Fault)>,
}

impl FaultPlan {
    /// Adds a fault.
    #[must_use]
    pub fn at(mut self, after: Duration, fault: Fault) -> Self {
        self.faults.push((after, fault));
        self
    }

    /// Returns the faults in insertion order.
    pub fn into_faults(self) -> Vec<(Duration, Fault)> {
        self.faults
    }
}
