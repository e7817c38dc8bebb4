//! A slot at a target, held by one piece of work.

use std::sync::Arc;

use ids::WorkDigest;
use routing::ChosenTarget;

use crate::NodeView;

/// Holds a slot at a target and releases it on drop, also when the caller disconnects.
#[derive(Debug)]
pub struct SlotGuard {
    view: Arc<NodeView>,
    work: WorkDigest,
    slot: ChosenTarget,
}

impl SlotGuard {
    /// Takes ownership of a slot that the target table has counted.
    pub fn new(view: &Arc<NodeView>, work: WorkDigest, slot: ChosenTarget) -> Self {
        view.suspects().work_started(work, &slot.instance);
        Self { view: Arc::clone(view), work, slot }
    }

    /// The work.
    pub const fn work(&self) -> WorkDigest {
        self.work
    }

    /// The target that runs the work.
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
