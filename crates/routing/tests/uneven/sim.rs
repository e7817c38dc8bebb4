//! Simulates jobs of texts at engines of uneven speed, without a network.
//!
//! Several boxes, each with its own target table, run the items of the jobs that they serve.
//! Engines of usual unit times 0.7, 0.7 and 1.7 are slowed down 2.5 times for about 600 ms at a
//! time, 15% of the time. Text lengths are log-normal, with a heavy tail.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use ids::{InstanceId, Moment, ServiceName, StartTime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{
    PredictedWork, RunProgress, Slowdown, TargetLoad, TargetRecord, TargetRequirements,
    TargetTable, WorkUnits,
};

const TICK_MS: f64 = 5.0;
const BOXES: usize = 4;
const ENGINES: usize = 12;
const SLOTS: usize = 8;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
const EVENT_MS: f64 = 25.0;
const PREFILL_MS: f64 = 150.0;
const SLOWDOWN: f64 = 2.5;
const SLOWDOWN_MS: f64 = 600.0;
const SLOW_SHARE: f64 = 0.15;
const TRAINERS: u32 = 4;
const STEP_INTERVAL_MS: f64 = 4_000.0;
const GROUP: usize = 4;
const RATE_EVENTS: f64 = 6.0;
const MEDIAN_EVENTS: f64 = 40.0;
const LENGTH_SIGMA: f64 = 0.8;
const HINT_SIGMA: f64 = 0.25;
const MAX_EVENTS: f64 = 600.0;
/// Steps submitted before the target tables have learned the speeds are not counted.
const WARM_UP_MS: f64 = 8_000.0;
const END_MS: f64 = 68_000.0;

/// Factors of the rule for engines that report no slowdown, by length of the text.
const MOVE_FACTOR: f64 = 1.8;
const LONG_MOVE_FACTOR: f64 = 1.25;
const LONG_EVENTS: f64 = 32.0;

/// Inputs that differ between simulations.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub seed: u64,
    /// Whether engines report their slowdown.
    pub reports: bool,
    /// Texts per step.
    pub texts: usize,
}

/// What a simulation measured.
#[derive(Debug, Default, Clone, Copy)]
pub struct Figures {
    pub steps: f64,
    /// Sum over the steps of the time until the last text.
    pub last_ms: f64,
    /// Sum over the steps of the time until 90% of the groups.
    pub groups_ms: f64,
    pub worst_ms: f64,
    pub texts: f64,
    /// Texts that came from several runs.
    pub moved: f64,
    pub moves: f64,
    /// Sum over the samples of the busiest engine's load and of the mean load.
    pub busiest: f64,
    pub mean: f64,
}

impl Figures {
    pub fn plus(self, other: Self) -> Self {
        Self {
            steps: self.steps + other.steps,
            last_ms: self.last_ms + other.last_ms,
            groups_ms: self.groups_ms + other.groups_ms,
            worst_ms: self.worst_ms.max(other.worst_ms),
            texts: self.texts + other.texts,
            moved: self.moved + other.moved,
            moves: self.moves + other.moves,
            busiest: self.busiest + other.busiest,
            mean: self.mean + other.mean,
        }
    }

    /// Mean time until the last text of a step.
    pub fn mean_last_ms(&self) -> f64 {
        self.last_ms / self.steps
    }

    /// Share of the texts that came from several runs.
    pub fn moved_share(&self) -> f64 {
        self.moved / self.texts
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "last text {:.0} ms (maximum {:.0}), 90% of groups {:.0} ms, {:.1}% of texts moved, \
             {} moves, busiest engine {:.2} times the mean load",
            self.mean_last_ms(),
            self.worst_ms,
            self.groups_ms / self.steps,
            100.0 * self.moved_share(),
            self.moves,
            self.busiest / self.mean
        )
    }
}

struct Engine {
    speed: f64,
    slow_until: f64,
    next_slow: f64,
    running: Vec<usize>,
    queue: VecDeque<usize>,
}

