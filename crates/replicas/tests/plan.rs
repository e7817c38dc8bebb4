//! Tests of replica orders: permanently lost replicas are ordered again, restarting ones are not.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbtest;
use ids::{DomainId, Moment};
use replicas::{BaselineReplicas, OrderOutcome, ReplicaLimits, ReplicaOrder, ReplicaPlan};

const LIMITS: ReplicaLimits = ReplicaLimits { min: 1, max: 22 };

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

fn domain(number: u32) -> DomainId {
    format!("domain-{number}").parse().expect("a valid ID")
}

fn counts(numbers: &[u32]) -> BTreeMap<DomainId, u32> {
    (0..).zip(numbers).map(|(number, count)| (domain(number), *count)).collect()
}

fn given(numbers: &[u32]) -> BaselineReplicas {
    BaselineReplicas { domains: counts(numbers) }
}

fn due(plan: &mut ReplicaPlan, millis: u64, listed: &[u32]) -> Vec<ReplicaOrder> {
    plan.due(at(millis), &given(&[11, 11]), LIMITS, &counts(listed), true)
}

fn order(number: u32, desired: u32) -> ReplicaOrder {
    ReplicaOrder { domain: domain(number), desired }
}

#[test]
fn lost_replica_is_ordered_up_to_given_number() {
    let mut plan = ReplicaPlan::default();
    assert_eq!(due(&mut plan, 0, &[11, 11]), []);
    assert_eq!(due(&mut plan, 1_000, &[11, 10]), []);
    assert_eq!(due(&mut plan, 5_900, &[11, 10]), []);
    assert_eq!(due(&mut plan, 6_000, &[11, 10]), [order(1, 11)]);
    plan.order_done(at(6_000), &order(1, 11), OrderOutcome::Accepted);
    // The replica needs some seconds to start.
    assert_eq!(due(&mut plan, 9_000, &[11, 10]), []);
    assert_eq!(due(&mut plan, 10_500, &[11, 11]), []);
}

#[test]
fn short_crash_orders_nothing() {
    let mut plan = ReplicaPlan::default();
    for millis in (0..60_000).step_by(250) {
        // Every 6 s, four of them are unlisted for 2 s.
        let listed = if millis % 6_000 < 2_000 { [7, 11] } else { [11, 11] };
        assert_eq!(due(&mut plan, millis, &listed), [], "at {millis}");
    }
}

#[test]
fn each_domain_gets_its_own_order() {
    let mut plan = ReplicaPlan::default();
    due(&mut plan, 0, &[0, 10]);
    assert_eq!(due(&mut plan, 5_000, &[0, 10]), [order(0, 11), order(1, 11)]);
}

#[test]
fn outdated_listing_is_no_shortage() {
    let mut plan = ReplicaPlan::default();
    due(&mut plan, 0, &[0, 0]);
    let listed = counts(&[0, 0]);
    assert_eq!(plan.due(at(5_000), &given(&[11, 11]), LIMITS, &listed, false), []);
    // The timeout starts again.
    assert_eq!(due(&mut plan, 5_100, &[0, 0]), []);
    assert_eq!(due(&mut plan, 10_100, &[0, 0]).len(), 2);
}

#[test]
fn orders_without_capacity_back_off() {
    let mut plan = ReplicaPlan::default();
    let mut attempts = Vec::new();
    for millis in (0..300_000).step_by(250) {
        for order in due(&mut plan, millis, &[11, 5]) {
            attempts.push(millis / 1_000);
            plan.order_done(at(millis), &order, OrderOutcome::NoCapacity);
        }
    }
    assert_eq!(attempts, [5, 15, 35, 75, 135, 195, 255]);
}

#[test]
fn failed_order_is_repeated_soon() {
    let mut plan = ReplicaPlan::default();
    due(&mut plan, 0, &[11, 10]);
    assert_eq!(due(&mut plan, 5_000, &[11, 10]), [order(1, 11)]);
    plan.order_done(at(5_000), &order(1, 11), OrderOutcome::Failed);
    assert_eq!(due(&mut plan, 5_900, &[11, 10]), []);
    assert_eq!(due(&mut plan, 6_000, &[11, 10]), [order(1, 11)]);
}

#[test]
fn orders_are_within_limits_and_above_listed_number() {
    arbtest(|u| {
        let limits = ReplicaLimits { min: u.int_in_range(0..=5)?, max: u.int_in_range(5..=20)? };
        let given = given(&[u.int_in_range(0..=30)?, u.int_in_range(0..=30)?]);
        let mut plan = ReplicaPlan::default();
        for step in 0..20 {
            let listed = counts(&[u.int_in_range(0..=30)?, u.int_in_range(0..=30)?]);
            for order in plan.due(at(step * 3_000), &given, limits, &listed, u.arbitrary()?) {
                assert!((limits.min..=limits.max).contains(&order.desired));
                assert!(order.desired > listed[&order.domain]);
            }
        }
        Ok(())
    });
}
