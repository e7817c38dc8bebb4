//! Starts a box and stops it gracefully.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use coord::members::{MemberRecord, MemberTable};
use kameo::actor::ActorRef;
use links::{LinkPool, LinkSettings, serve_links};
use objects::HttpStore;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time;
use tokio_util::sync::CancellationToken;
use wire::peer::{TakeOver, request};

use crate::clock::{ProcessClock, incarnation_from_wall_clock};
use crate::context::{BoxContext, BoxLocation, BoxParts, Documents, new_request};
use crate::coordinator::{CoordinatorActor, ReleaseRollouts, RolloutTable};
use crate::documents::DocumentActor;
use crate::home::HomeRegistry;
use crate::http::{self, HttpState};
use crate::keeper::{HandOverReply, HandOverSteps, KeeperHandle, KeeperKey, KeeperRegistry};
use crate::members::{LeaveFleet, MemberActor};
use crate::metrics::BoxMetrics;
use crate::peer::{BoxHandler, serve_local};
use crate::settings::Settings;
use crate::trace::HopTracer;

/// Interval at which a planned stop checks for remaining work.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts in flight may take the drain limit divided by this number to finish.
const ATTEMPT_DRAIN_DIVISOR: u32 = 3;
/// Timeout for the successor's response.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(3);

/// A running box.
#[derive(Debug)]
pub struct RunningBox {
    /// State shared by all parts of the box.
    pub ctx: BoxContext,
    /// Bound address for callers.
    pub caller_address: SocketAddr,
    http: HttpState,
    members: ActorRef<MemberActor>,
    coordinator: ActorRef<CoordinatorActor>,
    stop_http: CancellationToken,
}

/// Binds the box's addresses and starts all its parts. Must be called on the traffic runtime;
/// `control` is the runtime of the control thread.
pub async fn start_box(
    settings: Settings,
    tracer: HopTracer,
    control: Handle,
) -> io::Result<RunningBox> {
    let callers = TcpListener::bind(settings.caller_listen).await?;
    let peers = TcpListener::bind(settings.peer_listen).await?;
    let caller_address = callers.local_addr()?;
    let peer_bound = peers.local_addr()?;
    let peer_address = settings.peer_advertise.unwrap_or(peer_bound);
    let me = MemberRecord {
        id: settings.box_id.clone(),
        domain: settings.domain.clone(),
        incarnation: incarnation_from_wall_clock(),
        address: peer_address.to_string(),
        leaving: false,
    };
    let stop = CancellationToken::new();
    let (members_in, members_out) = watch::channel(Arc::new(MemberTable::new(me.clone())));
    let (documents_in, documents_out) = watch::channel(Documents::default());
    let (local, local_requests) = mpsc::unbounded_channel();
    let link_settings = LinkSettings { me: me.id.clone(), key: settings.key.clone() };
    let control_http = reqwest::Client::new();
    let key = settings.key.clone();
    let ctx: BoxContext = Arc::new(BoxParts {
        store: HttpStore::new(&settings.platform, control_http.clone()),
        settings,
        me,
        clock: ProcessClock::start(),
        links: LinkPool::new(link_settings, stop.child_token()),
        control_http,
        traffic_http: reqwest::Client::new(),
        members: members_out,
        documents: documents_out,
        homes: HomeRegistry::default(),
        keepers: KeeperRegistry::default(),
        rollouts: RolloutTable::default(),
        metrics: BoxMetrics::default(),
        tracer,
        control,
        traffic: Handle::current(),
        platform_available: AtomicBool::new(true),
        local,
        leaving: CancellationToken::new(),
        stop: stop.clone(),
    });
    let members = MemberActor::start(&ctx, members_in);
    let documents = DocumentActor::start(&ctx, documents_in);
    let coordinator = CoordinatorActor::start(&ctx);
    let handler = BoxHandler {
        ctx: Arc::clone(&ctx),
        members: members.clone(),
        documents: documents.clone(),
    };
    tokio::spawn(serve_local(handler.clone(), local_requests));
    tokio::spawn(serve_links(peers, key, handler, stop.child_token()));
    let http = HttpState::new(Arc::clone(&ctx), documents);
    let stop_http = CancellationToken::new();
    let served = axum::serve(callers, http::router(http.clone()))
        .with_graceful_shutdown(stop_http.clone().cancelled_owned());
    tokio::spawn(async move { served.await });
    log::info!(target: "box", id:% = ctx.me.id, callers:% = caller_address, peers:% = ctx.me.address; "serving");
    print_addresses(&ctx, caller_address, peer_bound)?;
    Ok(RunningBox { ctx, caller_address, http, members, coordinator, stop_http })
}

