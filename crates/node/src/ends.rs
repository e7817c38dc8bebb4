//! Whether a target that broke a request off has ended, or only closed the connection.

use std::net::SocketAddr;
use std::sync::Arc;

use ids::{InstanceId, WorkDigest};
use upstream::PortState;

use crate::NodeView;

/// Looks whether anything listens where a target broke `work` off, and tells it in the log. The caller's next try
/// does not wait for it.
pub fn look_for_end(
    view: &Arc<NodeView>,
    address: SocketAddr,
    target: &InstanceId,
    work: WorkDigest,
) {
    let (view, target) = (Arc::clone(view), target.clone());
    tokio::spawn(async move {
        let state = view.pool.look(address).await;
        let ended = state == PortState::Refuses;
        let outcome = match state {
            PortState::Refuses => "ended",
            PortState::Listens => "listens",
            PortState::Silent => "silent",
        };
        view.metrics.ended("broken_target", outcome);
        let level = if ended { log::Level::Info } else { log::Level::Debug };
        log::log!(target: "targets", level, work:% = work, target:% = target, outcome = outcome; "target looked at");
    });
}
