//! Targets that are cold, and failure domains that are to be emptied.

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
    "lm".parse().expect("an id")
}

fn instance(name: &str) -> InstanceId {
    name.parse().expect("an id")
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
        domain: domain.parse().expect("an id"),
        slots: 1_000,
        leaving: false,
        cold_left,
        models: Vec::new(),
    }
}

fn board(targets: &[TargetRecord]) -> TargetTable {
    let mut board = TargetTable::new("home".parse().expect("an id"));
    board.limit_cold(HashMap::from([(service(), limit(11.0))]));
    for target in targets {
        board.put(Moment::START, target.clone());
    }
    board
}

fn sender(shard: u32, shards: u32) -> ColdSender {
    ColdSender { shard: ShardIndex::new(shard), shards }
}

fn send(board: &mut TargetTable, now: Moment, sender: Option<ColdSender>) -> Option<String> {
    let need = TargetRequirements { sender, ..TargetRequirements::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    board.choose(now, &service(), &need, &mut rng).map(|slot| slot.instance.to_string())
}

fn sent_at_once(board: &mut TargetTable, now: Moment, from: ColdSender) -> usize {
    (0..100).take_while(|_| send(board, now, Some(from)).is_some()).count()
}

fn shortage(board: &TargetTable, now: Moment) -> NoTargetReason {
    let need = TargetRequirements { sender: Some(sender(0, 1)), ..TargetRequirements::default() };
    board.no_target_reason(now, &service(), &need, &mut ChaCha8Rng::seed_from_u64(1))
}

/// Work that waits flows to whatever has free slots: engines that come back together got all of it in their first
/// second.
#[test]
fn a_cold_target_gets_its_part_in_any_second_and_all_when_it_is_warm() {
    let mut board = board(&[target("i-1", "home", COLD_TIME)]);
    let first = sent_at_once(&mut board, Moment::START, sender(0, 1));
    assert_eq!(first, 10, "half of 21: a former server of the shard may still send as well");
    assert_eq!(shortage(&board, Moment::START), NoTargetReason::Cold);
    assert_eq!(send(&mut board, Moment::START + SECOND, Some(sender(0, 1))), None);
    let later = Moment::START + SECOND + SECOND / 2;
    assert_eq!(sent_at_once(&mut board, later, sender(0, 1)), 10);
    assert_eq!(sent_at_once(&mut board, Moment::START + COLD_TIME, sender(0, 1)), 100);
}

#[test]
fn whoever_has_no_part_sends_to_warm_targets() {
    let mut board = board(&[target("i-1", "home", COLD_TIME)]);
    assert_eq!(send(&mut board, Moment::START, None), None);
    board.put(Moment::START, target("i-2", "away", Duration::ZERO));
    assert_eq!(send(&mut board, Moment::START, None).as_deref(), Some("i-2"));
}

/// Whatever the number of shards, and though each has a server too many: no cold target gets more than it bears, and
/// each of them gets something.
#[test]
fn all_senders_together_keep_to_what_a_cold_target_bears() {
    arbtest(|u| {
        let shards = u.int_in_range(1..=40_u32)?;
        let limit = limit(f64::from(u.int_in_range(0..=60_u32)?));
        let target = instance(&format!("i-{}", u.int_in_range(0..=1_000_u32)?));
        let parts = (0..shards).map(|shard| limit.part(&target, sender(shard, shards)));
        let total: u32 = parts.sum();
        assert!(2 * total <= limit.most, "{total} of {limit:?} by {shards}");
        assert!(total > 0 || limit.most < 2);
        Ok(())
    });
}

/// A target that breaks off may be followed by another life under its id, which the list tells later.
#[test]
fn a_target_that_broke_off_counts_as_cold() {
    let mut board = board(&[target("i-1", "home", Duration::ZERO)]);
    board.failed(Moment::START, &instance("i-1"), TargetFailure::Broken);
    let rested = Moment::START + SECOND;
    assert_eq!(sent_at_once(&mut board, rested, sender(0, 1)), 10);
}

#[test]
fn a_target_that_turns_cold_again_is_spared_from_then_on() {
    let mut board = board(&[target("i-1", "home", Duration::ZERO)]);
    assert!(sent_at_once(&mut board, Moment::START, sender(0, 1)) > 20);
    board.put(Moment::START, target("i-1", "home", SECOND));
    assert_eq!(send(&mut board, Moment::START, Some(sender(0, 1))), None, "it has had its part");
}

#[test]
fn nothing_goes_to_a_domain_that_is_to_be_emptied() {
    let away = "away".parse().expect("an id");
    let home = "home".parse().expect("an id");
    let mut board =
        board(&[target("i-1", "home", Duration::ZERO), target("i-2", "away", Duration::ZERO)]);
    assert!(board.evacuate(Moment::START, &home, true));
    assert!(!board.evacuate(Moment::START, &home, true), "it was known");
    for _ in 0..20 {
        let chosen = send(&mut board, Moment::START, Some(sender(0, 1)));
        assert_eq!(chosen.as_deref(), Some("i-2"));
    }
    // Targets that come there meanwhile get nothing either.
    board.put(Moment::START, target("i-3", "home", Duration::ZERO));
    assert!(board.evacuate(Moment::START, &away, true));
    assert_eq!(send(&mut board, Moment::START, Some(sender(0, 1))), None);
    assert_eq!(shortage(&board, Moment::START), NoTargetReason::Evacuated);
}

/// Its targets may have turned cold while nothing went there, and all work would flow back at once.
#[test]
fn a_domain_that_is_taken_into_use_again_is_cold_at_first() {
    let home = "home".parse().expect("an id");
    let mut board = board(&[target("i-1", "home", Duration::ZERO)]);
    assert!(board.evacuate(Moment::START, &home, true));
    let back = Moment::START + 10 * SECOND;
    assert!(board.evacuate(back, &home, false));
    assert!(!board.evacuate(back, &home, false), "it was known");
    assert_eq!(sent_at_once(&mut board, back, sender(0, 1)), 10);
    assert!(sent_at_once(&mut board, back + COLD_TIME, sender(0, 1)) > 20);
}
