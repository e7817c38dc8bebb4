//! Detects whether this box is isolated from the rest of the deployment.
//!
//! A box is isolated if it receives neither store responses, nor fresh updates from the feed, nor
//! responses from a storage box of another failure domain. An isolated box refuses calls about jobs
//! immediately and reports itself as not ready, so that the platform redirects new callers. An
//! outage of the store or the loss of a shard's server alone doesn't isolate a box.
//!
//! Feed updates that still count as fresh may be older than a network partition. A failed call to a
//! storage box therefore raises an alarm. While it is raised, only a response from a storage box
//! proves that the box is connected.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use node::NodeView;
use platform::Kind;
use tokio::sync::Notify;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::jobs_api::ShardClient;

/// Interval between checks while the box is connected, and once it is isolated.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before the next probe after one without a response; a probe may fail immediately.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum wait for a storage box to respond.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a store response about the configuration proves that the box is connected. Short,
/// because the store may still respond to a pending watch after requests no longer reach it.
const STORE_RESPONSE_TTL: Duration = Duration::from_millis(1_300);
/// Time without contact after which a box is isolated; long enough for one lost probe.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(600);

/// Set while a failed call suggests that other failure domains are unreachable.
///
/// It lets a box whose connections were reset detect a partition before the last freshness proof of
/// the store expires.
#[derive(Debug, Default)]
pub struct ReachabilityAlarm {
    raised: AtomicBool,
    raised_notify: Notify,
}

impl ReachabilityAlarm {
    /// Raises the alarm after a call to a storage box failed.
    pub fn raise(&self) {
        if !self.raised.swap(true, Ordering::Relaxed) {
            self.raised_notify.notify_one();
        }
    }

    /// Whether the alarm is raised.
    pub fn is_raised(&self) -> bool {
        self.raised.load(Ordering::Relaxed)
    }

    /// Clears the alarm after a storage box of another failure domain responded.
    pub fn clear(&self) {
        self.raised.store(false, Ordering::Relaxed);
    }

    /// Waits until the alarm is raised, for at most `time`.
    pub async fn wait(&self, time: Duration) {
        // The caller checks again in either case.
        let _elapsed = time::timeout(time, self.raised_notify.notified()).await;
    }
}

/// Checks periodically whether the box is isolated, until `stop` is cancelled.
pub async fn watch_isolation(view: Arc<NodeView>, shards: ShardClient, stop: CancellationToken) {
    let watch = async {
        let mut last_contact = Instant::now();
        loop {
            let alarm = shards.alarm();
            let store_is_current = !alarm.is_raised()
                && (view.feed.freshness().is_served_by_feed() || has_recent_store_response(&view));
            let is_connected =
                store_is_current || shards.can_reach_other_domains(PROBE_TIMEOUT).await;
            if is_connected {
                alarm.clear();
                last_contact = Instant::now();
            }
            view.set_isolated(view.is_configured() && last_contact.elapsed() >= ISOLATION_TIMEOUT);
            if is_connected || view.is_isolated() {
                alarm.wait(CHECK_INTERVAL).await;
            } else {
                time::sleep(PROBE_RETRY_DELAY).await;
            }
        }
    };
    tokio::select! {
        () = watch => {}
        () = stop.cancelled() => {}
    }
}

fn has_recent_store_response(view: &NodeView) -> bool {
    view.feed.age(Kind::Configuration, view.now()).is_some_and(|age| age < STORE_RESPONSE_TTL)
}
