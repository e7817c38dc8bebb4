//! Plans of shards in the platform's store.

use ids::ShardIndex;
use joblog::{PlanWriteOutcome, SealedSegment, ShardPlan, VersionedPlan};
use node::assignments::{ObservedPlan, shard_object};
use node::{NodeView, StoreCall};
use platform::{Kind, StoreError};

/// Reads the plan of a shard and records it; `Err` if the store did not return it.
pub async fn read_plan(view: &NodeView, shard: ShardIndex) -> Result<Option<VersionedPlan>, ()> {
    view.metrics.store_call(Kind::ClusterState, StoreCall::Read);
    let stored = view.store.get(Kind::ClusterState, &shard_object(shard)).await;
    let stored = stored.map_err(|error| {
        log::debug!(target: "shard", shard = shard.get(), error:% = error; "plan not read");
    })?;
    let Some(stored) = stored else { return Ok(None) };
    let plan = stored.parse().map_err(|error| {
        log::warn!(target: "shard", shard = shard.get(), error:% = error; "stored plan is invalid");
    })?;
    let read = VersionedPlan { revision: stored.revision, plan };
    record_plan(view, shard, read.clone());
    Ok(Some(read))
}

/// Writes the plan if `base` is still the stored revision.
pub async fn write_plan(
    view: &NodeView,
    shard: ShardIndex,
    base: Option<u64>,
    plan: &ShardPlan,
) -> PlanWriteOutcome {
    let name = shard_object(shard);
    view.metrics.store_call(Kind::ClusterState, StoreCall::Write);
    let written = match base {
        Some(base) => view.store.replace(Kind::ClusterState, &name, base, plan).await,
        None => view.store.create(Kind::ClusterState, &name, plan).await,
    };
    match written {
        Ok(revision) => PlanWriteOutcome::Done(revision),
        Err(StoreError::Conflict(_)) => PlanWriteOutcome::Conflict,
        Err(error) => {
            log::warn!(target: "shard", shard = shard.get(), error:% = error; "plan not written");
            PlanWriteOutcome::NoAnswer
        }
    }
}

/// Logs the segments that a plan written by this box seals or drops.
pub fn log_segment_changes(shard: ShardIndex, old: Option<&ShardPlan>, new: &ShardPlan) {
    let earlier = old.map_or(&[][..], |old| &old.sealed);
    let added = new.sealed.iter().filter(|segment| !contains(earlier, segment));
    for segment in added {
        log_segment(shard, segment, "epoch changed", "segment sealed");
    }
    for segment in earlier.iter().filter(|segment| !contains(&new.sealed, segment)) {
        // Its jobs were dropped, or a snapshot contains them.
        log_segment(shard, segment, "not needed", "segment dropped");
    }
}

fn contains(segments: &[SealedSegment], segment: &SealedSegment) -> bool {
    segments.iter().any(|other| other.epoch == segment.epoch)
}

fn log_segment(shard: ShardIndex, segment: &SealedSegment, reason: &str, event: &str) {
    log::info!(
        target: "shard", shard = shard.get(), epoch:% = segment.epoch, bytes = segment.len,
        reason = reason;
        "{event}"
    );
}

/// Records a plan that the store returned or accepted in this box's assignment table.
pub fn record_plan(view: &NodeView, shard: ShardIndex, read: VersionedPlan) {
    let observed = ObservedPlan { revision: read.revision, plan: read.plan, seen_at: view.now() };
    view.assignments().put_plan(shard, observed);
}
