//! The search for a job among the shards, and what may be said when none has answered.
//!
//! A job's id does not tell its trainer, so an entry box that has not heard of a job asks the servers of all
//! shards at once whether they hold it, and remembers where it is. Where none says so, that is
//! the whole truth only once all of them are sure: a job that is kept by a shard without a server, or
//! by one that did not answer, must not be called unknown.

use std::collections::{HashMap, VecDeque};

use ids::ShardIndex;

/// Jobs remembered: those of some minutes at hundreds of trainers' calls a box, in a few tens of kilobytes.
const MOST_PLACES: usize = 512;

/// Which shards hold the jobs that this box has heard of lately.
#[derive(Debug, Default)]
pub struct JobPlaces {
    shards: HashMap<String, ShardIndex>,
    /// In the order in which they were first heard of.
    order: VecDeque<String>,
}

impl JobPlaces {
    /// The shard that holds a job, if it is remembered.
    pub fn shard(&self, job: &str) -> Option<ShardIndex> {
        self.shards.get(job).copied()
    }

    /// Remembers which shard holds a job, in place of the job that was heard of first.
    pub fn put(&mut self, job: &str, shard: ShardIndex) {
        if self.shards.insert(job.to_owned(), shard).is_some() {
            return;
        }
        self.order.push_back(job.to_owned());
        if self.order.len() > MOST_PLACES
            && let Some(first) = self.order.pop_front()
        {
            self.shards.remove(&first);
        }
    }

    /// Forgets a job that its shard does not hold any more.
    pub fn forget(&mut self, job: &str) {
        if self.shards.remove(job).is_some() {
            self.order.retain(|known| known != job);
        }
    }
}

/// How a call to a shard ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardFault {
    /// Nobody serves the shard now, or its server could not be reached: nothing was done.
    NotServed,
    /// It may have been done.
    Unknown,
    /// There is no such job.
    NoJob,
    /// The job has no such item.
    NoItem,
    /// The shard has no room.
    Full,
    /// Another customer's job has the id.
    Taken,
}

/// What is known after some shards have failed to answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct JobSearch {
    worst: Option<ShardFault>,
}

impl JobSearch {
    /// Takes how one shard failed to answer; `true` when no other can know more.
    pub fn failed(&mut self, fault: ShardFault) -> bool {
        if self.worst.is_none_or(|worst| doubt(fault) > doubt(worst)) {
            self.worst = Some(fault);
        }
        // The shard holds the job.
        fault == ShardFault::NoItem
    }

    /// What holds once no shard is left to be asked; where there is none, none is served.
    pub fn end(self) -> ShardFault {
        self.worst.unwrap_or(ShardFault::NotServed)
    }
}

/// How much a fault leaves open: only what every shard agrees on is sure.
const fn doubt(fault: ShardFault) -> u8 {
    match fault {
        ShardFault::NoJob => 0,
        ShardFault::Full | ShardFault::Taken => 1,
        ShardFault::NotServed => 2,
        ShardFault::Unknown => 3,
        // Said by the shard that holds the job, whatever the others say.
        ShardFault::NoItem => 4,
    }
}
