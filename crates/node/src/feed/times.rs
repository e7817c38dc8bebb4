//! Age limits for updates of the store.

use std::time::Duration;

use platform::WatchTime;

/// Part of the bound that is reserved for the store's response to arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);
/// Margin by which a feed source stops waiting for updates before its proof expires.
const SOURCE_MARGIN: Duration = Duration::from_millis(400);
/// Extra time for the response of a watch that proves a kind.
const PROOF_SLACK: Duration = Duration::from_millis(200);
/// Minimum bound; shorter ones cannot be met.
const MIN_BOUND: Duration = Duration::from_secs(1);

/// Timeouts derived from the propagation bound for changes that affect callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTimes {
    /// A box queries the store itself when the last freshness proof is older than this.
    pub max_proof_age: Duration,
    /// A source whose oldest proof exceeds this age responds without waiting for updates.
    pub max_source_age: Duration,
    /// Duration of a watch that proves a kind to be current. An overdue watch is restarted while
    /// the last proof is still valid.
    pub proof: WatchTime,
}

impl FeedTimes {
    /// Returns the times for changes that must take effect within `bound` of the store's
    /// acknowledgement.
    pub fn for_bound(bound: Duration) -> Self {
        let max_proof_age = bound.max(MIN_BOUND).saturating_sub(RESPONSE_MARGIN);
        let proof = WatchTime { wait: max_proof_age / 2, slack: PROOF_SLACK };
        Self { max_proof_age, max_source_age: max_proof_age.saturating_sub(SOURCE_MARGIN), proof }
    }
}
