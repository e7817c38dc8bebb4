//! Start and stop of a keeping box.

use std::collections::HashSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use ids::{BoxId, whole_millis};
use joblog::CopyFolder;
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

use crate::accounts::keep_accounts;
use crate::conductor::conduct;
use crate::context::ShardContext;
use crate::copies::OpenCopies;
use crate::dispatch::dispatch_items;
use crate::forming::keep_shard;
use crate::handler::ShardHandler;
use crate::keeper::ShardKeeper;
use crate::keepers::KeeperSet;
use crate::loads::tell_loads;
use crate::peers::send_beats;

/// Changes of targets gather for this long between two watches; each watch has its price. With the
/// watch that follows, the proof that targets are current stays young enough for those who are told.
const GATHER_TARGETS: Duration = Duration::from_millis(400);
/// Pause after a failed try to tell the store where this box is.
const REGISTER_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for another box to take a shard that is handed over.
const HAND_OVER_TIME: Duration = Duration::from_millis(500);
/// A stopping box lives on for this long, so that others copy what they need from it.
const STOP_TIME: Duration = Duration::from_millis(1_500);
/// How often a retiring box looks whether it still has a duty.
const RETIRE_LOOK: Duration = Duration::from_millis(300);

/// Runs a keeping box until `stop` returns. `listener` takes other boxes' calls at the address
/// that the settings name.
pub async fn run_storage(
    settings: StorageSettings,
    listener: TcpListener,
    stop: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let node = settings.node.clone();
    let store = ObjectStore::new(&node.store.to_string()).map_err(io::Error::other)?;
    let folder = CopyFolder::open(&settings.data_dir).map_err(io::Error::other)?;
    let view = Arc::new(NodeView::new(node.clone(), store));
    let end = CancellationToken::new();
    let link_settings = LinkSettings { me: node.box_id.clone(), key: node.key.clone() };
    let links = LinkPool::new(link_settings, end.clone());
    let copies = OpenCopies::new(folder);
    let ctx = Arc::new(ShardContext::new(Arc::clone(&view), settings, links, copies));
    log::info!(target: "shard", peer:% = node.peer, store:% = node.store, shards = node.shards; "started");
    start_followers(&ctx, &end);
    tokio::spawn(register(Arc::clone(&ctx)));
    let keepers = Arc::new(KeeperSet::default());
    let handler = ShardHandler::new(Arc::clone(&ctx), Arc::clone(&keepers));
    tokio::spawn(serve_links(listener, node.key.clone(), handler, end.clone()));
    tokio::spawn(send_beats(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(tell_loads(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(begin_shards(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(conduct(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(keep_accounts(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(retire_when_asked(Arc::clone(&ctx), Arc::clone(&keepers)));
    tokio::spawn(sync_suspects(Arc::clone(&view), true, end.clone()));
    tokio::spawn(log_counters(Arc::clone(&view)));
    if let Some(address) = node.metrics {
        tokio::spawn(serve_metrics(view, address));
    }
    stop.await?;
    stop_calmly(&ctx, keepers.all()).await;
    end.cancel();
    Ok(())
}

/// Keeps the shards, once their number is known.
async fn begin_shards(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    for keeper in keepers.begin(&ctx).await {
        tokio::spawn(keep_shard(Arc::clone(&ctx), Arc::clone(keeper)));
        tokio::spawn(dispatch_items(Arc::clone(&ctx), Arc::clone(keeper)));
    }
}

fn start_followers(ctx: &Arc<ShardContext>, end: &CancellationToken) {
    let view = &ctx.view;
    let v = || Arc::clone(view);
    let none = Duration::ZERO;
    let mut config = KindWatcher::new(view, Kind::Configuration, none, ConfigSink(v()));
    let targets = TargetSink::new(v());
    let mut targets = KindWatcher::new(view, Kind::Targets, GATHER_TARGETS, targets);
    let mut versions = KindWatcher::new(view, Kind::ModelVersions, none, VersionSink(v()));
    let mut duties = KindWatcher::new(view, Kind::ClusterState, none, AssignmentSink(v()));
    let retirements = RetireSink(Arc::clone(ctx));
    let mut retirements = KindWatcher::new(view, Kind::Retirements, none, retirements);
    let mut fed =
        vec![config.feed(), targets.feed(), versions.feed(), duties.feed(), retirements.feed()];
    if view.settings.evacuations {
        let sink = EvacuationSink(v());
        let mut evacuations = KindWatcher::new(view, Kind::Evacuations, none, sink);
        fed.push(evacuations.feed());
        tokio::spawn(evacuations.run(end.clone()));
    }
    tokio::spawn(config.run(end.clone()));
    tokio::spawn(targets.run(end.clone()));
    tokio::spawn(versions.run(end.clone()));
    tokio::spawn(duties.run(end.clone()));
    tokio::spawn(retirements.run(end.clone()));
    tokio::spawn(follow_feed(v(), ctx.links.clone(), fed, end.clone()));
}

/// Keeps which boxes are to be emptied.
#[derive(Debug)]
struct RetireSink(Arc<ShardContext>);

impl KindSink for RetireSink {
    fn listed(&mut self, listing: &Listing) {
        let named: HashSet<BoxId> =
            listing.objects.iter().filter_map(|stored| stored.name.parse().ok()).collect();
        *self.0.retiring() = named;
    }

    fn changed(&mut self, change: &Changed) {
        match change {
            Changed::Put(stored) => {
                log::info!(target: "shard", peer = stored.name.as_str(); "box is to be emptied");
                self.0.retiring().extend(stored.name.parse().ok());
            }
            Changed::Removed(name) => self.0.retiring().retain(|box_id| box_id.as_str() != name),
        }
        self.0.view.wake();
    }
}

/// Tells the store where this box is.
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
                log::debug!(target: "shard", error:% = error; "not registered");
                time::sleep(REGISTER_PAUSE).await;
            }
        }
    }
}

/// Gives all shards to other boxes.
async fn hand_over(ctx: &ShardContext, keepers: &[Arc<ShardKeeper>]) {
    for keeper in keepers {
        let Some(served) = keeper.served() else { continue };
        let next = {
            let duties = ctx.view.assignments();
            let plan = duties.plan(keeper.shard()).map(|sighting| sighting.plan.clone());
            plan.and_then(|plan| plan.copies.into_iter().find(|copy| copy.box_id != ctx.me.box_id))
        };
        let Some(next) = next else { continue };
        keeper.end();
        let body = shard_request::Body::HandOver(ShardHandOver {
            shard: keeper.shard().get(),
            token: served.epoch.token.get(),
            quiet_ms: 0,
        });
        let asked = ctx.ask(&next.address, HAND_OVER_TIME, body).await;
        log::info!(
            target: "shard", shard = keeper.shard().get(), peer:% = next.box_id,
            outcome = if asked.is_ok() { "asked" } else { "not reached" };
            "shard handed over"
        );
    }
}

async fn stop_calmly(ctx: &ShardContext, keepers: &[Arc<ShardKeeper>]) {
    let asked = Instant::now();
    log::info!(target: "shard", served = keepers.len(); "stopping");
    ctx.stopping.cancel();
    hand_over(ctx, keepers).await;
    time::sleep(STOP_TIME.saturating_sub(asked.elapsed())).await;
    log::info!(target: "shard", took_ms = whole_millis(asked.elapsed()); "stopped");
}

/// Empties this box when the platform asks for it, and says so once nothing is owed here.
async fn retire_when_asked(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    let name = ctx.me.box_id.to_string();
    let mut told_active = false;
    loop {
        time::sleep(RETIRE_LOOK).await;
        if !ctx.retiring().contains(&ctx.me.box_id) {
            told_active = false;
            continue;
        }
        if !told_active {
            told_active = tell_retirement(&ctx, &name, false).await;
        }
        hand_over(&ctx, keepers.all()).await;
        if is_free(&ctx).await && tell_retirement(&ctx, &name, true).await {
            return;
        }
    }
}

async fn tell_retirement(ctx: &ShardContext, name: &str, done: bool) -> bool {
    ctx.view.metrics.store_call(Kind::Retirements, StoreCall::Write);
    let told = ctx.view.store.retirement_status(name, done).await;
    log::info!(target: "shard", done = done, outcome = if told.is_ok() { "told" } else { "failed" }; "retirement");
    told.is_ok()
}

/// Whether no plan names this box, by a fresh listing.
async fn is_free(ctx: &ShardContext) -> bool {
    if ctx.view.assignments().has_assignment(&ctx.me.box_id) {
        return false;
    }
    ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::List);
    let Ok(listing) = ctx.view.store.list(Kind::ClusterState).await else { return false };
    AssignmentSink(Arc::clone(&ctx.view)).listed(&listing);
    !ctx.view.assignments().has_assignment(&ctx.me.box_id)
}
