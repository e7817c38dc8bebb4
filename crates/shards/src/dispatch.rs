//! Starts items of a served shard at targets, and records their results.

use std::sync::Arc;
use std::time::Duration;

use ids::{ModelName, ModelVersion, ServiceName, ShardIndex, WorkDigest};
use jobs::{BlockReason, RewardOutcome, RunOutcome, RunResult, RunSpec, StartOrder};
use node::{ParentRequest, SlotGuard, WorkAdmission, item_work, record_choice, wall_time};
use rand::Rng;
use routing::{ColdSender, NoTargetReason, RegionScope, Route, TargetRequirements};
use tokio::time;
use wire::peer::{LogRecord, log_record};

use crate::context::ShardContext;
use crate::job_order::job_priority;
use crate::keeper::ShardKeeper;
use crate::reward::call_reward;
use crate::run::{predicted_work, run_item};

/// Maximum interval between two passes over the items if no change is notified.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the sweep for abandoned items and expired jobs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs are cancelled after this time without a confirmation of the shard: another box has
/// probably taken it over and runs the same items.
const RUN_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The next step of an item.
enum NextStep {
    /// Run at a target.
    Run(SlotGuard),
    /// The text is complete; only the reward call is missing.
    Reward,
}

/// Starts ready items of the shard for as long as the box runs.
pub async fn dispatch_items(ctx: Arc<ShardContext>, keeper: Arc<ShardKeeper>) {
    let mut changes = keeper.changes();
    let mut view_changes = ctx.view.changes();
    let mut swept_at = time::Instant::now();
    let mut confirmed_at = time::Instant::now();
    let mut runs_cancelled = false;
    loop {
        if keeper.is_confirmed() {
            confirmed_at = time::Instant::now();
            if std::mem::take(&mut runs_cancelled) {
                // The log may still hold progress of the cancelled runs. Applied after an item has
                // started again, it would join the texts of two runs.
                let _epoch_ended = keeper.append_and_wait(Vec::new()).await;
                continue;
            }
            start_items(&ctx, &keeper);
            if swept_at.elapsed() >= SWEEP_INTERVAL {
                swept_at = time::Instant::now();
                sweep(&ctx, &keeper);
            }
        } else if confirmed_at.elapsed() >= RUN_CONFIRMATION_TIMEOUT {
            keeper.cancel_all_runs();
            runs_cancelled = true;
        }
        tokio::select! {
            _ = changes.changed() => {}
            _ = view_changes.changed() => {}
            () = time::sleep(POLL_INTERVAL) => {}
        }
    }
}

fn sweep(ctx: &ShardContext, keeper: &ShardKeeper) {
    list_abandoned(ctx, keeper);
    let now = ctx.view.now();
    // The wall clock may have been set since the last sweep.
    keeper.jobs().set_wall_time(now, wall_time().millis());
    let dropped = keeper.jobs().expire(now);
    keeper.append(dropped);
}

/// Lists items as lost that must not be retried.
fn list_abandoned(ctx: &ShardContext, keeper: &ShardKeeper) {
    let lost = keeper.jobs().give_up(ctx.view.now());
    for (record, why) in &lost {
        let (job, item) = listed_ids(record);
        log::info!(target: "jobs", shard = keeper.shard().get(), job = job, item = item, why:% = why; "item given up");
    }
    keeper.append(lost.into_iter().map(|(record, _)| record).collect());
}

/// Returns the job and the item of a record that lists a result.
fn listed_ids(record: &LogRecord) -> (&str, &str) {
    let Some(log_record::Body::Listed(listed)) = &record.body else { return ("", "") };
    let item = listed.result.as_ref().map_or("", |result| result.item.as_str());
    (listed.job.as_str(), item)
}

