//! Membership, configuration generations and retry budgets.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbtest;
use coord::follower::{ConfigFollower, OfferOutcome};
use coord::members::{DEAD_TIMEOUT, Liveness, MemberRecord, MemberTable, SUSPECT_TIMEOUT};
use coord::rendezvous;
use coord::retry::{Backoff, RetryBudget};
use ids::{BoxId, DomainId, Generation, Incarnation, Moment};

fn id(index: usize) -> BoxId {
    format!("box-{index}").parse().expect("valid id")
}

fn domain(index: usize) -> DomainId {
    format!("hall-{index}").parse().expect("valid id")
}

fn record(index: usize, domains: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        id: id(index),
        domain: domain(index % domains),
        incarnation: Incarnation::new(incarnation),
        address: format!("10.0.0.{index}:7000"),
        leaving: false,
    }
}

/// Member tables that exchange heartbeats, one second per round. The caller chooses which are lost.
struct Fleet {
    tables: BTreeMap<String, MemberTable>,
    now: Moment,
}

impl Fleet {
    fn new(boxes: usize, domains: usize) -> Self {
        let records: Vec<MemberRecord> = (0..boxes).map(|i| record(i, domains, 1)).collect();
        let mut tables = BTreeMap::new();
        for me in &records {
            let mut table = MemberTable::new(me.clone());
            for other in &records {
                let record = other.clone();
                table.merge_relayed(
                    Moment::START,
                    coord::members::RelayedRecord { record, age: Duration::ZERO },
                );
            }
            tables.insert(me.address.clone(), table);
        }
        Self { tables, now: Moment::START }
    }

    fn round(&mut self, lost: impl Fn(&str, &str) -> bool) {
        self.now = self.now + Duration::from_secs(1);
        let mut delivered = Vec::new();
        for (from, table) in &mut self.tables {
            for outgoing in table.poll(self.now, Generation::new(1)) {
                if !lost(from, &outgoing.to) {
                    delivered.push(outgoing);
                }
            }
        }
        for outgoing in delivered {
            if let Some(table) = self.tables.get_mut(&outgoing.to) {
                table.receive_heartbeat(self.now, outgoing.heartbeat);
            }
        }
    }

    fn liveness(&self, from: usize, other: usize) -> Option<Liveness> {
        self.tables[&record(from, 1, 1).address].liveness(self.now, &id(other))
    }
}

#[test]
fn an_unresponsive_box_is_suspected_then_dead() {
    let mut fleet = Fleet::new(4, 1);
    fleet.round(|_, _| false);
    let unresponsive = record(3, 1, 1).address;
    let mut seen = Vec::new();
    for _ in 0..8 {
        fleet.round(|from, _| from == unresponsive);
        seen.push(fleet.liveness(0, 3));
    }
    assert_eq!(seen.first(), Some(&Some(Liveness::Live)));
    assert!(seen.contains(&Some(Liveness::Suspect)) && seen.ends_with(&[Some(Liveness::Dead)]));
    assert_eq!(fleet.liveness(0, 1), Some(Liveness::Live));
    assert!(SUSPECT_TIMEOUT < DEAD_TIMEOUT);
}

#[test]
fn leaving_overrides_live_until_a_new_incarnation() {
    let mut table = MemberTable::new(record(0, 1, 1));
    let relay = |table: &mut MemberTable, incarnation, leaving, at| {
        let record = MemberRecord { leaving, ..record(1, 1, incarnation) };
        let relayed = coord::members::RelayedRecord { record, age: Duration::ZERO };
        table.merge_relayed(Moment::START + Duration::from_millis(at), relayed);
    };
    relay(&mut table, 5, true, 1);
    relay(&mut table, 5, false, 2);
    let now = Moment::START + Duration::from_millis(3);
    assert_eq!(table.liveness(now, &id(1)), Some(Liveness::Leaving));
    relay(&mut table, 6, false, 4);
    let now = Moment::START + Duration::from_millis(5);
    assert_eq!(table.liveness(now, &id(1)), Some(Liveness::Live));
    relay(&mut table, 5, true, 6);
    assert_eq!(table.liveness(now, &id(1)), Some(Liveness::Live));
}

#[test]
fn the_next_heartbeat_reports_that_a_box_is_leaving() {
    let mut fleet = Fleet::new(4, 1);
    fleet.round(|_, _| false);
    let address = record(2, 1, 1).address;
    fleet.tables.get_mut(&address).expect("table exists").leave();
    fleet.round(|_, _| false);
    assert_eq!(fleet.liveness(0, 2), Some(Liveness::Leaving));
    let owner = fleet.tables[&record(0, 1, 1).address].owner_in(fleet.now, &domain(0), "key");
    assert!(owner.is_some_and(|owner| owner.id != id(2)));
}

