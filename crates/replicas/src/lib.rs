//! Decides how many replicas of a service each failure domain should have, and when to order them.
//!
//! A deployment is given a number of replicas in each domain. Replicas that are lost permanently
//! are ordered again, so that the service keeps that number. An order states the total number for a
//! domain and is therefore idempotent.
//!
//! This crate does no I/O and reads no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{DomainId, Moment};
use serde::{Deserialize, Serialize};

/// How long a domain must lack replicas before an order. A crashed target is unlisted for about two
/// seconds while it restarts, and a replacement ordered meanwhile would have to be drained again.
const SHORTAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Initial delay before an order is repeated, for the replica to start and be listed.
const MIN_REPEAT_DELAY: Duration = Duration::from_secs(10);
/// Maximum delay before an order is repeated. Each order is a billed call, even without capacity.
const MAX_REPEAT_DELAY: Duration = Duration::from_mins(1);

/// Limits for the number of replicas in a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLimits {
    /// Minimum number of replicas.
    pub min: u32,
    /// Maximum number of replicas.
    pub max: u32,
}

impl ReplicaLimits {
    const fn clamp(self, wanted: u32) -> u32 {
        let wanted = if wanted < self.min { self.min } else { wanted };
        if wanted > self.max { self.max } else { wanted }
    }
}

/// Number of replicas that a service was given in each domain. Kept in the store, so that a box
/// that takes over does not mistake a shortage for the given number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaselineReplicas {
    /// Number of replicas by domain.
    pub domains: BTreeMap<DomainId, u32>,
}

/// An order for the total number of replicas in a domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaOrder {
    /// The domain.
    pub domain: DomainId,
    /// Total number of replicas.
    pub desired: u32,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was accepted.
    Accepted,
    /// No capacity is available in the domain.
    NoCapacity,
    /// The order was not accepted, or the outcome is unknown.
    Failed,
}

#[derive(Debug, Clone, Copy)]
struct LastOrder {
    desired: u32,
    not_before: Moment,
    delay: Duration,
}

/// Order state of one service.
#[derive(Debug, Clone, Default)]
pub struct ReplicaPlan {
    /// Domains that lack replicas, and since when.
    shortages: BTreeMap<DomainId, Moment>,
    last_orders: BTreeMap<DomainId, LastOrder>,
}

impl ReplicaPlan {
    /// Returns the due orders. `listed` is the number of serving replicas by domain. Nothing is due
    /// unless it `is_current`: a store that is unavailable, or has just recovered, lists too few.
    pub fn due(
        &mut self,
        now: Moment,
        baseline: &BaselineReplicas,
        limits: ReplicaLimits,
        listed: &BTreeMap<DomainId, u32>,
        is_current: bool,
    ) -> Vec<ReplicaOrder> {
        if !is_current {
            self.shortages.clear();
            return Vec::new();
        }
        let mut due = Vec::new();
        for (domain, wanted) in &baseline.domains {
            let desired = limits.clamp(*wanted);
            if listed.get(domain).copied().unwrap_or_default() >= desired {
                self.shortages.remove(domain);
                self.last_orders.remove(domain);
                continue;
            }
            let since = *self.shortages.entry(domain.clone()).or_insert(now);
            let is_delayed = self.last_orders.get(domain).is_some_and(|last_order| {
                last_order.desired == desired && now < last_order.not_before
            });
            if now.since(since) >= SHORTAGE_TIMEOUT && !is_delayed {
                due.push(ReplicaOrder { domain: domain.clone(), desired });
            }
        }
        due
    }

    /// Applies the outcome of an order, which sets the delay before it is repeated.
    pub fn order_done(&mut self, now: Moment, order: &ReplicaOrder, outcome: OrderOutcome) {
        let previous = self.last_orders.get(&order.domain).map(|last_order| last_order.delay);
        let delay = match outcome {
            // Orders are idempotent, so the delay is short.
            OrderOutcome::Failed => Duration::from_secs(1),
            OrderOutcome::Accepted | OrderOutcome::NoCapacity => previous
                .map_or(MIN_REPEAT_DELAY, |delay| {
                    (delay * 2).clamp(MIN_REPEAT_DELAY, MAX_REPEAT_DELAY)
                }),
        };
        let state = LastOrder { desired: order.desired, not_before: now + delay, delay };
        self.last_orders.insert(order.domain.clone(), state);
    }
}
