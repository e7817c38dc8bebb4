//! How many requests a cold target gets.
//!
//! A target that has just started, or whose failure domain is taken into use again, bears only so many requests a
//! second for a while, and falls over when all work flows back to it at once. The bound holds over all boxes
//! together, also over those that hear nothing of each other, so each sender keeps to a part of it that is its own
//! whatever the others do. The senders are the shards: of each, two boxes may send at one moment, since a former
//! server may not know yet that it is none. Where there are more of them than requests, each target is left to some
//! of the shards. Whoever is no shard's server has no part, and sends to targets that are warm.

use std::collections::VecDeque;
use std::time::Duration;

use ids::{InstanceId, Moment, ShardIndex};
use xxhash_rust::xxh3::xxh3_64;

/// Boxes that may serve one shard at one moment, for all that they know.
const SERVERS_AT_ONCE: u32 = 2;
/// The second of the bound, and by how much less time a request may take to its target than one before it.
const WINDOW: Duration = Duration::from_millis(1_250);

/// What a service's targets bear while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// How long a target is cold after its start.
    pub time: Duration,
    /// Requests a second that a cold target bears.
    pub per_second: f64,
}

/// How far above what a cold target bears its requests may go.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor of the requests a second.
    pub excess: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self { excess: 1.0, slack: 0.0 }
    }
}

/// The rate of a cold target, in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// How long a target is cold after its start.
    pub time: Duration,
    /// Requests that it may get in any second, from all boxes together.
    pub most: u32,
}

/// The shard for whose items a box sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdSender {
    /// The shard.
    pub shard: ShardIndex,
    /// All shards.
    pub shards: u32,
}

impl ColdLimit {
    /// The limit of a service's targets.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float's conversion saturates"
    )]
    pub fn new(spec: &ColdSpec, bound: ColdBound) -> Self {
        let most = (spec.per_second * bound.excess + bound.slack).max(0.0).floor() as u32;
        Self { time: spec.time, most }
    }

    /// Requests that one server of the sender's shard may send to `target` in any second.
    pub fn part(&self, target: &InstanceId, sender: ColdSender) -> u32 {
        let shards = sender.shards.max(1);
        let of_shard = self.most / SERVERS_AT_ONCE;
        if of_shard >= shards {
            return of_shard / shards;
        }
        let first = u32::try_from(xxh3_64(target.as_str().as_bytes()) % u64::from(shards));
        let place = (sender.shard.get() % shards + shards - first.unwrap_or(0)) % shards;
        u32::from(place < of_shard)
    }
}

/// The requests that this box has sent to one target a moment ago.
#[derive(Debug, Default)]
pub(crate) struct SendWindow(VecDeque<Moment>);

impl SendWindow {
    /// Notes a request.
    pub fn note(&mut self, now: Moment) {
        while self.0.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// How many were sent within the window.
    pub fn count(&self, now: Moment) -> u32 {
        let recent = self.0.iter().rev().take_while(|at| now.since(**at) < WINDOW);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }
}
