//! Rate limits of cold targets and evacuation of failure domains.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbtest;
use ids::{InstanceId, Moment, ServiceName, ShardIndex, StartTime};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{
    ColdBound, ColdLimit, ColdSender, ColdSpec, NoTargetReason, TargetFailure, TargetRecord,
    TargetRequirements, TargetTable,
};

const SECOND: Duration = Duration::from_secs(1);
const COLD_TIME: Duration = Duration::from_secs(3);

fn service() -> ServiceName {
    "lm".parse().expect("valid id")
}

fn instance(name: &str) -> InstanceId {
    name.parse().expect("valid id")
}

fn limit(per_second: f64) -> ColdLimit {
    let spec = ColdSpec { time: COLD_TIME, per_second };
    ColdLimit::new(&spec, ColdBound { excess: 1.5, slack: 5.0 })
}

fn target(name: &str, domain: &str, cold_left: Duration) -> TargetRecord {
    TargetRecord {
        instance: instance(name),
        born: StartTime::default(),
        software: None,
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: domain.parse().expect("valid id"),
        slots: 1_000,
        leaving: false,
        cold_left,
        models: Vec::new(),
    }
}

fn target_table(targets: &[TargetRecord]) -> TargetTable {
    let mut table = TargetTable::new("home".parse().expect("valid id"));
    table.limit_cold(HashMap::from([(service(), limit(11.0))]));
    for target in targets {
        table.put(Moment::START, target.clone());
    }
    table
}

fn sender(shard: u32, shards: u32) -> ColdSender {
    ColdSender { shard: ShardIndex::new(shard), shards }
}

fn send(table: &mut TargetTable, now: Moment, sender: Option<ColdSender>) -> Option<String> {
    let requirements = TargetRequirements { sender, ..TargetRequirements::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    table.choose(now, &service(), &requirements, &mut rng).map(|chosen| chosen.instance.to_string())
}

fn burst_size(table: &mut TargetTable, now: Moment, sender: ColdSender) -> usize {
    (0..100).take_while(|_| send(table, now, Some(sender)).is_some()).count()
}

fn no_target_reason(table: &TargetTable, now: Moment) -> NoTargetReason {
    let requirements =
        TargetRequirements { sender: Some(sender(0, 1)), ..TargetRequirements::default() };
    table.no_target_reason(now, &service(), &requirements, &mut ChaCha8Rng::seed_from_u64(1))
}

/// Guards against overload of engines that start together: without a limit they get all queued work
/// in their first second.
#[test]
fn cold_target_is_rate_limited_until_it_is_warm() {
    let mut table = target_table(&[target("i-1", "home", COLD_TIME)]);
    let first = burst_size(&mut table, Moment::START, sender(0, 1));
    assert_eq!(
        first, 10,
        "half of the limit of 21: the previous server of the shard may still send"
    );
    assert_eq!(no_target_reason(&table, Moment::START), NoTargetReason::Cold);
    assert_eq!(send(&mut table, Moment::START + SECOND, Some(sender(0, 1))), None);
    let later = Moment::START + SECOND + SECOND / 2;
    assert_eq!(burst_size(&mut table, later, sender(0, 1)), 10);
    assert_eq!(burst_size(&mut table, Moment::START + COLD_TIME, sender(0, 1)), 100);
}

#[test]
fn sender_without_quota_uses_warm_targets_only() {
    let mut table = target_table(&[target("i-1", "home", COLD_TIME)]);
    assert_eq!(send(&mut table, Moment::START, None), None);
    table.put(Moment::START, target("i-2", "away", Duration::ZERO));
    assert_eq!(send(&mut table, Moment::START, None).as_deref(), Some("i-2"));
}

/// The limit holds for any number of shards, even with two servers per shard, and every target with
/// a limit of at least two gets some requests.
#[test]
fn all_senders_together_keep_the_cold_limit() {
    arbtest(|u| {
        let shards = u.int_in_range(1..=40_u32)?;
        let limit = limit(f64::from(u.int_in_range(0..=60_u32)?));
        let target = instance(&format!("i-{}", u.int_in_range(0..=1_000_u32)?));
        let quotas = (0..shards).map(|shard| limit.quota(&target, sender(shard, shards)));
        let total: u32 = quotas.sum();
        assert!(2 * total <= limit.max_per_second, "{total} of {limit:?} with {shards} shards");
        assert!(total > 0 || limit.max_per_second < 2);
        Ok(())
    });
}

/// A broken target may have restarted, which the listing shows only later.
#[test]
fn broken_target_counts_as_cold() {
    let mut table = target_table(&[target("i-1", "home", Duration::ZERO)]);
    table.failed(Moment::START, &instance("i-1"), TargetFailure::Broken);
    let after_backoff = Moment::START + SECOND;
    assert_eq!(burst_size(&mut table, after_backoff, sender(0, 1)), 10);
}

#[test]
fn target_that_turns_cold_again_is_limited_again() {
    let mut table = target_table(&[target("i-1", "home", Duration::ZERO)]);
    assert!(burst_size(&mut table, Moment::START, sender(0, 1)) > 20);
    table.put(Moment::START, target("i-1", "home", SECOND));
    assert_eq!(send(&mut table, Moment::START, Some(sender(0, 1))), None, "its quota is used up");
}

#[test]
fn evacuated_domain_gets_no_requests() {
    let away = "away".parse().expect("valid id");
    let home = "home".parse().expect("valid id");
    let mut table = target_table(&[
        target("i-1", "home", Duration::ZERO),
        target("i-2", "away", Duration::ZERO),
    ]);
    assert!(table.evacuate(Moment::START, &home, true));
    assert!(!table.evacuate(Moment::START, &home, true), "nothing changed");
    for _ in 0..20 {
        let chosen = send(&mut table, Moment::START, Some(sender(0, 1)));
        assert_eq!(chosen.as_deref(), Some("i-2"));
    }
    // Targets added during the evacuation get no requests either.
    table.put(Moment::START, target("i-3", "home", Duration::ZERO));
    assert!(table.evacuate(Moment::START, &away, true));
    assert_eq!(send(&mut table, Moment::START, Some(sender(0, 1))), None);
    assert_eq!(no_target_reason(&table, Moment::START), NoTargetReason::Evacuated);
}

/// The domain's targets may have cooled down during the evacuation and must not get all work at
/// once.
#[test]
fn targets_are_cold_after_an_evacuation_ends() {
    let home = "home".parse().expect("valid id");
    let mut table = target_table(&[target("i-1", "home", Duration::ZERO)]);
    assert!(table.evacuate(Moment::START, &home, true));
    let restored = Moment::START + 10 * SECOND;
    assert!(table.evacuate(restored, &home, false));
    assert!(!table.evacuate(restored, &home, false), "nothing changed");
    assert_eq!(burst_size(&mut table, restored, sender(0, 1)), 10);
    assert!(burst_size(&mut table, restored + COLD_TIME, sender(0, 1)) > 20);
}
