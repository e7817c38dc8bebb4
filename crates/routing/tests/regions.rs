//! Regions restrict the targets of a request.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{InstanceId, ModelVersion, Moment, ServiceName, StartTime};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{
    ColdBound, ColdLimit, ColdSpec, HeldModel, MAX_CANDIDATES, NoTargetReason, RegionMap,
    RegionScope, TargetFailure, TargetRecord, TargetRequirements, TargetTable,
};

const NOW: Moment = Moment::START;

fn map() -> RegionMap {
    let text = r#"{"kol-a":"kolkata","kol-b":"kolkata","dgp-a":"durgapur"}"#;
    text.parse().expect("a region map")
}

fn only(names: &[&str]) -> RegionScope {
    RegionScope::Only(names.iter().map(|name| name.parse().expect("a region")).collect())
}

fn service() -> ServiceName {
    "complete".parse().expect("a service")
}

fn record(name: &str, domain: &str) -> TargetRecord {
    TargetRecord {
        instance: name.parse().expect("an id"),
        born: StartTime::new(1),
        software: None,
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        domain: domain.parse().expect("a domain"),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        models: Vec::new(),
    }
}

/// A table of a box in `kol-a` with these targets, each with its domain.
fn table(targets: &[(&str, &str)]) -> TargetTable {
    let mut table = TargetTable::new("kol-a".parse().expect("a domain")).with_regions(map());
    for (name, domain) in targets {
        table.put(NOW, record(name, domain));
    }
    table
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

fn choose(table: &mut TargetTable, scope: &RegionScope) -> Option<InstanceId> {
    let requirements = TargetRequirements { regions: Some(scope), ..TargetRequirements::default() };
    let chosen = table.choose(NOW, &service(), &requirements, &mut rng())?;
    table.ended(&chosen.instance);
    Some(chosen.instance)
}

fn reason(table: &TargetTable, scope: &RegionScope) -> NoTargetReason {
    let requirements = TargetRequirements { regions: Some(scope), ..TargetRequirements::default() };
    table.no_target_reason(NOW, &service(), &requirements, &mut rng())
}

/// Guards against a template without regions that stops a box from starting, and against a region
/// map that is accepted although a part of it is not understood.
#[test]
fn region_maps_are_parsed_completely_or_not_at_all() {
    for empty in ["", " ", "null", "{}"] {
        let map: RegionMap = empty.parse().expect("no regions");
        assert!(map.is_empty(), "{empty:?}");
    }
    let domain = "dgp-a".parse().expect("a domain");
    assert_eq!(map().region_of(&domain).map(ToString::to_string).as_deref(), Some("durgapur"));
    let regions: Vec<String> = map().regions().iter().map(ToString::to_string).collect();
    assert_eq!(regions, ["durgapur", "kolkata"]);
    for invalid in ["kolkata", "[]", r#"{"kol-a":1}"#, r#"{"kol-a":"two words"}"#] {
        assert!(invalid.parse::<RegionMap>().is_err(), "{invalid}");
    }
}

/// Guards against a scope that allows more than both of its sources.
#[test]
fn an_intersection_allows_what_both_scopes_allow() {
    let (kolkata, durgapur) = (only(&["kolkata"]), only(&["durgapur"]));
    let both = only(&["kolkata", "durgapur"]);
    assert_eq!(RegionScope::Any.intersect(&kolkata), kolkata);
    assert_eq!(kolkata.intersect(&RegionScope::Any), kolkata);
    assert_eq!(both.intersect(&durgapur), durgapur);
    assert_eq!(kolkata.intersect(&durgapur), only(&[]));
    assert_eq!(kolkata.intersect(&durgapur).intersect(&RegionScope::Any), only(&[]));
    assert_eq!(RegionScope::Any.to_string(), "any");
    assert_eq!(only(&[]).to_string(), "none");
    assert_eq!(both.to_string(), "durgapur,kolkata");
}

/// Guards against a restricted request at a target of another region, of an unknown region, or of a
/// domain without a region.
#[test]
fn a_target_outside_of_the_scope_is_never_chosen() {
    let mut table = table(&[("near", "kol-a"), ("far", "dgp-a"), ("stray", "elsewhere")]);
    for _ in 0..50 {
        let chosen = choose(&mut table, &only(&["durgapur"]));
        assert_eq!(chosen.as_ref().map(InstanceId::as_str), Some("far"));
    }
    assert_eq!(choose(&mut table, &only(&["unheard-of"])), None);
    assert_eq!(reason(&table, &only(&["unheard-of"])), NoTargetReason::OutsideRegions);
    assert_eq!(choose(&mut table, &only(&[])), None);
    assert_eq!(reason(&table, &only(&[])), NoTargetReason::OutsideRegions);
    table.remove(&"far".parse().expect("an id"));
    assert_eq!(choose(&mut table, &only(&["durgapur"])), None);
    assert_eq!(reason(&table, &only(&["durgapur"])), NoTargetReason::OutsideRegions);
    assert!(choose(&mut table, &RegionScope::Any).is_some());
}

/// Guards against a box without a region map that treats restricted requests as unrestricted.
#[test]
fn without_regions_a_restricted_request_has_no_target() {
    let mut table = TargetTable::new("kol-a".parse().expect("a domain"));
    table.put(NOW, record("near", "kol-a"));
    assert_eq!(choose(&mut table, &only(&["kolkata"])), None);
    assert!(choose(&mut table, &RegionScope::Any).is_some());
}

/// Guards against requests that leave their region when it is evacuated, cold or broken.
#[test]
fn a_region_that_cannot_serve_is_not_replaced_by_another() {
    let scope = only(&["durgapur"]);
    let mut table = table(&[("near", "kol-a"), ("far", "dgp-a")]);
    let domain = "dgp-a".parse().expect("a domain");
    table.evacuate(NOW, &domain, true);
    assert_eq!(choose(&mut table, &scope), None);
    assert_eq!(reason(&table, &scope), NoTargetReason::Evacuated);
    table.evacuate(NOW, &domain, false);
    let spec = ColdSpec { time: Duration::from_secs(5), per_second: 0.5 };
    let limit = ColdLimit::new(&spec, ColdBound::default());
    table.limit_cold([(service(), limit)].into());
    let far = "far".parse().expect("an id");
    table.failed(NOW, &far, TargetFailure::Broken);
    assert_eq!(choose(&mut table, &scope), None);
    assert_eq!(reason(&table, &scope), NoTargetReason::BackedOff);
}

/// Guards against a refusal of a restricted request in a large service because the sampled targets
/// are all in other regions.
#[test]
fn a_single_target_of_a_small_region_is_found_in_a_large_service() {
    let model = "small".parse().expect("a model");
    let held = vec![HeldModel { model, version: ModelVersion::new(3) }];
    let mut table = table(&[]);
    for index in 0..MAX_CANDIDATES * 20 {
        let listed = record(&format!("near-{index}"), "kol-a");
        table.put(NOW, TargetRecord { models: held.clone(), ..listed });
    }
    table.put(NOW, TargetRecord { models: held.clone(), ..record("far", "dgp-a") });
    let scope = only(&["durgapur"]);
    for _ in 0..20 {
        let chosen = choose(&mut table, &scope);
        assert_eq!(chosen.as_ref().map(InstanceId::as_str), Some("far"));
    }
    let newer = TargetRequirements {
        model: Some((&held[0].model, ModelVersion::new(4))),
        regions: Some(&scope),
        ..TargetRequirements::default()
    };
    assert_eq!(
        table.no_target_reason(NOW, &service(), &newer, &mut rng()),
        NoTargetReason::OldVersion
    );
}

/// Guards against a listing that moves a target to another region but leaves it among the
/// candidates of its earlier one.
#[test]
fn a_target_listed_in_another_domain_leaves_its_region() {
    let mut table = table(&[("only", "kol-a")]);
    table.put(NOW, record("only", "dgp-a"));
    assert_eq!(choose(&mut table, &only(&["kolkata"])), None);
    assert!(choose(&mut table, &only(&["durgapur"])).is_some());
    table.remove(&"only".parse().expect("an id"));
    assert_eq!(choose(&mut table, &only(&["durgapur"])), None);
}

/// Guards against a permit from a box with an older configuration that leads out of the regions.
#[test]
fn a_granted_target_outside_of_the_scope_is_not_used() {
    let mut table = table(&[("near", "kol-a"), ("far", "dgp-a")]);
    let (near, scope) = ("near".parse().expect("an id"), only(&["durgapur"]));
    assert_eq!(table.acquire(NOW, &near, &scope), None);
    assert!(table.acquire(NOW, &near, &RegionScope::Any).is_some());
    let available = table.available(NOW, &service(), &scope);
    assert_eq!(available.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(), ["far"]);
}

/// Guards against restricted requests that each wait for a connection timeout while their regions
/// are cut off, and against requests without a restriction that are refused for it.
#[test]
fn unreachable_targets_are_skipped_by_restricted_requests_only() {
    let mut table = table(&[("far", "dgp-a")]);
    let (far, scope) = ("far".parse().expect("an id"), only(&["durgapur"]));
    table.failed(NOW, &far, TargetFailure::Broken);
    assert!(choose(&mut table, &scope).is_some(), "a broken connection may be the only one");
    table.failed(NOW, &far, TargetFailure::Unreachable);
    assert_eq!(choose(&mut table, &scope), None);
    assert_eq!(reason(&table, &scope), NoTargetReason::BackedOff);
    assert!(choose(&mut table, &RegionScope::Any).is_some());
    table.succeeded(NOW, &far);
    assert!(choose(&mut table, &scope).is_some());
}

/// Number of requests at each target after `count` choices without an end, in order of the targets.
fn spread(table: &mut TargetTable, names: &[&str], fast: bool, count: usize) -> Vec<usize> {
    let mut rng = rng();
    let requirements = TargetRequirements { fast, ..TargetRequirements::default() };
    let chosen: Vec<InstanceId> = (0..count)
        .filter_map(|_| table.choose(NOW, &service(), &requirements, &mut rng))
        .map(|chosen| chosen.instance)
        .collect();
    names.iter().map(|name| chosen.iter().filter(|id| id.as_str() == *name).count()).collect()
}

/// Guards against traffic between regions while the near one has free slots, and against a near
/// region that is overloaded while the other is idle.
#[test]
fn another_region_gets_requests_once_the_near_one_is_full() {
    let names = ["near-a", "near-b", "far"];
    let listed = [("near-a", "kol-a"), ("near-b", "kol-b"), ("far", "dgp-a")];
    // Each has four slots. The domain of the box costs less than the other one of its region.
    assert_eq!(spread(&mut table(&listed), &names, false, 6)[2], 0);
    let overloaded = spread(&mut table(&listed), &names, false, 20);
    assert!((3..=5).contains(&overloaded[2]), "{overloaded:?}");
    // Without regions the far target is another domain like `kol-b`.
    let mut unknown = TargetTable::new("kol-a".parse().expect("a domain"));
    for (name, domain) in listed {
        unknown.put(NOW, record(name, domain));
    }
    let without = spread(&mut unknown, &names, false, 20);
    assert!(without[1].abs_diff(without[2]) <= 1, "{without:?}");
}

/// Guards against texts that go to a far engine although a near one is as fast.
#[test]
fn texts_prefer_the_near_region_among_equally_fast_engines() {
    let names = ["near", "far"];
    let listed = [("near", "kol-b"), ("far", "dgp-a")];
    assert_eq!(spread(&mut table(&listed), &names, true, 3), [3, 0]);
    let mut table = table(&listed);
    for (name, millis) in [("near", 30), ("far", 20)] {
        table.record_unit_time(NOW, &name.parse().expect("an id"), Duration::from_millis(millis));
    }
    assert_eq!(spread(&mut table, &names, true, 3), [0, 3], "a faster engine is worth it");
}
