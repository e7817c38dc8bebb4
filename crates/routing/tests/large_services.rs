//! Target choice in services with thousands of targets.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{InstanceId, ModelName, ModelVersion, Moment, ServiceName, StartTime};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{
    HeldModel, NoTargetReason, TargetLoad, TargetRecord, TargetRequirements, TargetTable,
};

const NOW: Moment = Moment::START;

fn service() -> ServiceName {
    "lm".parse().expect("valid id")
}

fn model() -> ModelName {
    "m".parse().expect("valid id")
}

fn instance(number: usize) -> InstanceId {
    format!("i-{number}").parse().expect("valid id")
}

fn target(number: usize, version: u64) -> TargetRecord {
    TargetRecord {
        instance: instance(number),
        born: StartTime::default(),
        software: None,
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: format!("domain-{}", number % 6).parse().expect("valid id"),
        slots: 6,
        leaving: false,
        cold_left: Duration::ZERO,
        models: vec![HeldModel { model: model(), version: ModelVersion::new(version) }],
    }
}

/// Creates a table of `targets` targets; the first `updated` of them hold version 2, the others 1.
fn target_table(targets: usize, updated: usize) -> TargetTable {
    let mut table = TargetTable::new("domain-0".parse().expect("valid id"));
    for number in 0..targets {
        table.put(NOW, target(number, if number < updated { 2 } else { 1 }));
    }
    table
}

/// Counts the random numbers drawn, which grows with the number of targets that a choice compares.
#[derive(Debug)]
struct CountingRng {
    rng: ChaCha8Rng,
    draws: usize,
}

impl rand::RngCore for CountingRng {
    fn next_u32(&mut self) -> u32 {
        self.draws += 1;
        self.rng.next_u32()
    }

    fn next_u64(&mut self) -> u64 {
        self.draws += 1;
        self.rng.next_u64()
    }

    fn fill_bytes(&mut self, dst: &mut [u8]) {
        self.rng.fill_bytes(dst);
    }
}

fn draws(table: &mut TargetTable, requirements: &TargetRequirements<'_>) -> usize {
    let mut rng = CountingRng { rng: ChaCha8Rng::seed_from_u64(7), draws: 0 };
    for _ in 0..20 {
        table.choose(NOW, &service(), requirements, &mut rng).expect("a target");
    }
    rng.draws
}

#[test]
fn number_of_compared_targets_is_bounded() {
    let model = model();
    let all_requirements = [
        TargetRequirements::default(),
        TargetRequirements {
            model: Some((&model, ModelVersion::new(1))),
            ..TargetRequirements::default()
        },
    ];
    for requirements in all_requirements {
        let few = draws(&mut target_table(600, 0), &requirements);
        let many = draws(&mut target_table(6_000, 0), &requirements);
        assert!(many <= few + few / 10, "{few} at 600 targets, {many} at 6,000");
    }
}

#[test]
fn rare_version_is_found_among_thousands_of_targets() {
    let model = model();
    let floor = ModelVersion::new(2);
    let requirements = TargetRequirements {
        model: Some((&model, floor)),
        free_slot: true,
        ..TargetRequirements::default()
    };
    let mut table = target_table(6_000, 3);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..18 {
        let chosen = table.choose(NOW, &service(), &requirements, &mut rng).expect("a free slot");
        assert!((0..3).any(|number| chosen.instance == instance(number)), "{}", chosen.instance);
    }
    assert_eq!(table.choose(NOW, &service(), &requirements, &mut rng), None);
    assert_eq!(
        table.no_target_reason(NOW, &service(), &requirements, &mut rng),
        NoTargetReason::Full
    );
    // A response reports that one more target has loaded the version.
    table.record_version(&instance(4_000), &model, floor);
    let chosen = table.choose(NOW, &service(), &requirements, &mut rng).expect("a free slot");
    assert_eq!(chosen.instance, instance(4_000));
    table.remove(&instance(4_000));
    let newer = TargetRequirements { model: Some((&model, ModelVersion::new(3))), ..requirements };
    assert_eq!(
        table.no_target_reason(NOW, &service(), &newer, &mut rng),
        NoTargetReason::OldVersion
    );
}

/// Guards against choosing busy targets because only a sample is compared.
#[test]
fn requests_spread_over_idle_targets() {
    let mut table = target_table(2_000, 0);
    for number in 0..1_000 {
        table.record_load(
            NOW,
            &instance(number),
            TargetLoad { running: 6, waiting: 4, slowdown: None },
        );
    }
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..500 {
        let chosen = table.choose(NOW, &service(), &TargetRequirements::default(), &mut rng);
        let chosen = chosen.expect("a target");
        assert!(
            (1_000..2_000).any(|number| chosen.instance == instance(number)),
            "a busy target was chosen"
        );
    }
    let busiest = (1_000..2_000).map(|number| table.local_in_flight(&instance(number))).max();
    assert!(busiest <= Some(3), "{busiest:?} requests at one of a thousand idle targets");
}

/// Guards against opening a new connection, to another target, for each occasional request.
#[test]
fn sequential_requests_reuse_the_connected_target() {
    let used_targets = |targets: usize| {
        let mut table = target_table(targets, 0);
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut used_targets = std::collections::HashSet::new();
        for turn in 0..200 {
            let now = NOW + Duration::from_secs(turn);
            let chosen = table.choose(now, &service(), &TargetRequirements::default(), &mut rng);
            let instance = chosen.expect("a target").instance;
            table.ended(&instance);
            table.succeeded(now, &instance);
            used_targets.insert(instance);
        }
        used_targets.len()
    };
    assert_eq!((used_targets(600), used_targets(6_000)), (1, 1));
}

/// A target whose connection is in use has no advantage.
#[test]
fn concurrent_requests_spread_over_targets() {
    let mut table = target_table(2_000, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    table.succeeded(NOW, &instance(5));
    let chosen: std::collections::HashSet<InstanceId> = (0..100)
        .filter_map(|_| table.choose(NOW, &service(), &TargetRequirements::default(), &mut rng))
        .map(|chosen| chosen.instance)
        .collect();
    assert!(chosen.len() > 90, "{} targets", chosen.len());
}