#[derive(Clone)]
struct Text {
    step: usize,
    group: usize,
    length: f64,
    hint: f64,
    events: f64,
    runs: u32,
    done: Option<f64>,
}

struct Run {
    text: usize,
    engine: usize,
    home: usize,
    prefill_left: f64,
    started: f64,
    first_event: Option<f64>,
    measured: (f64, f64),
    head_sent: bool,
}

struct Step {
    submitted: f64,
    texts: Vec<usize>,
}

struct Sim {
    scenario: Scenario,
    rng: ChaCha8Rng,
    engines: Vec<Engine>,
    tables: Vec<TargetTable>,
    texts: Vec<Text>,
    steps: Vec<Step>,
    waiting: Vec<Vec<usize>>,
    runs: Vec<Option<Run>>,
    figures: Figures,
    /// Sums of the lengths of complete texts and of their squares.
    lengths: (f64, f64),
}

fn service() -> ServiceName {
    "lm".parse().expect("valid id")
}

fn instance(number: usize) -> InstanceId {
    format!("i-{number}").parse().expect("valid id")
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("few"))
}

fn moment(millis: f64) -> Moment {
    Moment::START + duration(millis)
}

fn duration(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
}

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn table() -> TargetTable {
    let mut table = TargetTable::new("home".parse().expect("valid id"));
    table.set_engine_choice(routing::EngineChoice::ExpectedTime);
    for number in 0..ENGINES {
        let record = TargetRecord {
            instance: instance(number),
            born: StartTime::default(),
            software: None,
            service: service(),
            address: SocketAddr::from(([10, 0, 0, 1], 80)),
            domain: "home".parse().expect("valid id"),
            slots: u32::try_from(SLOTS).expect("fits"),
            leaving: false,
            cold_left: Duration::ZERO,
            models: Vec::new(),
        };
        table.put(Moment::START, record);
    }
    table
}

/// Runs a simulation.
pub fn simulate(scenario: Scenario) -> Figures {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let engines = (0..ENGINES).map(|number| Engine {
        speed: SPEEDS[number % SPEEDS.len()],
        slow_until: 0.0,
        next_slow: exponential(&mut rng, SLOWDOWN_MS * (1.0 - SLOW_SHARE) / SLOW_SHARE),
        running: Vec::new(),
        queue: VecDeque::new(),
    });
    let engines = engines.collect();
    let mut sim = Sim {
        scenario,
        rng,
        engines,
        tables: (0..BOXES).map(|_| table()).collect(),
        texts: Vec::new(),
        steps: Vec::new(),
        waiting: vec![Vec::new(); BOXES],
        runs: Vec::new(),
        figures: Figures::default(),
        lengths: (0.0, 0.0),
    };
    let mut now = 0.0;
    let mut next_step = 0.0;
    while now < END_MS + 20_000.0 {
        if now >= next_step && now < END_MS {
            sim.submit(now);
            next_step += STEP_INTERVAL_MS / f64::from(TRAINERS);
        }
        sim.slow_down(now);
        sim.advance(now);
        for home in 0..BOXES {
            sim.start(now, home);
        }
        sim.sample();
        now += TICK_MS;
    }
    sim.finish()
}

impl Sim {
    fn submit(&mut self, now: f64) {
        let home = self.steps.len() % BOXES;
        let mut step = Step { submitted: now, texts: Vec::new() };
        for index in 0..self.scenario.texts {
            let length = MEDIAN_EVENTS * (LENGTH_SIGMA * normal(&mut self.rng)).exp();
            let length = length.clamp(4.0, MAX_EVENTS).round();
            let hint = (length * (HINT_SIGMA * normal(&mut self.rng)).exp()).max(1.0);
            step.texts.push(self.texts.len());
            self.waiting[home].push(self.texts.len());
            self.texts.push(Text {
                step: self.steps.len(),
                group: index / GROUP,
                length,
                hint,
                events: 0.0,
                runs: 0,
                done: None,
            });
        }
        self.steps.push(step);
    }

