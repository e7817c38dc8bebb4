//! Tests of cluster time when wall clocks step.

use std::time::Duration;

use ids::{BoxId, Moment};
use usage::{ClusterClock, UnixTime};

/// Cluster time at the start of the monotonic clock, in milliseconds since the Unix epoch.
const EPOCH: u64 = 1_700_000_000_000;

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

fn name(number: usize) -> BoxId {
    format!("box-{number}").parse().expect("a valid ID")
}

/// Each box reports its wall clock at `millis`, wrong by its entry of `errors`, in milliseconds.
fn observe_all(clock: &mut ClusterClock, millis: u64, errors: &[i64]) {
    for (number, error) in errors.iter().enumerate() {
        let time = (EPOCH + millis).saturating_add_signed(*error);
        clock.observe(at(millis), &name(number), UnixTime::new(time));
    }
}

/// Returns the error of cluster time at `millis`, in milliseconds.
fn clock_error(clock: &ClusterClock, millis: u64) -> i64 {
    let estimate = clock.now(at(millis)).expect("a clock reading").millis();
    estimate.cast_signed() - (EPOCH + millis).cast_signed()
}

#[test]
fn time_is_unknown_before_first_reading() {
    assert_eq!(ClusterClock::default().now(at(5)), None);
}

#[test]
fn minority_of_wrong_clocks_does_not_move_time() {
    let mut clock = ClusterClock::default();
    observe_all(&mut clock, 0, &[0, 10, -10, 4_000, -3_000]);
    assert!(clock.is_anchored());
    assert!(clock_error(&clock, 0).abs() <= 10);
}

#[test]
fn short_step_of_all_boxes_is_ignored() {
    for step in [4_000, -4_000] {
        let mut clock = ClusterClock::default();
        let mut now = 0;
        while now < 20_000 {
            // All clocks are wrong from second 5 to second 15.
            let error = if (5_000..15_000).contains(&now) { step } else { 0 };
            observe_all(&mut clock, now, &[error; 5]);
            assert_eq!(clock_error(&clock, now), 0, "at {now} after a step by {step}");
            now += 250;
        }
    }
}

#[test]
fn lasting_step_is_applied() {
    let mut clock = ClusterClock::default();
    observe_all(&mut clock, 0, &[3_000; 4]);
    let mut now = 250;
    while now < 120_000 {
        observe_all(&mut clock, now, &[0; 4]);
        now += 250;
    }
    assert_eq!(clock_error(&clock, now), 0);
}

#[test]
fn drift_is_applied_at_once() {
    let mut clock = ClusterClock::default();
    for second in 0..600_i64 {
        // A drift of 0.1% adds up to 600 ms, more than a step.
        observe_all(&mut clock, second.cast_unsigned() * 1_000, &[second, second, second]);
    }
    assert_eq!(clock_error(&clock, 599_000), 599);
}

#[test]
fn isolated_box_keeps_agreed_offset() {
    let mut clock = ClusterClock::default();
    observe_all(&mut clock, 0, &[0, 5, -5]);
    for now in (250..60_000).step_by(250) {
        // Only the box's own reading, after a step.
        clock.observe(at(now), &name(0), UnixTime::new(EPOCH + now + 5_000));
    }
    assert!(clock_error(&clock, 60_000).abs() <= 5);
}

#[test]
fn quorum_corrects_wrong_clock_at_start() {
    let mut clock = ClusterClock::default();
    clock.observe(at(0), &name(0), UnixTime::new(EPOCH + 8_000));
    assert_eq!(clock_error(&clock, 0), 8_000);
    observe_all(&mut clock, 250, &[8_000, 0, 0]);
    assert_eq!(clock_error(&clock, 250), 0);
}

#[test]
fn entry_box_adopts_reported_time() {
    let mut clock = ClusterClock::default();
    clock.follow(at(100), UnixTime::new(EPOCH + 100));
    assert_eq!((clock_error(&clock, 100), clock_error(&clock, 9_000)), (0, 0));
}
