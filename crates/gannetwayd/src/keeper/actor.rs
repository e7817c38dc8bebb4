//! The actor that runs a [`StepKeeper`] and performs its I/O.

use std::collections::HashMap;
use std::sync::Arc;

use coord::lease::LeaseAction;
use ids::{FencingToken, ModelVersion, Moment, StepNumber, VersionWindow};
use kameo::prelude::*;
use keeping::{
    AttemptOutcome, KeeperAction, KeeperRefusal, KeeperSettings, KeptState, Placement, StepKeeper,
};
use ledger::{Pull, PulledBatch, Settled, SlotSet, StepSnapshot, StepSpec};
use placement::TargetHint;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time;

use crate::context::BoxContext;
use crate::keeper::attempt::run_attempt;
use crate::keeper::{KeeperHandle, KeeperKey};
use crate::lease::{LeaseResponse, run_lease_action};
use crate::metrics::{AttemptLabel, AttemptLabels};

/// Owns the step ledgers of one trainer.
#[derive(Debug, Actor)]
pub struct KeeperActor {
    ctx: BoxContext,
    key: KeeperKey,
    keeper: StepKeeper<ChaCha8Rng>,
    /// Version windows of the steps with attempts, observed by the attempts.
    windows: HashMap<StepNumber, watch::Sender<VersionWindow>>,
    /// Incremented whenever the keeper may have changed; wakes requests that wait for it.
    changes: watch::Sender<u64>,
    /// Time of the next tick.
    wake: watch::Sender<Moment>,
    /// Fencing token at the last check for a change; `None` if the lease was not held.
    acting: Option<FencingToken>,
}

/// Opens a step.
#[derive(Debug)]
pub struct OpenStep {
    /// Specification of the step.
    pub spec: StepSpec,
    /// Slots whose samples the trainer already holds.
    pub held: SlotSet,
    /// Highest token the trainer has seen.
    pub seen: FencingToken,
}

/// Pulls finished samples of a step.
#[derive(Debug)]
pub struct PullStep {
    /// The step.
    pub step: StepNumber,
    /// Slots held, token and batch size sent by the trainer.
    pub pull: Pull,
}

/// The response to a pull.
#[derive(Debug)]
pub struct PullReply {
    /// Samples for the trainer.
    pub batch: PulledBatch,
    /// The step's state.
    pub state: KeptState,
    /// Whether to respond now instead of waiting for further samples.
    pub respond_now: bool,
}

/// Sets a newer weight version for a step.
#[derive(Debug)]
pub struct AdvanceStep {
    /// The step.
    pub step: StepNumber,
    /// The new version.
    pub version: ModelVersion,
    /// Highest token the trainer has seen.
    pub seen: FencingToken,
}

/// Closes a step.
#[derive(Debug)]
pub struct CloseStep {
    /// The step.
    pub step: StepNumber,
    /// Highest token the trainer has seen.
    pub seen: FencingToken,
}

/// Queries the state of a step.
#[derive(Debug)]
pub struct StepStateQuery(pub StepNumber);

/// Adopts the steps of the previous keeper.
#[derive(Debug)]
pub struct AdoptSteps {
    /// Snapshots of the steps.
    pub snapshots: Vec<StepSnapshot>,
    /// Fencing token of the previous keeper.
    pub token: FencingToken,
}

/// Hands the steps over to a successor and releases the lease.
#[derive(Debug)]
pub struct HandOverSteps {
    /// Hands over even while attempts are in flight.
    pub force: bool,
}

/// The response to [`HandOverSteps`].
#[derive(Debug, Reply)]
pub enum HandOverReply {
    /// Attempts are in flight: retry later or set `force`.
    Busy,
    /// The keeper does not hold the lease, so it has nothing to hand over.
    Nothing,
    /// Message for the successor.
    Steps(AdoptSteps),
}

/// Queries the keeper's status.
#[derive(Debug)]
pub struct QueryKeeper;

/// The response to [`QueryKeeper`].
#[derive(Debug, Reply)]
pub struct KeeperView {
    /// Fencing token of the held lease, or `None` when the lease is not held.
    pub acting: Option<FencingToken>,
    /// Numbers of the open steps.
    pub steps: Vec<StepNumber>,
}

#[derive(Debug)]
struct AttemptDone {
    placement: Placement,
    outcome: AttemptOutcome,
    hint: Option<TargetHint>,
}

#[derive(Debug)]
struct LeaseActionDone(LeaseResponse);

#[derive(Debug)]
struct KeeperTick;

