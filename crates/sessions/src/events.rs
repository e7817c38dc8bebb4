//! Events of a session and their queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coord::lease::{LeaseAction, ReadOutcome, WriteOutcome};
use ids::{Incarnation, ModelVersion, Moment, TargetId};
use keeping::{AttemptOutcome, KeeperRefusal, KeptState, Placement};
use ledger::{Pull, PulledBatch, StepSnapshot};
use placement::TargetHint;

use crate::faults::Fault;

/// Id of an attempt, unique in the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// Index of a box in the session.
pub type BoxIndex = usize;

/// Request of a trainer to a keeper.
#[derive(Debug, Clone)]
pub enum KeeperRequest {
    /// Opens the step.
    Open,
    /// Pulls samples.
    Pull(Pull),
    /// Names a newer version.
    Advance(ModelVersion),
}

/// Reply of a keeper to a trainer.
#[derive(Debug, Clone)]
pub enum KeeperReply {
    /// Reply to opening the step or naming a version.
    Opened(Result<KeptState, KeeperRefusal>),
    /// Reply to a pull.
    Pulled(Result<(PulledBatch, KeptState), KeeperRefusal>),
}

/// An event of the session. A `u64` after a box index is the incarnation of that box.
#[derive(Debug, Clone)]
pub enum Event {
    /// A timer of a box expires.
    BoxWake(BoxIndex),
    /// A lease action reaches the store.
    LeaseCall(BoxIndex, u64, LeaseAction),
    /// The store's response to a read reaches the box.
    LeaseRead(BoxIndex, u64, ReadOutcome),
    /// The store's response to a write reaches the box.
    LeaseWritten(BoxIndex, u64, WriteOutcome),
    /// Work reaches its target's home.
    WorkArrives(BoxIndex, u64, RunId, Placement),
    /// The outcome of an attempt reaches the keeper that placed it.
    AttemptEnded(BoxIndex, u64, Placement, AttemptOutcome, Option<TargetHint>),
    /// The next step of an engine is due.
    EngineDue(TargetId),
    /// The next poll of the rollout coordinator is due.
    CoordinatorDue,
    /// The outcome of an order reaches the rollout coordinator: `true` if the version was loaded,
    /// `false` if the order was refused, `None` if the response was lost.
    OrderCompleted(TargetId, Option<bool>),
    /// The next read of an engine by its home is due.
    HomeReadDue(TargetId),
    /// The response to a read reaches the rollout coordinator; the time is that of the request.
    /// It contains no version while the engine loads one.
    CoordinatorRead(TargetId, Moment, Option<(Incarnation, Option<ModelVersion>)>),
    /// A request of the trainer reaches a box; the number identifies the request.
    Request(BoxIndex, u64, KeeperRequest),
    /// A reply reaches the trainer; the number is that of the request.
    Reply(u64, KeeperReply),
    /// The next request of the trainer, or the timeout of the current one, is due.
    TrainerDue,
    /// The step snapshots of a stopping box reach its successor.
    HandOver(BoxIndex, Vec<StepSnapshot>, ids::FencingToken),
    /// A fault starts or ends.
    Fault(Fault),
}

struct ScheduledEvent {
    at: Moment,
    order: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Queue of events by time; events of the same time are in insertion order.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    pushed: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, at: Moment, event: Event) {
        self.pushed += 1;
        self.heap.push(Reverse(ScheduledEvent { at, order: self.pushed, event }));
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<(Moment, Event)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
