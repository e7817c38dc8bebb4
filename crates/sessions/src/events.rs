//! What happens in a session, in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coord::lease::{LeaseAction, ReadOutcome, WriteOutcome};
use ids::{Incarnation, ModelVersion, Moment, TargetId};
use keeping::{AttemptOutcome, KeeperRefusal, KeptState, Placement};
use ledger::{Pull, PulledBatch, StepSnapshot};
use placement::TargetHint;

use crate::faults::Fault;

/// Names one attempt in the whole session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// Position of a box in the session.
pub type BoxIndex = usize;

/// What a trainer asks of a keeper.
#[derive(Debug, Clone)]
pub enum Question {
    /// Opens the step.
    Open,
    /// Pulls.
    Pull(Pull),
    /// Names a newer version.
    Advance(ModelVersion),
}

/// What a keeper answers.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The step is open.
    Opened(Result<KeptState, KeeperRefusal>),
    /// Samples.
    Pulled(Result<(PulledBatch, KeptState), KeeperRefusal>),
}

/// One event.
#[derive(Debug, Clone)]
pub enum Event {
    /// A box asked to be woken.
    BoxWake(BoxIndex),
    /// A lease action reaches the store.
    LeaseCall(BoxIndex, u64, LeaseAction),
    /// The store's answer to a read reaches the box.
    LeaseRead(BoxIndex, u64, ReadOutcome),
    /// The store's answer to a write reaches the box.
    LeaseWritten(BoxIndex, u64, WriteOutcome),
    /// Work reaches its target's home.
    WorkArrives(BoxIndex, u64, RunId, Placement),
    /// An attempt's end reaches the keeper that placed it.
    WorkEnds(BoxIndex, u64, Placement, AttemptOutcome, Option<TargetHint>),
    /// An engine may have something to do.
    EngineDue(TargetId),
    /// The conductor looks around.
    ConductorDue,
    /// An order's outcome reaches the conductor.
    OrderEnded(TargetId, Option<bool>),
    /// A home reads its engine.
    HomeReads(TargetId),
    /// A reading of the conductor's comes back.
    ConductorRead(TargetId, Moment, Option<(Incarnation, Option<ModelVersion>)>),
    /// The trainer's question reaches a box; the number is the trainer's own.
    Question(BoxIndex, u64, Question),
    /// An answer reaches the trainer.
    Reply(u64, Reply),
    /// The trainer looks whether its question was answered.
    TrainerDue,
    /// A predecessor's steps reach a successor.
    HandOver(BoxIndex, Vec<StepSnapshot>, ids::FencingToken),
    /// A fault begins or ends.
    Fault(Fault),
}

struct Due {
    at: Moment,
    order: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events by time; those of one moment in the order they were made.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<Due>>,
    made: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, at: Moment, event: Event) {
        self.made += 1;
        self.heap.push(Reverse(Due { at, order: self.made, event }));
    }

    /// The next event.
    pub fn pop(&mut self) -> Option<(Moment, Event)> {
        self.heap.pop().map(|Reverse(due)| (due.at, due.event))
    }
}
