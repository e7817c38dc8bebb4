//! Startup and shutdown of an entry box.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use links::{LinkPool, LinkSettings};
use node::assignments::AssignmentSink;
use node::feed::follow_feed;
use node::follow::KindWatcher;
use node::sinks::{ConfigSink, EvacuationSink, TargetSink};
use node::{NodeSettings, NodeView, log_counters, serve_metrics, sync_suspects};
use platform::{Kind, ObjectStore};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::callers::disconnect_slow_callers;
use crate::isolation::watch_isolation;
use crate::jobs_api::ShardClient;
use crate::server::{FrontState, serve_front, serve_ready};

/// How long target changes are batched between two watches of the store. Watches are costly, but a
/// leaving target must be noticed within two seconds.
const TARGET_BATCH_DELAY: Duration = Duration::from_millis(1_200);
/// How long assignment changes are batched between two watches of the store.
const ASSIGNMENT_BATCH_DELAY: Duration = Duration::from_millis(100);
/// Time that the platform needs to redirect new callers after a request to stop.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Time reserved at the end of the grace period; requests still in flight get their last response
/// when it starts.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Maximum wait for callers to take the last responses.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(200);
/// Maximum wait for the final usage counts to be reported: the long poll of the feed and its
/// transit time.
const USAGE_REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Size of the kernel's send buffer per caller, in bytes. A buffer grown by the kernel takes
/// megabytes, and a slow reader must empty a third of it before it is seen to take anything.
const SEND_BUFFER_BYTES: u32 = 64 << 10;
/// Number of connections that wait to be accepted; the value that the runtime uses.
const ACCEPT_BACKLOG: u32 = 1_024;
/// How often a stopping box checks whether all responses have been sent.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Listening sockets of an entry box.
#[derive(Debug)]
pub struct EntryListeners {
    /// Socket for callers.
    pub front: TcpListener,
    /// Socket for the platform's readiness checks.
    pub ready: TcpListener,
}

impl EntryListeners {
    /// Binds the addresses from the settings; fails if one is missing or in use.
    pub async fn bind(settings: &NodeSettings) -> io::Result<Self> {
        let (Some(front), Some(ready)) = (settings.front, settings.ready) else {
            return Err(io::Error::other("--front or --ready is missing: give both as IP:PORT"));
        };
        Ok(Self { front: bind_callers(front)?, ready: TcpListener::bind(ready).await? })
    }
}

/// Binds the socket for callers. Its connections inherit the size of the send buffer.
fn bind_callers(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Runs an entry box until `stop_requested` resolves, then shuts it down gracefully.
pub async fn run_entry(
    settings: NodeSettings,
    listeners: EntryListeners,
    stop_requested: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let EntryListeners { front, ready } = listeners;
    let store = ObjectStore::new(&settings.store.to_string()).map_err(io::Error::other)?;
    let link_settings = LinkSettings { me: settings.box_id.clone(), key: settings.key.clone() };
    let metrics = settings.metrics;
    let view = Arc::new(NodeView::new(settings, store));
    let shutdown = CancellationToken::new();
    log::info!(target: "entry", front:? = front.local_addr().ok(), store:% = view.settings.store; "started");
    if let Some(address) = metrics {
        tokio::spawn(serve_metrics(Arc::clone(&view), address));
    }
    tokio::spawn(log_counters(Arc::clone(&view)));
    let links = LinkPool::new(link_settings, shutdown.clone());
    view.admission.set_links(links.clone());
    start_watchers(&view, &links, &shutdown);
    tokio::spawn(sync_suspects(Arc::clone(&view), false, shutdown.clone()));
    let shards = ShardClient::new(Arc::clone(&view), links);
    tokio::spawn(watch_isolation(Arc::clone(&view), shards.clone(), shutdown.clone()));
    let state = FrontState::new(view, shards);
    let callers = Arc::clone(&state.callers);
    tokio::spawn(disconnect_slow_callers(Arc::clone(&state.view), callers, shutdown.clone()));
    let front_server = serve_front(state.clone(), front, shutdown.clone());
    let ready_server = serve_ready(state.clone(), ready, shutdown.clone());
    tokio::select! {
        ended = front_server => ended,
        ended = ready_server => ended,
        stopped = async { stop_requested.await?; stop_gracefully(&state).await; Ok(()) } => {
            shutdown.cancel();
            stopped
        }
    }
}

/// Starts the watchers of the store's kinds that an entry box needs. The feed of a storage box
/// serves them while it is fresh.
fn start_watchers(view: &Arc<NodeView>, links: &LinkPool, shutdown: &CancellationToken) {
    let shared_view = || Arc::clone(view);
    let no_delay = Duration::ZERO;
    view.feed.set_receive_only();
    let mut config =
        KindWatcher::new(view, Kind::Configuration, no_delay, ConfigSink(shared_view()));
    let mut targets =
        KindWatcher::new(view, Kind::Targets, TARGET_BATCH_DELAY, TargetSink::new(shared_view()));
    let mut assignments = KindWatcher::new(
        view,
        Kind::ClusterState,
        ASSIGNMENT_BATCH_DELAY,
        AssignmentSink(shared_view()),
    );
    // A stale assignment is acceptable: a box that doesn't serve a shard refuses the call.
    assignments.allow_stale_first_list();
    // After an outage, requests are served from the cached state; without the delay, hundreds of
    // entry boxes would probe the store.
    config.defer_recovery_probe();
    let mut feeds = vec![config.feed(), targets.feed(), assignments.feed()];
    if view.settings.evacuations {
        let sink = EvacuationSink(shared_view());
        let mut evacuations = KindWatcher::new(view, Kind::Evacuations, no_delay, sink);
        feeds.push(evacuations.feed());
        tokio::spawn(evacuations.run(shutdown.clone()));
    }
    tokio::spawn(config.run(shutdown.clone()));
    tokio::spawn(targets.run(shutdown.clone()));
    tokio::spawn(assignments.run(shutdown.clone()));
    tokio::spawn(follow_feed(shared_view(), links.clone(), feeds, shutdown.clone()));
}

/// Waits until another box has received all usage counts, or until the timeout or `deadline`.
async fn wait_for_usage_report(state: &FrontState, deadline: Instant) {
    let report_deadline = deadline.min(Instant::now() + USAGE_REPORT_TIMEOUT);
    while Instant::now() < report_deadline && !state.view.usage.is_fully_reported() {
        time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Waits until the responses in flight have been sent to their last byte, or until `deadline`.
async fn wait_for_responses(state: &FrontState, deadline: Instant) {
    while Instant::now() < deadline && state.callers.unfinished() > 0 {
        time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Reports the box as not ready, closes callers' connections after their current request, and waits
/// until the responses in flight have been sent to their last byte.
async fn stop_gracefully(state: &FrontState) {
    let started = Instant::now();
    let settings = &state.view.settings;
    let grace = settings.live.grace(settings.grace);
    log::info!(target: "entry", in_flight = state.in_flight(); "stopping");
    state.stop.requested.cancel();
    let deadline = started + grace.saturating_sub(STOP_MARGIN);
    time::sleep_until(deadline.min(started + READINESS_NOTICE_TIME)).await;
    state.stop.redirected.cancel();
    wait_for_responses(state, deadline).await;
    if state.callers.unfinished() > 0 {
        state.stop.ending.cancel();
        wait_for_responses(state, deadline + LAST_RESPONSE_TIME).await;
    }
    wait_for_usage_report(state, deadline).await;
    log::info!(
        target: "entry", in_flight = state.in_flight(), unfinished = state.callers.unfinished();
        "stopped"
    );
}
