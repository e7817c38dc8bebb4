//! Route lookup and target choice.

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
        name: name.parse().expect("valid id"),
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
        due: None,
        single_version: false,
        public: false,
        priority: routing::DEFAULT_PRIORITY,
        regions: routing::RegionScope::Any,
    }
}

fn service(name: &str) -> ServiceName {
    name.parse().expect("valid id")
}

fn instance(name: &str) -> InstanceId {
    name.parse().expect("valid id")
}

fn model() -> ModelName {
    "m".parse().expect("valid id")
}

fn target(name: &str, domain: &str, version: u64) -> TargetRecord {
    TargetRecord {
        instance: instance(name),
        born: StartTime::default(),
        software: None,
        service: service("a"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: domain.parse().expect("valid id"),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        models: vec![HeldModel { model: model(), version: ModelVersion::new(version) }],
    }
}

fn target_table(targets: &[TargetRecord]) -> TargetTable {
    let mut table = TargetTable::new("home".parse().expect("valid id"));
    for target in targets {
        table.put(NOW, target.clone());
    }
    table
}

fn choose(
    table: &mut TargetTable,
    now: Moment,
    requirements: &TargetRequirements<'_>,
) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    table
        .choose(now, &service("a"), requirements, &mut rng)
        .map(|chosen| chosen.instance.to_string())
}

