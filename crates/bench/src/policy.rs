//! Simulates complete steps with each placement policy and the engine model, over several seeds.
//!
//! The samples of a step have the same lengths with every policy, so all policies are compared
//! with the same lower bound.

use std::time::Duration;

use ids::{ContentDigest, ModelVersion};
use placement::{PlacementPolicy, TargetChooser};
use sessions::{Fault, FaultPlan, Verdict, World, WorldPlan};
use standins::engine_model::{CHUNK_TOKENS, EngineSettings, response_length};

use crate::baselines::{LeastReported, RoundRobin, TwoRandom};
use crate::table;

/// Number of seeds per policy.
const SEEDS: u64 = 10;
/// Maximum response length, in tokens.
const MAX_TOKENS: u32 = 512;

struct Size {
    name: &'static str,
    engines: usize,
    groups: u16,
}

struct Outcome {
    ratio: f64,
    extra_attempts: f64,
    violations: usize,
    complete: bool,
}

/// Prints a table per size.
pub fn measure() {
    let sizes = [
        Size { name: "agency, 11 engines, 512 samples", engines: 11, groups: 64 },
        Size { name: "Cesta Comum, 9 engines, 512 samples", engines: 9, groups: 64 },
        Size { name: "ten times larger, 110 engines, 5120 samples", engines: 110, groups: 640 },
    ];
    for size in &sizes {
        println!("{}\n", size.name);
        let rows = [
            row::<RoundRobin>("round robin", size),
            row::<LeastReported>("least reported load", size),
            row::<TwoRandom>("two random choices", size),
            row::<TargetChooser>("gannetway", size),
        ];
        let heading = [
            "policy",
            "step / bound, median",
            "worst",
            "attempts beyond samples, median",
            "promises broken",
            "steps whole",
        ];
        table::print(&heading, &rows);
    }
}

fn plan(size: &Size, seed: u64) -> WorldPlan {
    WorldPlan {
        seed,
        engines: size.engines,
        groups: size.groups,
        samples: 8,
        per_engine: 16,
        per_trainer: u32::from(size.groups) * 8,
        engine: EngineSettings {
            step: Duration::from_millis(10),
            step_per_stream: Duration::from_micros(300),
            load_time: Duration::from_millis(500),
            ..EngineSettings::default()
        },
        request_pause: Duration::from_millis(5),
        limit: Duration::from_mins(10),
        ..WorldPlan::default()
    }
}

/// Returns the lower bound of the step time: the time of the longest sample alone or of all work at
/// the full rate of all engines, whichever is longer.
fn lower_bound(plan: &WorldPlan) -> Duration {
    let settings = plan.engine;
    let mut longest = 0;
    let mut all = 0_u32;
    for slot in 0..u64::from(plan.groups) * u64::from(plan.samples) {
        let group = slot / u64::from(plan.samples);
        let prompt = ContentDigest::of(plan.prompt(group).as_bytes()).get();
        let length = response_length(prompt, slot, settings.min_tokens, MAX_TOKENS);
        longest = longest.max(length);
        all += length;
    }
    let chunks = |tokens: u32| tokens.div_ceil(CHUNK_TOKENS);
    let alone = settings.step * CHUNK_TOKENS * chunks(longest);
    let batch = plan.per_engine;
    let quantum = (settings.step + settings.step_per_stream * (batch - 1)) * CHUNK_TOKENS;
    let rate = f64::from(batch * CHUNK_TOKENS) * plan.engines_f64() / quantum.as_secs_f64();
    alone.max(Duration::from_secs_f64(f64::from(all) / rate))
}

fn run<C: PlacementPolicy + Default>(size: &Size, seed: u64) -> Outcome {
    let plan = plan(size, seed);
    let bound = lower_bound(&plan);
    // Swaps the weights during the step.
    let swap = Fault::NameVersion(ModelVersion::new(2));
    let faults = FaultPlan::default().at(bound / 2, swap);
    let mut world: World<C> = World::new(plan, faults);
    let verdict: Verdict = world.run_without_clock();
    let samples = u32::from(plan.groups) * u32::from(plan.samples);
    let attempts = u32::try_from(verdict.attempts).unwrap_or(u32::MAX);
    Outcome {
        ratio: verdict.ended_at.since_start().as_secs_f64() / bound.as_secs_f64(),
        extra_attempts: f64::from(attempts) / f64::from(samples) - 1.0,
        violations: verdict.violations.len(),
        complete: verdict.complete,
    }
}

fn row<C: PlacementPolicy + Default>(name: &str, size: &Size) -> Vec<String> {
    let mut outcomes: Vec<Outcome> = (1..=SEEDS).map(|seed| run::<C>(size, seed)).collect();
    outcomes.sort_by(|a, b| a.ratio.total_cmp(&b.ratio));
    let median = &outcomes[outcomes.len() / 2];
    let worst = outcomes.last().map_or(0.0, |outcome| outcome.ratio);
    let violations: usize = outcomes.iter().map(|outcome| outcome.violations).sum();
    let complete = outcomes.iter().filter(|outcome| outcome.complete).count();
    vec![
        name.to_owned(),
        format!("{:.2}", median.ratio),
        format!("{worst:.2}"),
        format!("{:.1}%", 100.0 * median.extra_attempts),
        violations.to_string(),
        format!("{complete} of {SEEDS}"),
    ]
}
