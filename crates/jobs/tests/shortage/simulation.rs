//! Trainers that submit steps at a fixed interval, and slots of engines that run the items.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use ids::{JobId, Moment};
use jobs::{
    BlockReason, JobTable, RewardOutcome, RunEvent, RunOutcome, RunResult, RunSpec, StartOrder,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::DEFAULT_PRIORITY;
use wire::peer::log_record::Body;
use wire::peer::{Job, JobItem, LogRecord};

/// Interval at which a trainer submits steps.
pub const STEP_INTERVAL_MS: u64 = 4_000;
const DUE_MS: u64 = 7_500;
const GROUPS: u32 = 20;
const WANTED_GROUPS: u32 = 18;
const GROUP_ITEMS: u32 = 4;
/// Time per hinted token.
const TOKEN_MS: u64 = 20;
/// Maximum number of steps that a trainer has submitted and not received.
const MAX_OPEN_STEPS: usize = 2;
const TICK_MS: u64 = 20;

/// A completed step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    pub trainer: usize,
    pub submitted_ms: u64,
    pub wanted_ms: u64,
}

impl Step {
    /// How late the step had its wanted groups.
    pub fn late_ms(&self) -> u64 {
        self.wanted_ms.saturating_sub(self.submitted_ms + DUE_MS)
    }
}

struct OpenStep {
    job: Job,
    submitted_ms: u64,
}

struct Trainer {
    next_submit_ms: u64,
    number: u64,
    open: Vec<OpenStep>,
    /// Items of incomplete groups of ended steps, requested again in the next one.
    carried: Vec<JobItem>,
}

pub struct Simulation {
    order: StartOrder,
    table: JobTable,
    trainers: Vec<Trainer>,
    /// Running items, by end time.
    running: Vec<(u64, RunSpec)>,
    rng: ChaCha8Rng,
    steps: Vec<Step>,
    /// How long the first step of each trainer is held up before it reaches the shard.
    first_delays: BTreeMap<usize, u64>,
}

impl Simulation {
    pub fn new(order: StartOrder, trainers: usize) -> Self {
        let trainers = (0..trainers).map(|trainer| Trainer {
            // The trainers are not in step with each other.
            next_submit_ms: 1_000 * u64::try_from(trainer).expect("fits"),
            number: 0,
            open: Vec::new(),
            carried: Vec::new(),
        });
        Self {
            order,
            table: JobTable::new(Duration::from_mins(2)),
            trainers: trainers.collect(),
            running: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(7),
            steps: Vec::new(),
            first_delays: BTreeMap::new(),
        }
    }

    /// Holds up the first step of a trainer, so that little of its time is left.
    pub fn delay_first_step(&mut self, trainer: usize, millis: u64) {
        self.first_delays.insert(trainer, millis);
    }

    /// Runs until `end_ms` with `slots(now)` slots. Returns the completed steps.
    pub fn run(&mut self, end_ms: u64, slots: impl Fn(u64) -> usize) -> Vec<Step> {
        for now in (0..end_ms).step_by(usize::try_from(TICK_MS).expect("fits")) {
            self.submit_due(now);
            self.end_runs(now);
            self.end_steps(now);
            self.start_runs(now, slots(now));
        }
        self.steps.clone()
    }

    fn submit_due(&mut self, now: u64) {
        for index in 0..self.trainers.len() {
            let delay = self.first_delays.get(&index).copied().unwrap_or_default();
            let trainer = &mut self.trainers[index];
            let delay = if trainer.number == 0 { delay } else { 0 };
            if now < trainer.next_submit_ms + delay || trainer.open.len() >= MAX_OPEN_STEPS {
                continue;
            }
            let submitted_ms = trainer.next_submit_ms.max(now - delay);
            trainer.number += 1;
            trainer.next_submit_ms = submitted_ms + STEP_INTERVAL_MS;
            let mut items = std::mem::take(&mut trainer.carried);
            items.extend(new_items(index, trainer.number, &mut self.rng));
            let job = Job {
                id: format!("t{index}-{}", trainer.number),
                customer: format!("trainer-{index}"),
                host: "jobs.example".to_owned(),
                model: "m".to_owned(),
                wanted_groups: WANTED_GROUPS,
                attempts: 3,
                due_ms: DUE_MS,
                accepted_wall_ms: 1 + submitted_ms,
                items,
                ..Job::default()
            };
            trainer.open.push(OpenStep { job: job.clone(), submitted_ms });
            self.table.set_wall_time(at(now), 1 + now);
            self.table.apply(at(now), LogRecord { body: Some(Body::Accepted(job)) });
        }
    }

