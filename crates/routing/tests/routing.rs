//! Which route a request has, and which target it gets.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{Generation, InstanceId, ModelName, ModelVersion, Moment, ServiceName, StartTime};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{
    CallerLimits, HeldModel, NoTargetReason, Route, RouteKind, RouteTable, TargetFailure,
    TargetLoad, TargetRecord, TargetRequirements, TargetTable, WeightedService,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.parse().expect("an id"),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: None,
        goal: None,
        attempts: 2,
        backends: vec![
            WeightedService { service: service("a"), weight: 90 },
            WeightedService { service: service("b"), weight: 10 },
        ],
        max_wait: None,
        single_version: false,
        public: false,
    }
}

fn service(name: &str) -> ServiceName {
    name.parse().expect("an id")
}

fn instance(name: &str) -> InstanceId {
    name.parse().expect("an id")
}

fn model() -> ModelName {
    "m".parse().expect("an id")
}

fn target(name: &str, domain: &str, version: u64) -> TargetRecord {
    TargetRecord {
        instance: instance(name),
        born: StartTime::default(),
        software: None,
        service: service("a"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: domain.parse().expect("an id"),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        models: vec![HeldModel { model: model(), version: ModelVersion::new(version) }],
    }
}

fn board(targets: &[TargetRecord]) -> TargetTable {
    let mut board = TargetTable::new("home".parse().expect("an id"));
    for target in targets {
        board.put(NOW, target.clone());
    }
    board
}

fn choose(board: &mut TargetTable, now: Moment, need: &TargetRequirements<'_>) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    board.choose(now, &service("a"), need, &mut rng).map(|slot| slot.instance.to_string())
}

const NOW: Moment = Moment::START;

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "one.example", "/a/"),
        route("long", "one.example", "/a/b/"),
        route("other", "two.example", "/a/b/"),
    ];
    let table = RouteTable::new(Generation::new(1), CallerLimits::default(), routes, Vec::new());
    let found = |host, path| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(found("one.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(found("one.example", "/a/c?x=/a/b/").as_deref(), Some("short"));
    assert_eq!(found("TWO.example", "/a/b/").as_deref(), Some("other"));
    assert_eq!(found("one.example", "/b/"), None);
    assert_eq!(found("three.example", "/a/"), None);
}

#[test]
fn services_get_their_share() {
    let route = route("r", "h", "/");
    let mut first = 0;
    for point in 0..1_000_u32 {
        let random = point * (u32::MAX / 1_000);
        first += u32::from(route.service(random) == Some(&service("a")));
    }
    assert!((890..=910).contains(&first), "{first}");
}

#[test]
fn leaving_gone_and_loading_targets_get_nothing() {
    let mut leaving = target("leaving", "home", 1);
    leaving.leaving = true;
    let mut board = board(&[leaving, target("gone", "home", 1), target("loading", "home", 1)]);
    board.failed(NOW, &instance("gone"), TargetFailure::Gone);
    board.loading(&instance("loading"), NOW + Duration::from_secs(1));
    assert_eq!(choose(&mut board, NOW, &TargetRequirements::default()), None);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(
        choose(&mut board, later, &TargetRequirements::default()).as_deref(),
        Some("loading")
    );
}

#[test]
fn only_versions_new_enough_are_chosen_and_none_is_taken_back() {
    let mut board = board(&[target("old", "home", 3)]);
    let name = model();
    let need = |version| TargetRequirements {
        model: Some((&name, ModelVersion::new(version))),
        ..TargetRequirements::default()
    };
    assert_eq!(choose(&mut board, NOW, &need(4)), None);
    board.record_version(&instance("old"), &name, ModelVersion::new(4));
    // The platform's list lags behind what an answer told.
    board.put(NOW, target("old", "home", 3));
    assert_eq!(choose(&mut board, NOW, &need(4)).as_deref(), Some("old"));
}

#[test]
fn slots_taken_by_others_count_for_a_while() {
    let mut board = board(&[target("t", "home", 1)]);
    let need = TargetRequirements { free_slot: true, ..TargetRequirements::default() };
    board.record_load(NOW, &instance("t"), TargetLoad { running: 4, waiting: 0 });
    assert_eq!(choose(&mut board, NOW, &need), None);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(choose(&mut board, later, &need).as_deref(), Some("t"));
}

#[test]
fn the_own_domain_is_preferred_until_it_is_busier() {
    let mut board = board(&[target("near", "home", 1), target("far", "away", 1)]);
    let chosen: Vec<Option<String>> =
        (0..4).map(|_| choose(&mut board, NOW, &TargetRequirements::default())).collect();
    assert_eq!(chosen[0].as_deref(), Some("near"));
    assert!(chosen.iter().any(|name| name.as_deref() == Some("far")));
}

#[test]
fn slow_targets_get_less() {
    let mut board = board(&[target("fast", "home", 1), target("slow", "home", 1)]);
    board.record_unit_time(&instance("fast"), Duration::from_millis(40));
    board.record_unit_time(&instance("slow"), Duration::from_millis(160));
    let mut fast = 0;
    for _ in 0..4 {
        fast += u32::from(
            choose(&mut board, NOW, &TargetRequirements::default()).as_deref() == Some("fast"),
        );
    }
    assert!(fast >= 3, "{fast}");
}

#[test]
fn where_a_fast_target_is_wanted_it_may_be_far_and_busier() {
    let mut board = board(&[target("near", "home", 1), target("fast", "away", 1)]);
    board.record_unit_time(&instance("near"), Duration::from_millis(52));
    board.record_unit_time(&instance("fast"), Duration::from_millis(40));
    let need = TargetRequirements { fast: true, ..TargetRequirements::default() };
    for _ in 0..3 {
        assert_eq!(choose(&mut board, NOW, &need).as_deref(), Some("fast"));
    }
}

#[test]
fn resting_targets_are_the_last_resort() {
    let mut board = board(&[target("broken", "home", 1), target("well", "away", 1)]);
    board.failed(NOW, &instance("broken"), TargetFailure::Broken);
    assert_eq!(choose(&mut board, NOW, &TargetRequirements::default()).as_deref(), Some("well"));
    let avoid = [instance("well")];
    let need = TargetRequirements { avoid: &avoid, ..TargetRequirements::default() };
    assert_eq!(choose(&mut board, NOW, &need).as_deref(), Some("broken"));
}

#[test]
fn a_run_moves_only_to_a_faster_target_with_a_free_slot() {
    let mut board = board(&[target("slow", "home", 1), target("fast", "home", 1)]);
    let pace = Duration::from_millis(160);
    let need = TargetRequirements { free_slot: true, ..TargetRequirements::default() };
    let moves = |board: &TargetTable| {
        board.has_faster(
            NOW,
            &instance("slow"),
            pace.div_f64(1.8),
            &need,
            &mut ChaCha8Rng::seed_from_u64(1),
        )
    };
    assert!(!moves(&board), "its pace is not known");
    board.record_unit_time(&instance("fast"), Duration::from_millis(40));
    assert!(moves(&board));
    board.record_load(NOW, &instance("fast"), TargetLoad { running: 4, waiting: 0 });
    assert!(!moves(&board));
}

#[test]
fn a_full_target_rests_longer_after_each_refusal_in_a_row() {
    let mut board = board(&[target("t", "home", 1)]);
    let well = [instance("t")];
    let fits = |board: &TargetTable, now: Moment| board.is_backed_off(now, &well[0]);
    let mut now = NOW;
    let mut rests = Vec::new();
    for _ in 0..4 {
        board.failed(now, &well[0], TargetFailure::Full);
        // Others of the same burst say nothing new.
        board.failed(now, &well[0], TargetFailure::Full);
        let begun = now;
        while fits(&board, now) {
            now = now + Duration::from_millis(10);
        }
        rests.push(now.since(begun).as_millis());
    }
    assert_eq!(rests, [60, 120, 240, 480]);
    board.succeeded(NOW, &well[0]);
    board.failed(now, &well[0], TargetFailure::Full);
    assert!(!fits(&board, now + Duration::from_millis(60)));
}

#[test]
fn a_shortage_is_told_by_what_the_best_target_lacks() {
    let now = Moment::START + Duration::from_secs(1);
    let model = model();
    let need = TargetRequirements {
        model: Some((&model, ModelVersion::new(3))),
        free_slot: true,
        ..TargetRequirements::default()
    };
    let mut board = board(&[target("old", "home", 2), target("new", "home", 3)]);
    let told = |board: &TargetTable| {
        board.no_target_reason(now, &service("a"), &need, &mut ChaCha8Rng::seed_from_u64(1))
    };
    for _ in 0..4 {
        assert_eq!(choose(&mut board, now, &need), Some("new".to_owned()));
    }
    assert_eq!(choose(&mut board, now, &need), None);
    assert_eq!(told(&board), NoTargetReason::Full);
    board.failed(now, &instance("new"), TargetFailure::Broken);
    assert_eq!(told(&board), NoTargetReason::BackedOff);
    board.loading(&instance("new"), now + Duration::from_secs(1));
    assert_eq!(told(&board), NoTargetReason::Loading);
    board.remove(&instance("new"));
    assert_eq!(told(&board), NoTargetReason::OldVersion);
}

#[test]
fn a_new_life_under_an_old_id_begins_anew() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut board = board(&[target("i-1", "home", 5)]);
    let now = Moment::START;
    let need = TargetRequirements::default();
    board.choose(now, &service("a"), &need, &mut rng).expect("a target");
    board.failed(now, &instance("i-1"), TargetFailure::Gone);
    assert!(!board.stays(&instance("i-1")));
    let born = StartTime::new(7);
    board.put(NOW, TargetRecord { born, ..target("i-1", "home", 1) });
    assert!(board.stays(&instance("i-1")));
    assert_eq!(board.local_in_flight(&instance("i-1")), 0);
    let record = board.record(&instance("i-1")).expect("listed");
    assert_eq!(record.models[0].version, ModelVersion::new(1), "it knows nothing of before");
    let slot = board.choose(now, &service("a"), &need, &mut rng).expect("a target");
    assert_eq!(slot.born, born);
    assert_eq!(board.of_service(&service("a")).count(), 1);
}
