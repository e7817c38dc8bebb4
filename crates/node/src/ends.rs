//! Targets that broke work off: whether they have ended, or only closed the connection.

use std::sync::Arc;

use ids::{TargetLife, WorkDigest};
use routing::TargetSlot;
use suspects::WorkEnd;
use upstream::PortState;

use crate::NodeView;

/// Notes that a target broke `work` off. Where nobody has looked yet whether it has ended, that is done beside the
/// caller's next try, which does not wait for it.
pub fn note_break(view: &Arc<NodeView>, slot: &TargetSlot, work: WorkDigest) {
    // A target that leaves or has lapsed ends for a reason of its own.
    if !view.board().stays(&slot.instance) {
        return;
    }
    let life = slot.life();
    let end = WorkEnd { life: life.clone(), software: slot.software.clone() };
    if view.suspects().broke(view.now(), work, &slot.service, end) {
        tokio::spawn(look(Arc::clone(view), slot.clone(), life, work));
    }
}

/// Looks whether anything listens where a target was.
async fn look(view: Arc<NodeView>, slot: TargetSlot, life: TargetLife, work: WorkDigest) {
    let state = view.pool.look(slot.address).await;
    let outcome = match state {
        PortState::Refuses => "ended",
        PortState::Listens => "listens",
        PortState::Silent => "silent",
    };
    view.metrics.ended("broken_target", outcome);
    if state == PortState::Refuses {
        view.suspects().refuses(view.now(), &life);
        view.suspects_changed();
    }
    let ends = view.suspects().ends(work);
    log::info!(
        target: "targets", work:% = work, target:% = life, service:% = slot.service, ends = ends,
        outcome = outcome;
        "target looked at"
    );
}
