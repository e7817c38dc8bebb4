//! Distinguishes crashed targets from closed connections after a disconnect.

use std::sync::Arc;

use ids::{TargetIncarnation, WorkDigest};
use routing::ChosenTarget;
use suspects::TargetCrash;
use upstream::PortState;

use crate::NodeView;

/// Records that a target disconnected during `work`. Unless already checked, probes in the
/// background whether the target has crashed; the caller's retry does not wait for it.
pub fn record_disconnect(view: &Arc<NodeView>, slot: &ChosenTarget, work: WorkDigest) {
    // A target that is leaving or has expired stops for a reason of its own.
    if !view.target_table().stays(&slot.instance) {
        return;
    }
    let incarnation = slot.incarnation();
    let crash = TargetCrash { life: incarnation.clone(), software: slot.software.clone() };
    if view.suspects().record_disconnect(view.now(), work, &slot.service, crash) {
        tokio::spawn(probe_target(Arc::clone(view), slot.clone(), incarnation, work));
    }
}

/// Probes whether the target's port is still open.
async fn probe_target(
    view: Arc<NodeView>,
    slot: ChosenTarget,
    incarnation: TargetIncarnation,
    work: WorkDigest,
) {
    let state = view.pool.probe(slot.address).await;
    let outcome = match state {
        PortState::Refuses => "ended",
        PortState::Listens => "listens",
        PortState::Unresponsive => "silent",
    };
    view.metrics.count_outcome("broken_target", outcome);
    if state == PortState::Refuses {
        view.suspects().connection_refused(view.now(), &incarnation);
        view.suspects_changed();
    }
    let crashes = view.suspects().crash_count(work);
    log::info!(
        target: "targets", work:% = work, target:% = incarnation, service:% = slot.service, ends = crashes,
        outcome = outcome;
        "target probed"
    );
}
