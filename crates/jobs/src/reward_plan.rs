//! Schedule of hedged reward calls.
//!
//! Most calls complete within the route's goal, a few take several times as long on any target, and
//! sometimes a target doesn't respond. Cancelling slow calls would never complete the long ones,
//! and waiting for an unresponsive target would cost the full limit. So the first call continues
//! while hedges run on other targets, and the first successful response is used.

use std::time::Duration;

/// Time limit of a reward call if its route sets none.
const DEFAULT_LIMIT: Duration = Duration::from_secs(3);
/// Minimum delay of the first hedge; covers the queueing time of a busy target.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(300);
/// Maximum delay of the first hedge.
const MAX_HEDGE_DELAY: Duration = Duration::from_millis(900);
/// Maximum number of concurrent calls, the first one included.
const MAX_CALLS: u32 = 3;

/// Start times and time limit of the calls for one reward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RewardHedgePlan {
    first_delay: Duration,
    limit: Duration,
}

impl RewardHedgePlan {
    /// Creates the plan for a route with this latency goal and timeout.
    pub fn new(goal: Option<Duration>, timeout: Option<Duration>) -> Self {
        let first_delay = goal.unwrap_or(MAX_HEDGE_DELAY).clamp(MIN_HEDGE_DELAY, MAX_HEDGE_DELAY);
        Self { first_delay, limit: timeout.unwrap_or(DEFAULT_LIMIT) }
    }

    /// Returns the time limit of all calls, counted from the start of the first.
    pub const fn limit(&self) -> Duration {
        self.limit
    }

    /// Returns when to start the next call after `calls_made` calls, counted from the start of the
    /// first; `None` if no further call is allowed. The delay doubles with each call.
    pub fn next_call(&self, calls_made: u32) -> Option<Duration> {
        let delay_count = (1_u32 << calls_made.min(MAX_CALLS)) - 1;
        let at = self.first_delay * delay_count;
        (calls_made < MAX_CALLS && at < self.limit).then_some(at)
    }
}
