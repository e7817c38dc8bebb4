//! Start and stop of an entry box.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use links::{LinkPool, LinkSettings};
use node::assignments::AssignmentSink;
use node::feed::follow_feed;
use node::follow::KindWatcher;
use node::sinks::{ConfigSink, EvacuationSink, TargetSink};
use node::{NodeSettings, NodeView, log_counters, serve_metrics, sync_suspects};
use platform::{Kind, ObjectStore};
use tokio::net::TcpListener;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::isolation::watch_isolation;
use crate::jobs_api::ShardClient;
use crate::server::{FrontState, serve_front, serve_ready};

/// Changes of targets gather for this long between two watches: each watch has its price, and
/// targets must be left within two seconds.
const GATHER_TARGETS: Duration = Duration::from_millis(1_200);
/// Changes of duties gather for this long.
const GATHER_DUTIES: Duration = Duration::from_millis(100);
/// After a request to stop, how long the platform needs to send new callers elsewhere.
const NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Left of the time to stop in when what is still in flight is cut.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Time for the counts of the last requests to be told: the wait of a feed's question, and its way.
const LAST_COUNTS: Duration = Duration::from_millis(600);
/// How often a stopping box looks whether all requests have ended.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// Where an entry box is asked.
#[derive(Debug)]
pub struct EntryListeners {
    /// Callers.
    pub front: TcpListener,
    /// The platform, about readiness.
    pub ready: TcpListener,
}

impl EntryListeners {
    /// Binds the addresses that the settings name.
    pub async fn bind(settings: &NodeSettings) -> io::Result<Self> {
        let (Some(front), Some(ready)) = (settings.front, settings.ready) else {
            return Err(io::Error::other("--front and --ready are missing: give both as IP:PORT"));
        };
        Ok(Self { front: TcpListener::bind(front).await?, ready: TcpListener::bind(ready).await? })
    }
}

/// Runs an entry box until `asked` returns, and then stops calmly.
pub async fn run_entry(
    settings: NodeSettings,
    listeners: EntryListeners,
    asked: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let EntryListeners { front, ready } = listeners;
    let store = ObjectStore::new(&settings.store.to_string()).map_err(io::Error::other)?;
    let grace = settings.grace;
    let link_settings = LinkSettings { me: settings.box_id.clone(), key: settings.key.clone() };
    let metrics = settings.metrics;
    let view = Arc::new(NodeView::new(settings, store));
    let end = CancellationToken::new();
    log::info!(target: "entry", front:? = front.local_addr().ok(), store:% = view.settings.store; "started");
    if let Some(address) = metrics {
        tokio::spawn(serve_metrics(Arc::clone(&view), address));
    }
    tokio::spawn(log_counters(Arc::clone(&view)));
    let links = LinkPool::new(link_settings, end.clone());
    start_followers(&view, &links, &end);
    tokio::spawn(sync_suspects(Arc::clone(&view), false, end.clone()));
    let shards = ShardClient::new(Arc::clone(&view), links);
    tokio::spawn(watch_isolation(Arc::clone(&view), shards.clone(), end.clone()));
    let state = FrontState::new(view, shards, CancellationToken::new());
    let served = serve_front(state.clone(), front, end.clone());
    let readiness = serve_ready(state.clone(), ready, end.clone());
    tokio::select! {
        ended = served => ended,
        ended = readiness => ended,
        stopped = async { asked.await?; stop_calmly(&state, grace).await; Ok(()) } => {
            end.cancel();
            stopped
        }
    }
}

/// Follows what an entry box needs to know, told by a box that keeps data where one tells.
fn start_followers(view: &Arc<NodeView>, links: &LinkPool, end: &CancellationToken) {
    let v = || Arc::clone(view);
    let none = Duration::ZERO;
    view.feed.set_receive_only();
    let mut config = KindWatcher::new(view, Kind::Configuration, none, ConfigSink(v()));
    let mut targets = KindWatcher::new(view, Kind::Targets, GATHER_TARGETS, TargetSink::new(v()));
    let mut duties = KindWatcher::new(view, Kind::ClusterState, GATHER_DUTIES, AssignmentSink(v()));
    // It tells which boxes to ask, and whom to hand jobs to; who is asked in vain says so.
    duties.allow_stale_first_list();
    // Requests are served by what is known, and there are hundreds of these boxes.
    config.defer_recovery_probe();
    let mut fed = vec![config.feed(), targets.feed(), duties.feed()];
    if view.settings.evacuations {
        let sink = EvacuationSink(v());
        let mut evacuations = KindWatcher::new(view, Kind::Evacuations, none, sink);
        fed.push(evacuations.feed());
        tokio::spawn(evacuations.run(end.clone()));
    }
    tokio::spawn(config.run(end.clone()));
    tokio::spawn(targets.run(end.clone()));
    tokio::spawn(duties.run(end.clone()));
    tokio::spawn(follow_feed(v(), links.clone(), fed, end.clone()));
}

/// Waits until another box has heard what was counted of the last requests, for a feed's wait at most.
async fn tell_counts_of_last(state: &FrontState, last: Instant) {
    let until = last.min(Instant::now() + LAST_COUNTS);
    while Instant::now() < until && !state.view.usage.is_fully_reported() {
        time::sleep(STOP_LOOK).await;
    }
}

/// Turns new callers away and lets requests in flight end.
async fn stop_calmly(state: &FrontState, grace: Duration) {
    let asked = Instant::now();
    log::info!(target: "entry", in_flight = state.in_flight(); "stopping");
    state.stopping.cancel();
    let last = asked + grace.saturating_sub(STOP_MARGIN);
    while Instant::now() < last {
        let noticed = asked.elapsed() >= NOTICE_TIME;
        if noticed && state.in_flight() == 0 {
            break;
        }
        time::sleep(STOP_LOOK).await;
    }
    tell_counts_of_last(state, last).await;
    log::info!(target: "entry", in_flight = state.in_flight(); "stopped");
}
