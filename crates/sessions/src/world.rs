//! The event loop of a session, which passes events to the decision code and the fakes.

mod boxes;
mod faults;
mod rollout;
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

use crate::checker::{SessionChecker, Verdict};
use crate::engine::SimEngine;
use crate::events::{BoxIndex, Event, EventQueue, RunId};
use crate::faults::FaultPlan;
use crate::store::LeaseStore;
use crate::trainer::SimTrainer;

/// Settings of a session.
#[derive(Debug, Clone, Copy)]
pub struct WorldPlan {
    /// Seed of the random generator.
    pub seed: u64,
    /// Number of boxes that may become keeper of the step.
    pub boxes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of groups in the step.
    pub groups: u16,
    /// Number of samples per group.
    pub samples: u16,
    /// Maximum number of concurrent requests at one engine.
    pub per_engine: u32,
    /// Maximum number of concurrent requests of the trainer over all engines.
    pub per_trainer: u32,
    /// Term of the keeper's lease.
    pub term: Duration,
    /// Settings of the fake engines.
    pub engine: EngineSettings,
    /// Rollout policy for new versions.
    pub swap: SwapPolicy,
    /// Minimum delay of a message.
    pub delay: Duration,
    /// Maximum random addition to `delay`.
    pub jitter: Duration,
    /// Pause between a reply and the next request of the trainer.
    pub request_pause: Duration,
    /// Time after which an incomplete session ends.
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
            request_pause: Duration::from_millis(50),
            limit: Duration::from_mins(2),
        }
    }
}

impl WorldPlan {
    /// Returns the prompt of a group, which differs between seeds.
    pub fn prompt(&self, group: u64) -> String {
        format!("prompt {group} of {}", self.seed)
    }

    /// Returns the number of engines as a float.
    pub fn engines_f64(&self) -> f64 {
        f64::from(u32::try_from(self.engines).unwrap_or(u32::MAX))
    }
}

#[derive(Debug)]
struct SimBox<C> {
    incarnation: u64,
    keeper: Option<StepKeeper<ChaCha8Rng, C>>,
    frozen: bool,
    disconnected: bool,
    stopped: bool,
    deferred_events: Vec<Event>,
    wake_at: Option<Moment>,
    acting_token: Option<FencingToken>,
}

/// A session: boxes, engines, a store, a rollout coordinator and a trainer.
#[derive(Debug)]
pub struct World<C = TargetChooser> {
    plan: WorldPlan,
    queue: EventQueueDebug,
    rng: ChaCha8Rng,
    store: LeaseStore,
    boxes: Vec<SimBox<C>>,
    engines: Vec<SimEngine>,
    coordinator: RolloutCoordinator,
    trainer: SimTrainer,
    failed_at: BTreeMap<BoxIndex, Moment>,
    pool: PoolSpec,
    generation: Generation,
    checker: SessionChecker,
    runs: BTreeMap<RunId, (SlotIndex, TargetId)>,
    next_run: u64,
    replies_to_lose: u32,
    replies_to_duplicate: u32,
    transcript_lines: Vec<String>,
}

/// Wraps the event queue to keep its events out of `Debug` output.
struct EventQueueDebug(EventQueue);

impl std::fmt::Debug for EventQueueDebug {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EventQueue")
    }
}

fn parse_id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("names in sessions are valid ids")
}

fn box_name(index: BoxIndex) -> String {
    format!("box-{}", index + 1)
}

/// Formats a sample's slot and the versions that generated it.
fn format_sample(sample: &Sample) -> String {
    let versions: Vec<String> =
        sample.spans.iter().map(|span| format!("v{}", span.version)).collect();
    format!("slot {} by {}", sample.slot, versions.join("+"))
}

