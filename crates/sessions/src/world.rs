//! The session itself: events in, decisions by the real code, events out.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::lease::LeaseAction;
use ids::{
    BoxId, FencingToken, Generation, Incarnation, ModelVersion, Moment, SlotIndex, TargetId,
};
use keeping::{AttemptEnd, KeeperAction, KeeperRefusal, KeeperSettings, Placement, StepKeeper};
use ledger::{GroupSpec, Sample, StepSpec};
use placement::{Admission, Ask, OrderOutcome, QueueEvent, Refusal, TargetChoice, TargetChooser};
use pools::{Favours, PoolLimits, PoolSpec, SwapPolicy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::engine_model::{EngineSettings, OrderStart};
use swaps::{SwapAction, SwapConductor, SwapOrder};
use tokio::time::{self, Instant};

use crate::engine::{EndedRun, EngineSite};
use crate::events::{BoxIndex, Event, EventQueue, Question, Reply, RunId};
use crate::faults::{Fault, FaultPlan};
use crate::store::LeaseStore;
use crate::trainer::{Brought, SimTrainer};
use crate::truth::{Truth, Verdict};

/// How long a trainer waits for a reply before it turns to another box.
const REPLY_TIME: Duration = Duration::from_millis(600);
/// How long a box that did not reply is left alone.
const AVOID_FOR: Duration = Duration::from_secs(2);
/// Time between a home's readings of its engine.
const READ_EVERY: Duration = Duration::from_millis(100);
/// Time between the conductor's looks.
const CONDUCT_EVERY: Duration = Duration::from_millis(100);
/// How long work may wait at its home.
const QUEUE_WAIT: Duration = Duration::from_secs(5);

/// What a session is made of.
#[derive(Debug, Clone, Copy)]
pub struct WorldPlan {
    /// Seeds chance.
    pub seed: u64,
    /// Boxes that may keep the step.
    pub boxes: usize,
    /// Engines.
    pub engines: usize,
    /// Groups of the step.
    pub groups: u16,
    /// Samples of each group.
    pub samples: u16,
    /// Requests at work at one engine.
    pub per_engine: u32,
    /// Samples of the trainer at work over all engines.
    pub per_trainer: u32,
    /// Term of the keeper's lease.
    pub term: Duration,
    /// How engines behave.
    pub engine: EngineSettings,
    /// How versions roll out.
    pub swap: SwapPolicy,
    /// Shortest way of a message.
    pub delay: Duration,
    /// Most that chance adds to it.
    pub jitter: Duration,
    /// Pause before a trainer asks again after an empty reply.
    pub ask_pause: Duration,
    /// When a session that is not complete is given up.
    pub limit: Duration,
}

impl Default for WorldPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            boxes: 3,
            engines: 3,
            groups: 4,
            samples: 4,
            per_engine: 4,
            per_trainer: 512,
            term: Duration::from_millis(1_500),
            engine: EngineSettings {
                step: Duration::from_millis(5),
                load_time: Duration::from_millis(200),
                shortest: 24,
                ..EngineSettings::default()
            },
            swap: SwapPolicy::Rolling { at_once: 1 },
            delay: Duration::from_millis(1),
            jitter: Duration::from_millis(2),
            ask_pause: Duration::from_millis(50),
            limit: Duration::from_mins(2),
        }
    }
}

impl WorldPlan {
    /// The prompt of a group, another for each seed.
    pub fn prompt(&self, group: u64) -> String {
        format!("prompt {group} of {}", self.seed)
    }

    /// Engines, to count with.
    pub fn engines_f64(&self) -> f64 {
        f64::from(u32::try_from(self.engines).unwrap_or(u32::MAX))
    }
}

#[derive(Debug)]
struct SimBox<C> {
    life: u64,
    keeper: Option<StepKeeper<ChaCha8Rng, C>>,
    frozen: bool,
    cut: bool,
    stopped: bool,
    held_back: Vec<Event>,
    wake_at: Option<Moment>,
    acting: Option<FencingToken>,
}

