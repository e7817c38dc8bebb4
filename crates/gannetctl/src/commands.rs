//! Commands that apply configuration, run steps or send requests.

use std::collections::BTreeMap;
use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use api::{AppliedBody, DEADLINE_HEADER, ErrorBody, REPEATABLE_HEADER, REQUEST_ID_HEADER};
use client::{ClientError, EntryClient, IdleReport, TrainerClient};
use ids::{ContentDigest, ModelVersion, whole_millis};
use ledger::{GroupSpec, Sample, SlotSet, StepSpec};
use pools::parse_pool;
use rand::Rng;
use reqwest::Method;
use serde::Serialize;

use crate::cli::{ApplyArgs, CallArgs, Output, StepArgs};
use crate::exit::CliError;
use crate::output::{Table, print};

/// Validates a pool document and applies it.
pub async fn apply(entry: &EntryClient, args: ApplyArgs, output: Output) -> Result<(), CliError> {
    let text = fs::read_to_string(&args.file).map_err(|error| {
        CliError::BadInput(format!("{}: {error}; specify a readable file", args.file.display()))
    })?;
    let spec = parse_pool(&text).map_err(|error| CliError::BadInput(error.to_string()))?;
    if args.check {
        println!("pool {} can be applied", spec.name);
        return Ok(());
    }
    // All retries carry the same id, so a retry after a lost response does not apply twice.
    let write_id = format!("w{:032x}", rand::rng().random::<u128>());
    let generation_condition =
        args.if_generation.map(|generation| format!("&if_generation={generation}"));
    let path = format!(
        "/v1/pools/{}?write_id={write_id}{}",
        spec.name,
        generation_condition.unwrap_or_default()
    );
    let applied: AppliedBody =
        entry.send_with_retries(&Method::PUT, &path, Some(&spec), Duration::ZERO).await?;
    print(output, &applied, || {
        let mut table = Table::new(&["POOL", "VERSION", "GENERATION"]);
        table.row([
            spec.name.to_string(),
            spec.version.to_string(),
            applied.generation.to_string(),
        ]);
        table
    });
    Ok(())
}

/// Result of a step, as printed.
#[derive(Debug, Serialize)]
struct StepReport {
    slots: usize,
    delivered: usize,
    doubled: usize,
    missing: usize,
    stale: usize,
    /// Number of tokens by weight version.
    versions: BTreeMap<ModelVersion, u64>,
    /// Maximum number of versions that an accepted sample was behind the named version.
    oldest_staleness: u64,
    reopened: usize,
    idle_ms: u64,
    longest_gap_ms: u64,
    idle_by_cause_ms: BTreeMap<String, u64>,
    took_ms: u64,
}

/// Opens a step and pulls samples until it is complete.
pub async fn step(entry: EntryClient, args: StepArgs, output: Output) -> Result<(), CliError> {
    let spec = step_spec(&args)?;
    let started = Instant::now();
    let trainer = TrainerClient::new(Arc::new(entry), args.pool, args.trainer);
    let mut open = trainer.open(spec).await?;
    let slots = open.receiver().spec().slots();
    let mut tally = SampleTally::default();
    while let Some(samples) = open.next().await? {
        let named = open.receiver().named();
        for sample in &samples {
            tally.count(sample, named);
        }
    }
    let idle = open.close().await?;
    let took_ms = whole_millis(started.elapsed());
    let report = tally.report(slots, &idle, took_ms);
    print(output, &report, || step_table(&report));
    if report.missing > 0 || tally.duplicates > 0 {
        return Err(CliError::Incomplete { missing: report.missing, duplicates: tally.duplicates });
    }
    Ok(())
}

fn step_spec(args: &StepArgs) -> Result<StepSpec, CliError> {
    let group = u32::from(args.group);
    if group == 0 || !args.samples.is_multiple_of(group) {
        let problem = format!("--samples {} is not a multiple of --group {group}", args.samples);
        return Err(CliError::BadInput(format!("{problem}: specify a multiple")));
    }
    let groups = (0..args.samples / group).map(|index| GroupSpec {
        prompt: format!("{}/{} prompt {index}", args.trainer, args.step).into(),
        samples: args.group,
        max_tokens: args.max_tokens,
    });
    let spec = StepSpec { step: args.step, version: args.version, groups: groups.collect() };
    spec.check().map_err(|error| CliError::BadInput(error.to_string()))?;
    Ok(spec)
}

/// Counts the samples that the client library returns, independently of the library's own state.
#[derive(Debug, Default)]
struct SampleTally {
    slots: SlotSet,
    duplicates: usize,
    versions: BTreeMap<ModelVersion, u64>,
    oldest_staleness: u64,
}

