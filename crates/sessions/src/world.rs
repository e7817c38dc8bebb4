//! The session itself: events in, decisions by the real code, events out.

mod boxes;
mod faults;
mod swaps;
mod targets;
mod trainer;

use std::collections::BTreeMap;
use std::time::Duration;

use ::swaps::RolloutCoordinator;
use ids::{FencingToken, Generation, ModelVersion, Moment, SlotIndex, TargetId};
use keeping::StepKeeper;
use ledger::{GroupSpec, Sample, StepSpec};
use placement::{PlacementPolicy, TargetChooser};
use pools::{PoolLimits, PoolObjective, PoolSpec, SwapPolicy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::engine_model::EngineSettings;
use tokio::time::{self, Instant};

use crate::engine::EngineSite;
use crate::events::{BoxIndex, Event, EventQueue, RunId};
use crate::faults::FaultPlan;
use crate::store::LeaseStore;
use crate::trainer::SimTrainer;
use crate::truth::{Truth, Verdict};

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
                min_tokens: 24,
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
    conductor: RolloutCoordinator,
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

impl<C: PlacementPolicy + Default> World<C> {
    /// A session at its start.
    pub fn new(plan: WorldPlan, faults: FaultPlan) -> Self {
        let engines: Vec<TargetId> =
            (0..plan.engines).map(|index| name(&format!("engine-{}", index + 1))).collect();
        let pool = PoolSpec {
            name: name("layout"),
            version: ModelVersion::new(1),
            staleness_bound: 1,
            favours: PoolObjective::Staleness,
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
            conductor: RolloutCoordinator::new(Moment::START, FencingToken::new(1)),
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
