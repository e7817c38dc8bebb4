//! A place at a target, taken for one piece of work.

use std::sync::Arc;

use ids::WorkDigest;
use routing::ChosenTarget;

use crate::NodeView;

/// A place at a target for one piece of work; it is given back when it is dropped, also when its caller leaves in the
/// middle of it.
#[derive(Debug)]
pub struct SlotGuard {
    view: Arc<NodeView>,
    work: WorkDigest,
    slot: ChosenTarget,
}

impl SlotGuard {
    /// Takes over a slot that the board has counted.
    pub fn new(view: &Arc<NodeView>, work: WorkDigest, slot: ChosenTarget) -> Self {
        view.suspects().work_started(work, &slot.instance);
        Self { view: Arc::clone(view), work, slot }
    }

    /// The work.
    pub const fn work(&self) -> WorkDigest {
        self.work
    }

    /// Where the work runs.
    pub const fn slot(&self) -> &ChosenTarget {
        &self.slot
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.view.target_table().ended(&self.slot.instance);
        self.view.suspects().work_ended(self.work, &self.slot.instance);
    }
}
