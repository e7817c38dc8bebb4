//! What goes wrong in a session.

use std::time::Duration;

use ids::ModelVersion;

/// One fault, at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A box loses all its memory and starts anew.
    RestartBox(usize),
    /// A box stops doing anything; messages to it wait.
    FreezeBox(usize),
    /// A frozen box goes on.
    ThawBox(usize),
    /// A box stops as planned.
    StopBox(usize),
    /// The trainer and a box no longer reach each other.
    CutBox(usize),
    /// They do again.
    HealBox(usize),
    /// The store refuses every call.
    StoreDown,
    /// The store answers again.
    StoreUp,
    /// The next writes take effect and lose their answer.
    LoseStoreAnswers(u32),
    /// The next answers to the trainer are lost.
    LoseReplies(u32),
    /// The next answers to the trainer come twice.
    DoubleReplies(u32),
    /// The trainer forgets what is under way, but not what it holds.
    RestartTrainer,
    /// An engine starts anew with this version.
    RestartEngine(usize, ModelVersion),
    /// An engine's next order takes effect without an answer.
    LoseOrderAnswer(usize),
    /// An engine's next order is refused.
    RefuseOrder(usize),
    /// An engine leaves stamps out of its next chunks.
    DropStamps(usize, u32),
    /// An engine's streams under way break off.
    CutStreams(usize),
    /// An engine says that it is leaving.
    LeaveEngine(usize),
    /// The trainer itself names this version.
    AdvanceTrainer(ModelVersion),
    /// The pool names this version from now on.
    NameVersion(ModelVersion),
}

/// Faults and when they come, counted from the start.
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

    /// The faults in the order given.
    pub fn into_faults(self) -> Vec<(Duration, Fault)> {
        self.faults
    }
}