/// A session.
#[derive(Debug)]
pub struct World<C = TargetChooser> {
    plan: WorldPlan,
    queue: EventQueueDebug,
    rng: ChaCha8Rng,
    store: LeaseStore,
    boxes: Vec<SimBox<C>>,
    engines: Vec<EngineSite>,
    conductor: SwapConductor,
    trainer: SimTrainer,
    avoid: BTreeMap<BoxIndex, Moment>,
    pool: PoolSpec,
    generation: Generation,
    truth: Truth,
    runs: BTreeMap<RunId, (SlotIndex, TargetId)>,
    next_run: u64,
    lose_replies: u32,
    double_replies: u32,
    lines: Vec<String>,
}

/// The queue; its events are too many to print.
struct EventQueueDebug(EventQueue);

impl std::fmt::Debug for EventQueueDebug {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EventQueue")
    }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("names in sessions are ids")
}

fn box_name(index: BoxIndex) -> String {
    format!("box-{}", index + 1)
}

/// A sample's slot and the versions that made it.
fn shown(sample: &Sample) -> String {
    let versions: Vec<String> =
        sample.spans.iter().map(|span| format!("v{}", span.version)).collect();
    format!("slot {} by {}", sample.slot, versions.join("+"))
}

impl<C: TargetChoice + Default> World<C> {
    /// A session at its start.
    pub fn new(plan: WorldPlan, faults: FaultPlan) -> Self {
        let engines: Vec<TargetId> =
            (0..plan.engines).map(|index| name(&format!("engine-{}", index + 1))).collect();
        let pool = PoolSpec {
            name: name("layout"),
            version: ModelVersion::new(1),
            staleness_bound: 1,
            favours: Favours::Staleness,
            trainers: vec![name("press-1")],
            engines: engines.clone(),
            scorers: Vec::new(),
            limits: PoolLimits { per_engine: plan.per_engine, per_trainer: plan.per_trainer },
            swap: plan.swap,
        };
        let groups = (0..plan.groups).map(|index| GroupSpec {
            prompt: plan.prompt(u64::from(index)).into(),
            samples: plan.samples,
            max_tokens: ids::TokenCount::new(512),
        });
        let spec = StepSpec {
            step: ids::StepNumber::new(1),
            version: ModelVersion::new(1),
            groups: groups.collect(),
        };
        let site = |id| EngineSite::new(id, plan.engine, plan.per_engine as usize);
        let mut world = Self {
            plan,
            queue: EventQueueDebug(EventQueue::default()),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            store: LeaseStore::default(),
            boxes: (0..plan.boxes).map(|_| SimBox::new()).collect(),
            engines: engines.into_iter().map(site).collect(),
            conductor: SwapConductor::new(Moment::START, FencingToken::new(1)),
            trainer: SimTrainer::new(spec),
            avoid: BTreeMap::new(),
            pool,
            generation: Generation::new(1),
            truth: Truth::default(),
            runs: BTreeMap::new(),
            next_run: 0,
            lose_replies: 0,
            double_replies: 0,
            lines: Vec::new(),
        };
        world.push_first(faults);
        world
    }

    fn push_first(&mut self, faults: FaultPlan) {
        for (after, fault) in faults.into_faults() {
            self.queue.0.push(Moment::START + after, Event::Fault(fault));
        }
        for engine in &self.engines {
            self.queue.0.push(Moment::START, Event::HomeReads(engine.id.clone()));
        }
        self.queue.0.push(Moment::START, Event::ConductorDue);
        self.queue.0.push(Moment::START + self.plan.delay, Event::TrainerDue);
    }

    /// Runs until the step is complete or the limit has passed, on the runtime's clock.
    pub async fn run(&mut self) -> Verdict {
        let started = Instant::now();
        while let Some((at, event)) = self.queue.0.pop() {
            time::sleep_until(started + at.since_start()).await;
            if let Some(verdict) = self.step(at, event) {
                return verdict;
            }
        }
        self.given_up()
    }

    /// Runs likewise without any clock, event after event; for measurements.
    pub fn run_at_once(&mut self) -> Verdict {
        while let Some((at, event)) = self.queue.0.pop() {
            if let Some(verdict) = self.step(at, event) {
                return verdict;
            }
        }
        self.given_up()
    }

