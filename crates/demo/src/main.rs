//! Runs a small deployment as separate processes and says what came of a step.

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

/// Samples of the step.
const SAMPLES: usize = 256;
/// Samples of each group.
const GROUP: u16 = 8;
/// Most tokens of a sample.
const MAX_TOKENS: u32 = 1_024;
/// Plain requests sent.
const CALLS: usize = 20;
/// How long the platform is away in the faulty run.
const OUTAGE: Duration = Duration::from_secs(3);
/// How long a box stays frozen in the faulty run.
const FREEZE: Duration = Duration::from_secs(3);

/// Starts a small deployment on loopback, runs one step of 256 samples with a version swap in
/// the middle, calls a plain service, and prints what came of it.
#[derive(Debug, Parser)]
struct Cli {
    /// Kills the keeping box, freezes another, restarts one and takes the platform away, all in
    /// the middle of the step.
    #[arg(long)]
    faults: bool,
    /// Where logs go.
    #[arg(long, default_value = "target/demo")]
    logs: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Cli::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("demo: the step is not whole");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

/// What the trainer got.
#[derive(Debug, Default)]
struct Tally {
    slots: SlotSet,
    doubled: usize,
    too_old: usize,
    versions: BTreeMap<ModelVersion, u64>,
    oldest_staleness: u64,
    mixed: usize,
}

/// A fault and how long the trainer then went without a sample.
#[derive(Debug)]
struct FaultReport {
    name: &'static str,
    longest_wait: Duration,
}

async fn run(cli: Cli) -> io::Result<bool> {
    let begun = Instant::now();
    let mut fleet = Fleet::start(FleetPlan::default(), cli.logs.clone()).await?;
    println!(
        "started: 1 platform, {} boxes, {} engines, {} services in {:.1} s (logs in {})",
        fleet.boxes.len(),
        fleet.engines.len(),
        fleet.services.len(),
        begun.elapsed().as_secs_f64(),
        cli.logs.display()
    );
    let pool: PoolName = "layout".parse().map_err(io::Error::other)?;
    let trainer: TrainerId = "press-1".parse().map_err(io::Error::other)?;
    fleet.apply(&fleet.pool(&pool, &trainer, ModelVersion::new(1))).await?;
    let started = Instant::now();
    let mut step =
        fleet.trainer(&pool, &trainer).open(step_spec()).await.map_err(io::Error::other)?;
    let mut tally = Tally::default();
    let mut faults = Vec::new();
    pull_until(&mut step, &mut tally, SAMPLES / 4).await?;
    fleet.apply(&fleet.pool(&pool, &trainer, ModelVersion::new(2))).await?;
    if cli.faults {
        faults = cause_faults(&mut fleet, &trainer, &mut step, &mut tally).await?;
    }
    pull_until(&mut step, &mut tally, SAMPLES).await?;
    let took = started.elapsed();
    let idle = step.close().await.map_err(io::Error::other)?;
    let calls = call_service(&fleet).await?;
    let codes = fleet.stop_boxes().await?;
    print_report(&tally, &idle, took, calls);
    for fault in &faults {
        let ms = fault.longest_wait.as_millis();
        println!("{:22}  trainer waited {ms} ms at the longest", fault.name);
    }
    let clean = codes.iter().filter(|code| **code == Some(0)).count();
    println!("{:22}  {clean} of {} boxes with no request cut", "planned stop", codes.len());
    println!("{:22}  {:.1} s", "whole run", begun.elapsed().as_secs_f64());
    let whole = tally.slots.len() == SAMPLES && tally.doubled == 0 && tally.too_old == 0;
    Ok(whole && calls == CALLS && clean == codes.len())
}

fn step_spec() -> StepSpec {
    let groups = (0..SAMPLES / usize::from(GROUP)).map(|index| GroupSpec {
        prompt: format!("lay out booklet {index}").into(),
        samples: GROUP,
        max_tokens: TokenCount::new(MAX_TOKENS),
    });
    StepSpec { step: StepNumber::new(1), version: ModelVersion::new(1), groups: groups.collect() }
}

/// Pulls until the trainer holds `wanted` samples.
async fn pull_until(step: &mut OpenStep, tally: &mut Tally, wanted: usize) -> io::Result<()> {
    while tally.slots.len() < wanted {
        let Some(samples) = step.next().await.map_err(io::Error::other)? else { return Ok(()) };
        let named = step.receiver().named();
        let window = step.receiver().window();
        for sample in samples {
            if !tally.slots.insert(sample.slot) {
                tally.doubled += 1;
            }
            if window.is_too_old(sample.oldest()) {
                tally.too_old += 1;
            }
            if sample.spans.len() > 1 {
                tally.mixed += 1;
            }
            let staleness = named.get().saturating_sub(sample.oldest().get());
            tally.oldest_staleness = tally.oldest_staleness.max(staleness);
            for span in &sample.spans {
                *tally.versions.entry(span.version).or_default() += u64::from(span.tokens.get());
            }
        }
    }
    Ok(())
}

/// Causes the faults one after the other, with a few samples pulled under each.
async fn cause_faults(
    fleet: &mut Fleet,
    trainer: &TrainerId,
    step: &mut OpenStep,
    tally: &mut Tally,
) -> io::Result<Vec<FaultReport>> {
    let mut reports = Vec::new();
    let share = SAMPLES / 8;
    let keeper = fleet.keeper(trainer).await;
    let killed = keeper.ok_or_else(|| io::Error::other("no box keeps the step"))?;
    if let Some(mut child) = fleet.boxes.remove(&killed) {
        child.signal(Signal::Kill).await?;
        child.wait().await?;
    }
    reports.push(pull_under("keeping box killed", step, tally, share).await?);
    let frozen = fleet.keeper(trainer).await.filter(|id| *id != killed);
    let frozen = frozen.ok_or_else(|| io::Error::other("no other box took the step over"))?;
    if let Some(child) = fleet.boxes.get(&frozen) {
        child.signal(Signal::Stop).await?;
    }
    let thaw = time::sleep(FREEZE);
    reports.push(pull_under("keeping box frozen", step, tally, share).await?);
    thaw.await;
    if let Some(child) = fleet.boxes.get(&frozen) {
        child.signal(Signal::Continue).await?;
    }
    let index =
        |part: usize| killed.split('-').nth(part).and_then(|text| text.parse::<usize>().ok());
    if let (Some(domain), Some(place)) = (index(1), index(2)) {
        fleet.start_box(domain - 1, place - 1).await?;
    }
    reports.push(pull_under("box restarted", step, tally, share).await?);
    fleet.faults(fleet.platform.address(), &json!({ "down": true })).await?;
    let outage = time::sleep(OUTAGE);
    reports.push(pull_under("platform away", step, tally, share).await?);
    outage.await;
    fleet.faults(fleet.platform.address(), &json!({})).await?;
    Ok(reports)
}

/// Pulls `share` more samples and notes the longest time without one.
async fn pull_under(
    name: &'static str,
    step: &mut OpenStep,
    tally: &mut Tally,
    share: usize,
) -> io::Result<FaultReport> {
    let mut longest_wait = Duration::ZERO;
    let wanted = (tally.slots.len() + share).min(SAMPLES);
    while tally.slots.len() < wanted {
        let began = Instant::now();
        pull_until(step, tally, tally.slots.len() + 1).await?;
        longest_wait = longest_wait.max(began.elapsed());
    }
    Ok(FaultReport { name, longest_wait })
}

/// Calls the plain service; gives the number of whole answers.
async fn call_service(fleet: &Fleet) -> io::Result<usize> {
    let mut whole = 0;
    let entries = fleet.entries();
    let http = reqwest::Client::new();
    for index in 0..CALLS {
        let entry = &entries[index % entries.len()];
        let url = format!("{entry}/v1/call/orders/status?order={index}");
        let answer = http.get(url).send().await.map_err(io::Error::other)?;
        let body = answer.text().await.map_err(io::Error::other)?;
        whole += usize::from(body.contains(&format!("order={index}")));
    }
    Ok(whole)
}

fn print_report(tally: &Tally, idle: &client::IdleReport, took: Duration, calls: usize) {
    let line = |name: &str, value: String| println!("{name:22}  {value}");
    line("slots", SAMPLES.to_string());
    line("delivered", tally.slots.len().to_string());
    line("doubled", tally.doubled.to_string());
    line("missing", (SAMPLES - tally.slots.len()).to_string());
    let versions = tally.versions.iter();
    let versions: Vec<String> =
        versions.map(|(version, tokens)| format!("{version} ({tokens} tokens)")).collect();
    line("versions used", versions.join(", "));
    line("made by two versions", tally.mixed.to_string());
    line("oldest staleness", format!("{} version(s), bound 1", tally.oldest_staleness));
    line("past the bound", tally.too_old.to_string());
    line("dropped twice or old", format!("{} doubled, {} stale", idle.doubled, idle.stale));
    line("step opened again", idle.reopened.to_string());
    line("trainer idle", format!("{} ms", idle.by_cause_ms.values().sum::<u64>()));
    for (cause, ms) in &idle.by_cause_ms {
        line(&format!("  {cause}"), format!("{ms} ms"));
    }
    line("time taken", format!("{} ms", took.as_millis()));
    line("plain answers", format!("{calls} of {CALLS}"));
}
