//! Sealed segments that a box holds completely, as reported in heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use ids::{FencingToken, ShardIndex};
use joblog::{CopyFolder, ShardPlan};
use wire::peer::HeldSegments;

/// The sealed segments of a plan that a box holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldReport {
    /// Token of the plan that the box compared with its disk.
    pub plan: FencingToken,
    /// Tokens of the segments held.
    pub segments: BTreeSet<FencingToken>,
}

impl HeldReport {
    /// Compares a plan with the files of this box. Blocks on disk I/O.
    pub fn read(folder: &CopyFolder, shard: ShardIndex, plan: &ShardPlan) -> Self {
        let held = plan.sealed.iter().filter(|segment| folder.has_sealed(shard, segment));
        let segments = held.map(|segment| segment.epoch.token).collect();
        Self { plan: plan.epoch.token, segments }
    }

    /// Returns whether the box holds a segment of the plan with token `plan`; `None` if the report
    /// is about another plan.
    pub fn holds(&self, plan: FencingToken, segment: FencingToken) -> Option<bool> {
        (self.plan == plan).then(|| self.segments.contains(&segment))
    }
}

impl From<&HeldSegments> for HeldReport {
    fn from(held: &HeldSegments) -> Self {
        let segments = held.segments.iter().map(|token| FencingToken::new(*token));
        Self { plan: FencingToken::new(held.token), segments: segments.collect() }
    }
}

/// The reports of this box, by shard.
#[derive(Debug, Default)]
pub struct HeldTable(Mutex<BTreeMap<ShardIndex, HeldReport>>);

impl HeldTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ShardIndex, HeldReport>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all reports.
    pub fn replace(&self, reports: BTreeMap<ShardIndex, HeldReport>) {
        *self.lock() = reports;
    }

    /// Returns whether this box holds a segment of the plan with token `plan`; `None` if the last
    /// report is about another plan.
    pub fn holds(
        &self,
        shard: ShardIndex,
        plan: FencingToken,
        segment: FencingToken,
    ) -> Option<bool> {
        self.lock().get(&shard)?.holds(plan, segment)
    }

    /// Returns the reports as sent in heartbeats.
    pub fn to_wire(&self) -> Vec<HeldSegments> {
        let reports = self.lock();
        let to_wire = |(shard, report): (&ShardIndex, &HeldReport)| HeldSegments {
            shard: shard.get(),
            token: report.plan.get(),
            segments: report.segments.iter().map(|token| token.get()).collect(),
        };
        reports.iter().map(to_wire).collect()
    }
}
