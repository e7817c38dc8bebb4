//! Distinguishes crashed targets from closed connections after a disconnect.

use std::sync::Arc;

use ids::{TargetIncarnation, WorkDigest};
use routing::ChosenTarget;
use suspects::TargetCrash;
use upstream::PortState;

use crate::NodeView;

/// Records that a target disconnected during `work`. Unless already checked, probes in the
/// background whether the target has crashed; the caller's retry does not wait for it.
pub fn record_disconnect(view: &Arc<NodeView>, target: &ChosenTarget, work: WorkDigest) {
    // A target that is leaving or no longer listed is assumed to stop for another reason.
    if !view.target_table().stays(&target.instance) {
        return;
    }
    let incarnation = target.incarnation();
    let crash = TargetCrash { life: incarnation.clone(), software: target.software.clone() };
    if view.suspects().record_disconnect(view.now(), work, &target.service, crash) {
        tokio::spawn(probe_target(Arc::clone(view), target.clone(), incarnation, work));
    }
}

/// Probes whether the target's port is still open.
async fn probe_target(
    view: Arc<NodeView>,
    target: ChosenTarget,
    incarnation: TargetIncarnation,
    work: WorkDigest,
) {
    let state = view.pool.probe(target.address).await;
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
    view.suspects().probe_ended(&incarnation);
    let crashes = view.suspects().crash_count(work);
    log::info!(
        target: "targets", work:% = work, target:% = incarnation, service:% = target.service, ends = crashes,
        outcome = outcome;
        "target probed"
    );
}