    fn end_runs(&mut self, now: u64) {
        let running = std::mem::take(&mut self.running);
        let (ended, running): (Vec<_>, Vec<_>) = running.into_iter().partition(|run| run.0 <= now);
        self.running = running;
        for (_, spec) in ended {
            if !spec.complete {
                let events = vec![RunEvent { data: b"text".to_vec(), version: 0 }];
                let result = RunResult { outcome: RunOutcome::Complete, events, logged: 0 };
                self.table.run_ended(at(now), &spec, &result);
            }
            let scored = RewardOutcome::Scored("s".to_owned());
            if let Some(record) = self.table.scored(at(now), &spec.item, scored) {
                self.table.apply(at(now), record);
            }
        }
    }

    /// Ends the steps that have enough groups, and cancels their runs.
    fn end_steps(&mut self, now: u64) {
        for (index, trainer) in self.trainers.iter_mut().enumerate() {
            let open = std::mem::take(&mut trainer.open);
            for step in open {
                let id: JobId = step.job.id.parse().expect("valid job id");
                let open = open_groups(&self.table, &step.job);
                let total: BTreeSet<&str> =
                    step.job.items.iter().map(|item| item.group.as_str()).collect();
                let carried = open.iter().any(|group| !group.starts_with(&format!("{id}-")));
                if total.len() - open.len() < WANTED_GROUPS as usize || carried {
                    trainer.open.push(step);
                    continue;
                }
                let left = step.job.items.into_iter().filter(|item| open.contains(&item.group));
                trainer.carried.extend(left);
                let submitted_ms = step.submitted_ms;
                self.steps.push(Step { trainer: index, submitted_ms, wanted_ms: now });
                let record = self.table.end(&id).expect("a record that ends the job");
                self.table.apply(at(now), record);
                self.running.retain(|(_, spec)| spec.item.job != id);
            }
        }
    }

    fn start_runs(&mut self, now: u64, slots: usize) {
        self.table.rank_waiting(at(now), self.order, |_job| DEFAULT_PRIORITY);
        let running = &mut self.running;
        self.table.start_ready(at(now), |spec| {
            if spec.complete {
                // A text that was carried over needs its reward call only.
                running.push((now + TICK_MS, spec));
                return Ok(None);
            }
            if running.iter().filter(|(_, spec)| !spec.complete).count() >= slots {
                return Err(BlockReason::Full);
            }
            let hint = spec.request().map_or(0, |item| item.length_hint);
            running.push((now + u64::from(hint) * TOKEN_MS, spec));
            Ok(Some("engine-1".parse().expect("valid instance id")))
        });
    }
}

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

fn new_items(trainer: usize, number: u64, rng: &mut ChaCha8Rng) -> Vec<JobItem> {
    let items = (0..GROUPS * GROUP_ITEMS).map(|index| JobItem {
        id: format!("t{trainer}-{number}-{index}"),
        path: "/a/b".to_owned(),
        group: format!("t{trainer}-{number}-{}", index / GROUP_ITEMS),
        length_hint: rng.random_range(20..100),
        ..JobItem::default()
    });
    items.collect()
}

/// Returns the groups of a job with an item that is not listed.
fn open_groups(table: &JobTable, job: &Job) -> Vec<String> {
    let id: JobId = job.id.parse().expect("valid job id");
    let page = table.page(&id, 0, usize::MAX).expect("job exists").page;
    let listed: HashSet<&str> = page.results.iter().map(|result| result.item.as_str()).collect();
    let open = job.items.iter().filter(|item| !listed.contains(item.id.as_str()));
    let open: BTreeSet<String> = open.map(|item| item.group.clone()).collect();
    open.into_iter().collect()
}