fn start_items(ctx: &Arc<ShardContext>, keeper: &Arc<ShardKeeper>) {
    let now = ctx.view.now();
    let mut starts = Vec::new();
    let order = ctx.job_order();
    let mut jobs = keeper.jobs();
    {
        let table = ctx.view.table();
        jobs.rank_waiting(now, order, |job| job_priority(&table, job));
    }
    jobs.start_ready(now, |spec| {
        let step = next_step(ctx, keeper.shard(), &spec)?;
        let target = match &step {
            NextStep::Run(slot) => Some(slot.target().instance.clone()),
            NextStep::Reward => None,
        };
        starts.push((spec, step));
        Ok(target)
    });
    if order == StartOrder::Due {
        ctx.urgencies.record_shard(now, keeper.shard(), &jobs);
    }
    drop(jobs);
    for (spec, step) in starts {
        let (ctx, keeper) = (Arc::clone(ctx), Arc::clone(keeper));
        let token = keeper.run_token(&spec.item.job);
        tokio::spawn(async move {
            let reward_due = match step {
                NextStep::Reward => true,
                NextStep::Run(slot) => {
                    let run = tokio::select! {
                        run = run_item(&ctx, &keeper, &spec, &slot) => run,
                        () = token.cancelled() => cancelled(),
                    };
                    drop(slot);
                    keeper.append(spec.unlogged_progress(&run).into_iter().collect());
                    let complete = keeper.jobs().run_ended(ctx.view.now(), &spec, &run);
                    if matches!(run.outcome, RunOutcome::Failed | RunOutcome::Impossible) {
                        list_abandoned(&ctx, &keeper);
                    }
                    keeper.wake();
                    complete
                }
            };
            if reward_due {
                tokio::select! {
                    () = reward_item(&ctx, &keeper, &spec) => {}
                    () = token.cancelled() => {}
                }
            }
        });
    }
}

const fn cancelled() -> RunResult {
    RunResult { outcome: RunOutcome::Cut, events: Vec::new(), logged: 0 }
}

/// Returns the next step of an item, or why the item is blocked.
fn next_step(
    ctx: &ShardContext,
    shard: ShardIndex,
    spec: &RunSpec,
) -> Result<NextStep, BlockReason> {
    if spec.complete {
        return Ok(NextStep::Reward);
    }
    if !ctx.view.pool.has_capacity() {
        return Err(BlockReason::NoConnections);
    }
    let route = item_route(ctx, spec).ok_or(BlockReason::NoRoute)?;
    let service = route.service(rand::rng().random()).ok_or(BlockReason::NoRoute)?;
    let regions = route_scope(ctx, spec, &route);
    match choose_engine(ctx, shard, spec, service, &regions) {
        Err(BlockReason::OutsideRegions) => {
            // A service with a small share of the route may be the only one in the allowed regions.
            let others = route.backends.iter().filter(|other| other.weight > 0);
            let others = others.filter(|other| other.service != *service);
            let mut chosen = others
                .filter_map(|other| choose_engine(ctx, shard, spec, &other.service, &regions).ok());
            chosen.next().ok_or(BlockReason::OutsideRegions)
        }
        chosen => chosen,
    }
}

