//! Starts items of a served shard at targets, and lists what is done.

use std::sync::Arc;
use std::time::Duration;

use ids::{ModelName, ModelVersion, ServiceName, ShardIndex, WorkDigest};
use jobs::{BlockReason, RewardOutcome, RunOutcome, RunResult, RunSpec};
use node::{SlotGuard, WorkAdmission, item_work};
use rand::Rng;
use routing::{ColdSender, NoTargetReason, TargetRequirements};
use tokio::time;
use wire::peer::{LogRecord, log_record};

use crate::context::ShardContext;
use crate::keeper::ShardKeeper;
use crate::reward::call_reward;
use crate::run::run_item;

/// Longest pause between two looks at the items, should no change tell.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How often given-up items and old jobs are looked for.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Runs are broken off once this box has had no proof of its shard for so long: another box has
/// most likely taken it over, and runs the same items.
const RUN_TRUST: Duration = Duration::from_millis(2_500);

/// What is done with an item next.
enum NextStep {
    /// It runs at a target.
    Run(SlotGuard),
    /// Its text is whole: only the reward call is missing.
    Reward,
}

/// Starts items for as long as the box runs.
pub async fn dispatch_items(ctx: Arc<ShardContext>, keeper: Arc<ShardKeeper>) {
    let mut changes = keeper.changes();
    let mut beliefs = ctx.view.changes();
    let mut swept = time::Instant::now();
    let mut proven = time::Instant::now();
    loop {
        if keeper.is_proven() {
            proven = time::Instant::now();
            start_items(&ctx, &keeper);
            if swept.elapsed() >= SWEEP_EVERY {
                swept = time::Instant::now();
                sweep(&ctx, &keeper);
            }
        } else if proven.elapsed() >= RUN_TRUST {
            keeper.cancel_all_runs();
        }
        tokio::select! {
            _ = changes.changed() => {}
            _ = beliefs.changed() => {}
            () = time::sleep(LOOK_EVERY) => {}
        }
    }
}

fn sweep(ctx: &ShardContext, keeper: &ShardKeeper) {
    give_up(ctx, keeper);
    let dropped = keeper.book().expire(ctx.view.now());
    keeper.log(dropped);
}

/// Lists items as lost that are not to be tried again.
fn give_up(ctx: &ShardContext, keeper: &ShardKeeper) {
    let lost = keeper.book().give_up(ctx.view.now());
    for (record, why) in &lost {
        let (job, item) = listed_ids(record);
        log::info!(target: "jobs", shard = keeper.shard().get(), job = job, item = item, why:% = why; "item given up");
    }
    keeper.log(lost.into_iter().map(|(record, _)| record).collect());
}

/// The job and the item of a record that lists a result.
fn listed_ids(record: &LogRecord) -> (&str, &str) {
    let Some(log_record::Body::Listed(listed)) = &record.body else { return ("", "") };
    let item = listed.result.as_ref().map_or("", |result| result.item.as_str());
    (listed.job.as_str(), item)
}

fn start_items(ctx: &Arc<ShardContext>, keeper: &Arc<ShardKeeper>) {
    let now = ctx.view.now();
    let mut starts = Vec::new();
    keeper.book().start_ready(now, |spec| {
        let step = next_step(ctx, keeper.shard(), &spec)?;
        let target = match &step {
            NextStep::Run(slot) => Some(slot.slot().instance.clone()),
            NextStep::Reward => None,
        };
        starts.push((spec, step));
        Ok(target)
    });
    for (spec, step) in starts {
        let (ctx, keeper) = (Arc::clone(ctx), Arc::clone(keeper));
        let token = keeper.run_token(&spec.item.job);
        tokio::spawn(async move {
            let step = match step {
                NextStep::Reward => true,
                NextStep::Run(slot) => {
                    let run = tokio::select! {
                        run = run_item(&ctx, &keeper, &spec, &slot) => run,
                        () = token.cancelled() => cancelled(),
                    };
                    drop(slot);
                    keeper.log(spec.unlogged_progress(&run).into_iter().collect());
                    let whole = keeper.book().run_ended(ctx.view.now(), &spec, &run);
                    if matches!(run.outcome, RunOutcome::Failed | RunOutcome::Impossible) {
                        give_up(&ctx, &keeper);
                    }
                    keeper.wake();
                    whole
                }
            };
            if step {
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

/// A target for the item, or the reward call; or why the item has to wait.
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
    let service = item_service(ctx, spec).ok_or(BlockReason::NoRoute)?;
    let work = spec_work(spec);
    let WorkAdmission::Open(barred) = ctx.view.admit_work(work, &service, true) else {
        return Err(BlockReason::Quarantined);
    };
    let anti_affinity = ctx.view.suspects().anti_affinity(work);
    let model: Option<ModelName> = spec.job.model.parse().ok();
    let floor = ModelVersion::new(spec.job.min_version);
    let need = TargetRequirements {
        model: model.as_ref().map(|model| (model, floor)),
        free_slot: true,
        fast: true,
        sender: Some(ColdSender { shard, shards: ctx.view.shards().unwrap_or(1) }),
        avoid: &barred,
    };
    let now = ctx.view.now();
    let mut rng = rand::rng();
    let mut board = ctx.view.target_table();
    // Apart from other work under suspicion where that is possible.
    let apart = [barred.as_slice(), anti_affinity.targets.as_slice()].concat();
    let apart = TargetRequirements { avoid: &apart, ..need };
    let slot = board.choose(now, &service, &apart, &mut rng);
    let slot = slot.or_else(|| board.choose(now, &service, &need, &mut rng));
    if let Some(slot) = slot {
        drop(board);
        return Ok(NextStep::Run(SlotGuard::new(&ctx.view, work, slot)));
    }
    Err(match board.no_target_reason(now, &service, &need, &mut rng) {
        NoTargetReason::OldVersion => BlockReason::OldWeights,
        NoTargetReason::Loading => BlockReason::Loading,
        NoTargetReason::BackedOff => BlockReason::BackedOff,
        NoTargetReason::Full => BlockReason::Full,
        NoTargetReason::Cold => BlockReason::Cold,
        NoTargetReason::Evacuated => BlockReason::Evacuated,
    })
}

fn spec_work(spec: &RunSpec) -> WorkDigest {
    let request = spec.request();
    let (path, id, body) = request
        .map_or(("", "", &[][..]), |item| (item.path.as_str(), item.id.as_str(), &item.body));
    item_work(&spec.job.host, path, id, body)
}

/// The service that the configuration in force names for an item.
fn item_service(ctx: &ShardContext, spec: &RunSpec) -> Option<ServiceName> {
    let table = ctx.view.table();
    let route = table.find(&spec.job.host, &spec.request()?.path)?;
    route.service(rand::rng().random()).cloned()
}

async fn reward_item(ctx: &Arc<ShardContext>, keeper: &Arc<ShardKeeper>, spec: &RunSpec) {
    let known = keeper.book().cached_score(&spec.item);
    let reward = spec.request().and_then(|request| request.reward.as_ref());
    let end = match (known, reward) {
        (Some(score), _) => RewardOutcome::Scored(score),
        (None, None) => RewardOutcome::Scored(String::new()),
        (None, Some(reward)) => call_reward(ctx, reward).await,
    };
    let failed = matches!(end, RewardOutcome::Failed { .. });
    let record = keeper.book().scored(ctx.view.now(), &spec.item, end);
    keeper.log(record.into_iter().collect());
    if failed {
        // At the last failure the trainer need not wait for the next look.
        give_up(ctx, keeper);
    }
    keeper.wake();
}
