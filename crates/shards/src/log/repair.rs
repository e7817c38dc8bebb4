//! Pulls the sealed segments that this box lacks in the background.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use futures::future;
use ids::{BoxId, ByteRate, ShardIndex, whole_millis};
use joblog::{
    PullLimits, RetryPause, SealedSegment, ShardPlan, StorageBox, missing_segments, segment_sources,
};
use links::LinkPool;
use node::NodeView;
use tokio::task;
use tokio::time::{self, Instant};

use crate::log::copies::OpenCopies;
use crate::log::fetch::{FetchError, MissingSegment, SegmentFetcher};
use crate::log::held::{HeldReport, HeldTable};

/// Interval at which the plans are compared with the disk.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);
/// Number of segments that are pulled at the same time. Between regions, a round trip for each piece
/// limits a single pull.
const CONCURRENT_PULLS: usize = 4;

/// Retries of one shard's pulls.
#[derive(Debug, Default)]
struct ShardRetries {
    pause: RetryPause,
    /// When the next attempt may start.
    not_before: Option<Instant>,
}

impl ShardRetries {
    /// Records a failure and returns the pause before the next attempt.
    fn record_failure(&mut self) -> Duration {
        let pause = self.pause.record_failure();
        self.not_before = Some(Instant::now() + pause);
        pause
    }
}

/// Repairs the sealed segments of this box.
#[derive(Debug)]
pub struct SegmentRepair {
    me: StorageBox,
    view: Arc<NodeView>,
    copies: OpenCopies,
    links: LinkPool,
    held: Arc<HeldTable>,
    limits: PullLimits,
}

impl SegmentRepair {
    /// Creates the repair task of box `me`.
    pub const fn new(
        me: StorageBox,
        view: Arc<NodeView>,
        copies: OpenCopies,
        links: LinkPool,
        held: Arc<HeldTable>,
        limits: PullLimits,
    ) -> Self {
        Self { me, view, copies, links, held, limits }
    }

    /// Runs until the box stops.
    pub async fn run(self) {
        // Reports stay current during a pull, which takes seconds.
        tokio::join!(self.report_held(), self.pull_missing());
    }

    /// Compares the plans with the disk at intervals, for heartbeats.
    async fn report_held(&self) {
        loop {
            self.held.replace(self.scan(&self.plans()).await);
            time::sleep(SCAN_INTERVAL).await;
        }
    }

    /// Pulls missing segments, several at a time.
    async fn pull_missing(&self) {
        let mut retries = HashMap::new();
        let mut missing_since = None;
        loop {
            let plans = self.plans();
            let held = self.scan(&plans).await;
            let missing = all_missing(&plans, &held, &self.me.box_id);
            if missing.is_empty() {
                missing_since = None;
                time::sleep(SCAN_INTERVAL).await;
                continue;
            }
            let bytes = missing.iter().map(|(_, segment)| segment.len).sum();
            let since = *missing_since.get_or_insert_with(|| {
                self.warn_if_insufficient(bytes);
                Instant::now()
            });
            let due = self.due_pulls(&plans, &missing, &retries);
            if due.is_empty() {
                time::sleep(SCAN_INTERVAL).await;
                continue;
            }
            let rate = self.limits.rate(bytes, since.elapsed()).divided_by(due.len());
            let pulls = due.iter().map(|(shard, missing)| self.pull(*shard, missing, rate));
            for (shard, outcome) in future::join_all(pulls).await {
                record_outcome(&mut retries, shard, outcome);
            }
        }
    }

    fn warn_if_insufficient(&self, bytes: u64) {
        if !self.limits.is_sufficient(bytes) {
            log::warn!(
                target: "shard", bytes = bytes, time_ms = whole_millis(self.limits.time());
                "missing segments are too large to be pulled in time"
            );
        }
    }

    /// Returns the plans that name this box, for the open segment or for a sealed one.
    fn plans(&self) -> BTreeMap<ShardIndex, ShardPlan> {
        let assignments = self.view.assignments();
        let named =
            assignments.plans().filter(|(_, observed)| observed.plan.names(&self.me.box_id));
        named.map(|(shard, observed)| (shard, observed.plan.clone())).collect()
    }

    /// Reads which segments of these plans this box holds.
    async fn scan(
        &self,
        plans: &BTreeMap<ShardIndex, ShardPlan>,
    ) -> BTreeMap<ShardIndex, HeldReport> {
        let (folder, plans) = (self.copies.folder().clone(), plans.clone());
        let scanned = task::spawn_blocking(move || {
            let read = |(shard, plan)| (shard, HeldReport::read(&folder, shard, &plan));
            plans.into_iter().map(read).collect()
        });
        // Without a result the box reports no segments, which only delays an update of the plan.
        scanned.await.unwrap_or_default()
    }

    /// Returns the segments to pull now. Shards whose last pull failed wait for their pause.
    fn due_pulls(
        &self,
        plans: &BTreeMap<ShardIndex, ShardPlan>,
        missing: &[(ShardIndex, &SealedSegment)],
        retries: &HashMap<ShardIndex, ShardRetries>,
    ) -> Vec<(ShardIndex, MissingSegment)> {
        let now = Instant::now();
        let may_pull = |shard: &ShardIndex| {
            let not_before = retries.get(shard).and_then(|retries| retries.not_before);
            not_before.is_none_or(|not_before| now >= not_before)
        };
        let due = missing.iter().filter(|(shard, _)| may_pull(shard)).take(CONCURRENT_PULLS);
        let pulls = due.filter_map(|(shard, segment)| {
            let plan = plans.get(shard)?;
            let sources = segment_sources(plan, segment, &self.me, &[]);
            let sources = sources.into_iter().cloned().collect();
            Some((*shard, MissingSegment { segment: (*segment).clone(), sources }))
        });
        pulls.collect()
    }

    async fn pull(
        &self,
        shard: ShardIndex,
        missing: &MissingSegment,
        rate: ByteRate,
    ) -> (ShardIndex, Result<(), FetchError>) {
        let (copies, links) = (self.copies.clone(), self.links.clone());
        let fetcher = SegmentFetcher::new(copies, links, shard, Some(rate));
        (shard, fetcher.fetch(missing).await)
    }
}

/// Returns the segments of all shards that box `me` lacks.
fn all_missing<'a>(
    plans: &'a BTreeMap<ShardIndex, ShardPlan>,
    held: &BTreeMap<ShardIndex, HeldReport>,
    me: &BoxId,
) -> Vec<(ShardIndex, &'a SealedSegment)> {
    let mut missing = Vec::new();
    for (shard, plan) in plans {
        let Some(report) = held.get(shard) else { continue };
        let segments = missing_segments(plan, me, &report.segments);
        missing.extend(segments.into_iter().map(|segment| (*shard, segment)));
    }
    missing
}

/// Records whether a pull of a shard's segment failed.
fn record_outcome(
    retries: &mut HashMap<ShardIndex, ShardRetries>,
    shard: ShardIndex,
    outcome: Result<(), FetchError>,
) {
    match outcome {
        Ok(()) => {
            retries.remove(&shard);
        }
        Err(error) => {
            let pause = retries.entry(shard).or_default().record_failure();
            log::warn!(
                target: "shard", shard = shard.get(), error:% = error,
                pause_ms = whole_millis(pause);
                "segment not pulled"
            );
        }
    }
}