    fn slow_down(&mut self, now: f64) {
        for engine in &mut self.engines {
            if now >= engine.next_slow {
                engine.slow_until = now + exponential(&mut self.rng, SLOWDOWN_MS);
                let pause = SLOWDOWN_MS * (1.0 - SLOW_SHARE) / SLOW_SHARE;
                engine.next_slow = engine.slow_until + exponential(&mut self.rng, pause);
            }
        }
    }

    fn work(&self, text: &Text) -> PredictedWork {
        let left = (text.hint - text.events).max(text.events * 0.25);
        let reference = if self.lengths.0 > 0.0 { self.lengths.1 / self.lengths.0 } else { 1.0 };
        PredictedWork { units: WorkUnits::new(left), reference: WorkUnits::new(reference) }
    }

    fn requirements(&self, text: &Text, fast: bool) -> TargetRequirements<'static> {
        let work = Some(self.work(text));
        TargetRequirements { free_slot: true, fast, work, ..TargetRequirements::default() }
    }

    /// Starts the waiting items of a box, the one with the latest possible start first.
    fn start(&mut self, now: f64, home: usize) {
        let mut waiting = std::mem::take(&mut self.waiting[home]);
        let latest_start = |text: &Text| self.steps[text.step].submitted - text.hint * EVENT_MS;
        waiting.sort_by(|a, b| {
            latest_start(&self.texts[*a]).total_cmp(&latest_start(&self.texts[*b]))
        });
        let mut left = Vec::new();
        let mut full = false;
        for text in waiting {
            if full {
                left.push(text);
                continue;
            }
            let requirements = self.requirements(&self.texts[text], true);
            let chosen =
                self.tables[home].choose(moment(now), &service(), &requirements, &mut self.rng);
            let Some(chosen) = chosen else {
                full = true;
                left.push(text);
                continue;
            };
            let engine = (0..ENGINES).find(|number| instance(*number) == chosen.instance);
            self.send(now, home, text, engine.expect("listed"));
        }
        self.waiting[home] = left;
    }

    fn send(&mut self, now: f64, home: usize, text: usize, engine: usize) {
        self.texts[text].runs += 1;
        let run = self.runs.len();
        self.runs.push(Some(Run {
            text,
            engine,
            home,
            prefill_left: PREFILL_MS,
            started: now,
            first_event: None,
            measured: (0.0, 0.0),
            head_sent: false,
        }));
        let engine = &mut self.engines[engine];
        if engine.running.len() < SLOTS {
            engine.running.push(run);
        } else {
            engine.queue.push_back(run);
        }
    }

    fn report(&mut self, now: f64, home: usize, number: usize) {
        let engine = &self.engines[number];
        let slowdown = if now < engine.slow_until { 250 } else { 100 };
        let load = TargetLoad {
            running: u32::try_from(engine.running.len()).expect("fits"),
            waiting: u32::try_from(engine.queue.len()).expect("fits"),
            slowdown: Slowdown::from_percent(slowdown).filter(|_| self.scenario.reports),
        };
        self.tables[home].record_load(moment(now), &instance(number), load);
    }

    fn advance(&mut self, now: f64) {
        for number in 0..ENGINES {
            let engine = &self.engines[number];
            let slowdown = if now < engine.slow_until { SLOWDOWN } else { 1.0 };
            let batch = 0.85 + 0.15 * count(engine.running.len()) / count(SLOTS);
            let factor = engine.speed * slowdown * batch;
            for run in engine.running.clone() {
                self.advance_run(now, run, factor);
            }
            let engine = &mut self.engines[number];
            while engine.running.len() < SLOTS {
                let Some(run) = engine.queue.pop_front() else { break };
                engine.running.push(run);
            }
        }
    }

    fn advance_run(&mut self, now: f64, id: usize, factor: f64) {
        let Some(mut run) = self.runs[id].take() else { return };
        if !run.head_sent {
            run.head_sent = true;
            self.report(now, run.home, run.engine);
        }
        let mut progress = TICK_MS / factor;
        let read = progress.min(run.prefill_left);
        run.prefill_left -= read;
        progress -= read;
        if progress > 0.0 {
            let text = &mut self.texts[run.text];
            text.events += progress / EVENT_MS;
            let events = text.events;
            if events >= text.length {
                text.done = Some(now);
                let length = text.length;
                self.lengths.0 += length;
                self.lengths.1 += length * length;
                self.end(now, id, &run);
                return;
            }
            if run.first_event.is_none() {
                run.first_event = Some(now);
                run.measured = (now, events);
            } else if events - run.measured.1 >= RATE_EVENTS {
                let unit_time = duration((now - run.measured.0) / (events - run.measured.1));
                run.measured = (now, events);
                if self.should_move(now, &run, unit_time) {
                    let text = &mut self.texts[run.text];
                    // An incomplete event is generated again.
                    text.events = text.events.floor();
                    self.waiting[run.home].push(run.text);
                    self.figures.moves += 1.0;
                    self.end(now, id, &run);
                    return;
                }
            }
        }
        self.runs[id] = Some(run);
    }

    fn should_move(&mut self, now: f64, run: &Run, unit_time: Duration) -> bool {
        let engine = instance(run.engine);
        let text = self.texts[run.text].clone();
        let requirements = self.requirements(&text, false);
        let progress = RunProgress {
            unit_time,
            prefill: duration(run.first_event.unwrap_or(now) - run.started),
            left: self.work(&text),
        };
        let factor = if text.events >= LONG_EVENTS { LONG_MOVE_FACTOR } else { MOVE_FACTOR };
        let table = &mut self.tables[run.home];
        table.record_unit_time(moment(now), &engine, unit_time);
        let (at, rng) = (moment(now), &mut self.rng);
        if table.reports_slowdown(&service()) {
            return table.better_target(at, &engine, &progress, &requirements, rng).is_some();
        }
        table.has_faster(at, &engine, unit_time.div_f64(factor), &requirements, rng)
    }

    fn end(&mut self, now: f64, id: usize, run: &Run) {
        self.engines[run.engine].running.retain(|other| *other != id);
        self.tables[run.home].ended(&instance(run.engine));
        self.tables[run.home].succeeded(moment(now), &instance(run.engine));
    }

    fn sample(&mut self) {
        let loads = self.engines.iter().map(|engine| engine.running.len() + engine.queue.len());
        let loads: Vec<f64> = loads.map(count).collect();
        self.figures.busiest += loads.iter().copied().fold(0.0, f64::max);
        self.figures.mean += loads.iter().sum::<f64>() / count(ENGINES);
    }

    fn finish(mut self) -> Figures {
        let steps = self.steps.iter().filter(|step| step.submitted >= WARM_UP_MS);
        for step in steps {
            let took = |text: &usize| {
                let text = &self.texts[*text];
                (text.group, text.done.expect("all texts complete") - step.submitted)
            };
            let mut groups = vec![0.0_f64; self.scenario.texts / GROUP];
            for (group, took) in step.texts.iter().map(took) {
                groups[group] = groups[group].max(took);
            }
            groups.sort_by(f64::total_cmp);
            let last = groups[groups.len() - 1];
            let figures = &mut self.figures;
            figures.steps += 1.0;
            figures.last_ms += last;
            figures.groups_ms += groups[groups.len() * 9 / 10 - 1];
            figures.worst_ms = figures.worst_ms.max(last);
            figures.texts += count(step.texts.len());
            let moved = step.texts.iter().filter(|text| self.texts[**text].runs > 1);
            figures.moved += count(moved.count());
        }
        self.figures
    }
}