impl KeeperActor {
    /// Spawns a keeper on the control thread.
    pub fn start(ctx: &BoxContext, key: KeeperKey) -> KeeperHandle {
        let _on_control = ctx.control.enter();
        let now = ctx.clock.now();
        let settings = KeeperSettings {
            me: ctx.me.id.clone(),
            incarnation: ctx.me.incarnation,
            address: ctx.me.address.clone(),
            term: ctx.settings.lease_term,
            pool: key.pool.clone(),
            trainer: key.trainer.clone(),
        };
        let keeper = StepKeeper::new(now, settings, ChaCha8Rng::from_os_rng());
        let (changes, changes_out) = watch::channel(0);
        let (wake, wake_out) = watch::channel(now);
        log::info!(target: "keeper", trainer:% = key; "claiming keeper lease");
        let mut actor = Self {
            ctx: Arc::clone(ctx),
            key,
            keeper,
            windows: HashMap::new(),
            changes,
            wake,
            acting: None,
        };
        actor.refresh_pool();
        let actor = Self::spawn(actor);
        tokio::spawn(tick(Arc::clone(ctx), actor.clone(), wake_out));
        KeeperHandle { actor, changes: changes_out }
    }

    fn refresh_pool(&mut self) {
        let config = Arc::clone(&self.ctx.documents.borrow().config);
        self.keeper.pool_changed(config.generation, config.pool(&self.key.pool).cloned());
    }

    /// Executes the keeper's due actions, then notifies waiting pulls and attempts.
    fn drive(&mut self, me: &ActorRef<Self>) {
        let now = self.ctx.clock.now();
        for action in self.keeper.poll(now) {
            match action {
                KeeperAction::Lease(action) => self.spawn_lease_action(action, me),
                KeeperAction::Start(placement) => self.start_attempt(placement, me),
            }
        }
        self.publish_windows();
        self.record_acting_change();
        self.changes.send_modify(|count| *count += 1);
        self.wake.send_replace(self.keeper.next_at(now));
    }

    fn record_acting_change(&mut self) {
        let acting = self.keeper.acting_token();
        if acting == self.acting {
            return;
        }
        self.acting = acting;
        self.ctx.metrics.lease_changes.inc();
        match acting {
            Some(token) => {
                log::info!(target: "keeper", trainer:% = self.key, token:% = token; "keeper active");
            }
            None => {
                log::info!(target: "keeper", trainer:% = self.key; "keeper no longer active");
            }
        }
    }

    /// Publishes version windows so that running attempts can detect that they are too old.
    fn publish_windows(&mut self) {
        self.windows.retain(|step, sender| match self.keeper.window(*step) {
            Some(window) => {
                sender.send_if_modified(|current| {
                    let changed = *current != window;
                    *current = window;
                    changed
                });
                true
            }
            None => false,
        });
    }

    fn spawn_lease_action(&self, action: LeaseAction, me: &ActorRef<Self>) {
        let (ctx, key, me) = (Arc::clone(&self.ctx), self.key.lease(), me.clone());
        self.ctx.control.spawn(async move {
            let response = run_lease_action(&ctx.store, &key, action).await;
            // Sending fails only when the box stops.
            let _stopped = me.tell(LeaseActionDone(response)).await;
        });
    }

    fn start_attempt(&mut self, placement: Placement, me: &ActorRef<Self>) {
        let Some(window) = self.keeper.window(placement.step) else { return };
        let window_out = self
            .windows
            .entry(placement.step)
            .or_insert_with(|| watch::Sender::new(window))
            .subscribe();
        let (ctx, key, me) = (Arc::clone(&self.ctx), self.key.clone(), me.clone());
        self.ctx.traffic.spawn(async move {
            let (outcome, hint) = run_attempt(&ctx, &key, &placement, window_out).await;
            // Sending fails only when the box stops.
            let _stopped = me.tell(AttemptDone { placement, outcome, hint }).await;
        });
    }
}

impl Message<OpenStep> for KeeperActor {
    type Reply = Result<KeptState, KeeperRefusal>;

    async fn handle(&mut self, msg: OpenStep, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.ctx.clock.now();
        let opened = self.keeper.open(now, msg.spec, &msg.held, msg.seen);
        self.drive(&ctx.actor_ref());
        opened
    }
}

impl Message<PullStep> for KeeperActor {
    type Reply = Result<PullReply, KeeperRefusal>;

    async fn handle(&mut self, msg: PullStep, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.ctx.clock.now();
        let before = self.keeper.waiting_bytes();
        let pulled = self.keeper.pull(now, msg.step, &msg.pull);
        // Drives the keeper only if the pull failed or freed buffer space.
        if pulled.is_err() || self.keeper.waiting_bytes() < before {
            self.drive(&ctx.actor_ref());
        }
        let (batch, state) = pulled?;
        let complete = state.progress.held == state.progress.slots;
        let respond_now = complete || !batch.samples.is_empty();
        self.ctx.metrics.handed_out.inc_by(batch.samples.len() as u64);
        Ok(PullReply { batch, state, respond_now })
    }
}

