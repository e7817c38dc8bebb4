//! A choice among thousands of targets looks at few of them.

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
    "lm".parse().expect("an id")
}

fn model() -> ModelName {
    "m".parse().expect("an id")
}

fn instance(at: usize) -> InstanceId {
    format!("i-{at}").parse().expect("an id")
}

fn target(at: usize, version: u64) -> TargetRecord {
    TargetRecord {
        instance: instance(at),
        born: StartTime::default(),
        software: None,
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: format!("domain-{}", at % 6).parse().expect("an id"),
        slots: 6,
        leaving: false,
        cold_left: Duration::ZERO,
        models: vec![HeldModel { model: model(), version: ModelVersion::new(version) }],
    }
}

/// `targets` of them, of which the first `fresh` hold the second version.
fn board(targets: usize, fresh: usize) -> TargetTable {
    let mut board = TargetTable::new("domain-0".parse().expect("an id"));
    for at in 0..targets {
        board.put(NOW, target(at, if at < fresh { 2 } else { 1 }));
    }
    board
}

/// Asks for draws of chance alone: their number shows at how many targets a choice has looked.
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

fn draws(board: &mut TargetTable, need: &TargetRequirements<'_>) -> usize {
    let mut rng = CountingRng { rng: ChaCha8Rng::seed_from_u64(7), draws: 0 };
    for _ in 0..20 {
        board.choose(NOW, &service(), need, &mut rng).expect("a target");
    }
    rng.draws
}

#[test]
fn a_choice_among_ten_times_the_targets_looks_at_no_more() {
    let model = model();
    let needs = [
        TargetRequirements::default(),
        TargetRequirements {
            model: Some((&model, ModelVersion::new(1))),
            ..TargetRequirements::default()
        },
    ];
    for need in needs {
        let small = draws(&mut board(600, 0), &need);
        let large = draws(&mut board(6_000, 0), &need);
        assert!(large <= small + small / 10, "{small} at 600 targets, {large} at 6,000");
    }
}

#[test]
fn the_few_that_hold_new_weights_are_found_among_thousands() {
    let model = model();
    let floor = ModelVersion::new(2);
    let need = TargetRequirements {
        model: Some((&model, floor)),
        free_slot: true,
        ..TargetRequirements::default()
    };
    let mut board = board(6_000, 3);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..18 {
        let slot = board.choose(NOW, &service(), &need, &mut rng).expect("a free slot");
        assert!((0..3).any(|at| slot.instance == instance(at)), "{}", slot.instance);
    }
    assert_eq!(board.choose(NOW, &service(), &need, &mut rng), None);
    assert_eq!(board.no_target_reason(NOW, &service(), &need, &mut rng), NoTargetReason::Full);
    // One more has loaded them, as an answer tells.
    board.record_version(&instance(4_000), &model, floor);
    let slot = board.choose(NOW, &service(), &need, &mut rng).expect("a free slot");
    assert_eq!(slot.instance, instance(4_000));
    board.remove(&instance(4_000));
    let newer = TargetRequirements { model: Some((&model, ModelVersion::new(3))), ..need };
    assert_eq!(
        board.no_target_reason(NOW, &service(), &newer, &mut rng),
        NoTargetReason::OldVersion
    );
}

/// The best of those that are looked at is hardly worse than the best of all.
#[test]
fn work_spreads_over_many_targets_and_keeps_off_the_busy_ones() {
    let mut board = board(2_000, 0);
    for at in 0..1_000 {
        board.record_load(NOW, &instance(at), TargetLoad { running: 6, waiting: 4 });
    }
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..500 {
        let slot = board.choose(NOW, &service(), &TargetRequirements::default(), &mut rng);
        let slot = slot.expect("a target");
        assert!((1_000..2_000).any(|at| slot.instance == instance(at)), "a busy one was chosen");
    }
    let most = (1_000..2_000).map(|at| board.local_in_flight(&instance(at))).max();
    assert!(most <= Some(3), "{most:?} requests at one of a thousand targets that are free");
}

/// A box that sends a request every few seconds opened a connection for each, at another of thousands of targets.
#[test]
fn work_comes_back_to_targets_with_an_open_connection() {
    let used = |targets: usize| {
        let mut board = board(targets, 0);
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut used = std::collections::HashSet::new();
        for turn in 0..200 {
            let now = NOW + Duration::from_secs(turn);
            let slot = board.choose(now, &service(), &TargetRequirements::default(), &mut rng);
            let instance = slot.expect("a target").instance;
            board.ended(&instance);
            board.succeeded(now, &instance);
            used.insert(instance);
        }
        used.len()
    };
    assert_eq!((used(600), used(6_000)), (1, 1));
}

/// A connection that is in use is none to come back to: work spreads as before.
#[test]
fn work_that_runs_at_one_time_spreads() {
    let mut board = board(2_000, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    board.succeeded(NOW, &instance(5));
    let chosen: std::collections::HashSet<InstanceId> = (0..100)
        .filter_map(|_| board.choose(NOW, &service(), &TargetRequirements::default(), &mut rng))
        .map(|slot| slot.instance)
        .collect();
    assert!(chosen.len() > 90, "{} targets", chosen.len());
}
