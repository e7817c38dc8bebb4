//! Reward calls of which a few take long wherever they are made, and targets that are silent.

use std::time::Duration;

use jobs::RewardHedgePlan;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// When the first good answer comes, if the calls of a plan take these times in turn; `None` for a
/// target that is silent.
fn answered(plan: RewardHedgePlan, works: &[Option<u64>]) -> Option<Duration> {
    let mut first: Option<Duration> = None;
    for (made, work) in (0..).zip(works) {
        let Some(at) = plan.next_call(made) else { break };
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
fn a_call_that_takes_five_times_the_mean_everywhere_ends_in_its_own_time() {
    // Work of 200 ms in the mean, aimed at 800, may take 3 s; one in a hundred takes 1 to 1.5 s.
    let plan = RewardHedgePlan::new(Some(ms(800)), Some(ms(3_000)));
    for work in [1_000, 1_250, 1_500] {
        assert_eq!(answered(plan, &[Some(work); 3]), Some(ms(work)), "not cut off and begun anew");
    }
}

#[test]
fn a_silent_target_costs_the_goal_and_not_the_limit() {
    let plan = RewardHedgePlan::new(Some(ms(800)), Some(ms(3_000)));
    assert_eq!(answered(plan, &[None, Some(200), Some(200)]), Some(ms(1_000)));
    assert_eq!(answered(plan, &[None, None, Some(200)]), Some(ms(2_600)));
    let quick = RewardHedgePlan::new(Some(ms(150)), Some(ms(1_500)));
    assert_eq!(answered(quick, &[None, Some(30)]), Some(ms(330)));
}

#[test]
fn usual_calls_are_made_once() {
    let plan = RewardHedgePlan::new(Some(ms(800)), None);
    assert_eq!(answered(plan, &[Some(500), Some(1)]), Some(ms(500)));
    assert_eq!(plan.next_call(1), Some(ms(800)));
}

#[test]
fn a_route_bounds_how_long_and_how_often() {
    let plan = RewardHedgePlan::new(Some(ms(800)), Some(ms(700)));
    assert_eq!((plan.next_call(0), plan.next_call(1)), (Some(Duration::ZERO), None));
    assert_eq!(answered(plan, &[Some(900)]), None);
    let plan = RewardHedgePlan::new(Some(ms(50)), None);
    assert_eq!(plan.next_call(2), Some(ms(900)));
    assert_eq!(plan.next_call(3), None, "three at most");
    assert_eq!(plan.next_call(u32::MAX), None);
}
