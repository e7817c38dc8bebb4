//! Checks that servers learn of weight loads from the box that orders them, so that they rarely
//! start items at an engine that refuses them because it is loading.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{InstanceId, ModelName, ModelVersion, Moment, ServiceName, StartTime};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use routing::{HeldModel, TargetFailure, TargetRecord, TargetRequirements, TargetTable};
use shards::{LoadTable, apply_loads};

const ENGINES: usize = 17;
/// Maximum number of engines that load at the same time.
const CONCURRENT_LOADS: usize = 4;
const LOAD_DURATION: Duration = Duration::from_millis(900);
/// Delay of load reports by batching and one network hop.
const REPORT_DELAY: Duration = Duration::from_millis(32);
const TICK: Duration = Duration::from_millis(4);

fn engine(number: usize) -> InstanceId {
    format!("engine-{number}").parse().expect("valid instance id")
}

fn model() -> ModelName {
    "layout".parse().expect("valid model name")
}

fn service() -> ServiceName {
    "engines".parse().expect("valid service name")
}

fn server_targets() -> TargetTable {
    let domain: ids::DomainId = "domain-1".parse().expect("valid domain id");
    let mut targets = TargetTable::new(domain.clone());
    for number in 0..ENGINES {
        targets.put(
            Moment::START,
            TargetRecord {
                instance: engine(number),
                born: StartTime::default(),
                software: None,
                service: service(),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                domain: domain.clone(),
                slots: 6,
                leaving: false,
                cold_left: Duration::ZERO,
                models: vec![HeldModel { model: model(), version: ModelVersion::new(1) }],
            },
        );
    }
    targets
}

#[derive(Debug, Default)]
struct Outcome {
    started: u32,
    refused: u32,
}

/// Simulates 12 s in which all engines load one version after another, while a server starts an
/// item every 4 ms that runs for 160 ms.
fn simulate(with_reports: bool) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (orders, mut targets) = (LoadTable::default(), server_targets());
    let mut outcome = Outcome::default();
    let mut loading: Vec<(usize, Moment)> = Vec::new();
    let mut runs: Vec<(InstanceId, Moment)> = Vec::new();
    let mut next = 0;
    let mut reported_at = Moment::START;
    let requirements =
        TargetRequirements { free_slot: true, fast: true, ..TargetRequirements::default() };
    for tick in 0..3_000 {
        let now = Moment::START + TICK * tick;
        loading.retain(|(number, until)| {
            let ended = now >= *until;
            if ended {
                orders.load_ended(now, &engine(*number), true);
            }
            !ended
        });
        while loading.len() < CONCURRENT_LOADS {
            let number = next % ENGINES;
            let version =
                ModelVersion::new(2 + u64::try_from(next / ENGINES).expect("version fits in u64"));
            orders.load_started(&engine(number), &model(), version);
            loading.push((number, now + LOAD_DURATION));
            next += 1;
        }
        if with_reports && now.since(reported_at) >= REPORT_DELAY {
            apply_loads(&mut targets, now, &orders.current_loads(now));
            reported_at = now;
        }
        runs.retain(|(instance, until)| {
            if now >= *until {
                targets.ended(instance);
                targets.succeeded(now, instance);
            }
            now < *until
        });
        let Some(slot) = targets.choose(now, &service(), &requirements, &mut rng) else { continue };
        outcome.started += 1;
        if loading.iter().any(|(number, _)| engine(*number) == slot.instance) {
            outcome.refused += 1;
            targets.ended(&slot.instance);
            targets.failed(now, &slot.instance, TargetFailure::Full);
        } else {
            runs.push((slot.instance, now + Duration::from_millis(160)));
        }
    }
    outcome
}

#[test]
fn load_reports_prevent_most_refusals() {
    let (unreported, reported) = (simulate(false), simulate(true));
    assert!(
        unreported.refused * 20 > unreported.started,
        "without reports, loading engines must refuse items: {unreported:?}"
    );
    assert!(
        reported.refused * 5 < unreported.refused,
        "without reports: {unreported:?}, with reports: {reported:?}"
    );
    assert!(reported.refused * 50 < reported.started, "{reported:?}");
}

#[test]
fn completed_load_reports_the_new_version_immediately() {
    let (orders, mut targets) = (LoadTable::default(), server_targets());
    let (model, version) = (model(), ModelVersion::new(2));
    let needs_new = TargetRequirements {
        model: Some((&model, version)),
        free_slot: true,
        ..TargetRequirements::default()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let (started_at, ended_at) = (Moment::START, Moment::START + LOAD_DURATION);
    orders.load_started(&engine(3), &model, version);
    apply_loads(&mut targets, started_at, &orders.current_loads(started_at));
    assert_eq!(targets.choose(started_at, &service(), &needs_new, &mut rng), None);
    orders.load_ended(ended_at, &engine(3), true);
    apply_loads(&mut targets, ended_at, &orders.current_loads(ended_at));
    let slot = targets.choose(ended_at, &service(), &needs_new, &mut rng);
    assert_eq!(slot.map(|slot| slot.instance), Some(engine(3)));
}

#[test]
fn failed_load_frees_the_engine_with_its_old_version() {
    let (orders, mut targets) = (LoadTable::default(), server_targets());
    let (model, old) = (model(), ModelVersion::new(1));
    orders.load_started(&engine(0), &model, ModelVersion::new(2));
    orders.load_ended(Moment::START, &engine(0), false);
    apply_loads(&mut targets, Moment::START, &orders.current_loads(Moment::START));
    let held = targets.record(&engine(0)).map(|record| record.models.clone());
    assert_eq!(held, Some(vec![HeldModel { model, version: old }]));
}

/// Guards against engines that stay idle because of the last report of a stopped box.
#[test]
fn load_report_without_updates_expires_within_a_second() {
    let (orders, mut targets) = (LoadTable::default(), server_targets());
    let requirements = TargetRequirements { free_slot: true, ..TargetRequirements::default() };
    for number in 0..ENGINES {
        orders.load_started(&engine(number), &model(), ModelVersion::new(2));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    apply_loads(&mut targets, Moment::START, &orders.current_loads(Moment::START));
    assert_eq!(targets.choose(Moment::START, &service(), &requirements, &mut rng), None);
    let later = Moment::START + Duration::from_secs(1);
    assert!(targets.choose(later, &service(), &requirements, &mut rng).is_some());
}
