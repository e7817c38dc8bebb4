//! Baseline placement policies, to compare with the product's policy.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{Moment, TargetId, VersionWindow};
use placement::{PlacementPolicy, TargetHint};
use rand::Rng;

/// Target loads as last reported by their homes, without requests placed since.
#[derive(Debug, Default)]
struct ReportedLoads(BTreeMap<TargetId, u32>);

impl ReportedLoads {
    fn record(&mut self, id: &TargetId, hint: &TargetHint) {
        self.0.insert(id.clone(), hint.running + hint.waiting);
    }

    fn load(&self, id: &TargetId) -> u32 {
        self.0.get(id).copied().unwrap_or_default()
    }
}

/// Chooses targets in turn, regardless of their load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

/// Chooses the target with the least reported load.
#[derive(Debug, Default)]
pub struct LeastReported {
    reports: ReportedLoads,
}

/// Chooses the target with the lower reported load of two random ones.
#[derive(Debug, Default)]
pub struct TwoRandom {
    reports: ReportedLoads,
}

/// Implements the methods that the baselines ignore.
macro_rules! ignore_other_events {
    () => {
        fn assume_limit(&mut self, _: u32) {}

        fn next_backoff_end(&self, _: Moment) -> Option<Moment> {
            None
        }

        fn placed(&mut self, _: &TargetId) {}

        fn ended(&mut self, _: &TargetId) {}

        fn succeeded(&mut self, _: &TargetId) {}

        fn failed(&mut self, _: Moment, _: &TargetId) {}

        fn refused(&mut self, _: Moment, _: &TargetId, _: Duration) {}
    };
}

impl PlacementPolicy for RoundRobin {
    fn choose<'a>(
        &mut self,
        _: Moment,
        pool: &'a [TargetId],
        _: Option<VersionWindow>,
        _: &mut impl Rng,
    ) -> Option<&'a TargetId> {
        let chosen = pool.get(self.next.checked_rem(pool.len())?);
        self.next = self.next.wrapping_add(1);
        chosen
    }

    fn hinted(&mut self, _: Moment, _: &TargetId, _: &TargetHint) {}

    ignore_other_events!();
}

impl PlacementPolicy for LeastReported {
    fn choose<'a>(
        &mut self,
        _: Moment,
        pool: &'a [TargetId],
        _: Option<VersionWindow>,
        _: &mut impl Rng,
    ) -> Option<&'a TargetId> {
        pool.iter().min_by_key(|id| self.reports.load(id))
    }

    fn hinted(&mut self, _: Moment, id: &TargetId, hint: &TargetHint) {
        self.reports.record(id, hint);
    }

    ignore_other_events!();
}

impl PlacementPolicy for TwoRandom {
    fn choose<'a>(
        &mut self,
        _: Moment,
        pool: &'a [TargetId],
        _: Option<VersionWindow>,
        rng: &mut impl Rng,
    ) -> Option<&'a TargetId> {
        let first = pool.get(rng.random_range(0..pool.len().max(1)))?;
        let second = pool.get(rng.random_range(0..pool.len()))?;
        [first, second].into_iter().min_by_key(|id| self.reports.load(id))
    }

    fn hinted(&mut self, _: Moment, id: &TargetId, hint: &TargetHint) {
        self.reports.record(id, hint);
    }

    ignore_other_events!();
}
