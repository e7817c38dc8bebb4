//! Search for a job among the shards, and the combined result if no shard returns it.
//!
//! A job's id doesn't determine its shard. For a job that is not cached, an entry box queries the
//! servers of all shards at once and caches the location. The job is unknown only if every shard
//! reports that it does not hold it: a shard without a server or a response may hold it.

use std::collections::{HashMap, VecDeque};

use ids::ShardIndex;

/// Maximum number of cached job locations. Covers some minutes at hundreds of trainers' calls per
/// box, in a few tens of kilobytes.
const MAX_LOCATIONS: usize = 512;

/// Bounded cache of the shards that hold recently used jobs.
#[derive(Debug, Default)]
pub struct JobLocations {
    shards: HashMap<String, ShardIndex>,
    /// Job ids in insertion order.
    order: VecDeque<String>,
}

impl JobLocations {
    /// Returns the shard that holds a job, if it is cached.
    pub fn shard(&self, job: &str) -> Option<ShardIndex> {
        self.shards.get(job).copied()
    }

    /// Caches which shard holds a job; evicts the oldest entry if the cache is full.
    pub fn put(&mut self, job: &str, shard: ShardIndex) {
        if self.shards.insert(job.to_owned(), shard).is_some() {
            return;
        }
        self.order.push_back(job.to_owned());
        if self.order.len() > MAX_LOCATIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.shards.remove(&oldest);
        }
    }

    /// Removes a job that its shard no longer holds.
    pub fn forget(&mut self, job: &str) {
        if self.shards.remove(job).is_some() {
            self.order.retain(|other| other != job);
        }
    }
}

/// Why a call to a shard returned no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardFault {
    /// The shard has no server or the server is unreachable; the call was not executed.
    NotServed,
    /// The call may have been executed.
    Unknown,
    /// The shard holds no such job.
    NoJob,
    /// The job has no such item.
    NoItem,
    /// The shard has no capacity.
    Full,
    /// The id belongs to another customer's job.
    Taken,
    /// No shard is entirely within the regions in which the job may be handled.
    OutsideRegions,
}

/// Combines the faults of several shards into one result.
#[derive(Debug, Clone, Copy, Default)]
pub struct JobSearch {
    worst: Option<ShardFault>,
}

impl JobSearch {
    /// Records the fault of one shard; returns `true` if the search can stop.
    pub fn failed(&mut self, fault: ShardFault) -> bool {
        if self.worst.is_none_or(|worst| uncertainty(fault) > uncertainty(worst)) {
            self.worst = Some(fault);
        }
        // The shard holds the job, so no other shard does.
        fault == ShardFault::NoItem
    }

    /// Returns the combined fault; `NotServed` if there were no shards.
    pub fn combined_fault(self) -> ShardFault {
        self.worst.unwrap_or(ShardFault::NotServed)
    }
}

/// Ranks faults by how uncertain they leave the result; the most uncertain fault wins.
const fn uncertainty(fault: ShardFault) -> u8 {
    match fault {
        ShardFault::NoJob => 0,
        ShardFault::Full | ShardFault::Taken | ShardFault::OutsideRegions => 1,
        ShardFault::NotServed => 2,
        ShardFault::Unknown => 3,
        // Reported by the shard that holds the job, so it overrides all others.
        ShardFault::NoItem => 4,
    }
}
