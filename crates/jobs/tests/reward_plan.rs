//! Hedged reward calls: calls that take long on every target, and unresponsive targets.

use std::time::Duration;

use jobs::RewardHedgePlan;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns when the first successful response arrives if the calls of a plan take these times, in
/// order of their start. `None` stands for an unresponsive target.
fn first_response(plan: RewardHedgePlan, call_millis: &[Option<u64>]) -> Option<Duration> {
    let mut first: Option<Duration> = None;
    for (calls_made, work) in (0..).zip(call_millis) {
        let Some(at) = plan.next_call(calls_made) else { break };
        if first.is_some_and(|first| first <= at) {
            break;
        }
        let Some(work) = work else { continue };
        let end = at + ms(*work);
        if end <= plan.limit() {
            first = Some(first.map_or(end, |first| first.min(end)));
        }
    }
    first
}

#[test]
fn a_call_that_is_slow_on_every_target_is_not_cut_off() {
    // Calls take 200 ms on average and 1 to 1.5 s in rare cases; goal 800 ms, timeout 3 s.
    let plan = RewardHedgePlan::new(Some(ms(800)), Some(ms(3_000)));
    for work in [1_000, 1_250, 1_500] {
        assert_eq!(
            first_response(plan, &[Some(work); 3]),
            Some(ms(work)),
            "the first call must complete"
        );
    }
}

#[test]
fn an_unresponsive_target_delays_by_the_goal_not_the_limit() {
    let plan = RewardHedgePlan::new(Some(ms(800)), Some(ms(3_000)));
    assert_eq!(first_response(plan, &[None, Some(200), Some(200)]), Some(ms(1_000)));
    assert_eq!(first_response(plan, &[None, None, Some(200)]), Some(ms(2_600)));
    let quick = RewardHedgePlan::new(Some(ms(150)), Some(ms(1_500)));
    assert_eq!(first_response(quick, &[None, Some(30)]), Some(ms(330)));
}

#[test]
fn a_call_within_the_goal_is_made_once() {
    let plan = RewardHedgePlan::new(Some(ms(800)), None);
    assert_eq!(first_response(plan, &[Some(500), Some(1)]), Some(ms(500)));
    assert_eq!(plan.next_call(1), Some(ms(800)));
}

#[test]
fn a_plan_limits_total_time_and_number_of_calls() {
    let plan = RewardHedgePlan::new(Some(ms(800)), Some(ms(700)));
    assert_eq!((plan.next_call(0), plan.next_call(1)), (Some(Duration::ZERO), None));
    assert_eq!(first_response(plan, &[Some(900)]), None);
    let plan = RewardHedgePlan::new(Some(ms(50)), None);
    assert_eq!(plan.next_call(2), Some(ms(900)));
    assert_eq!(plan.next_call(3), None, "at most three calls");
    assert_eq!(plan.next_call(u32::MAX), None);
}
