//! Target homes: an admission queue per target, and polling of engine state.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use api::HomeStatus;
use ids::{ModelVersion, Moment, TargetId, TokenCount};
use kameo::prelude::*;
use placement::{
    Admission, AdmissionRequest, OrderOutcome, QueueEvent, Refusal, ReplicaReading, ReplicaStatus,
    TargetHint, TargetQueue, TicketId,
};
use pools::{TargetKind, TargetRecord};
use targets::{EngineClient, EngineState, TargetError};
use tokio::sync::{oneshot, watch};
use tokio::time;

use crate::context::BoxContext;

/// Polling interval of a serving engine; expired admission requests are removed at the same
/// interval.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Polling interval while the replica is not serving.
const DOUBT_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Number of consecutive failed polls after which an engine is unreachable.
const MAX_FAILED_READS: u32 = 2;
/// Maximum number of concurrent requests at a plain service or scorer.
const MAX_PLAIN_REQUESTS: usize = 256;
/// Maximum number of concurrent requests at an engine that is in no pool.
const DEFAULT_ENGINE_LIMIT: usize = 16;

type Waiter = oneshot::Sender<Result<(), Refusal>>;

/// Controls admission to one target.
#[derive(Debug, Actor)]
pub struct HomeActor {
    ctx: BoxContext,
    record: TargetRecord,
    queue: TargetQueue,
    waiters: HashMap<TicketId, Waiter>,
    failed_reads: u32,
    status: watch::Sender<ReplicaStatus>,
}

/// Handle of a home, with the last published status of its target.
#[derive(Debug, Clone)]
pub struct HomeHandle {
    /// The actor.
    pub actor: ActorRef<HomeActor>,
    /// The replica's status.
    pub status: watch::Receiver<ReplicaStatus>,
}

/// Requests a permit to run at the target.
#[derive(Debug)]
pub struct RequestPermit(pub AdmissionRequest);

/// The response to [`RequestPermit`].
#[derive(Debug, Reply)]
pub enum PermitResponse {
    /// The request may start now.
    Admitted(TicketId),
    /// The request is queued; the receiver yields the decision.
    Queued(TicketId, oneshot::Receiver<Result<(), Refusal>>),
    /// The request is rejected and will not run here.
    Refused(Refusal),
}

/// Releases a permit.
#[derive(Debug)]
pub struct ReleasePermit {
    /// Ticket of the permit.
    pub ticket: TicketId,
    /// Number of tokens generated under the permit.
    pub tokens: TokenCount,
}

/// Result of polling an engine.
#[derive(Debug)]
struct EngineRead {
    requested_at: Moment,
    state: Result<EngineState, TargetError>,
}

/// Announces a swap order that is about to be sent.
#[derive(Debug)]
pub struct BeginOrder {
    /// The ordered version.
    pub version: ModelVersion,
    /// Time until which the order may take effect.
    pub deadline: Moment,
}

/// Reports that a swap order completed.
#[derive(Debug)]
pub struct EndOrder {
    /// The ordered version.
    pub version: ModelVersion,
    /// Outcome of the order.
    pub outcome: OrderOutcome,
}

/// Reports a chunk whose version differs from the replica's expected version.
#[derive(Debug)]
pub struct StampContradicted;

#[derive(Debug)]
struct HomeTick;

/// Queries the target's load and status.
#[derive(Debug)]
pub struct QueryHome;

/// The response to [`QueryHome`].
#[derive(Debug, Reply)]
pub struct HomeView {
    /// Load for the keepers that place work.
    pub hint: TargetHint,
    /// Status for operators.
    pub status: HomeStatus,
}

/// The homes on this box.
#[derive(Debug, Clone, Default)]
pub struct HomeRegistry {
    homes: Arc<Mutex<HashMap<TargetId, HomeHandle>>>,
}

impl HomeRegistry {
    /// Returns the home of a target, starting it if needed.
    pub fn home(&self, ctx: &BoxContext, record: &TargetRecord) -> HomeHandle {
        let mut homes = self.lock();
        if let Some(handle) = homes.get(&record.id)
            && handle.actor.is_alive()
        {
            return handle.clone();
        }
        let handle = HomeActor::start(ctx, record);
        homes.insert(record.id.clone(), handle.clone());
        handle
    }

