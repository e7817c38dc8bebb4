//! Homes of targets: one admission queue each, and readings of engines.

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

/// Time between an engine's readings; the wait of asks that expire is seen to as often.
const READ_EVERY: Duration = Duration::from_millis(500);
/// Time between readings while the replica's state is in doubt or unread.
const DOUBT_READ_EVERY: Duration = Duration::from_millis(100);
/// Failed readings in a row after which an engine counts as down.
const FAILED_READS: u32 = 2;
/// Most plain requests at one service at once.
const PLAIN_LIMIT: usize = 256;
/// Most requests at an engine that no pool names.
const ENGINE_LIMIT: usize = 16;

type Waiter = oneshot::Sender<Result<(), Refusal>>;

/// Owns the admission to one target.
#[derive(Debug, Actor)]
pub struct HomeActor {
    ctx: BoxContext,
    record: TargetRecord,
    queue: TargetQueue,
    waiters: HashMap<TicketId, Waiter>,
    failed_reads: u32,
    status: watch::Sender<ReplicaStatus>,
}

/// A home and what it last said of its target.
#[derive(Debug, Clone)]
pub struct HomeHandle {
    /// The actor.
    pub actor: ActorRef<HomeActor>,
    /// The replica's status.
    pub status: watch::Receiver<ReplicaStatus>,
}

/// Asks for a place at the target.
#[derive(Debug)]
pub struct AskPlace(pub AdmissionRequest);

/// The answer to [`AskPlace`].
#[derive(Debug, Reply)]
pub enum PlaceAnswer {
    /// Begin now.
    Go(TicketId),
    /// Wait for the word.
    Wait(TicketId, oneshot::Receiver<Result<(), Refusal>>),
    /// It will not run here.
    Refused(Refusal),
}

/// Gives a place back.
#[derive(Debug)]
pub struct EndPlace {
    /// The place.
    pub ticket: TicketId,
    /// Tokens generated in it.
    pub tokens: TokenCount,
}

/// An engine was read, or did not answer.
#[derive(Debug)]
struct EngineRead {
    asked_at: Moment,
    state: Result<EngineState, TargetError>,
}

/// An order is about to go out; it may take effect until the deadline.
#[derive(Debug)]
pub struct BeginOrder {
    /// The version ordered.
    pub version: ModelVersion,
    /// Until when it may take effect.
    pub deadline: Moment,
}

/// An order ended.
#[derive(Debug)]
pub struct EndOrder {
    /// The version ordered.
    pub version: ModelVersion,
    /// How it ended.
    pub outcome: OrderOutcome,
}

/// A chunk's stamp contradicts the version believed in.
#[derive(Debug)]
pub struct StampContradicted;

/// Time passed, or the documents changed.
#[derive(Debug)]
struct HomeTick;

/// Asks for the target's load.
#[derive(Debug)]
pub struct QueryHome;

/// The answer to [`QueryHome`].
#[derive(Debug, Reply)]
pub struct HomeView {
    /// For the keepers that place work.
    pub hint: TargetHint,
    /// For operators.
    pub status: HomeStatus,
}

/// The homes on this box.
#[derive(Debug, Clone, Default)]
pub struct HomeRegistry {
    homes: Arc<Mutex<HashMap<TargetId, HomeHandle>>>,
}

impl HomeRegistry {
    /// The home of a target, started if need be.
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

