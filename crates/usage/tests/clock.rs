//! True time among boxes whose time of day steps.

use std::time::Duration;

use ids::{BoxId, Moment};
use usage::{ClusterClock, UnixTime};

/// True time at the start of the steady clock, in milliseconds since 1970.
const EPOCH: u64 = 1_700_000_000_000;

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

fn name(number: usize) -> BoxId {
    format!("box-{number}").parse().expect("an id")
}

/// All boxes tell their time of day at `millis`; those of `stepped` are off by as many milliseconds.
fn tell(clock: &mut ClusterClock, millis: u64, stepped: &[i64]) {
    for (number, step) in stepped.iter().enumerate() {
        let time = (EPOCH + millis).saturating_add_signed(*step);
        clock.observe(at(millis), &name(number), UnixTime::new(time));
    }
}

/// How far the clock is off at `millis`.
fn error(clock: &ClusterClock, millis: u64) -> i64 {
    let told = clock.now(at(millis)).expect("something was heard").millis();
    told.cast_signed() - (EPOCH + millis).cast_signed()
}

#[test]
fn it_knows_nothing_before_anything_was_heard() {
    assert_eq!(ClusterClock::default().now(at(5)), None);
}

#[test]
fn fewer_than_half_of_the_boxes_cannot_move_it() {
    let mut clock = ClusterClock::default();
    tell(&mut clock, 0, &[0, 10, -10, 4_000, -3_000]);
    assert!(clock.is_anchored());
    assert!(error(&clock, 0).abs() <= 10);
}

#[test]
fn a_step_of_all_boxes_together_moves_nothing_before_it_has_lasted() {
    for step in [4_000, -4_000] {
        let mut clock = ClusterClock::default();
        let mut now = 0;
        while now < 20_000 {
            // From second 5 to second 15 all of them are off.
            let off = if (5_000..15_000).contains(&now) { step } else { 0 };
            tell(&mut clock, now, &[off; 5]);
            assert_eq!(error(&clock, now), 0, "at {now} after a step by {step}");
            now += 250;
        }
    }
}

#[test]
fn a_step_that_stays_is_taken_in_the_end() {
    let mut clock = ClusterClock::default();
    tell(&mut clock, 0, &[3_000; 4]);
    let mut now = 250;
    while now < 120_000 {
        tell(&mut clock, now, &[0; 4]);
        now += 250;
    }
    assert_eq!(error(&clock, now), 0);
}

#[test]
fn drift_is_followed_at_once() {
    let mut clock = ClusterClock::default();
    for second in 0..600_i64 {
        // A thousandth of drift against the steady clock: 600 ms in all, far more than a step.
        tell(&mut clock, second.cast_unsigned() * 1_000, &[second, second, second]);
    }
    assert_eq!(error(&clock, 599_000), 599);
}

#[test]
fn a_box_that_hears_nobody_keeps_what_was_agreed_on() {
    let mut clock = ClusterClock::default();
    tell(&mut clock, 0, &[0, 5, -5]);
    for now in (250..60_000).step_by(250) {
        // Its own voice alone, after a step.
        clock.observe(at(now), &name(0), UnixTime::new(EPOCH + now + 5_000));
    }
    assert!(error(&clock, 60_000).abs() <= 5);
}

#[test]
fn a_box_that_starts_on_a_wrong_clock_is_right_once_two_others_are_heard() {
    let mut clock = ClusterClock::default();
    clock.observe(at(0), &name(0), UnixTime::new(EPOCH + 8_000));
    assert_eq!(error(&clock, 0), 8_000);
    tell(&mut clock, 250, &[8_000, 0, 0]);
    assert_eq!(error(&clock, 250), 0);
}

#[test]
fn an_entry_box_follows_what_it_is_told() {
    let mut clock = ClusterClock::default();
    clock.follow(at(100), UnixTime::new(EPOCH + 100));
    assert_eq!((error(&clock, 100), error(&clock, 9_000)), (0, 0));
}