/// Prints the bound addresses to standard output, for processes that start a box on free ports.
fn print_addresses(ctx: &BoxContext, callers: SocketAddr, bound: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening {callers} peers {} bound {bound}", ctx.me.address)?;
    out.flush()
}

impl RunningBox {
    /// Stops the box gracefully: announces the stop, hands over its steps and waits for requests
    /// in flight. Returns the number of aborted requests, which is zero unless the time limit was
    /// reached.
    pub async fn stop(self) -> usize {
        let ctx = &self.ctx;
        let deadline = time::Instant::now() + ctx.settings.drain_notice + ctx.settings.drain_limit;
        log::info!(target: "box", id:% = ctx.me.id; "leaving");
        ctx.leaving.cancel();
        // Sending fails only when the box has stopped.
        let _stopped = self.members.tell(LeaveFleet).await;
        let _stopped = self.coordinator.tell(ReleaseRollouts).await;
        let attempt_deadline =
            time::Instant::now() + ctx.settings.drain_limit / ATTEMPT_DRAIN_DIVISOR;
        let notice = time::sleep(ctx.settings.drain_notice);
        tokio::join!(notice, self.hand_over_all(attempt_deadline));
        self.stop_http.cancel();
        let aborted = self.wait_for_requests(deadline).await;
        ctx.stop.cancel();
        ctx.tracer.finish();
        log::info!(target: "box", id:% = ctx.me.id, requests_cut = aborted; "stopped");
        aborted
    }

    async fn hand_over_all(&self, attempt_deadline: time::Instant) {
        let all = self.ctx.keepers.all();
        let each = all.iter().map(|(key, handle)| self.hand_over(key, handle, attempt_deadline));
        futures::future::join_all(each).await;
    }

    /// Waits for attempts in flight, then hands the steps over to a successor.
    async fn hand_over(&self, key: &KeeperKey, handle: &KeeperHandle, deadline: time::Instant) {
        let adopt = loop {
            let force = time::Instant::now() >= deadline;
            match handle.actor.ask(HandOverSteps { force }).await {
                Ok(HandOverReply::Steps(adopt)) => break adopt,
                Ok(HandOverReply::Busy) => time::sleep(DRAIN_POLL_INTERVAL).await,
                Ok(HandOverReply::Nothing) | Err(_) => return,
            }
        };
        let ctx = &self.ctx;
        let successor = {
            let members = ctx.members.borrow();
            let lease = key.lease().to_string();
            members
                .owner_in(ctx.clock.now(), &ctx.me.domain, &lease)
                .map(|record| ctx.location_of(record))
        };
        let Some(location) = successor.filter(|location| *location != BoxLocation::Here) else {
            log::warn!(target: "keeper", trainer:% = key; "no successor; the trainer must reopen its steps");
            return;
        };
        let snapshots =
            adopt.snapshots.iter().filter_map(|snapshot| serde_json::to_vec(snapshot).ok());
        let take_over = TakeOver {
            pool: key.pool.to_string(),
            trainer: key.trainer.to_string(),
            token: adopt.token.get(),
            snapshots: snapshots.collect(),
        };
        let request = new_request(request::Body::TakeOver(take_over), "", HAND_OVER_TIMEOUT);
        let result = match ctx.call(&location, request).await {
            Ok(mut stream) => stream.next(HAND_OVER_TIMEOUT).await.map(|_end| ()),
            Err(error) => Err(error),
        };
        match result {
            Ok(()) => {
                log::info!(target: "keeper", trainer:% = key, to:? = location; "steps handed over");
            }
            Err(error) => {
                log::warn!(target: "keeper", trainer:% = key, error:% = error; "hand-over failed; the trainer must reopen its steps");
            }
        }
    }

    async fn wait_for_requests(&self, deadline: time::Instant) -> usize {
        loop {
            let left = self.http.in_flight();
            if left == 0 || time::Instant::now() >= deadline {
                return left;
            }
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}