    fn step(&mut self, at: Moment, event: Event) -> Option<Verdict> {
        if at > Moment::START + self.plan.limit {
            return Some(self.given_up());
        }
        self.handle(at, event);
        if !self.trainer.intake.is_complete() {
            return None;
        }
        self.say(at, "trainer holds every slot");
        self.close(at);
        Some(self.truth.verdict(true, at, self.trainer.reopened))
    }

    fn given_up(&self) -> Verdict {
        let limit = Moment::START + self.plan.limit;
        self.truth.verdict(false, limit, self.trainer.reopened)
    }

    fn close(&mut self, now: Moment) {
        let (step, seen) = (self.trainer.intake.spec().step, self.trainer.intake.seen());
        let index = self.trainer.asks;
        if let Some(keeper) = &mut self.boxes[index].keeper
            && keeper.close(now, step, seen).is_ok()
        {
            self.say(now, format!("{} closed the step", box_name(index)));
        }
    }

    /// The session as a story, a line for each telling event.
    pub fn story(&self) -> String {
        self.lines.join("\n")
    }

    /// Asks of work to engines that had said that they were leaving.
    pub const fn work_to_leaving(&self) -> u32 {
        self.truth.to_leaving
    }

    fn say(&mut self, now: Moment, what: impl AsRef<str>) {
        self.lines.push(format!("{now} {}", what.as_ref()));
    }

    fn delay(&mut self) -> Duration {
        let jitter = u64::try_from(self.plan.jitter.as_micros()).unwrap_or(u64::MAX);
        self.plan.delay + Duration::from_micros(self.rng.random_range(0..=jitter))
    }