impl SampleTally {
    fn count(&mut self, sample: &Sample, named: ModelVersion) {
        if !self.slots.insert(sample.slot) {
            self.duplicates += 1;
        }
        for span in &sample.spans {
            *self.versions.entry(span.version).or_default() += u64::from(span.tokens.get());
        }
        let staleness = named.get().saturating_sub(sample.oldest().get());
        self.oldest_staleness = self.oldest_staleness.max(staleness);
    }

    fn report(&self, slots: usize, idle: &IdleReport, took_ms: u64) -> StepReport {
        StepReport {
            slots,
            delivered: self.slots.len(),
            doubled: self.duplicates,
            missing: slots - self.slots.len(),
            stale: idle.stale,
            versions: self.versions.clone(),
            oldest_staleness: self.oldest_staleness,
            reopened: idle.reopened,
            idle_ms: idle.by_cause_ms.values().sum(),
            longest_gap_ms: idle.longest_gap_ms,
            idle_by_cause_ms: idle.by_cause_ms.clone(),
            took_ms,
        }
    }
}

fn step_table(report: &StepReport) -> Table {
    let mut table = Table::new(&["STEP", ""]);
    let mut row = |name: &str, value: String| table.row([name.to_owned(), value]);
    row("slots", report.slots.to_string());
    row("delivered", report.delivered.to_string());
    row("doubled", report.doubled.to_string());
    row("missing", report.missing.to_string());
    let versions: Vec<String> = report
        .versions
        .iter()
        .map(|(version, tokens)| format!("{version} ({tokens} tokens)"))
        .collect();
    row("versions used", versions.join(", "));
    row("oldest staleness", format!("{} version(s)", report.oldest_staleness));
    row("dropped as stale", report.stale.to_string());
    row("opened again", report.reopened.to_string());
    row("trainer idle", format!("{} ms", report.idle_ms));
    for (cause, ms) in &report.idle_by_cause_ms {
        row(&format!("  {cause}"), format!("{ms} ms"));
    }
    row("longest gap", format!("{} ms", report.longest_gap_ms));
    row("took", format!("{} ms", report.took_ms));
    table
}

/// Response of a service, as printed.
#[derive(Debug, Serialize)]
struct CallReport {
    status: u16,
    request_id: String,
    body: String,
}

/// Sends a plain request once; boxes may run it more than once only if it is marked repeatable.
pub async fn call(entries: &[String], args: CallArgs, output: Output) -> Result<(), CliError> {
    let method = Method::from_bytes(args.method.as_bytes()).map_err(|_bad| {
        CliError::BadInput(format!(
            "--method {} is not an HTTP method: use GET or POST",
            args.method
        ))
    })?;
    let entry = entries.first().ok_or(ClientError::NoEntry)?;
    let url = format!("{}/v1/call/{}{}", entry.trim_end_matches('/'), args.service, args.path);
    let id = args.request_id.unwrap_or_else(|| format!("c{:032x}", rand::rng().random::<u128>()));
    let sent = reqwest::Client::new()
        .request(method, url)
        .header(REPEATABLE_HEADER, args.repeatable.to_string())
        .header(REQUEST_ID_HEADER, &id)
        .header(DEADLINE_HEADER, args.deadline_ms.to_string())
        .timeout(Duration::from_millis(args.deadline_ms) + Duration::from_secs(2))
        .body(args.body)
        .send()
        .await;
    let response = sent.map_err(|error| {
        if error.is_connect() {
            ClientError::NoEntry
        } else {
            ClientError::Broken(error.to_string())
        }
    })?;
    let status = response.status().as_u16();
    let stated_digest =
        response.headers().get(api::DIGEST_HEADER).and_then(|value| value.to_str().ok());
    let stated_digest: Option<ContentDigest> = stated_digest.and_then(|text| text.parse().ok());
    let body = response.bytes().await.map_err(|error| ClientError::Broken(error.to_string()))?;
    match stated_digest {
        Some(digest) if digest == ContentDigest::of(&body) => {}
        Some(_) => {
            return Err(ClientError::Broken("the body does not match its digest".to_owned()).into());
        }
        // Boxes add a digest to a service's response, but not to their own refusals.
        None => {
            let refusal: ErrorBody = serde_json::from_slice(&body)
                .map_err(|error| ClientError::Broken(error.to_string()))?;
            return Err(ClientError::Refused(refusal).into());
        }
    }
    let report =
        CallReport { status, request_id: id, body: String::from_utf8_lossy(&body).into_owned() };
    print(output, &report, || {
        let mut table = Table::new(&["STATUS", "REQUEST", "BODY"]);
        table.row([status.to_string(), report.request_id.clone(), report.body.clone()]);
        table
    });
    Ok(())
}
