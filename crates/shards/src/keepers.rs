//! The shards of this box, once the shard count is agreed.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use ids::ShardIndex;
use joblog::{ShardLayout, TAKEOVER_TIMEOUT};
use node::StoreCall;
use node::assignments::{AssignmentSink, LAYOUT_NAME};
use node::follow::KindSink;
use platform::{Changed, Kind, StoreError};
use tokio::time::{self, Instant};

use crate::context::ShardContext;
use crate::keeper::ShardKeeper;

/// How long the first-ranked box waits for others to register before it proposes a shard count.
/// The boxes of a new deployment start well within this time.
const PROPOSAL_DELAY: Duration = Duration::from_secs(1);
/// Maximum interval between two checks if no change is notified.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The shards of this box; empty until the shard count is agreed.
#[derive(Debug, Default)]
pub struct KeeperSet(OnceLock<Vec<Arc<ShardKeeper>>>);

impl KeeperSet {
    /// Returns all shards.
    pub fn all(&self) -> &[Arc<ShardKeeper>] {
        self.0.get().map_or(&[][..], Vec::as_slice)
    }

    /// Returns one shard.
    pub fn get(&self, shard: ShardIndex) -> Option<&Arc<ShardKeeper>> {
        self.all().get(usize::try_from(shard.get()).unwrap_or(usize::MAX))
    }

    /// Waits for the shard count and creates a keeper for each shard.
    pub async fn start(&self, ctx: &Arc<ShardContext>) -> &[Arc<ShardKeeper>] {
        let layout = agreed_layout(ctx).await;
        let keepers = layout.all().map(|shard| Arc::new(ShardKeeper::new(Arc::clone(ctx), shard)));
        log::info!(
            target: "shard", shards = layout.shards, regions = layout.regions.len();
            "shard count agreed"
        );
        self.0.get_or_init(|| keepers.collect())
    }
}

/// Returns the shards from the settings or the stored layout; proposes a layout if there is none.
async fn agreed_layout(ctx: &ShardContext) -> ShardLayout {
    let started = Instant::now();
    let mut changes = ctx.view.changes();
    loop {
        if let Some(layout) = ctx.view.layout() {
            return layout;
        }
        if let Some(layout) = layout_to_propose(ctx, started.elapsed()) {
            propose_layout(ctx, layout).await;
            continue;
        }
        // Checks again after a change and after the timeout.
        let _elapsed = time::timeout(POLL_INTERVAL, changes.changed()).await;
    }
}

/// Returns the layout that this box should propose now, if it is its turn.
fn layout_to_propose(ctx: &ShardContext, waited: Duration) -> Option<ShardLayout> {
    let assignments = ctx.view.assignments();
    if !assignments.is_read() {
        return None;
    }
    // An existing deployment keeps its shard count. It started with a release without bound shards.
    if let Some(last) = assignments.last_shard() {
        return Some(ShardLayout::general(last.get() + 1));
    }
    let boxes: Vec<_> = assignments.boxes().map(|copy| copy.box_id.clone()).collect();
    let ranked = coord::rendezvous::ranked(LAYOUT_NAME, &boxes, boxes.len());
    let rank = ranked.iter().position(|box_id| **box_id == ctx.me.box_id)?;
    let delay = PROPOSAL_DELAY + TAKEOVER_TIMEOUT * u32::try_from(rank).unwrap_or(u32::MAX);
    let layout = ShardLayout::for_boxes(boxes.len(), ctx.settings.copies)
        .with_regions(ctx.view.regions().regions());
    (waited >= delay).then_some(layout)
}

/// Creates the layout object unless it exists, and reads back the stored one.
async fn propose_layout(ctx: &ShardContext, layout: ShardLayout) {
    ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::Write);
    let written = ctx.view.store.create(Kind::ClusterState, LAYOUT_NAME, &layout).await;
    log::info!(
        target: "shard", shards = layout.shards, regions = layout.regions.len(),
        outcome = match &written { Ok(_) => "written", Err(StoreError::Conflict(_)) => "another is there", Err(_) => "unknown" };
        "layout proposed"
    );
    ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::Read);
    match ctx.view.store.get(Kind::ClusterState, LAYOUT_NAME).await {
        Ok(Some(stored)) => {
            AssignmentSink(Arc::clone(&ctx.view)).changed(&Changed::Put(stored));
            return;
        }
        Ok(None) => {}
        Err(error) => log::debug!(target: "shard", error:% = error; "layout not read"),
    }
    // Avoids a tight loop while the store refuses writes.
    time::sleep(POLL_INTERVAL).await;
}
