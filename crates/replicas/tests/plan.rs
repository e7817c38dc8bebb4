//! Replicas that are lost, one by one or a domain at a time, are ordered anew; those that come back are not.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbtest;
use ids::{DomainId, Moment};
use replicas::{BaselineReplicas, OrderOutcome, ReplicaLimits, ReplicaOrder, ReplicaPlan};

const LIMITS: ReplicaLimits = ReplicaLimits { least: 1, most: 22 };

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

fn domain(number: u32) -> DomainId {
    format!("domain-{number}").parse().expect("an id")
}

fn counts(of: &[u32]) -> BTreeMap<DomainId, u32> {
    (0..).zip(of).map(|(number, count)| (domain(number), *count)).collect()
}

fn given(of: &[u32]) -> BaselineReplicas {
    BaselineReplicas { domains: counts(of) }
}

fn due(plan: &mut ReplicaPlan, millis: u64, listed: &[u32]) -> Vec<ReplicaOrder> {
    plan.due(at(millis), &given(&[11, 11]), LIMITS, &counts(listed), true)
}

fn order(number: u32, desired: u32) -> ReplicaOrder {
    ReplicaOrder { domain: domain(number), desired }
}

#[test]
fn a_replica_that_is_lost_for_good_is_ordered_anew_by_the_number_that_was_given() {
    let mut plan = ReplicaPlan::default();
    assert_eq!(due(&mut plan, 0, &[11, 11]), []);
    assert_eq!(due(&mut plan, 1_000, &[11, 10]), []);
    assert_eq!(due(&mut plan, 5_900, &[11, 10]), []);
    assert_eq!(due(&mut plan, 6_000, &[11, 10]), [order(1, 11)]);
    plan.order_done(at(6_000), &order(1, 11), OrderOutcome::Taken);
    // It takes some seconds to start.
    assert_eq!(due(&mut plan, 9_000, &[11, 10]), []);
    assert_eq!(due(&mut plan, 10_500, &[11, 11]), []);
}

#[test]
fn a_crash_and_a_return_within_seconds_orders_nothing() {
    let mut plan = ReplicaPlan::default();
    for millis in (0..60_000).step_by(250) {
        // Every six seconds four of them are off the list for two.
        let listed = if millis % 6_000 < 2_000 { [7, 11] } else { [11, 11] };
        assert_eq!(due(&mut plan, millis, &listed), [], "at {millis}");
    }
}

#[test]
fn a_whole_domains_replicas_are_ordered_at_once_and_each_domain_by_itself() {
    let mut plan = ReplicaPlan::default();
    due(&mut plan, 0, &[0, 10]);
    assert_eq!(due(&mut plan, 5_000, &[0, 10]), [order(0, 11), order(1, 11)]);
}

#[test]
fn what_a_store_lists_that_is_away_or_just_back_is_no_shortage() {
    let mut plan = ReplicaPlan::default();
    due(&mut plan, 0, &[0, 0]);
    let listed = counts(&[0, 0]);
    assert_eq!(plan.due(at(5_000), &given(&[11, 11]), LIMITS, &listed, false), []);
    // Its time begins anew.
    assert_eq!(due(&mut plan, 5_100, &[0, 0]), []);
    assert_eq!(due(&mut plan, 10_100, &[0, 0]).len(), 2);
}

#[test]
fn where_none_can_be_had_tries_become_rare() {
    let mut plan = ReplicaPlan::default();
    let mut tries = Vec::new();
    for millis in (0..300_000).step_by(250) {
        for order in due(&mut plan, millis, &[11, 5]) {
            tries.push(millis / 1_000);
            plan.order_done(at(millis), &order, OrderOutcome::NoCapacity);
        }
    }
    assert_eq!(tries, [5, 15, 35, 75, 135, 195, 255]);
}

#[test]
fn an_order_that_failed_is_sent_again_soon() {
    let mut plan = ReplicaPlan::default();
    due(&mut plan, 0, &[11, 10]);
    assert_eq!(due(&mut plan, 5_000, &[11, 10]), [order(1, 11)]);
    plan.order_done(at(5_000), &order(1, 11), OrderOutcome::Failed);
    assert_eq!(due(&mut plan, 5_900, &[11, 10]), []);
    assert_eq!(due(&mut plan, 6_000, &[11, 10]), [order(1, 11)]);
}

#[test]
fn no_order_lies_outside_the_limits_or_below_what_is_there() {
    arbtest(|u| {
        let limits = ReplicaLimits { least: u.int_in_range(0..=5)?, most: u.int_in_range(5..=20)? };
        let given = given(&[u.int_in_range(0..=30)?, u.int_in_range(0..=30)?]);
        let mut plan = ReplicaPlan::default();
        for step in 0..20 {
            let listed = counts(&[u.int_in_range(0..=30)?, u.int_in_range(0..=30)?]);
            for order in plan.due(at(step * 3_000), &given, limits, &listed, u.arbitrary()?) {
                assert!((limits.least..=limits.most).contains(&order.desired));
                assert!(order.desired > listed[&order.domain]);
            }
        }
        Ok(())
    });
}