impl Message<AdvanceStep> for KeeperActor {
    type Reply = Result<KeptState, KeeperRefusal>;

    async fn handle(
        &mut self,
        msg: AdvanceStep,
        ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.ctx.clock.now();
        let advanced = self.keeper.advance(now, msg.step, msg.version, msg.seen);
        self.drive(&ctx.actor_ref());
        advanced
    }
}

impl Message<CloseStep> for KeeperActor {
    type Reply = Result<(), KeeperRefusal>;

    async fn handle(
        &mut self,
        msg: CloseStep,
        ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let closed = self.keeper.close(self.ctx.clock.now(), msg.step, msg.seen);
        self.drive(&ctx.actor_ref());
        closed
    }
}

impl Message<StepStateQuery> for KeeperActor {
    type Reply = Result<KeptState, KeeperRefusal>;

    async fn handle(
        &mut self,
        msg: StepStateQuery,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.keeper.state(msg.0)
    }
}

impl Message<AdoptSteps> for KeeperActor {
    type Reply = ();

    async fn handle(&mut self, msg: AdoptSteps, ctx: &mut Context<Self, ()>) {
        self.keeper.adopt(self.ctx.clock.now(), msg.snapshots, msg.token);
        self.drive(&ctx.actor_ref());
    }
}

impl Message<HandOverSteps> for KeeperActor {
    type Reply = HandOverReply;

    async fn handle(
        &mut self,
        msg: HandOverSteps,
        ctx: &mut Context<Self, HandOverReply>,
    ) -> HandOverReply {
        self.keeper.prepare_hand_over();
        let Some(token) = self.keeper.acting_token() else { return HandOverReply::Nothing };
        if self.keeper.in_flight() > 0 && !msg.force {
            return HandOverReply::Busy;
        }
        let (snapshots, release) = self.keeper.hand_over(self.ctx.clock.now());
        if let Some(action) = release {
            self.spawn_lease_action(action, &ctx.actor_ref());
        }
        self.drive(&ctx.actor_ref());
        HandOverReply::Steps(AdoptSteps { snapshots, token })
    }
}

impl Message<QueryKeeper> for KeeperActor {
    type Reply = KeeperView;

    async fn handle(&mut self, _: QueryKeeper, _: &mut Context<Self, KeeperView>) -> KeeperView {
        KeeperView { acting: self.keeper.acting_token(), steps: self.keeper.open_steps().collect() }
    }
}

impl Message<AttemptDone> for KeeperActor {
    type Reply = ();

    async fn handle(&mut self, msg: AttemptDone, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        let label = match &msg.outcome {
            AttemptOutcome::Completed(_) => AttemptLabel::Made,
            AttemptOutcome::NotRun { .. } => AttemptLabel::NotRun,
            AttemptOutcome::Unusable => AttemptLabel::Unusable,
            AttemptOutcome::TooOld => AttemptLabel::TooOld,
        };
        let settled = self.keeper.attempt_ended(now, &msg.placement, msg.outcome, msg.hint);
        let label = match settled {
            Some(Settled::Superseded) => AttemptLabel::Superseded,
            Some(Settled::TooOld) => AttemptLabel::TooOld,
            Some(Settled::Kept) | None => label,
        };
        self.ctx.metrics.attempts.get_or_create(&AttemptLabels { end: label }).inc();
        self.drive(&ctx.actor_ref());
    }
}

impl Message<LeaseActionDone> for KeeperActor {
    type Reply = ();

    async fn handle(&mut self, msg: LeaseActionDone, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        match msg.0 {
            LeaseResponse::Read(outcome) => self.keeper.lease_read(now, outcome),
            LeaseResponse::Written(outcome) => self.keeper.lease_written(now, outcome),
        }
        self.drive(&ctx.actor_ref());
    }
}

impl Message<KeeperTick> for KeeperActor {
    type Reply = ();

    async fn handle(&mut self, _: KeeperTick, ctx: &mut Context<Self, ()>) {
        self.refresh_pool();
        self.drive(&ctx.actor_ref());
    }
}

/// Wakes the keeper at its requested time and whenever the documents change.
async fn tick(ctx: BoxContext, actor: ActorRef<KeeperActor>, mut wake: watch::Receiver<Moment>) {
    let mut documents = ctx.documents.clone();
    loop {
        let at = ctx.clock.instant(*wake.borrow_and_update());
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            () = time::sleep_until(at) => {}
            changed = wake.changed() => match changed {
                Ok(()) => continue,
                Err(_closed) => return,
            },
            changed = documents.changed() => if changed.is_err() { return },
        }
        if actor.tell(KeeperTick).await.is_err() {
            return;
        }
        // Waits until the actor has handled the tick and set the next wake time.
        if wake.changed().await.is_err() {
            return;
        }
    }
}