/// Chooses an engine of a service in the allowed regions, and acquires a slot.
fn choose_engine(
    ctx: &ShardContext,
    shard: ShardIndex,
    spec: &RunSpec,
    service: &ServiceName,
    regions: &RegionScope,
) -> Result<NextStep, BlockReason> {
    let work = spec_work(spec);
    if let WorkAdmission::Delayed(_) = ctx.view.admit_owed(work, service) {
        return Err(BlockReason::CrashSpacing);
    }
    let anti_affinity = ctx.view.suspects().anti_affinity(ctx.view.now(), work);
    let model: Option<ModelName> = spec.job.model.parse().ok();
    let floor = ModelVersion::new(spec.job.min_version);
    let predicted = predicted_work(&spec.forecast, spec.events);
    let requirements = TargetRequirements {
        model: model.as_ref().map(|model| (model, floor)),
        free_slot: true,
        skip_backed_off: false,
        fast: true,
        work: Some(predicted),
        sender: Some(ColdSender { shard, shards: ctx.view.cold_senders() }),
        avoid: &[],
        regions: Some(regions),
    };
    let now = ctx.view.now();
    let mut rng = rand::rng();
    let mut targets = ctx.view.target_table();
    let job_model = spec.job.model.as_str();
    if let Some(urgency) = spec.urgency
        && ctx.urgencies.is_outranked(now, shard, job_model, urgency)
        && targets.has_fitting(now, service, &requirements, &mut rng)
        && ctx.urgencies.should_yield(now, shard, job_model, urgency)
    {
        ctx.view.metrics.count_outcome("slot", "yielded");
        return Err(BlockReason::Yielded);
    }
    // Prefer targets that run no other suspect work.
    let preferred = TargetRequirements { avoid: &anti_affinity.targets, ..requirements };
    let slot = targets.choose(now, service, &preferred, &mut rng);
    let slot = slot.or_else(|| targets.choose(now, service, &requirements, &mut rng));
    if let Some(slot) = slot {
        let speed = targets.speed(now, &slot.instance);
        drop(targets);
        record_choice(&ctx.view, work, &slot, Some(predicted.units), speed);
        return Ok(NextStep::Run(SlotGuard::new(&ctx.view, work, slot)));
    }
    let reason = block_reason(targets.no_target_reason(now, service, &requirements, &mut rng));
    if spec.urgency.is_some() && matches!(reason, BlockReason::Full | BlockReason::BackedOff) {
        ctx.urgencies.no_free_slot(now, shard, job_model);
    }
    Err(reason)
}

const fn block_reason(reason: NoTargetReason) -> BlockReason {
    match reason {
        NoTargetReason::OldVersion => BlockReason::OldWeights,
        NoTargetReason::Loading => BlockReason::Loading,
        NoTargetReason::BackedOff => BlockReason::BackedOff,
        NoTargetReason::Full => BlockReason::Full,
        NoTargetReason::Cold => BlockReason::Cold,
        NoTargetReason::Evacuated => BlockReason::Evacuated,
        NoTargetReason::OutsideRegions => BlockReason::OutsideRegions,
    }
}

fn spec_work(spec: &RunSpec) -> WorkDigest {
    let request = spec.request();
    let (path, id, body) = request
        .map_or(("", "", &[][..]), |item| (item.path.as_str(), item.id.as_str(), &item.body));
    item_work(&spec.job.host, path, id, body)
}

/// Returns the route of an item in the configuration in force.
fn item_route(ctx: &ShardContext, spec: &RunSpec) -> Option<Arc<Route>> {
    ctx.view.table().find(&spec.job.host, &spec.request()?.path).cloned()
}

fn route_scope(ctx: &ShardContext, spec: &RunSpec, route: &Route) -> RegionScope {
    let customer = spec.job.customer.parse().ok();
    ctx.view.region_scope(route, customer.as_ref())
}

/// Returns the regions that the configuration in force allows for an item; all of them without a
/// route, since nothing is sent then.
pub(crate) fn item_scope(ctx: &ShardContext, spec: &RunSpec) -> RegionScope {
    item_route(ctx, spec).map(|route| route_scope(ctx, spec, &route)).unwrap_or_default()
}

async fn reward_item(ctx: &Arc<ShardContext>, keeper: &Arc<ShardKeeper>, spec: &RunSpec) {
    let cached = keeper.jobs().cached_score(&spec.item);
    let reward = spec.request().and_then(|request| request.reward.as_ref());
    let outcome = match (cached, reward) {
        (Some(score), _) => RewardOutcome::Scored(score),
        (None, None) => RewardOutcome::Scored(String::new()),
        (None, Some(reward)) => {
            let customer = spec.job.customer.parse().ok();
            let path = spec.request().map_or("", |request| request.path.as_str());
            let host = spec.job.host.as_str();
            let parent = ParentRequest { host, path, customer: customer.as_ref() };
            call_reward(ctx, reward, parent).await
        }
    };
    let failed = matches!(outcome, RewardOutcome::Failed { .. });
    let record = keeper.jobs().scored(ctx.view.now(), &spec.item, outcome);
    keeper.append(record.into_iter().collect());
    if failed {
        // After the last failure, list the result without waiting for the next sweep.
        list_abandoned(ctx, keeper);
    }
    keeper.wake();
}
