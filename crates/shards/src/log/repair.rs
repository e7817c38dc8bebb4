//! Pulls the sealed segments that this box lacks in the background.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use ids::{ShardIndex, whole_millis};
use joblog::{RetryPause, ShardPlan, StorageBox, missing_segments, segment_sources};
use links::LinkPool;
use node::NodeView;
use tokio::task;
use tokio::time::{self, Instant};

use crate::log::copies::OpenCopies;
use crate::log::fetch::{MissingSegment, SegmentFetcher};
use crate::log::held::{HeldReport, HeldTable};

/// Interval at which the plans are compared with the disk.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes per second that are pulled in the background. A tenth of a storage box's link, so that
/// appends are not delayed.
const REPAIR_BYTES_PER_SECOND: u32 = 4_000_000;

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
}

impl SegmentRepair {
    /// Creates the repair task of box `me`.
    pub const fn new(
        me: StorageBox,
        view: Arc<NodeView>,
        copies: OpenCopies,
        links: LinkPool,
        held: Arc<HeldTable>,
    ) -> Self {
        Self { me, view, copies, links, held }
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

    /// Pulls missing segments, one at a time.
    async fn pull_missing(&self) {
        let mut retries = HashMap::new();
        loop {
            let plans = self.plans();
            let held = self.scan(&plans).await;
            match self.next_missing(&plans, &held, &retries) {
                Some((shard, missing)) => self.pull(shard, &missing, &mut retries).await,
                None => time::sleep(SCAN_INTERVAL).await,
            }
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

    /// Returns the next segment to pull. Shards whose last pull failed wait for their pause.
    fn next_missing(
        &self,
        plans: &BTreeMap<ShardIndex, ShardPlan>,
        held: &BTreeMap<ShardIndex, HeldReport>,
        retries: &HashMap<ShardIndex, ShardRetries>,
    ) -> Option<(ShardIndex, MissingSegment)> {
        let now = Instant::now();
        let may_pull = |shard: &ShardIndex| {
            let not_before = retries.get(shard).and_then(|retries| retries.not_before);
            not_before.is_none_or(|not_before| now >= not_before)
        };
        plans.iter().filter(|(shard, _)| may_pull(shard)).find_map(|(shard, plan)| {
            let held = &held.get(shard)?.segments;
            let segment = *missing_segments(plan, &self.me.box_id, held).first()?;
            let sources = segment_sources(plan, segment, &self.me, &[]);
            let sources = sources.into_iter().cloned().collect();
            Some((*shard, MissingSegment { segment: segment.clone(), sources }))
        })
    }

    async fn pull(
        &self,
        shard: ShardIndex,
        missing: &MissingSegment,
        retries: &mut HashMap<ShardIndex, ShardRetries>,
    ) {
        let (copies, links) = (self.copies.clone(), self.links.clone());
        let fetcher = SegmentFetcher::new(copies, links, shard, Some(REPAIR_BYTES_PER_SECOND));
        match fetcher.fetch(missing).await {
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
}