    /// Returns all homes on this box.
    pub fn all(&self) -> Vec<HomeHandle> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, HomeHandle>> {
        self.homes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HomeActor {
    fn start(ctx: &BoxContext, record: &TargetRecord) -> HomeHandle {
        let _on_control = ctx.control.enter();
        let (status, status_out) = watch::channel(ReplicaStatus::Unread);
        log::info!(target: "home", at:% = record.id; "home started");
        let queue = TargetQueue::new(record.kind, MAX_PLAIN_REQUESTS);
        let mut home = Self {
            ctx: Arc::clone(ctx),
            record: record.clone(),
            queue,
            waiters: HashMap::new(),
            failed_reads: 0,
            status,
        };
        home.apply_documents();
        let actor = Self::spawn(home);
        if record.kind == TargetKind::Engine {
            let reader = EngineClient::new(&record.address, ctx.control_http.clone());
            tokio::spawn(read_engine(Arc::clone(ctx), actor.clone(), reader, status_out.clone()));
        }
        tokio::spawn(tick(Arc::clone(ctx), actor.clone()));
        HomeHandle { actor, status: status_out }
    }

    fn apply_documents(&mut self) {
        let documents = self.ctx.documents.borrow().clone();
        let limit = match self.record.kind {
            TargetKind::Engine => documents
                .config
                .engine_limit(&self.record.id)
                .map_or(DEFAULT_ENGINE_LIMIT, |limit| limit as usize),
            TargetKind::Plain | TargetKind::Scorer => MAX_PLAIN_REQUESTS,
        };
        self.queue.set_limit(limit);
        match documents.target(&self.record.id) {
            Some(record) if !record.leaving => self.queue.clear_leaving(),
            Some(_) => self.queue.mark_leaving(),
            // A target missing from the list is leaving, unless no list has been loaded yet.
            None if documents.ready => self.queue.mark_leaving(),
            None => {}
        }
    }

    /// Delivers admission decisions to waiting requests and publishes the replica's status.
    fn publish_changes(&mut self) {
        for event in self.queue.poll(self.ctx.clock.now()) {
            let (ticket, outcome) = match event {
                QueueEvent::Go(ticket) => (ticket, Ok(())),
                QueueEvent::Refused(ticket, refusal) => (ticket, Err(refusal)),
            };
            let delivered =
                self.waiters.remove(&ticket).is_some_and(|waiter| waiter.send(outcome).is_ok());
            if !delivered {
                self.queue.withdraw(ticket);
            }
        }
        let status = self.queue.replica().status();
        self.status.send_if_modified(|current| {
            let changed = *current != status;
            if changed {
                log::info!(target: "home", at:% = self.record.id, status:% = status; "replica status changed");
                *current = status;
            }
            changed
        });
    }

    fn view(&self) -> HomeView {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let status = self.queue.replica().status();
        let version = match status {
            ReplicaStatus::Serving(version) => Some(version),
            _ => None,
        };
        HomeView {
            hint: TargetHint {
                running: count(self.queue.running()),
                waiting: count(self.queue.waiting()),
                limit: count(self.queue.limit()),
                version,
            },
            status: HomeStatus {
                target: self.record.id.clone(),
                status,
                running: self.queue.running(),
                waiting: self.queue.waiting(),
                limit: self.queue.limit(),
            },
        }
    }
}

impl Message<RequestPermit> for HomeActor {
    type Reply = PermitResponse;

    async fn handle(
        &mut self,
        msg: RequestPermit,
        _: &mut Context<Self, PermitResponse>,
    ) -> PermitResponse {
        let admission = self.queue.request_admission(self.ctx.clock.now(), msg.0);
        match admission {
            Admission::Admitted(ticket) => PermitResponse::Admitted(ticket),
            Admission::Refused(refusal) => PermitResponse::Refused(refusal),
            Admission::Queued(ticket) => {
                let (waiter, outcome) = oneshot::channel();
                self.waiters.insert(ticket, waiter);
                self.publish_changes();
                PermitResponse::Queued(ticket, outcome)
            }
        }
    }
}

impl Message<ReleasePermit> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, msg: ReleasePermit, _: &mut Context<Self, ()>) {
        self.waiters.remove(&msg.ticket);
        self.queue.ended(msg.ticket, msg.tokens);
        self.queue.withdraw(msg.ticket);
        self.publish_changes();
    }
}

impl Message<EngineRead> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, msg: EngineRead, _: &mut Context<Self, ()>) {
        if let Ok(state) = msg.state {
            self.failed_reads = 0;
            self.queue.read(msg.requested_at, &reading(&state));
        } else {
            self.failed_reads += 1;
            if self.failed_reads >= MAX_FAILED_READS {
                self.queue.unreachable();
            }
        }
        self.publish_changes();
    }
}

impl Message<BeginOrder> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, msg: BeginOrder, _: &mut Context<Self, ()>) {
        self.queue.order_sent(msg.version, msg.deadline);
        self.publish_changes();
    }
}

impl Message<EndOrder> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, msg: EndOrder, _: &mut Context<Self, ()>) {
        self.queue.order_completed(self.ctx.clock.now(), msg.version, msg.outcome);
        self.publish_changes();
    }
}

impl Message<StampContradicted> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, _: StampContradicted, _: &mut Context<Self, ()>) {
        self.queue.contradicted(self.ctx.clock.now());
        self.publish_changes();
    }
}

impl Message<HomeTick> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, _: HomeTick, _: &mut Context<Self, ()>) {
        self.apply_documents();
        self.publish_changes();
    }
}

impl Message<QueryHome> for HomeActor {
    type Reply = HomeView;

    async fn handle(&mut self, _: QueryHome, _: &mut Context<Self, HomeView>) -> HomeView {
        self.view()
    }
}

/// Extracts the replica reading from an engine's state.
pub fn reading(state: &EngineState) -> ReplicaReading {
    ReplicaReading {
        incarnation: state.incarnation,
        version: state.version,
        loading: state.loading,
        token: state.token,
        leaving: state.leaving,
    }
}

async fn read_engine(
    ctx: BoxContext,
    actor: ActorRef<HomeActor>,
    reader: EngineClient,
    mut status: watch::Receiver<ReplicaStatus>,
) {
    while !ctx.stop.is_cancelled() {
        let requested_at = ctx.clock.now();
        let state = reader.state().await;
        if actor.tell(EngineRead { requested_at, state }).await.is_err() {
            return;
        }
        let settled = matches!(*status.borrow_and_update(), ReplicaStatus::Serving(_));
        let delay = if settled { READ_INTERVAL } else { DOUBT_READ_INTERVAL };
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            () = time::sleep(delay) => {}
            // The replica may now be in doubt: poll it immediately.
            changed = status.changed(), if settled => if changed.is_err() { return },
        }
    }
}

async fn tick(ctx: BoxContext, actor: ActorRef<HomeActor>) {
    let mut interval = time::interval(READ_INTERVAL);
    let mut documents = ctx.documents.clone();
    loop {
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            _ = interval.tick() => {}
            changed = documents.changed() => if changed.is_err() { return },
        }
        if actor.tell(HomeTick).await.is_err() {
            return;
        }
    }
}
