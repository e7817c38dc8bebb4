//! Targets that broke work off: whether they have ended, or only closed the connection.

use std::sync::Arc;

use ids::{TargetIncarnation, WorkDigest};
use routing::ChosenTarget;
use suspects::TargetCrash;
use upstream::PortState;

use crate::NodeView;

/// Notes that a target broke `work` off. Where nobody has looked yet whether it has ended, that is done beside the
/// caller's next try, which does not wait for it.
pub fn record_disconnect(view: &Arc<NodeView>, slot: &ChosenTarget, work: WorkDigest) {
    // A target that leaves or has lapsed ends for a reason of its own.
    if !view.target_table().stays(&slot.instance) {
        return;
    }
    let life = slot.incarnation();
    let end = TargetCrash { life: life.clone(), software: slot.software.clone() };
    if view.suspects().record_break(view.now(), work, &slot.service, end) {
        tokio::spawn(look(Arc::clone(view), slot.clone(), life, work));
    }
}

/// Looks whether anything listens where a target was.
async fn look(view: Arc<NodeView>, slot: ChosenTarget, life: TargetIncarnation, work: WorkDigest) {
    let state = view.pool.probe(slot.address).await;
    let outcome = match state {
        PortState::Refuses => "ended",
        PortState::Listens => "listens",
        PortState::Unresponsive => "silent",
    };
    view.metrics.count_outcome("broken_target", outcome);
    if state == PortState::Refuses {
        view.suspects().connection_refused(view.now(), &life);
        view.suspects_changed();
    }
    let ends = view.suspects().crash_count(work);
    log::info!(
        target: "targets", work:% = work, target:% = life, service:% = slot.service, ends = ends,
        outcome = outcome;
        "target looked at"
    );
}
