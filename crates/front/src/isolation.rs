//! Whether this box is cut off from the rest of the deployment.
//!
//! A box that hears neither the store, nor fresh news of it, nor a keeping box of another failure domain
//! can do little for its callers: calls about jobs are turned away at once, and the platform is asked to
//! send new callers elsewhere. An outage of the store, or the loss of a shard's server, cuts nobody off.
//!
//! News that are fresh enough to be believed may be older than a cut. So a call that a keeping box did not
//! answer raises a doubt, and then only an answer of such a box counts until one comes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use node::NodeView;
use platform::Kind;
use tokio::sync::Notify;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::jobs_api::ShardClient;

/// How often it is looked whether the box is cut off.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Pause before a question that nobody answered is asked again: it may have failed at once.
const AGAIN_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for a keeping box to answer.
const ASK_TIME: Duration = Duration::from_millis(400);
/// An answer of the store about the configuration shows for this long that the box is not cut off. It
/// is asked for as often; a watch that waits for longer may be answered though the way there is lost.
const STORE_TRUST: Duration = Duration::from_millis(1_300);
/// A box is cut off once nothing was heard for this long: one question may be lost.
const CUT_AFTER: Duration = Duration::from_millis(600);

/// Whether a call has given reason to doubt that other failure domains are within reach.
///
/// With it a box whose connections are reset by a cut notices before the last proof of the store gets old, and asks
/// the platform sooner to send its domain's callers elsewhere.
#[derive(Debug, Default)]
pub struct ReachDoubt {
    raised: AtomicBool,
    told: Notify,
}

impl ReachDoubt {
    /// A keeping box did not answer.
    pub fn raise(&self) {
        if !self.raised.swap(true, Ordering::Relaxed) {
            self.told.notify_one();
        }
    }

    /// Whether a doubt stands.
    pub fn is_raised(&self) -> bool {
        self.raised.load(Ordering::Relaxed)
    }

    /// A keeping box of another failure domain has answered.
    pub fn settle(&self) {
        self.raised.store(false, Ordering::Relaxed);
    }

    /// Waits until a doubt is raised, `time` at most.
    pub async fn wait(&self, time: Duration) {
        // Raised or not, it is looked again.
        let _elapsed = time::timeout(time, self.told.notified()).await;
    }
}

/// Looks whether the box is cut off until `stop`.
pub async fn watch_isolation(view: Arc<NodeView>, shards: ShardClient, stop: CancellationToken) {
    let watched = async {
        let mut heard_at = Instant::now();
        loop {
            let doubt = shards.doubt();
            let told = !doubt.is_raised()
                && (view.feed.freshness().is_served_by_feed() || hears_store(&view));
            let reached = told || shards.reaches_others(ASK_TIME).await;
            if reached {
                doubt.settle();
                heard_at = Instant::now();
            }
            view.set_isolated(view.is_configured() && heard_at.elapsed() >= CUT_AFTER);
            if reached || view.is_isolated() {
                doubt.wait(LOOK_EVERY).await;
            } else {
                time::sleep(AGAIN_PAUSE).await;
            }
        }
    };
    tokio::select! {
        () = watched => {}
        () = stop.cancelled() => {}
    }
}

fn hears_store(view: &NodeView) -> bool {
    view.feed.age(Kind::Configuration, view.now()).is_some_and(|age| age < STORE_TRUST)
}