const NOW: Moment = Moment::START;

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "one.example", "/a/"),
        route("long", "one.example", "/a/b/"),
        route("other", "two.example", "/a/b/"),
    ];
    let table = RouteTable::new(Generation::new(1), CallerLimits::default(), routes, Vec::new());
    let find = |host, path| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(find("one.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(find("one.example", "/a/c?x=/a/b/").as_deref(), Some("short"));
    assert_eq!(find("TWO.example", "/a/b/").as_deref(), Some("other"));
    assert_eq!(find("one.example", "/b/"), None);
    assert_eq!(find("three.example", "/a/"), None);
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("r", "h", "/");
    let mut first = 0;
    for point in 0..1_000_u32 {
        let random = point * (u32::MAX / 1_000);
        first += u32::from(route.service(random) == Some(&service("a")));
    }
    assert!((890..=910).contains(&first), "{first}");
}

#[test]
fn leaving_gone_and_loading_targets_are_not_chosen() {
    let mut leaving = target("leaving", "home", 1);
    leaving.leaving = true;
    let mut table =
        target_table(&[leaving, target("gone", "home", 1), target("loading", "home", 1)]);
    table.failed(NOW, &instance("gone"), TargetFailure::Gone);
    table.loading(&instance("loading"), NOW + Duration::from_secs(1));
    assert_eq!(choose(&mut table, NOW, &TargetRequirements::default()), None);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(
        choose(&mut table, later, &TargetRequirements::default()).as_deref(),
        Some("loading")
    );
}

#[test]
fn minimum_version_is_respected_and_versions_never_decrease() {
    let mut table = target_table(&[target("old", "home", 3)]);
    let name = model();
    let requirements = |version| TargetRequirements {
        model: Some((&name, ModelVersion::new(version))),
        ..TargetRequirements::default()
    };
    assert_eq!(choose(&mut table, NOW, &requirements(4)), None);
    table.record_version(&instance("old"), &name, ModelVersion::new(4));
    // The platform's listing still shows the old version.
    table.put(NOW, target("old", "home", 3));
    assert_eq!(choose(&mut table, NOW, &requirements(4)).as_deref(), Some("old"));
}

#[test]
fn reported_load_occupies_slots_until_it_expires() {
    let mut table = target_table(&[target("t", "home", 1)]);
    let requirements = TargetRequirements { free_slot: true, ..TargetRequirements::default() };
    table.record_load(NOW, &instance("t"), TargetLoad { running: 4, waiting: 0, slowdown: None });
    assert_eq!(choose(&mut table, NOW, &requirements), None);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(choose(&mut table, later, &requirements).as_deref(), Some("t"));
}

#[test]
fn local_domain_is_preferred_until_it_is_busier() {
    let mut table = target_table(&[target("near", "home", 1), target("far", "away", 1)]);
    let chosen: Vec<Option<String>> =
        (0..4).map(|_| choose(&mut table, NOW, &TargetRequirements::default())).collect();
    assert_eq!(chosen[0].as_deref(), Some("near"));
    assert!(chosen.iter().any(|name| name.as_deref() == Some("far")));
}

#[test]
fn slow_targets_get_fewer_requests() {
    let mut table = target_table(&[target("fast", "home", 1), target("slow", "home", 1)]);
    table.record_unit_time(NOW, &instance("fast"), Duration::from_millis(40));
    table.record_unit_time(NOW, &instance("slow"), Duration::from_millis(160));
    let mut fast = 0;
    for _ in 0..4 {
        fast += u32::from(
            choose(&mut table, NOW, &TargetRequirements::default()).as_deref() == Some("fast"),
        );
    }
    assert!(fast >= 3, "{fast}");
}

#[test]
fn fast_requests_prefer_speed_over_domain_and_load() {
    let mut table = target_table(&[target("near", "home", 1), target("fast", "away", 1)]);
    table.record_unit_time(NOW, &instance("near"), Duration::from_millis(52));
    table.record_unit_time(NOW, &instance("fast"), Duration::from_millis(40));
    let requirements = TargetRequirements { fast: true, ..TargetRequirements::default() };
    for _ in 0..3 {
        assert_eq!(choose(&mut table, NOW, &requirements).as_deref(), Some("fast"));
    }
}

#[test]
fn backed_off_targets_are_chosen_last() {
    let mut table = target_table(&[target("broken", "home", 1), target("well", "away", 1)]);
    table.failed(NOW, &instance("broken"), TargetFailure::Broken);
    assert_eq!(choose(&mut table, NOW, &TargetRequirements::default()).as_deref(), Some("well"));
    let avoid = [instance("well")];
    let requirements = TargetRequirements { avoid: &avoid, ..TargetRequirements::default() };
    assert_eq!(choose(&mut table, NOW, &requirements).as_deref(), Some("broken"));
}

#[test]
fn runs_move_only_to_faster_targets_with_free_slots() {
    let mut table = target_table(&[target("slow", "home", 1), target("fast", "home", 1)]);
    let unit_time = Duration::from_millis(160);
    let requirements = TargetRequirements { free_slot: true, ..TargetRequirements::default() };
    let should_move = |table: &TargetTable| {
        table.has_faster(
            NOW,
            &instance("slow"),
            unit_time.div_f64(1.8),
            &requirements,
            &mut ChaCha8Rng::seed_from_u64(1),
        )
    };
    assert!(!should_move(&table), "its unit time is unknown");
    table.record_unit_time(NOW, &instance("fast"), Duration::from_millis(40));
    assert!(should_move(&table));
    table.record_load(
        NOW,
        &instance("fast"),
        TargetLoad { running: 4, waiting: 0, slowdown: None },
    );
    assert!(!should_move(&table));
}

#[test]
fn backoff_doubles_with_consecutive_refusals() {
    let mut table = target_table(&[target("t", "home", 1)]);
    let instances = [instance("t")];
    let is_backed_off = |table: &TargetTable, now: Moment| table.is_backed_off(now, &instances[0]);
    let mut now = NOW;
    let mut backoffs = Vec::new();
    for _ in 0..4 {
        table.failed(now, &instances[0], TargetFailure::Full);
        // Further refusals of the same burst are not counted.
        table.failed(now, &instances[0], TargetFailure::Full);
        let started = now;
        while is_backed_off(&table, now) {
            now = now + Duration::from_millis(10);
        }
        backoffs.push(now.since(started).as_millis());
    }
    assert_eq!(backoffs, [60, 120, 240, 480]);
    table.succeeded(NOW, &instances[0]);
    table.failed(now, &instances[0], TargetFailure::Full);
    assert!(!is_backed_off(&table, now + Duration::from_millis(60)));
}

#[test]
fn reason_names_what_the_best_target_lacks() {
    let now = Moment::START + Duration::from_secs(1);
    let model = model();
    let requirements = TargetRequirements {
        model: Some((&model, ModelVersion::new(3))),
        free_slot: true,
        ..TargetRequirements::default()
    };
    let mut table = target_table(&[target("old", "home", 2), target("new", "home", 3)]);
    let reason = |table: &TargetTable| {
        table.no_target_reason(now, &service("a"), &requirements, &mut ChaCha8Rng::seed_from_u64(1))
    };
    for _ in 0..4 {
        assert_eq!(choose(&mut table, now, &requirements), Some("new".to_owned()));
    }
    assert_eq!(choose(&mut table, now, &requirements), None);
    assert_eq!(reason(&table), NoTargetReason::Full);
    table.failed(now, &instance("new"), TargetFailure::Broken);
    assert_eq!(reason(&table), NoTargetReason::BackedOff);
    table.loading(&instance("new"), now + Duration::from_secs(1));
    assert_eq!(reason(&table), NoTargetReason::Loading);
    table.remove(&instance("new"));
    assert_eq!(reason(&table), NoTargetReason::OldVersion);
}

#[test]
fn new_incarnation_starts_with_fresh_state() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = target_table(&[target("i-1", "home", 5)]);
    let now = Moment::START;
    let requirements = TargetRequirements::default();
    table.choose(now, &service("a"), &requirements, &mut rng).expect("a target");
    table.failed(now, &instance("i-1"), TargetFailure::Gone);
    assert!(!table.stays(&instance("i-1")));
    let born = StartTime::new(7);
    table.put(NOW, TargetRecord { born, ..target("i-1", "home", 1) });
    assert!(table.stays(&instance("i-1")));
    assert_eq!(table.local_in_flight(&instance("i-1")), 0);
    let record = table.record(&instance("i-1")).expect("listed");
    assert_eq!(
        record.models[0].version,
        ModelVersion::new(1),
        "models of the previous incarnation are dropped"
    );
    let chosen = table.choose(now, &service("a"), &requirements, &mut rng).expect("a target");
    assert_eq!(chosen.born, born);
    assert_eq!(table.of_service(&service("a")).count(), 1);
}
