//! Whether this box is cut off from the rest of the deployment.
//!
//! A box that hears neither the store, nor fresh news of it, nor a keeping box of another failure domain
//! can do little for its callers: calls about jobs are turned away at once, and the platform is asked to
//! send new callers elsewhere. An outage of the store, or the loss of a shard's server, cuts nobody off.

use std::sync::Arc;
use std::time::Duration;

use node::NodeView;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::jobs_api::ShardClient;

/// How often it is looked whether the box is cut off.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Longest wait for a keeping box to answer.
const ASK_TIME: Duration = Duration::from_millis(400);
/// An answer of the store to this box itself shows for this long that it is not cut off.
const STORE_TRUST: Duration = Duration::from_millis(1_300);
/// A box is cut off once nothing was heard for this long: one question may be lost.
const CUT_AFTER: Duration = Duration::from_millis(600);

/// Looks whether the box is cut off until `stop`.
pub async fn watch_isolation(view: Arc<NodeView>, shards: ShardClient, stop: CancellationToken) {
    let watched = async {
        let mut heard_at = Instant::now();
        loop {
            if view.feed.is_fed() || hears_store(&view) || shards.reaches_others(ASK_TIME).await {
                heard_at = Instant::now();
            }
            view.set_isolated(view.is_configured() && heard_at.elapsed() >= CUT_AFTER);
            time::sleep(LOOK_EVERY).await;
        }
    };
    tokio::select! {
        () = watched => {}
        () = stop.cancelled() => {}
    }
}

fn hears_store(view: &NodeView) -> bool {
    view.feed.age(view.now()).is_some_and(|age| age < STORE_TRUST)
}
