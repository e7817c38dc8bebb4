//! Fair shares of customers.
//!
//! Start-time fair queueing: within a priority, the customer that received least service goes
//! first. A customer that had nothing waiting starts at the minimum of those that have, so that it
//! gains no credit for time in which it asked for less than its share.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ids::{CustomerName, Priority};

/// Number of shares above which inactive ones are forgotten.
const MAX_SHARES: usize = 1_024;
/// Maximum service that a customer which had nothing waiting counts as having received beyond the
/// others. Bounds how long they go first.
const MAX_LEAD: Duration = Duration::from_secs(1);

/// Refers to the share of a customer at a priority. Valid while the customer has a waiting request
/// or a permit there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShareIndex(usize);

type ShareKey = (Priority, Option<CustomerName>);

#[derive(Debug, Clone)]
struct Share {
    key: ShareKey,
    /// Service received in microseconds, comparable with that of others at this priority.
    received: u64,
    waiting: u32,
    in_use: u32,
}

impl Share {
    const fn is_active(&self) -> bool {
        self.waiting > 0 || self.in_use > 0
    }
}

/// Service and waiting requests by customer and priority. Callers without a customer have one share
/// together.
#[derive(Debug, Clone, Default)]
pub(crate) struct CustomerShares {
    shares: Vec<Share>,
    indexes: HashMap<ShareKey, usize>,
    free: Vec<usize>,
    /// Virtual time by priority: service received by the customer that was granted last.
    virtual_time: BTreeMap<Priority, u64>,
}

impl CustomerShares {
    /// Records that a request of the customer waits.
    pub fn enqueued(&mut self, priority: Priority, customer: Option<&CustomerName>) -> ShareIndex {
        let start = self.start(priority);
        let index = self.index(&(priority, customer.cloned()));
        let share = &mut self.shares[index];
        if share.waiting == 0 {
            share.received = share.received.clamp(start, start + micros(MAX_LEAD));
        }
        share.waiting += 1;
        ShareIndex(index)
    }

    /// Records that a waiting request left the queue.
    pub fn dequeued(&mut self, index: ShareIndex) {
        let share = &mut self.shares[index.0];
        share.waiting = share.waiting.saturating_sub(1);
    }

    /// Records a grant to a request that was dequeued, and charges the expected service.
    pub fn granted(&mut self, index: ShareIndex, expected: Duration) {
        let share = &mut self.shares[index.0];
        self.virtual_time.insert(share.key.0, share.received);
        share.received += micros(expected);
        share.in_use += 1;
    }

    /// Records the end of a permit, and replaces the expected service by the one received.
    pub fn released(&mut self, index: ShareIndex, expected: Duration, received: Duration) {
        let share = &mut self.shares[index.0];
        share.received = (share.received + micros(received)).saturating_sub(micros(expected));
        share.in_use = share.in_use.saturating_sub(1);
    }

    /// Service that the customer received, in microseconds.
    pub fn received(&self, index: ShareIndex) -> u64 {
        self.shares[index.0].received
    }

    /// Number of the customer's waiting requests.
    pub fn waiting(&self, index: ShareIndex) -> u32 {
        self.shares[index.0].waiting
    }

    /// Service that the customer would have if all its waiting requests ended, in microseconds.
    pub fn claimed(&self, index: ShareIndex, service_time: u64) -> u64 {
        let share = &self.shares[index.0];
        share.received + u64::from(share.waiting) * service_time
    }

    /// Service at which a customer with nothing waiting starts.
    fn start(&self, priority: Priority) -> u64 {
        let waiting =
            self.shares.iter().filter(|share| share.waiting > 0 && share.key.0 == priority);
        let min = waiting.map(|share| share.received).min();
        min.or_else(|| self.virtual_time.get(&priority).copied()).unwrap_or_default()
    }

    fn index(&mut self, key: &ShareKey) -> usize {
        if let Some(index) = self.indexes.get(key) {
            return *index;
        }
        if self.indexes.len() >= MAX_SHARES {
            self.forget_inactive();
        }
        let share = Share { key: key.clone(), received: 0, waiting: 0, in_use: 0 };
        let index = if let Some(index) = self.free.pop() {
            self.shares[index] = share;
            index
        } else {
            self.shares.push(share);
            self.shares.len() - 1
        };
        self.indexes.insert(key.clone(), index);
        index
    }

    fn forget_inactive(&mut self) {
        let (shares, free) = (&self.shares, &mut self.free);
        self.indexes.retain(|_, index| {
            let is_active = shares[*index].is_active();
            if !is_active {
                free.push(*index);
            }
            is_active
        });
    }
}

/// Whole microseconds of a duration. Saturates far below the maximum, so that sums don't overflow.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX / 4)
}
