//! A slot at a target, occupied by one piece of work.

use std::sync::Arc;

use ids::WorkDigest;
use routing::ChosenTarget;

use crate::{NodeView, Permit};

/// Holds a slot at a target and releases it on drop, also when the caller disconnects.
#[derive(Debug)]
pub struct SlotGuard {
    view: Arc<NodeView>,
    work: WorkDigest,
    target: ChosenTarget,
    permit: Option<Permit>,
}

impl SlotGuard {
    /// Guards the slot that the target table counted when it chose `target`.
    pub fn new(view: &Arc<NodeView>, work: WorkDigest, target: ChosenTarget) -> Self {
        view.suspects().work_started(work, &target.instance);
        Self { view: Arc::clone(view), work, target, permit: None }
    }

    /// Holds `permit` as long as the slot.
    #[must_use]
    pub fn with_permit(self, permit: Permit) -> Self {
        let mut guard = self;
        guard.permit = Some(permit);
        guard
    }

    /// Records that the target has served the request, for the box that granted the permit.
    pub fn mark_served(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.mark_served();
        }
    }

    /// Digest of the work.
    pub const fn work(&self) -> WorkDigest {
        self.work
    }

    /// The target that runs the work.
    pub const fn target(&self) -> &ChosenTarget {
        &self.target
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.view.target_table().ended(&self.target.instance);
        self.view.suspects().work_ended(self.work, &self.target.instance);
    }
}