    fn send(&mut self, now: Moment, event: Event) {
        let at = now + self.delay();
        self.queue.0.push(at, event);
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::BoxWake(index) => {
                if self.boxes[index].wake_at == Some(now) {
                    self.at_box(now, index, Event::BoxWake(index));
                }
            }
            Event::LeaseCall(index, life, action) => self.at_store(now, index, life, action),
            Event::LeaseRead(index, life, _)
            | Event::LeaseWritten(index, life, _)
            | Event::WorkEnds(index, life, ..) => {
                if self.boxes[index].life == life {
                    self.at_box(now, index, event);
                }
            }
            Event::WorkArrives(index, life, run, placement) => {
                self.at_home(now, (index, life), run, placement);
            }
            Event::EngineDue(id) => self.at_engine(now, &id),
            Event::HomeReads(id) => self.read_engine(now, &id),
            Event::ConductorDue => self.conduct(now),
            Event::OrderEnded(id, outcome) => self.order_ended(now, &id, outcome),
            Event::ConductorRead(id, asked_at, reading) => {
                self.conductor_read(now, &id, asked_at, reading);
            }
            Event::Question(index, number, question) => {
                let reachable = !self.boxes[index].cut && !self.boxes[index].stopped;
                if reachable {
                    self.at_box(now, index, Event::Question(index, number, question));
                }
            }
            Event::Reply(number, reply) => self.at_trainer(now, number, reply),
            Event::TrainerDue => self.trainer_due(now),
            Event::HandOver(index, ..) => self.at_box(now, index, event),
            Event::Fault(fault) => self.fault(now, fault),
        }
    }

    // Boxes.

    fn at_box(&mut self, now: Moment, index: BoxIndex, event: Event) {
        let site = &mut self.boxes[index];
        if site.stopped {
            return;
        }
        if site.frozen {
            site.held_back.push(event);
            return;
        }
        match event {
            Event::LeaseRead(_, _, outcome) => {
                if let Some(keeper) = &mut site.keeper {
                    keeper.lease_read(now, outcome);
                }
            }
            Event::LeaseWritten(_, _, outcome) => {
                if let Some(keeper) = &mut site.keeper {
                    keeper.lease_written(now, outcome);
                }
            }
            Event::WorkEnds(_, _, placement, end, hint) => {
                if let Some(keeper) = &mut site.keeper {
                    keeper.attempt_ended(now, &placement, end, hint);
                }
            }
            Event::Question(_, number, question) => self.answer(now, index, number, question),
            Event::HandOver(_, snapshots, token) => {
                self.keeper(now, index).adopt(now, snapshots, token);
            }
            _ => {}
        }
        self.drive(now, index);
    }

    fn keeper(&mut self, now: Moment, index: BoxIndex) -> &mut StepKeeper<ChaCha8Rng, C> {
        let seed = self.rng.random();
        let (plan, pool, generation) = (&self.plan, &self.pool, &self.generation);
        let site = &mut self.boxes[index];
        site.keeper.get_or_insert_with(|| {
            let settings = KeeperSettings {
                me: name::<BoxId>(&box_name(index)),
                incarnation: Incarnation::new(site.life),
                address: box_name(index),
                term: plan.term,
                pool: pool.name.clone(),
                trainer: pool.trainers[0].clone(),
            };
            let mut keeper = StepKeeper::with_choice(
                now,
                settings,
                ChaCha8Rng::seed_from_u64(seed),
                C::default(),
            );
            keeper.pool_changed(*generation, Some(pool.clone()));
            keeper
        })
    }

    fn answer(&mut self, now: Moment, index: BoxIndex, number: u64, question: Question) {
        let spec = self.trainer.intake.spec().clone();
        let step = spec.step;
        let (held, seen) = (self.trainer.intake.held().clone(), self.trainer.intake.seen());
        let keeper = self.keeper(now, index);
        let reply = match question {
            Question::Open => Reply::Opened(keeper.open(now, spec, &held, seen)),
            Question::Pull(pull) => Reply::Pulled(keeper.pull(now, step, &pull)),
            Question::Advance(version) => Reply::Opened(keeper.advance(now, step, version, seen)),
        };
        self.reply(now, number, reply);
    }

    fn reply(&mut self, now: Moment, number: u64, reply: Reply) {
        if let Reply::Pulled(Ok((out, state))) = &reply
            && !out.samples.is_empty()
        {
            let slots: Vec<String> = out.samples.iter().map(|sample| shown(sample)).collect();
            let line = format!("handed out under token {}: {}", state.token, slots.join(", "));
            self.say(now, line);
        }
        if self.lose_replies > 0 {
            self.lose_replies -= 1;
            self.say(now, "the reply is lost");
            return;
        }
        if self.double_replies > 0 {
            self.double_replies -= 1;
            self.send(now, Event::Reply(number, reply.clone()));
        }
        self.send(now, Event::Reply(number, reply));
    }

    /// Carries out what a box's keeper wants done.
    fn drive(&mut self, now: Moment, index: BoxIndex) {
        let site = &mut self.boxes[index];
        let life = site.life;
        let Some(keeper) = &mut site.keeper else { return };
        let actions = keeper.poll(now);
        let wake = keeper.next_at(now);
        let acting = keeper.acting();
        if acting != site.acting {
            site.acting = acting;
            let said = match acting {
                Some(token) => format!("{} keeps the step under token {token}", box_name(index)),
                None => format!("{} stepped down", box_name(index)),
            };
            self.say(now, said);
        }
        for action in actions {
            match action {
                KeeperAction::Lease(action) => {
                    self.send(now, Event::LeaseCall(index, life, action));
                }
                KeeperAction::Start(placement) => self.place(now, index, life, placement),
            }
        }
        if wake < Moment::START + self.plan.limit {
            // At least a little later, so that time moves on.
            let at = wake.max(now + Duration::from_millis(1));
            let site = &mut self.boxes[index];
            if site.wake_at.is_none_or(|known| at < known || known <= now) {
                site.wake_at = Some(at);
                self.queue.0.push(at, Event::BoxWake(index));
            }
        }
    }

    fn place(&mut self, now: Moment, index: BoxIndex, life: u64, placement: Placement) {
        let run = RunId(self.next_run);
        self.next_run += 1;
        let slot = placement.assignment.slot;
        self.runs.insert(run, (slot, placement.target.clone()));
        self.say(now, format!("slot {slot} placed at {}", placement.target));
        self.send(now, Event::WorkArrives(index, life, run, placement));
    }

    fn at_store(&mut self, now: Moment, index: BoxIndex, life: u64, action: LeaseAction) {
        let event = match action {
            LeaseAction::Read => Event::LeaseRead(index, life, self.store.read()),
            LeaseAction::Write { expect, record } => {
                Event::LeaseWritten(index, life, self.store.write(expect, record))
            }
        };
        self.send(now, event);
    }

    // Targets.

    fn engine(&mut self, id: &TargetId) -> &mut EngineSite {
        let found = self.engines.iter_mut().find(|engine| engine.id == *id);
        found.expect("work goes to engines of the session")
    }

    fn at_home(&mut self, now: Moment, from: (BoxIndex, u64), run: RunId, placement: Placement) {
        if self.boxes[from.0].life != from.1 {
            return;
        }
        let ask = Ask {
            trainer: Some(self.pool.trainers[0].clone()),
            window: Some(placement.assignment.window),
            deadline: now + QUEUE_WAIT,
        };
        let id = placement.target.clone();
        let engine = self.engine(&id);
        match engine.queue.ask(now, ask) {
            Admission::Go(ticket) => engine.start(now, ticket, run, from, placement),
            Admission::Wait(ticket) => engine.wait(ticket, run, from, placement),
            Admission::Refused(refusal) => self.refused(now, from, placement, refusal),
        }
        self.settle(now, &id);
    }

    fn refused(
        &mut self,
        now: Moment,
        from: (BoxIndex, u64),
        placement: Placement,
        refusal: Refusal,
    ) {
        let hint = self.engine(&placement.target.clone()).hint();
        let end = match refusal {
            Refusal::NotRun { reason, retry_after } => AttemptEnd::NotRun { reason, retry_after },
            Refusal::Unknown => AttemptEnd::Unusable,
        };
        self.send(now, Event::WorkEnds(from.0, from.1, placement, end, Some(hint)));
    }

    fn settle(&mut self, now: Moment, id: &TargetId) {
        let events = self.engine(id).queue.poll(now);
        for event in events {
            match event {
                QueueEvent::Go(ticket) => {
                    let engine = self.engine(id);
                    if let Some((run, from, placement)) = engine.waited(ticket) {
                        engine.start(now, ticket, run, from, placement);
                    }
                }
                QueueEvent::Refused(ticket, refusal) => {
                    let waited = self.engine(id).waited(ticket);
                    if let Some((_, from, placement)) = waited {
                        self.refused(now, from, placement, refusal);
                    }
                }
            }
        }
        let engine = self.engine(id);
        let due = engine.model.next_at();
        if due != engine.due_at {
            engine.due_at = due;
            if let Some(at) = due {
                self.queue.0.push(at, Event::EngineDue(id.clone()));
            }
        }
    }

    fn at_engine(&mut self, now: Moment, id: &TargetId) {
        let found = self.engines.iter().position(|engine| engine.id == *id);
        let Some(at) = found.filter(|at| self.engines[*at].due_at == Some(now)) else { return };
        let ended = self.engines[at].advance(now, &mut self.truth);
        self.ended(now, id, ended);
    }

    fn ended(&mut self, now: Moment, id: &TargetId, ended: Vec<EndedRun>) {
        let hint = self.engine(id).hint();
        for EndedRun { from, placement, end } in ended {
            let event = Event::WorkEnds(from.0, from.1, placement, end, Some(hint));
            self.send(now, event);
        }
        self.settle(now, id);
    }

    fn read_engine(&mut self, now: Moment, id: &TargetId) {
        let engine = self.engine(id);
        let reading = engine.reading(now);
        engine.queue.read(now, &reading);
        self.settle(now, id);
        self.queue.0.push(now + READ_EVERY, Event::HomeReads(id.clone()));
    }

    // Swaps.

    fn conduct(&mut self, now: Moment) {
        let engines = self.engines.iter().filter(|engine| !engine.leaving);
        let replicas: Vec<(TargetId, bool)> =
            engines.map(|engine| (engine.id.clone(), true)).collect();
        self.conductor.want(self.pool.version, self.pool.swap, replicas);
        for action in self.conductor.poll(now) {
            match action {
                SwapAction::Order(order) => self.order(now, order),
                SwapAction::Read(id) => {
                    let reading = self.engine(&id).reading(now);
                    let version = reading.version.filter(|_| !reading.loading);
                    let reading = Some((reading.incarnation, version));
                    self.send(now, Event::ConductorRead(id, now, reading));
                }
            }
        }
        self.queue.0.push(now + CONDUCT_EVERY, Event::ConductorDue);
    }

    fn order(&mut self, now: Moment, order: SwapOrder) {
        self.say(now, format!("{} ordered to load version {}", order.target, order.version));
        let engine = self.engine(&order.target);
        engine.queue.ordered(order.version, now + order.life);
        if engine.refuse_orders > 0 {
            engine.refuse_orders -= 1;
            self.send(now, Event::OrderEnded(order.target, Some(false)));
            return;
        }
        let started = engine.model.order(now, order.version, order.token);
        if engine.lose_orders > 0 {
            engine.lose_orders -= 1;
            self.send(now, Event::OrderEnded(order.target, None));
            return;
        }
        match started {
            OrderStart::LoadedAt(at) => {
                self.queue.0.push(at, Event::OrderEnded(order.target, Some(true)));
            }
            OrderStart::OldToken(_) => self.send(now, Event::OrderEnded(order.target, Some(false))),
        }
    }

    fn order_ended(&mut self, now: Moment, id: &TargetId, outcome: Option<bool>) {
        let version = self.pool.version;
        let ended = match outcome {
            Some(true) => OrderOutcome::Done,
            Some(false) => OrderOutcome::Refused,
            None => OrderOutcome::Unknown,
        };
        self.say(now, format!("{id}'s order ended: {ended:?}"));
        self.engine(id).queue.order_ended(now, version, ended);
        self.conductor.ordered(now, id, outcome);
        self.settle(now, id);
    }

    fn conductor_read(
        &mut self,
        now: Moment,
        id: &TargetId,
        asked_at: Moment,
        reading: Option<(Incarnation, Option<ModelVersion>)>,
    ) {
        match reading {
            Some((life, version)) => self.conductor.read(asked_at, now, id, life, version),
            None => self.conductor.read_failed(now, id),
        }
    }

    // The trainer.

    fn trainer_due(&mut self, now: Moment) {
        let asks = self.trainer.asks;
        if let Some(asked_at) = self.trainer.asked_at() {
            if now.since(asked_at) < REPLY_TIME {
                self.queue.0.push(asked_at + REPLY_TIME, Event::TrainerDue);
                return;
            }
            self.avoid.insert(asks, now);
            self.turn(now);
        }
        let (number, question) = self.trainer.ask(now);
        let asks = self.trainer.asks;
        self.send(now, Event::Question(asks, number, question));
        self.queue.0.push(now + REPLY_TIME, Event::TrainerDue);
    }

    /// Turns to the next box that has not failed lately.
    fn turn(&mut self, now: Moment) {
        let count = self.boxes.len();
        let start = self.trainer.asks;
        let next =
            (1..=count).map(|step| (start + step) % count).find(|index| !self.avoids(now, *index));
        self.trainer.turn_to(next.unwrap_or((start + 1) % count));
    }

    fn avoids(&self, now: Moment, index: BoxIndex) -> bool {
        self.avoid.get(&index).is_some_and(|at| now.since(*at) < AVOID_FOR)
    }

    fn at_trainer(&mut self, now: Moment, number: u64, reply: Reply) {
        let holder = match &reply {
            Reply::Opened(Err(KeeperRefusal::NotKeeping { holder, .. }))
            | Reply::Pulled(Err(KeeperRefusal::NotKeeping { holder, .. })) => holder.clone(),
            _ => None,
        };
        match self.trainer.reply(number, reply) {
            Brought::Samples(intake) => {
                let window = self.trainer.intake.window();
                let runs = &self.runs;
                for sample in &intake.taken {
                    self.truth.taken(now, sample, window, |run| runs.get(&run).cloned());
                }
            }
            Brought::Nothing => {}
        }
        if let Some(holder) = holder {
            let at = (0..self.boxes.len()).find(|index| box_name(*index) == holder);
            if let Some(index) = at.filter(|index| !self.avoids(now, *index)) {
                self.trainer.turn_to(index);
            }
        }
        if self.trainer.asked_at().is_none() {
            self.queue.0.push(now + self.plan.ask_pause, Event::TrainerDue);
        }
    }

    // Faults.

    fn fault(&mut self, now: Moment, fault: Fault) {
        self.say(now, format!("fault: {fault:?}"));
        match fault {
            Fault::RestartBox(index) => self.restart_box(now, index),
            Fault::FreezeBox(index) => self.boxes[index].frozen = true,
            Fault::ThawBox(index) => self.thaw(now, index),
            Fault::StopBox(index) => self.stop_box(now, index),
            Fault::CutBox(index) => self.boxes[index].cut = true,
            Fault::HealBox(index) => self.boxes[index].cut = false,
            Fault::StoreDown => self.store.down = true,
            Fault::StoreUp => self.store.down = false,
            Fault::LoseStoreAnswers(count) => self.store.lose_answers = count,
            Fault::LoseReplies(count) => self.lose_replies = count,
            Fault::DoubleReplies(count) => self.double_replies = count,
            Fault::RestartTrainer => self.trainer.restart(),
            Fault::RestartEngine(index, version) => {
                let ended = self.engines[index].break_streams(now);
                self.engines[index].restart(version);
                let id = self.engines[index].id.clone();
                self.ended(now, &id, ended);
            }
            Fault::LoseOrderAnswer(index) => self.engines[index].lose_orders += 1,
            Fault::RefuseOrder(index) => self.engines[index].refuse_orders += 1,
            Fault::DropStamps(index, count) => self.engines[index].drop_stamps += count,
            Fault::CutStreams(index) => {
                let ended = self.engines[index].break_streams(now);
                let id = self.engines[index].id.clone();
                self.ended(now, &id, ended);
            }
            Fault::LeaveEngine(index) => self.engines[index].leaving = true,
            Fault::NameVersion(version) => self.name_version(now, version),
            Fault::AdvanceTrainer(version) => {
                let (number, question) = self.trainer.advance(now, version);
                let asks = self.trainer.asks;
                self.send(now, Event::Question(asks, number, question));
            }
        }
    }

    fn restart_box(&mut self, now: Moment, index: BoxIndex) {
        let life = self.boxes[index].life + 1;
        self.boxes[index] = SimBox { life, ..SimBox::new() };
        for engine in &mut self.engines {
            engine.forget_box(now, index);
        }
    }

    fn thaw(&mut self, now: Moment, index: BoxIndex) {
        let site = &mut self.boxes[index];
        site.frozen = false;
        for event in std::mem::take(&mut site.held_back) {
            self.queue.0.push(now, event);
        }
        if let Some(keeper) = &mut self.boxes[index].keeper {
            keeper.pool_changed(self.generation, Some(self.pool.clone()));
        }
    }

    fn stop_box(&mut self, now: Moment, index: BoxIndex) {
        let successor = (index + 1) % self.boxes.len();
        let life = self.boxes[index].life;
        if let Some(keeper) = &mut self.boxes[index].keeper
            && let Some(token) = keeper.acting()
        {
            keeper.prepare_hand_over();
            let (snapshots, release) = keeper.hand_over(now);
            if let Some(action) = release {
                self.send(now, Event::LeaseCall(index, life, action));
            }
            let at = now + self.plan.delay * 4;
            self.queue.0.push(at, Event::HandOver(successor, snapshots, token));
        }
        self.boxes[index].stopped = true;
        for engine in &mut self.engines {
            engine.forget_box(now, index);
        }
        if self.trainer.asks == index {
            self.trainer.turn_to(successor);
        }
    }

    fn name_version(&mut self, now: Moment, version: ModelVersion) {
        self.pool.version = version;
        self.generation = self.generation.next();
        for index in 0..self.boxes.len() {
            let site = &mut self.boxes[index];
            if let Some(keeper) = site.keeper.as_mut().filter(|_| !site.frozen) {
                keeper.pool_changed(self.generation, Some(self.pool.clone()));
                self.drive(now, index);
            }
        }
    }
}

impl<C> SimBox<C> {
    const fn new() -> Self {
        Self {
            life: 1,
            keeper: None,
            frozen: false,
            cut: false,
            stopped: false,
            held_back: Vec::new(),
            wake_at: None,
            acting: None,
        }
    }
}
