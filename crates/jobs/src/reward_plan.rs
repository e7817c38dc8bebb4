//! When a reward call is made again at another target, and how long it may take.
//!
//! The pattern: most calls end within the route's goal, a few take several times as long wherever and
//! however often they are made, and now and then a target is silent. A limit that cuts the long ones off
//! never ends them, and all others of the step wait. Without a second call, a silent target
//! costs the whole limit. So a call goes on while the same call is made elsewhere, and the first good
//! answer counts.

use std::time::Duration;

/// Longest time of a reward call whose route names none: twice that of the longest calls seen.
const MOST_TIME: Duration = Duration::from_secs(3);
/// Shortest time before the call is made elsewhere as well: a busy target's queue lasts about as long.
const LEAST_PATIENCE: Duration = Duration::from_millis(300);
/// Longest such time: a trainer waits for the sample.
const MOST_PATIENCE: Duration = Duration::from_millis(900);
/// Targets that work on one call at a time, at most.
const MOST_AT_ONCE: u32 = 3;

/// When one reward call is made, and until when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RewardHedgePlan {
    patience: Duration,
    limit: Duration,
}

impl RewardHedgePlan {
    /// The plan for a route with this goal and this longest time.
    pub fn new(goal: Option<Duration>, timeout: Option<Duration>) -> Self {
        let patience = goal.unwrap_or(MOST_PATIENCE).clamp(LEAST_PATIENCE, MOST_PATIENCE);
        Self { patience, limit: timeout.unwrap_or(MOST_TIME) }
    }

    /// How long after the first call all of them end.
    pub const fn limit(&self) -> Duration {
        self.limit
    }

    /// How long after the first call the one after `made` others is made; `None` when there is none.
    /// Each waits twice as long as the one before it.
    pub fn next_call(&self, made: u32) -> Option<Duration> {
        let waits = (1_u32 << made.min(MOST_AT_ONCE)) - 1;
        let at = self.patience * waits;
        (made < MOST_AT_ONCE && at < self.limit).then_some(at)
    }
}
