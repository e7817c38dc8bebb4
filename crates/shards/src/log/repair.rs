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
use crate::log::fetch::{FetchError, MissingSegment, SegmentFetcher};
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

/// Repairs the sealed segments of this box, one at a time.
#[derive(Debug)]
pub struct SegmentRepair {
    me: StorageBox,
    view: Arc<NodeView>,
    copies: OpenCopies,
    links: LinkPool,
    held: Arc<HeldTable>,
    retries: HashMap<ShardIndex, ShardRetries>,
}

impl SegmentRepair {
    /// Creates the repair task of box `me`.
    pub fn new(
        me: StorageBox,
        view: Arc<NodeView>,
        copies: OpenCopies,
        links: LinkPool,
        held: Arc<HeldTable>,
    ) -> Self {
        Self { me, view, copies, links, held, retries: HashMap::new() }
    }

    /// Runs until the box stops.
    pub async fn run(mut self) {
        loop {
            let plans = self.plans();
            let held = self.scan(&plans).await;
            let missing = self.next_missing(&plans, &held);
            self.held.replace(held);
            match missing {
                Some((shard, missing)) => self.pull(shard, &missing).await,
                None => time::sleep(SCAN_INTERVAL).await,
            }
        }
    }

    fn plans(&self) -> BTreeMap<ShardIndex, ShardPlan> {
        let assignments = self.view.assignments();
        assignments.plans().map(|(shard, observed)| (shard, observed.plan.clone())).collect()
    }

    /// Reads which segments this box holds, for the plans that name it.
    async fn scan(
        &self,
        plans: &BTreeMap<ShardIndex, ShardPlan>,
    ) -> BTreeMap<ShardIndex, HeldReport> {
        let named = plans.iter().filter(|(_, plan)| plan.names(&self.me.box_id));
        let named: Vec<(ShardIndex, ShardPlan)> =
            named.map(|(shard, plan)| (*shard, plan.clone())).collect();
        let folder = self.copies.folder().clone();
        let scanned = task::spawn_blocking(move || {
            let read = |(shard, plan)| (shard, HeldReport::read(&folder, shard, &plan));
            named.into_iter().map(read).collect()
        });
        // Without a result the box reports no segments, which only delays an update of the plan.
        scanned.await.unwrap_or_default()
    }

    /// Returns the next segment to pull. Shards whose last pull failed wait for their pause.
    fn next_missing(
        &self,
        plans: &BTreeMap<ShardIndex, ShardPlan>,
        held: &BTreeMap<ShardIndex, HeldReport>,
    ) -> Option<(ShardIndex, MissingSegment)> {
        let now = Instant::now();
        plans.iter().filter(|(shard, _)| self.may_pull(now, **shard)).find_map(|(shard, plan)| {
            let held = &held.get(shard)?.segments;
            let segment = *missing_segments(plan, &self.me.box_id, held).first()?;
            let sources = segment_sources(plan, segment, &self.me, &[]);
            let sources = sources.into_iter().cloned().collect();
            Some((*shard, MissingSegment { segment: segment.clone(), sources }))
        })
    }

    fn may_pull(&self, now: Instant, shard: ShardIndex) -> bool {
        let retries = self.retries.get(&shard);
        retries.and_then(|retries| retries.not_before).is_none_or(|not_before| now >= not_before)
    }

    async fn pull(&mut self, shard: ShardIndex, missing: &MissingSegment) {
        let fetcher = SegmentFetcher::new(
            self.copies.clone(),
            self.links.clone(),
            shard,
            Some(REPAIR_BYTES_PER_SECOND),
        );
        match fetcher.fetch(missing).await {
            Ok(()) => {
                self.retries.remove(&shard);
            }
            Err(error) => self.record_failure(shard, &error),
        }
    }

    fn record_failure(&mut self, shard: ShardIndex, error: &FetchError) {
        let retries = self.retries.entry(shard).or_default();
        let pause = retries.pause.record_failure();
        retries.not_before = Some(Instant::now() + pause);
        log::warn!(
            target: "shard", shard = shard.get(), error:% = error, pause_ms = whole_millis(pause);
            "segment not pulled"
        );
    }
}