    /// All homes on this box.
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
        let queue = TargetQueue::new(record.kind, PLAIN_LIMIT);
        let mut home = Self {
            ctx: Arc::clone(ctx),
            record: record.clone(),
            queue,
            waiters: HashMap::new(),
            failed_reads: 0,
            status,
        };
        home.follow_documents();
        let actor = Self::spawn(home);
        if record.kind == TargetKind::Engine {
            let reader = EngineClient::new(&record.address, ctx.control_http.clone());
            tokio::spawn(read_engine(Arc::clone(ctx), actor.clone(), reader, status_out.clone()));
        }
        tokio::spawn(tick(Arc::clone(ctx), actor.clone()));
        HomeHandle { actor, status: status_out }
    }

    fn follow_documents(&mut self) {
        let documents = self.ctx.documents.borrow().clone();
        let limit = match self.record.kind {
            TargetKind::Engine => documents
                .config
                .engine_limit(&self.record.id)
                .map_or(ENGINE_LIMIT, |limit| limit as usize),
            TargetKind::Plain | TargetKind::Scorer => PLAIN_LIMIT,
        };
        self.queue.set_limit(limit);
        match documents.target(&self.record.id) {
            Some(record) if !record.leaving => self.queue.clear_leaving(),
            // Gone from the list counts as leaving, once a list is there at all.
            Some(_) => self.queue.mark_leaving(),
            None if documents.ready => self.queue.mark_leaving(),
            None => {}
        }
    }

    /// Tells the waiting what changed for them.
    fn settle(&mut self) {
        for event in self.queue.poll(self.ctx.clock.now()) {
            let (ticket, word) = match event {
                QueueEvent::Go(ticket) => (ticket, Ok(())),
                QueueEvent::Refused(ticket, refusal) => (ticket, Err(refusal)),
            };
            let told = self.waiters.remove(&ticket).is_some_and(|waiter| waiter.send(word).is_ok());
            if !told {
                self.queue.withdraw(ticket);
            }
        }
        let status = self.queue.replica().status();
        self.status.send_if_modified(|known| {
            let changed = *known != status;
            if changed {
                log::info!(target: "home", at:% = self.record.id, status:% = status; "replica changed");
                *known = status;
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

impl Message<AskPlace> for HomeActor {
    type Reply = PlaceAnswer;

    async fn handle(&mut self, msg: AskPlace, _: &mut Context<Self, PlaceAnswer>) -> PlaceAnswer {
        let admission = self.queue.request_admission(self.ctx.clock.now(), msg.0);
        match admission {
            Admission::Admitted(ticket) => PlaceAnswer::Go(ticket),
            Admission::Refused(refusal) => PlaceAnswer::Refused(refusal),
            Admission::Queued(ticket) => {
                let (waiter, word) = oneshot::channel();
                self.waiters.insert(ticket, waiter);
                self.settle();
                PlaceAnswer::Wait(ticket, word)
            }
        }
    }
}

impl Message<EndPlace> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, msg: EndPlace, _: &mut Context<Self, ()>) {
        self.waiters.remove(&msg.ticket);
        self.queue.ended(msg.ticket, msg.tokens);
        self.queue.withdraw(msg.ticket);
        self.settle();
    }
}

impl Message<EngineRead> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, msg: EngineRead, _: &mut Context<Self, ()>) {
        if let Ok(state) = msg.state {
            self.failed_reads = 0;
            self.queue.read(msg.asked_at, &reading(&state));
        } else {
            self.failed_reads += 1;
            if self.failed_reads >= FAILED_READS {
                self.queue.unreachable();
            }
        }
        self.settle();
    }
}

impl Message<BeginOrder> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, msg: BeginOrder, _: &mut Context<Self, ()>) {
        self.queue.order_sent(msg.version, msg.deadline);
        self.settle();
    }
}

impl Message<EndOrder> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, msg: EndOrder, _: &mut Context<Self, ()>) {
        self.queue.order_completed(self.ctx.clock.now(), msg.version, msg.outcome);
        self.settle();
    }
}

impl Message<StampContradicted> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, _: StampContradicted, _: &mut Context<Self, ()>) {
        self.queue.contradicted(self.ctx.clock.now());
        self.settle();
    }
}

impl Message<HomeTick> for HomeActor {
    type Reply = ();

    async fn handle(&mut self, _: HomeTick, _: &mut Context<Self, ()>) {
        self.follow_documents();
        self.settle();
    }
}

impl Message<QueryHome> for HomeActor {
    type Reply = HomeView;

    async fn handle(&mut self, _: QueryHome, _: &mut Context<Self, HomeView>) -> HomeView {
        self.view()
    }
}

/// What an engine's state says of its weights.
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
        let asked_at = ctx.clock.now();
        let state = reader.state().await;
        if actor.tell(EngineRead { asked_at, state }).await.is_err() {
            return;
        }
        let settled = matches!(*status.borrow_and_update(), ReplicaStatus::Serving(_));
        let pause = if settled { READ_EVERY } else { DOUBT_READ_EVERY };
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            () = time::sleep(pause) => {}
            // A change may be a doubt: read at once rather than after the rest.
            changed = status.changed(), if settled => if changed.is_err() { return },
        }
    }
}

async fn tick(ctx: BoxContext, actor: ActorRef<HomeActor>) {
    let mut interval = time::interval(READ_EVERY);
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
