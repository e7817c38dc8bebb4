//! Runs one step on a small deployment of separate processes and prints a report.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use client::OpenStep;
use demo::fleet::{Fleet, FleetPlan};
use demo::process::Signal;
use ids::{ModelVersion, PoolName, StepNumber, TokenCount, TrainerId};
use ledger::{GroupSpec, SlotSet, StepSpec};
use serde_json::json;
use tokio::time;

/// Number of samples in the step.
const SAMPLES: usize = 256;
/// Number of samples in a group.
const GROUP_SAMPLES: u16 = 8;
/// Maximum number of tokens in a sample.
const MAX_TOKENS: u32 = 1_024;
/// Number of plain requests.
const CALLS: usize = 20;
/// Minimum duration of the platform outage with `--faults`.
const OUTAGE_TIME: Duration = Duration::from_secs(3);
/// Minimum time that a box stays frozen with `--faults`.
const FREEZE_TIME: Duration = Duration::from_secs(3);

/// Starts a small deployment on loopback, runs one step of 256 samples with a version swap during
/// it, calls a plain service, and prints a report.
#[derive(Debug, Parser)]
struct Cli {
    /// Kills the keeper, freezes the next one, restarts the killed box and makes the platform
    /// unavailable, all during the step.
    #[arg(long)]
    faults: bool,
    /// Directory for logs.
    #[arg(long, default_value = "target/demo")]
    logs: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Cli::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("demo: the run is incomplete, see the report");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Counts of the samples that the trainer received.
#[derive(Debug, Default)]
struct Received {
    slots: SlotSet,
    duplicates: usize,
    too_old: usize,
    versions: BTreeMap<ModelVersion, u64>,
    oldest_staleness: u64,
    mixed_versions: usize,
}

/// A fault and the longest time that the trainer then waited for a sample.
#[derive(Debug)]
struct FaultReport {
    name: &'static str,
    longest_wait: Duration,
}

/// Runs the demo. Returns whether the trainer got every sample exactly once and within the bound,
/// every plain request got its response, and all boxes stopped without interrupting requests.
async fn run(cli: Cli) -> io::Result<bool> {
    let run_started = Instant::now();
    let mut fleet = Fleet::start(FleetPlan::default(), cli.logs.clone()).await?;
    println!(
        "started: 1 platform, {} boxes, {} engines, {} services in {:.1} s (logs in {})",
        fleet.boxes.len(),
        fleet.engines.len(),
        fleet.services.len(),
        run_started.elapsed().as_secs_f64(),
        cli.logs.display()
    );
    let pool: PoolName = "layout".parse().map_err(io::Error::other)?;
    let trainer: TrainerId = "press-1".parse().map_err(io::Error::other)?;
    fleet.apply(&fleet.pool(&pool, &trainer, ModelVersion::new(1))).await?;
    let started = Instant::now();
    let mut step =
        fleet.trainer(&pool, &trainer).open(step_spec()).await.map_err(io::Error::other)?;
    let mut received = Received::default();
    let mut faults = Vec::new();
    pull_until(&mut step, &mut received, SAMPLES / 4).await?;
    fleet.apply(&fleet.pool(&pool, &trainer, ModelVersion::new(2))).await?;
    if cli.faults {
        faults = inject_faults(&mut fleet, &trainer, &mut step, &mut received).await?;
    }
    pull_until(&mut step, &mut received, SAMPLES).await?;
    let elapsed_time = started.elapsed();
    let idle = step.close().await.map_err(io::Error::other)?;
    let calls = call_service(&fleet).await?;
    let codes = fleet.stop_boxes().await?;
    print_report(&received, &idle, elapsed_time, calls);
    for fault in &faults {
        let ms = fault.longest_wait.as_millis();
        println!("{:22}  trainer waited {ms} ms at the longest", fault.name);
    }
    let clean = codes.iter().filter(|code| **code == Some(0)).count();
    println!("{:22}  {clean} of {} boxes with no request cut", "planned stop", codes.len());
    println!("{:22}  {:.1} s", "whole run", run_started.elapsed().as_secs_f64());
    let is_complete =
        received.slots.len() == SAMPLES && received.duplicates == 0 && received.too_old == 0;
    Ok(is_complete && calls == CALLS && clean == codes.len())
}

fn step_spec() -> StepSpec {
    let groups = (0..SAMPLES / usize::from(GROUP_SAMPLES)).map(|index| GroupSpec {
        prompt: format!("lay out booklet {index}").into(),
        samples: GROUP_SAMPLES,
        max_tokens: TokenCount::new(MAX_TOKENS),
    });
    StepSpec { step: StepNumber::new(1), version: ModelVersion::new(1), groups: groups.collect() }
}

/// Pulls until the trainer has `wanted` samples.
async fn pull_until(step: &mut OpenStep, received: &mut Received, wanted: usize) -> io::Result<()> {
    while received.slots.len() < wanted {
        let Some(samples) = step.next().await.map_err(io::Error::other)? else { return Ok(()) };
        let named = step.receiver().named();
        let window = step.receiver().window();
        for sample in samples {
            if !received.slots.insert(sample.slot) {
                received.duplicates += 1;
            }
            if window.is_too_old(sample.oldest()) {
                received.too_old += 1;
            }
            if sample.spans.len() > 1 {
                received.mixed_versions += 1;
            }
            let staleness = named.get().saturating_sub(sample.oldest().get());
            received.oldest_staleness = received.oldest_staleness.max(staleness);
            for span in &sample.spans {
                *received.versions.entry(span.version).or_default() += u64::from(span.tokens.get());
            }
        }
    }
    Ok(())
}

/// Injects the faults in turn and pulls samples after each.
async fn inject_faults(
    fleet: &mut Fleet,
    trainer: &TrainerId,
    step: &mut OpenStep,
    received: &mut Received,
) -> io::Result<Vec<FaultReport>> {
    let mut reports = Vec::new();
    let share = SAMPLES / 8;
    let keeper = fleet.keeper(trainer).await;
    let killed = keeper.ok_or_else(|| io::Error::other("no box is the keeper of the step"))?;
    if let Some(mut child) = fleet.boxes.remove(&killed) {
        child.signal(Signal::Kill).await?;
        child.wait().await?;
    }
    reports.push(pull_after_fault("keeping box killed", step, received, share).await?);
    let frozen = fleet.keeper(trainer).await.filter(|id| *id != killed);
    let frozen = frozen.ok_or_else(|| io::Error::other("no other box took over the step"))?;
    if let Some(child) = fleet.boxes.get(&frozen) {
        child.signal(Signal::Stop).await?;
    }
    let freeze = time::sleep(FREEZE_TIME);
    reports.push(pull_after_fault("keeping box frozen", step, received, share).await?);
    freeze.await;
    if let Some(child) = fleet.boxes.get(&frozen) {
        child.signal(Signal::Continue).await?;
    }
    let index =
        |part: usize| killed.split('-').nth(part).and_then(|text| text.parse::<usize>().ok());
    if let (Some(domain), Some(number)) = (index(1), index(2)) {
        fleet.start_box(domain - 1, number - 1).await?;
    }
    reports.push(pull_after_fault("box restarted", step, received, share).await?);
    fleet.set_faults(fleet.platform.address(), &json!({ "down": true })).await?;
    let outage = time::sleep(OUTAGE_TIME);
    reports.push(pull_after_fault("platform away", step, received, share).await?);
    outage.await;
    fleet.set_faults(fleet.platform.address(), &json!({})).await?;
    Ok(reports)
}

/// Pulls `share` more samples and measures the longest wait for one.
async fn pull_after_fault(
    name: &'static str,
    step: &mut OpenStep,
    received: &mut Received,
    share: usize,
) -> io::Result<FaultReport> {
    let mut longest_wait = Duration::ZERO;
    let wanted = (received.slots.len() + share).min(SAMPLES);
    while received.slots.len() < wanted {
        let started = Instant::now();
        pull_until(step, received, received.slots.len() + 1).await?;
        longest_wait = longest_wait.max(started.elapsed());
    }
    Ok(FaultReport { name, longest_wait })
}

/// Calls the plain service and returns the number of correct responses.
async fn call_service(fleet: &Fleet) -> io::Result<usize> {
    let mut correct = 0;
    let entries = fleet.entries();
    let http = reqwest::Client::new();
    for index in 0..CALLS {
        let entry = &entries[index % entries.len()];
        let url = format!("{entry}/v1/call/orders/status?order={index}");
        let response = http.get(url).send().await.map_err(io::Error::other)?;
        let body = response.text().await.map_err(io::Error::other)?;
        correct += usize::from(body.contains(&format!("order={index}")));
    }
    Ok(correct)
}

fn print_report(
    received: &Received,
    idle: &client::IdleReport,
    elapsed_time: Duration,
    calls: usize,
) {
    let line = |name: &str, value: String| println!("{name:22}  {value}");
    line("slots", SAMPLES.to_string());
    line("delivered", received.slots.len().to_string());
    line("doubled", received.duplicates.to_string());
    line("missing", (SAMPLES - received.slots.len()).to_string());
    let versions = received.versions.iter();
    let versions: Vec<String> =
        versions.map(|(version, tokens)| format!("{version} ({tokens} tokens)")).collect();
    line("versions used", versions.join(", "));
    line("made by two versions", received.mixed_versions.to_string());
    line("oldest staleness", format!("{} version(s), bound 1", received.oldest_staleness));
    line("past the bound", received.too_old.to_string());
    line("dropped twice or old", format!("{} doubled, {} stale", idle.doubled, idle.stale));
    line("step opened again", idle.reopened.to_string());
    line("trainer idle", format!("{} ms", idle.by_cause_ms.values().sum::<u64>()));
    for (cause, ms) in &idle.by_cause_ms {
        line(&format!("  {cause}"), format!("{ms} ms"));
    }
    line("time taken", format!("{} ms", elapsed_time.as_millis()));
    line("plain answers", format!("{calls} of {CALLS}"));
}
