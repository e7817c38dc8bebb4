//! How old news of the store may be.

use std::time::Duration;

use platform::WatchTime;

/// What is left of a bound for the way of the store's answer.
const WAY: Duration = Duration::from_millis(300);
/// How much sooner than trust ends a box that tells stops to wait for news.
const TELL_MARGIN: Duration = Duration::from_millis(400);
/// Room for the answer of a watch that proves a kind.
const PROOF_SLACK: Duration = Duration::from_millis(200);
/// A bound shorter than this is no bound that can be kept.
const LEAST_BOUND: Duration = Duration::from_secs(1);

/// The times that follow from how soon a change that binds callers must be heeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTimes {
    /// A box asks the store for itself when the last proof it heard of is older than this.
    pub max_proof_age: Duration,
    /// A box whose oldest proof is older than this does not wait for news.
    pub tell: Duration,
    /// The watch that proves a kind to be current. One whose answer is overdue is begun again while the last proof is
    /// still good.
    pub proof: WatchTime,
}

impl FeedTimes {
    /// The times where changes must be heeded within `bound` of the store's acknowledgement.
    pub fn for_bound(bound: Duration) -> Self {
        let hear = bound.max(LEAST_BOUND).saturating_sub(WAY);
        let proof = WatchTime { wait: hear / 2, slack: PROOF_SLACK };
        Self { max_proof_age: hear, tell: hear.saturating_sub(TELL_MARGIN), proof }
    }
}
