//! Updates the holders of sealed segments in the plans of the shards that this box serves.

use std::sync::Arc;
use std::time::Duration;

use ids::{BoxId, FencingToken};
use joblog::{PlanWriteOutcome, VersionedPlan, incomplete_segments, updated_plan};
use node::assignments::ObservedPlan;
use tokio::time;

use crate::context::ShardContext;
use crate::keeper::ShardKeeper;
use crate::keepers::KeeperSet;
use crate::log::plan_store::{log_segment_changes, read_plan, record_plan, write_plan};

/// Interval of the updates. Store writes are priced; one write covers all changes of a plan.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Updates the plans of the shards served here until the box stops.
pub async fn update_plans(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    loop {
        time::sleep(UPDATE_INTERVAL).await;
        let mut incomplete = 0;
        for keeper in keepers.all() {
            let Some(observed) = served_plan(&ctx, keeper) else { continue };
            incomplete += update_plan(&ctx, keeper, &observed).await;
        }
        ctx.view.metrics.incomplete_segments(incomplete);
    }
}

/// Returns the plan of a shard if this box serves it under this plan.
fn served_plan(ctx: &ShardContext, keeper: &ShardKeeper) -> Option<ObservedPlan> {
    keeper.served_token()?;
    let served = keeper.served()?;
    let observed = ctx.view.assignments().plan(keeper.shard())?.clone();
    (observed.plan.epoch == served.epoch).then_some(observed)
}

/// Writes an updated plan if there is one. Returns the number of segments with missing copies.
async fn update_plan(ctx: &ShardContext, keeper: &ShardKeeper, observed: &ObservedPlan) -> usize {
    let (shard, plan) = (keeper.shard(), &observed.plan);
    let (now, token) = (ctx.view.now(), plan.epoch.token);
    let holds = |box_id: &BoxId, segment: FencingToken| {
        let reported = if *box_id == ctx.me.box_id {
            ctx.held.holds(shard, token, segment)
        } else {
            ctx.peers.reported_segment(now, (shard, box_id), token, segment)
        };
        reported == Some(true)
    };
    let incomplete = incomplete_segments(plan, holds);
    let oldest = keeper.jobs().oldest_segment();
    let Some(updated) = updated_plan(plan, oldest, holds) else { return incomplete };
    match write_plan(&ctx.view, shard, Some(observed.revision), &updated).await {
        PlanWriteOutcome::Done(revision) => {
            log_segment_changes(shard, Some(plan), &updated);
            log::info!(
                target: "shard", shard = shard.get(), epoch:% = updated.epoch,
                sealed = updated.sealed.len(), incomplete = incomplete;
                "copies of segments updated in the plan"
            );
            record_plan(&ctx.view, shard, VersionedPlan { revision, plan: updated });
        }
        // Another plan is stored, or this one by an earlier attempt whose response was lost.
        PlanWriteOutcome::Conflict => {
            let _recorded = read_plan(&ctx.view, shard).await;
        }
        PlanWriteOutcome::NoAnswer => {}
    }
    incomplete
}
