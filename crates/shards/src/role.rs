//! Starts and stops a storage box.

use std::collections::HashSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use ids::{BoxId, whole_millis};
use joblog::{CopyFolder, PullLimits};
use links::{LinkPool, LinkSettings, serve_links};
use node::assignments::{AssignmentSink, box_object};
use node::feed::follow_feed;
use node::follow::{KindSink, KindWatcher};
use node::sinks::{ConfigSink, EvacuationSink, TargetSink, VersionSink};
use node::{NodeView, StorageSettings, StoreCall, log_counters, serve_metrics, sync_suspects};
use platform::{Changed, Kind, Listing, ObjectStore, StoreError};
use tokio::net::TcpListener;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use wire::peer::{ShardHandOver, shard_request};

use crate::accounting::run_accounting;
use crate::context::ShardContext;
use crate::dispatch::dispatch_items;
use crate::handler::ShardHandler;
use crate::keeper::ShardKeeper;
use crate::keepers::KeeperSet;
use crate::loads::publish_loads;
use crate::log::copies::OpenCopies;
use crate::log::repair::SegmentRepair;
use crate::peers::run_heartbeats;
use crate::plan_update::update_plans;
use crate::rollout::coordinate_rollouts;
use crate::takeover::run_shard;

/// Delay between two watches of the targets, which batches their changes: each watch is billed.
/// Together with the following watch it stays within the freshness bound of the boxes served by
/// the feed.
const TARGET_BATCH_DELAY: Duration = Duration::from_millis(400);
/// Delay before this box retries to register its address in the store.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a hand-over request to another box.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a stopping box stays up so that other boxes can copy data from it.
const STOP_DELAY: Duration = Duration::from_millis(1_500);
/// Interval at which a retiring box checks whether it still has an assignment.
const RETIRE_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Runs a storage box until `stop` returns. `listener` accepts connections of other boxes at the
/// advertised address.
pub async fn run_storage(
    settings: StorageSettings,
    listener: TcpListener,
    stop: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let node = settings.node.clone();
    let store = ObjectStore::new(&node.store.to_string()).map_err(io::Error::other)?;
    let folder = CopyFolder::open(&settings.data_dir).map_err(io::Error::other)?;
    folder.remove_incoming().map_err(io::Error::other)?;
    let view = Arc::new(NodeView::new(node.clone(), store));
    let shutdown = CancellationToken::new();
    let link_settings = LinkSettings { me: node.box_id.clone(), key: node.key.clone() };
    let links = LinkPool::new(link_settings, shutdown.clone());
    let copies = OpenCopies::new(folder);
    let ctx = Arc::new(ShardContext::new(Arc::clone(&view), settings, links, copies));
    log::info!(target: "shard", peer:% = node.peer, store:% = node.store, shards = node.shards; "started");
    start_watchers(&ctx, &shutdown);
    tokio::spawn(register(Arc::clone(&ctx)));
    let keepers = Arc::new(KeeperSet::default());
    ctx.view.admission.set_links(ctx.links.clone());
    ctx.view.target_table().set_engine_choice(ctx.settings.engine_choice);
    tokio::spawn(run_admission(Arc::clone(&ctx), shutdown.clone()));
    let handler = ShardHandler::new(Arc::clone(&ctx), Arc::clone(&keepers));
    tokio::spawn(serve_links(listener, node.key.clone(), handler, shutdown.clone()));
    tokio::spawn(run_heartbeats(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(publish_loads(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(update_plans(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(segment_repair(&ctx).run());
    tokio::spawn(start_shards(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(coordinate_rollouts(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(run_accounting(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(watch_retirement(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(sync_suspects(Arc::clone(&view), true, shutdown.clone()));
    tokio::spawn(log_counters(Arc::clone(&view)));
    if let Some(address) = node.metrics {
        tokio::spawn(serve_metrics(view, address));
    }
    stop.await?;
    stop_gracefully(&ctx, keepers.all()).await;
    shutdown.cancel();
    Ok(())
}

fn segment_repair(ctx: &ShardContext) -> SegmentRepair {
    SegmentRepair::new(
        ctx.me.clone(),
        Arc::clone(&ctx.view),
        ctx.copies.clone(),
        ctx.links.clone(),
        Arc::clone(&ctx.held),
        PullLimits::new(ctx.settings.catch_up, ctx.settings.link_rate),
    )
}

async fn run_admission(ctx: Arc<ShardContext>, shutdown: CancellationToken) {
    ctx.admission.run(Arc::clone(&ctx.view), shutdown).await;
}

/// Starts the tasks of all shards once the shard count is agreed.
async fn start_shards(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    for keeper in keepers.start(&ctx).await {
        tokio::spawn(run_shard(Arc::clone(&ctx), Arc::clone(keeper)));
        tokio::spawn(dispatch_items(Arc::clone(&ctx), Arc::clone(keeper)));
    }
}

fn start_watchers(ctx: &Arc<ShardContext>, shutdown: &CancellationToken) {
    let view = &ctx.view;
    let shared_view = || Arc::clone(view);
    let no_delay = Duration::ZERO;
    let mut config =
        KindWatcher::new(view, Kind::Configuration, no_delay, ConfigSink(shared_view()));
    let targets = TargetSink::new(shared_view());
    let mut targets = KindWatcher::new(view, Kind::Targets, TARGET_BATCH_DELAY, targets);
    let mut versions =
        KindWatcher::new(view, Kind::ModelVersions, no_delay, VersionSink(shared_view()));
    let mut assignments =
        KindWatcher::new(view, Kind::ClusterState, no_delay, AssignmentSink(shared_view()));
    let retirements = RetirementSink(Arc::clone(ctx));
    let mut retirements = KindWatcher::new(view, Kind::Retirements, no_delay, retirements);
    let mut feed_kinds = vec![
        config.feed(),
        targets.feed(),
        versions.feed(),
        assignments.feed(),
        retirements.feed(),
    ];
    if view.settings.evacuations {
        let sink = EvacuationSink(shared_view());
        let mut evacuations = KindWatcher::new(view, Kind::Evacuations, no_delay, sink);
        feed_kinds.push(evacuations.feed());
        tokio::spawn(evacuations.run(shutdown.clone()));
    }
    tokio::spawn(config.run(shutdown.clone()));
    tokio::spawn(targets.run(shutdown.clone()));
    tokio::spawn(versions.run(shutdown.clone()));
    tokio::spawn(assignments.run(shutdown.clone()));
    tokio::spawn(retirements.run(shutdown.clone()));
    tokio::spawn(follow_feed(shared_view(), ctx.links.clone(), feed_kinds, shutdown.clone()));
}

/// Tracks the boxes that are being retired.
#[derive(Debug)]
struct RetirementSink(Arc<ShardContext>);

impl KindSink for RetirementSink {
    fn listed(&mut self, listing: &Listing) {
        let named: HashSet<BoxId> =
            listing.objects.iter().filter_map(|stored| stored.name.parse().ok()).collect();
        *self.0.retiring() = named;
    }

    fn changed(&mut self, change: &Changed) {
        match change {
            Changed::Put(stored) => {
                log::info!(target: "shard", peer = stored.name.as_str(); "box is being retired");
                self.0.retiring().extend(stored.name.parse().ok());
            }
            Changed::Removed(name) => self.0.retiring().retain(|box_id| box_id.as_str() != name),
        }
        self.0.view.wake();
    }
}

/// Registers this box's address in the store.
async fn register(ctx: Arc<ShardContext>) {
    let name = box_object(&ctx.me.box_id);
    loop {
        ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::Read);
        let registered = match ctx.view.store.get(Kind::ClusterState, &name).await {
            Ok(Some(stored))
                if stored.parse().is_ok_and(|copy: joblog::StorageBox| copy == ctx.me) =>
            {
                return;
            }
            Ok(Some(stored)) => {
                ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::Write);
                ctx.view.store.replace(Kind::ClusterState, &name, stored.revision, &ctx.me).await
            }
            Ok(None) => {
                ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::Write);
                ctx.view.store.create(Kind::ClusterState, &name, &ctx.me).await
            }
            Err(error) => Err(error),
        };
        match registered {
            Ok(_revision) => return,
            Err(StoreError::Conflict(_)) => {}
            Err(error) => {
                log::debug!(target: "shard", error:% = error; "registration failed");
                time::sleep(REGISTER_RETRY_DELAY).await;
            }
        }
    }
}

/// Stops serving all shards and requests that other boxes take them over.
async fn hand_over(ctx: &ShardContext, keepers: &[Arc<ShardKeeper>]) {
    for keeper in keepers {
        let Some(served) = keeper.served() else { continue };
        let next = {
            let assignments = ctx.view.assignments();
            let plan = assignments.plan(keeper.shard()).map(|observed| observed.plan.clone());
            plan.and_then(|plan| plan.copies.into_iter().find(|copy| copy.box_id != ctx.me.box_id))
        };
        let Some(next) = next else { continue };
        keeper.stop_serving();
        let body = shard_request::Body::HandOver(ShardHandOver {
            shard: keeper.shard().get(),
            token: served.epoch.token.get(),
            quiet_ms: 0,
        });
        let response = ctx.call_box(&next.address, HAND_OVER_TIMEOUT, body).await;
        log::info!(
            target: "shard", shard = keeper.shard().get(), peer:% = next.box_id,
            outcome = if response.is_ok() { "asked" } else { "not reached" };
            "shard hand-over requested"
        );
    }
}

async fn stop_gracefully(ctx: &ShardContext, keepers: &[Arc<ShardKeeper>]) {
    let started = Instant::now();
    let served = keepers.iter().filter(|keeper| keeper.served().is_some()).count();
    log::info!(target: "shard", served = served; "stopping");
    ctx.stopping.cancel();
    hand_over(ctx, keepers).await;
    time::sleep(STOP_DELAY.saturating_sub(started.elapsed())).await;
    log::info!(target: "shard", took_ms = whole_millis(started.elapsed()); "stopped");
}

/// Hands shards over while this box is being retired, and reports completion once no plan names
/// it.
async fn watch_retirement(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    let name = ctx.me.box_id.to_string();
    let mut reported_active = false;
    loop {
        time::sleep(RETIRE_POLL_INTERVAL).await;
        if !ctx.retiring().contains(&ctx.me.box_id) {
            reported_active = false;
            continue;
        }
        if !reported_active {
            reported_active = report_retirement(&ctx, &name, false).await;
        }
        hand_over(&ctx, keepers.all()).await;
        if has_no_assignment(&ctx).await && report_retirement(&ctx, &name, true).await {
            return;
        }
    }
}

async fn report_retirement(ctx: &ShardContext, name: &str, done: bool) -> bool {
    ctx.view.metrics.store_call(Kind::Retirements, StoreCall::Write);
    let reported = ctx.view.store.set_retirement_status(name, done).await;
    log::info!(target: "shard", done = done, outcome = if reported.is_ok() { "told" } else { "failed" }; "retirement status");
    reported.is_ok()
}

/// Returns whether no plan names this box, according to a fresh listing.
async fn has_no_assignment(ctx: &ShardContext) -> bool {
    if ctx.view.assignments().has_assignment(&ctx.me.box_id) {
        return false;
    }
    ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::List);
    let Ok(listing) = ctx.view.store.list(Kind::ClusterState).await else { return false };
    AssignmentSink(Arc::clone(&ctx.view)).listed(&listing);
    !ctx.view.assignments().has_assignment(&ctx.me.box_id)
}
