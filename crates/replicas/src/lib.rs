//! How many replicas of a service each failure domain should hold, and when that is ordered.
//!
//! A deployment is given a number of replicas in each domain. Those that crash for good, are lost or are taken away
//! are ordered anew, so that the work keeps as many as it was given. An order names the number that a domain should
//! hold, not how many to add: sent twice, or taken without an answer, it does no harm.
//!
//! Nothing here does I/O or reads a clock.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{DomainId, Moment};
use serde::{Deserialize, Serialize};

/// A domain must have been short for so long before replicas are ordered for it. A target that crashes and starts again
/// is off the list for some two seconds, and one replaced in that time would have to be drained again.
const SHORT_TIME: Duration = Duration::from_secs(5);
/// Pause before the same is ordered again: time to start, and to be listed.
const AGAIN_PAUSE: Duration = Duration::from_secs(10);
/// Longest such pause. Where none can be had, each try is a priced call.
const MOST_PAUSE: Duration = Duration::from_mins(1);

/// How many replicas a domain may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLimits {
    /// At least.
    pub least: u32,
    /// At most.
    pub most: u32,
}

impl ReplicaLimits {
    const fn clamp(self, wanted: u32) -> u32 {
        let wanted = if wanted < self.least { self.least } else { wanted };
        if wanted > self.most { self.most } else { wanted }
    }
}

/// Replicas that a service was given, by domain; lies in the store, so that a box which takes the duty over does not
/// take a shortage for what was given.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaselineReplicas {
    /// Replicas by domain.
    pub domains: BTreeMap<DomainId, u32>,
}

/// An order: how many replicas a domain should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaOrder {
    /// The domain.
    pub domain: DomainId,
    /// How many.
    pub desired: u32,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was taken.
    Taken,
    /// None can be had there now.
    NoCapacity,
    /// It was not taken, or nobody knows.
    Failed,
}

#[derive(Debug, Clone, Copy)]
struct OrderedState {
    desired: u32,
    not_before: Moment,
    pause: Duration,
}

/// The orders of one service's replicas.
#[derive(Debug, Clone, Default)]
pub struct ReplicaPlan {
    /// Domains that are short, and since when.
    short: BTreeMap<DomainId, Moment>,
    ordered: BTreeMap<DomainId, OrderedState>,
}

impl ReplicaPlan {
    /// The orders that are due: `listed` are the replicas that serve now. What is listed counts only while the list is
    /// `known` to be current: a store that is away, or has just come back, lists fewer than there are.
    pub fn due(
        &mut self,
        now: Moment,
        given: &BaselineReplicas,
        limits: ReplicaLimits,
        listed: &BTreeMap<DomainId, u32>,
        known: bool,
    ) -> Vec<ReplicaOrder> {
        if !known {
            self.short.clear();
            return Vec::new();
        }
        let mut due = Vec::new();
        for (domain, wanted) in &given.domains {
            let desired = limits.clamp(*wanted);
            if listed.get(domain).copied().unwrap_or_default() >= desired {
                self.short.remove(domain);
                self.ordered.remove(domain);
                continue;
            }
            let since = *self.short.entry(domain.clone()).or_insert(now);
            let pausing = self
                .ordered
                .get(domain)
                .is_some_and(|ordered| ordered.desired == desired && now < ordered.not_before);
            if now.since(since) >= SHORT_TIME && !pausing {
                due.push(ReplicaOrder { domain: domain.clone(), desired });
            }
        }
        due
    }

    /// Takes how an order ended.
    pub fn order_done(&mut self, now: Moment, order: &ReplicaOrder, outcome: OrderOutcome) {
        let before = self.ordered.get(&order.domain).map(|ordered| ordered.pause);
        let pause = match outcome {
            // Nothing may have been done: again soon, since it does no harm twice.
            OrderOutcome::Failed => Duration::from_secs(1),
            OrderOutcome::Taken | OrderOutcome::NoCapacity => {
                before.map_or(AGAIN_PAUSE, |pause| (pause * 2).clamp(AGAIN_PAUSE, MOST_PAUSE))
            }
        };
        let state = OrderedState { desired: order.desired, not_before: now + pause, pause };
        self.ordered.insert(order.domain.clone(), state);
    }
}
