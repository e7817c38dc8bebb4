//! The shards of this box, once the boxes have agreed on their number.

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

/// How long the first box waits for others before it counts them: all boxes of a deployment start within
/// a fraction of it, and callers come long after.
const COUNT_AFTER: Duration = Duration::from_secs(1);
/// Longest pause between two looks, should no change tell.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// The shards of this box; none before their number is known.
#[derive(Debug, Default)]
pub struct KeeperSet(OnceLock<Vec<Arc<ShardKeeper>>>);

impl KeeperSet {
    /// All shards.
    pub fn all(&self) -> &[Arc<ShardKeeper>] {
        self.0.get().map_or(&[][..], Vec::as_slice)
    }

    /// One shard.
    pub fn get(&self, shard: ShardIndex) -> Option<&Arc<ShardKeeper>> {
        self.all().get(usize::try_from(shard.get()).unwrap_or(usize::MAX))
    }

    /// Waits for the number of shards, and makes a keeper for each.
    pub async fn begin(&self, ctx: &Arc<ShardContext>) -> &[Arc<ShardKeeper>] {
        let count = agreed_number(ctx).await;
        let shards = (0..count).map(ShardIndex::new);
        let keepers = shards.map(|shard| Arc::new(ShardKeeper::new(Arc::clone(ctx), shard)));
        log::info!(target: "shard", shards = count; "shards known");
        self.0.get_or_init(|| keepers.collect())
    }
}

/// The number of shards, by the settings or as the boxes have agreed; proposes one where there is none.
async fn agreed_number(ctx: &ShardContext) -> u32 {
    let started = Instant::now();
    let mut changes = ctx.view.changes();
    loop {
        if let Some(shards) = ctx.view.shards() {
            return shards;
        }
        if let Some(layout) = proposal(ctx, started.elapsed()) {
            propose(ctx, layout).await;
            continue;
        }
        // Changed or not, it is looked again.
        let _elapsed = time::timeout(LOOK_EVERY, changes.changed()).await;
    }
}

/// The layout that this box should propose now, if it is its turn.
fn proposal(ctx: &ShardContext, waited: Duration) -> Option<ShardLayout> {
    let duties = ctx.view.assignments();
    if !duties.is_read() {
        return None;
    }
    // A deployment that runs already keeps what it has.
    if let Some(last) = duties.last_shard() {
        return Some(ShardLayout { shards: last.get() + 1 });
    }
    let boxes: Vec<_> = duties.boxes().map(|copy| copy.box_id.clone()).collect();
    let ranked = coord::rendezvous::ranked(LAYOUT_NAME, &boxes, boxes.len());
    let rank = ranked.iter().position(|box_id| **box_id == ctx.me.box_id)?;
    let patience = COUNT_AFTER + TAKEOVER_TIMEOUT * u32::try_from(rank).unwrap_or(u32::MAX);
    let layout = ShardLayout::for_boxes(boxes.len(), ctx.settings.copies);
    (waited >= patience).then_some(layout)
}

/// Writes a layout unless there is one, and reads the one that is there.
async fn propose(ctx: &ShardContext, layout: ShardLayout) {
    ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::Write);
    let written = ctx.view.store.create(Kind::ClusterState, LAYOUT_NAME, &layout).await;
    log::info!(
        target: "shard", shards = layout.shards,
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
    // A store that takes no writes is not asked again at once.
    time::sleep(LOOK_EVERY).await;
}
