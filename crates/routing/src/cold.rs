//! Rate limits for cold targets.
//!
//! A target that has just started, or whose failure domain is in use again after an evacuation,
//! can handle only a limited request rate for a while. The limit applies to all boxes together,
//! even if they can't communicate, so each sender has a fixed quota. The senders are the shards.
//! Two boxes may send for one shard at a time, because a former server may not have noticed its
//! replacement yet. If the limit is too low for every shard to have a quota, each target is assigned
//! to some of the shards. Boxes that serve no shard have no quota and use warm targets only.

use std::collections::VecDeque;
use std::time::Duration;

use ids::{InstanceId, Moment, ShardIndex};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of boxes that may act as server of one shard at the same time.
const MAX_SERVERS_PER_SHARD: u32 = 2;
/// Window over which requests are counted: the second of the limit, plus the difference in transit
/// time between two requests to a target.
const RATE_WINDOW: Duration = Duration::from_millis(1_250);

/// Configured limit for a service's cold targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// How long a target is cold after its start.
    pub time: Duration,
    /// Requests per second that a cold target can handle.
    pub per_second: f64,
}

/// Tolerance above the configured rate of a cold target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor applied to the rate.
    pub excess: f64,
    /// Requests per second added to the product.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self { excess: 1.0, slack: 0.0 }
    }
}

/// Effective rate limit for cold targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// How long a target is cold after its start.
    pub time: Duration,
    /// Maximum number of requests per target in any second, from all boxes together.
    pub max_per_second: u32,
}

/// The shard on whose behalf a box sends requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdSender {
    /// Index of the shard.
    pub shard: ShardIndex,
    /// Total number of shards.
    pub shards: u32,
}

impl ColdLimit {
    /// Computes the limit from the configured rate and the tolerance.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float's conversion saturates"
    )]
    pub fn new(spec: &ColdSpec, bound: ColdBound) -> Self {
        let max_per_second = (spec.per_second * bound.excess + bound.slack).max(0.0).floor() as u32;
        Self { time: spec.time, max_per_second }
    }

    /// Number of requests that one server of the sender's shard may send to `target` in any second.
    pub fn quota(&self, target: &InstanceId, sender: ColdSender) -> u32 {
        let shards = sender.shards.max(1);
        let shared_quota = self.max_per_second / MAX_SERVERS_PER_SHARD;
        if shared_quota >= shards {
            return shared_quota / shards;
        }
        let first_shard = u32::try_from(xxh3_64(target.as_str().as_bytes()) % u64::from(shards));
        let offset = (sender.shard.get() % shards + shards - first_shard.unwrap_or(0)) % shards;
        u32::from(offset < shared_quota)
    }
}

/// Times of the requests that this box sent to one target within the window.
#[derive(Debug, Default)]
pub(crate) struct SendWindow(VecDeque<Moment>);

impl SendWindow {
    /// Records a request.
    pub fn record(&mut self, now: Moment) {
        while self.0.front().is_some_and(|at| now.since(*at) >= RATE_WINDOW) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Number of requests sent within the window.
    pub fn count(&self, now: Moment) -> u32 {
        let recent = self.0.iter().rev().take_while(|at| now.since(**at) < RATE_WINDOW);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }
}