#[test]
fn a_partitioned_domain_keeps_its_members_and_rediscovers_the_others() {
    let mut fleet = Fleet::new(9, 3);
    let crosses_partition = |from: &str, to: &str| {
        let index = |address: &str| -> usize {
            address.trim_start_matches("10.0.0.").trim_end_matches(":7000").parse().unwrap_or(0)
        };
        (index(from) % 3 == 0) != (index(to) % 3 == 0)
    };
    for _ in 0..60 {
        fleet.round(crosses_partition);
    }
    assert_eq!(fleet.liveness(0, 3), Some(Liveness::Live));
    assert_eq!(fleet.liveness(0, 1), Some(Liveness::Dead));
    for _ in 0..30 {
        fleet.round(|_, _| false);
    }
    let found = (0..9).filter(|other| fleet.liveness(0, *other) == Some(Liveness::Live)).count();
    assert_eq!(found, 9);
}

#[test]
fn the_generation_never_goes_back() {
    for seed in 0..200_u64 {
        arbtest(|u| {
            let mut follower: ConfigFollower<u64> = ConfigFollower::default();
            let mut highest = 0;
            for _ in 0..u.int_in_range(1..=40)? {
                let generation = u.int_in_range(1..=20_u64)?;
                let outcome = follower.offer(Generation::new(generation), generation);
                assert_eq!(outcome == OfferOutcome::Applied, generation > highest);
                highest = highest.max(generation);
                assert_eq!(follower.generation().get(), highest);
                assert_eq!(follower.document(), Some(&highest));
            }
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}

#[test]
fn a_box_that_is_behind_fetches_from_the_newest_peer() {
    let mut follower: ConfigFollower<u64> = ConfigFollower::default();
    assert!(!follower.is_ready());
    follower.observe_generation(Generation::new(3), &id(1));
    follower.observe_generation(Generation::new(5), &id(2));
    follower.observe_generation(Generation::new(4), &id(3));
    assert_eq!(follower.fetch_from(), Some(&id(2)));
    follower.offer(Generation::new(5), 5);
    assert_eq!(follower.fetch_from(), None);
    assert!(follower.is_ready());
}

#[test]
fn retries_stay_within_the_budget() {
    let mut budget = RetryBudget::new(100, 10);
    let retries = (0..10_000).filter(|_| {
        budget.record_attempt();
        budget.try_retry()
    });
    let retries = retries.count();
    assert!((1_000..=1_011).contains(&retries), "{retries} retries for 10000 attempts");
}

#[test]
fn backoff_grows_to_its_maximum_with_full_jitter() {
    let backoff = Backoff::new(Duration::from_millis(10), Duration::from_millis(100));
    assert_eq!(backoff.delay(0, u32::MAX), Duration::from_millis(10));
    assert_eq!(backoff.delay(40, u32::MAX), Duration::from_millis(100));
    assert_eq!(backoff.delay(40, 0), Duration::ZERO);
}

#[test]
fn only_the_keys_of_a_lost_member_move() {
    let members: Vec<BoxId> = (0..20).map(id).collect();
    let keys: Vec<String> = (0..500).map(|key| format!("target-{key}")).collect();
    let moved = keys.iter().filter(|key| {
        let before = rendezvous::owner(key, &members);
        let after = rendezvous::owner(key, &members[1..]);
        before != after && before != Some(&members[0])
    });
    assert_eq!(moved.count(), 0);
}

#[test]
fn the_first_heartbeat_to_a_new_peer_is_full() {
    let mut table = MemberTable::new(record(0, 1, 1));
    assert!(table.poll(Moment::START, Generation::new(1)).is_empty());
    let relayed = coord::members::RelayedRecord { record: record(1, 1, 1), age: Duration::ZERO };
    table.merge_relayed(Moment::START, relayed);
    let outgoing = table.poll(Moment::START + Duration::from_secs(1), Generation::new(1));
    assert!(
        outgoing[0].heartbeat.record.is_some(),
        "the peer lacks this box's record: {outgoing:?}"
    );
    let outgoing = table.poll(Moment::START + Duration::from_secs(2), Generation::new(1));
    assert!(outgoing[0].heartbeat.record.is_none());
}