impl<C: PlacementPolicy + Default> World<C> {
    /// Creates a session at its start.
    pub fn new(plan: WorldPlan, faults: FaultPlan) -> Self {
        let engines: Vec<TargetId> =
            (0..plan.engines).map(|index| parse_id(&format!("engine-{}", index + 1))).collect();
        let pool = PoolSpec {
            name: parse_id("layout"),
            version: ModelVersion::new(1),
            staleness_bound: 1,
            favours: PoolObjective::Staleness,
            trainers: vec![parse_id("press-1")],
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
        let new_engine = |id| SimEngine::new(id, plan.engine, plan.per_engine as usize);
        let mut world = Self {
            plan,
            queue: EventQueueDebug(EventQueue::default()),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            store: LeaseStore::default(),
            boxes: (0..plan.boxes).map(|_| SimBox::new()).collect(),
            engines: engines.into_iter().map(new_engine).collect(),
            coordinator: RolloutCoordinator::new(Moment::START, FencingToken::new(1)),
            trainer: SimTrainer::new(spec),
            failed_at: BTreeMap::new(),
            pool,
            generation: Generation::new(1),
            checker: SessionChecker::default(),
            runs: BTreeMap::new(),
            next_run: 0,
            replies_to_lose: 0,
            replies_to_duplicate: 0,
            transcript_lines: Vec::new(),
        };
        world.schedule_initial_events(faults);
        world
    }

    fn schedule_initial_events(&mut self, faults: FaultPlan) {
        for (after, fault) in faults.into_faults() {
            self.queue.0.push(Moment::START + after, Event::Fault(fault));
        }
        for engine in &self.engines {
            self.queue.0.push(Moment::START, Event::HomeReadDue(engine.id.clone()));
        }
        self.queue.0.push(Moment::START, Event::CoordinatorDue);
        self.queue.0.push(Moment::START + self.plan.delay, Event::TrainerDue);
    }

    /// Runs until the step is complete or the time limit is reached, on the runtime's clock.
    pub async fn run(&mut self) -> Verdict {
        let started = Instant::now();
        while let Some((at, event)) = self.queue.0.pop() {
            time::sleep_until(started + at.since_start()).await;
            if let Some(verdict) = self.step(at, event) {
                return verdict;
            }
        }
        self.timeout_verdict()
    }

    /// Like [`Self::run`], but handles events immediately, without a clock; for benchmarks.
    pub fn run_without_clock(&mut self) -> Verdict {
        while let Some((at, event)) = self.queue.0.pop() {
            if let Some(verdict) = self.step(at, event) {
                return verdict;
            }
        }
        self.timeout_verdict()
    }

    fn step(&mut self, at: Moment, event: Event) -> Option<Verdict> {
        if at > Moment::START + self.plan.limit {
            return Some(self.timeout_verdict());
        }
        self.handle(at, event);
        if !self.trainer.receiver.is_complete() {
            return None;
        }
        self.log_event(at, "trainer has all samples");
        self.close(at);
        Some(self.checker.verdict(true, at, self.trainer.reopened))
    }

    fn timeout_verdict(&self) -> Verdict {
        let limit = Moment::START + self.plan.limit;
        self.checker.verdict(false, limit, self.trainer.reopened)
    }

    fn close(&mut self, now: Moment) {
        let (step, seen) = (self.trainer.receiver.spec().step, self.trainer.receiver.seen());
        let index = self.trainer.current_box;
        if let Some(keeper) = &mut self.boxes[index].keeper
            && keeper.close(now, step, seen).is_ok()
        {
            self.log_event(now, format!("{} closed the step", box_name(index)));
        }
    }

    /// Returns the log of the session, one line per notable event.
    pub fn transcript(&self) -> String {
        self.transcript_lines.join("\n")
    }

    fn log_event(&mut self, now: Moment, message: impl AsRef<str>) {
        self.transcript_lines.push(format!("{now} {}", message.as_ref()));
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
                    self.deliver_to_box(now, index, Event::BoxWake(index));
                }
            }
            Event::LeaseCall(index, incarnation, action) => {
                self.call_store(now, index, incarnation, action);
            }
            Event::LeaseRead(index, incarnation, _)
            | Event::LeaseWritten(index, incarnation, _)
            | Event::AttemptEnded(index, incarnation, ..) => {
                if self.boxes[index].incarnation == incarnation {
                    self.deliver_to_box(now, index, event);
                }
            }
            Event::WorkArrives(index, incarnation, run, placement) => {
                self.admit_work(now, (index, incarnation), run, placement);
            }
            Event::EngineDue(id) => self.advance_engine(now, &id),
            Event::HomeReadDue(id) => self.read_engine(now, &id),
            Event::CoordinatorDue => self.poll_coordinator(now),
            Event::OrderCompleted(id, outcome) => self.handle_order_outcome(now, &id, outcome),
            Event::CoordinatorRead(id, requested_at, reading) => {
                self.handle_coordinator_read(now, &id, requested_at, reading);
            }
            Event::Request(index, number, request) => {
                let reachable = !self.boxes[index].disconnected && !self.boxes[index].stopped;
                if reachable {
                    self.deliver_to_box(now, index, Event::Request(index, number, request));
                }
            }
            Event::Reply(number, reply) => self.handle_reply(now, number, reply),
            Event::TrainerDue => self.handle_trainer_due(now),
            Event::HandOver(index, ..) => self.deliver_to_box(now, index, event),
            Event::Fault(fault) => self.inject_fault(now, fault),
        }
    }
}

impl<C> SimBox<C> {
    const fn new() -> Self {
        Self {
            incarnation: 1,
            keeper: None,
            frozen: false,
            disconnected: false,
            stopped: false,
            deferred_events: Vec::new(),
            wake_at: None,
            acting_token: None,
        }
    }
}
