//! Fair shares of customers.
//!
//! Start-time fair queueing: the customer that was granted least goes first. A returning customer
//! starts at the minimum of the active ones, so it gains no credit while it is inactive.

use std::collections::HashMap;
use std::iter;

use ids::CustomerName;

/// Number of customers above which inactive ones are forgotten.
const MAX_CUSTOMERS: usize = 1_024;

#[derive(Debug, Clone, Copy, Default)]
struct Share {
    granted: u64,
    waiting: u32,
    in_use: u32,
}

impl Share {
    const fn is_active(self) -> bool {
        self.waiting > 0 || self.in_use > 0
    }
}

/// Grants and waiting requests of each customer. Callers without a customer have one share together.
#[derive(Debug, Clone, Default)]
pub(crate) struct CustomerShares {
    customers: HashMap<CustomerName, Share>,
    anonymous: Share,
}

impl CustomerShares {
    /// Records that a request of the customer waits.
    pub fn enqueued(&mut self, customer: Option<&CustomerName>) {
        if self.customers.len() > MAX_CUSTOMERS {
            self.customers.retain(|_, share| share.is_active());
        }
        let is_active = self.share(customer).is_active();
        let min_granted = if is_active { 0 } else { self.min_granted().unwrap_or_default() };
        let share = match customer {
            Some(customer) => self.customers.entry(customer.clone()).or_default(),
            None => &mut self.anonymous,
        };
        share.granted = share.granted.max(min_granted);
        share.waiting += 1;
    }

    /// Records that a waiting request left the queue.
    pub fn dequeued(&mut self, customer: Option<&CustomerName>) {
        if let Some(share) = self.share_mut(customer) {
            share.waiting = share.waiting.saturating_sub(1);
        }
    }

    /// Records a grant to a request that had been enqueued.
    pub fn granted(&mut self, customer: Option<&CustomerName>) {
        if let Some(share) = self.share_mut(customer) {
            share.granted += 1;
            share.in_use += 1;
        }
    }

    /// Records the end of a permit.
    pub fn released(&mut self, customer: Option<&CustomerName>) {
        if let Some(share) = self.share_mut(customer) {
            share.in_use = share.in_use.saturating_sub(1);
        }
    }

    /// Number of grants to the customer, comparable with those of other active customers.
    pub fn grants(&self, customer: Option<&CustomerName>) -> u64 {
        self.share(customer).granted
    }

    /// Grants that the customer would have if all its waiting requests were granted.
    pub fn claimed(&self, customer: Option<&CustomerName>) -> u64 {
        let share = self.share(customer);
        share.granted + u64::from(share.waiting)
    }

    fn share(&self, customer: Option<&CustomerName>) -> Share {
        match customer {
            Some(customer) => self.customers.get(customer).copied().unwrap_or_default(),
            None => self.anonymous,
        }
    }

    fn share_mut(&mut self, customer: Option<&CustomerName>) -> Option<&mut Share> {
        match customer {
            Some(customer) => self.customers.get_mut(customer),
            None => Some(&mut self.anonymous),
        }
    }

    fn min_granted(&self) -> Option<u64> {
        let shares = self.customers.values().chain(iter::once(&self.anonymous));
        shares.filter(|share| share.is_active()).map(|share| share.granted).min()
    }
}
