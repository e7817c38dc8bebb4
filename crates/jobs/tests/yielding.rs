//! Free slots are left to more urgent items of other shards, for a short time.

use std::collections::HashMap;
use std::time::Duration;

use ids::Moment;
use jobs::{GroupStanding, JobStanding, SlotYield, Urgency, UrgencyReports};
use routing::DEFAULT_PRIORITY;

/// Maximum time for which a slot may stay idle: the interval of heartbeats.
const HEARTBEAT_MS: u64 = 250;
/// Interval between two passes over the waiting items.
const PASS_MS: u64 = 100;

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

/// A shard that found no free slot at `now`.
fn scarce(now: u64) -> SlotYield {
    let mut yields = SlotYield::default();
    yields.no_free_slot(at(now), "m");
    yields
}

fn urgency(slack_ms: f64) -> Urgency {
    let job = JobStanding {
        age_ms: 0.0,
        due_in_ms: Some(slack_ms),
        longest_ms: 0.0,
        behind_ms: 0.0,
        priority: DEFAULT_PRIORITY,
    };
    job.urgency(GroupStanding::Wanted { position: 0 }, 0.0)
}

fn report(slack_ms: i64) -> HashMap<String, i64> {
    HashMap::from([("m".to_owned(), slack_ms)])
}

#[test]
fn a_free_slot_is_left_to_a_shard_with_clearly_more_urgent_items() {
    let mut reports = UrgencyReports::default();
    reports.record(at(0), "other", report(1_000));
    reports.record(at(0), "own", report(-9_000));
    let other = reports.least_slack(at(100), "m", &"own");
    assert_eq!(other, Some(1_000), "a shard's own report doesn't count");
    assert_eq!(reports.least_slack(at(100), "another-model", &"own"), None);
    let decide = |own| scarce(0).should_yield(at(100), "m", own, other);
    assert!(decide(urgency(4_000.0)));
    assert!(!decide(urgency(1_300.0)), "the margin is not clear");
    assert!(!decide(urgency(500.0)), "the own item is more urgent");
}

#[test]
fn groups_that_no_trainer_waits_for_always_leave_slots_to_wanted_ones() {
    let standing = JobStanding {
        age_ms: 0.0,
        due_in_ms: Some(-5_000.0),
        longest_ms: 0.0,
        behind_ms: 0.0,
        priority: DEFAULT_PRIORITY,
    };
    let surplus = standing.urgency(GroupStanding::Surplus { step_complete: false }, 0.0);
    assert!(scarce(0).should_yield(at(0), "m", surplus, Some(20_000)));
    assert!(!scarce(0).should_yield(at(0), "m", surplus, None));
}

/// Guards against slots kept free for a server that has died or is cut off.
#[test]
fn the_report_of_a_silent_shard_expires() {
    let mut reports = UrgencyReports::default();
    reports.record(at(0), "other", report(-5_000));
    assert_eq!(reports.least_slack(at(699), "m", &"own"), Some(-5_000));
    assert_eq!(reports.least_slack(at(700), "m", &"own"), None);
    reports.record(at(800), "other", HashMap::new());
    assert_eq!(reports.least_slack(at(801), "m", &"own"), None, "the latest report counts");
}

#[test]
fn slots_are_not_left_while_there_are_enough() {
    let own = urgency(5_000.0);
    assert!(!SlotYield::default().should_yield(at(0), "m", own, Some(0)));
    assert!(scarce(0).should_yield(at(999), "m", own, Some(0)));
    assert!(!scarce(0).should_yield(at(1_000), "m", own, Some(0)));
}

/// Guards against idle slots if the other shard can't use them.
#[test]
fn an_unused_slot_is_taken_within_a_heartbeat_interval() {
    for phase in 0..PASS_MS {
        let mut yields = scarce(phase);
        let (mut idle_since, mut longest, mut total) = (None, 0, 0);
        for now in (phase..20_000).step_by(usize::try_from(PASS_MS).expect("fits")) {
            if yields.should_yield(at(now), "m", urgency(5_000.0), Some(0)) {
                idle_since.get_or_insert(now);
            } else {
                // This shard takes the slot, and finds no further one.
                yields.no_free_slot(at(now), "m");
                if let Some(since) = idle_since.take() {
                    longest = longest.max(now - since);
                    total += now - since;
                }
            }
        }
        assert!((1..HEARTBEAT_MS).contains(&longest), "{longest}");
        assert!(total < 20_000 / 5, "{total} ms of 20 s idle");
    }
}

#[test]
fn slots_are_left_again_as_long_as_the_other_shard_uses_them() {
    let mut yields = scarce(0);
    let own = urgency(5_000.0);
    for round in 0..10 {
        let now = round * 200;
        assert!(yields.should_yield(at(now), "m", own, Some(0)), "round {round}");
        yields.no_free_slot(at(now + 100), "m");
    }
    assert!(yields.should_yield(at(2_000), "m", own, Some(0)));
    assert!(!yields.should_yield(at(2_150), "m", own, Some(0)), "the slot was not used");
}
