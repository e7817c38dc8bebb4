//! Calls to a store that is silent, and when its return is known.
//!
//! The pattern: 295 boxes hear of the store from one box in each of six failure domains; the store is silent
//! for seven seconds. Each call waits 0.72 s for its answer. A box first asks once what it was told of has
//! been old for too long, 1.7 s after the store fell silent.

use std::time::Duration;

use node::ProbeBackoff;

const SILENCE: Duration = Duration::from_secs(7);
const OLD_NEWS: Duration = Duration::from_millis(1_700);
const CALL: Duration = Duration::from_millis(720);

/// The moments at which a box asks while the store is silent, and the first one after it.
fn asked(told: bool, begun: Duration) -> (u32, Duration) {
    let mut backoff = ProbeBackoff::default();
    let (mut at, mut calls) = (begun, 0);
    while at < SILENCE {
        calls += 1;
        at += CALL + backoff.record_failure(told);
    }
    (calls, at)
}

#[test]
fn hundreds_of_boxes_that_are_told_leave_a_silent_store_alone() {
    let (told, alone) = (asked(true, OLD_NEWS).0, asked(false, OLD_NEWS).0);
    let (boxes, tellers) = (295, 6);
    let (before, now) = (boxes * alone, (boxes - tellers) * told + tellers * alone);
    assert!(now * 20 <= before * 11, "{now} calls in place of {before}");
}

/// Who tells the others must know of the return before trainers have waited for long.
#[test]
fn whoever_is_told_by_nobody_asks_about_once_a_second() {
    for late in (0..1_000).step_by(50).map(Duration::from_millis) {
        let (_, known_at) = asked(false, late);
        assert!(known_at <= SILENCE + Duration::from_millis(1_020), "{known_at:?}");
    }
}

/// A box that the store serves, while the one that tells it is not served, must know what is in force three
/// seconds after its own way to the store is well.
#[test]
fn a_box_that_is_told_still_asks_in_time_for_itself() {
    for late in (0..1_000).step_by(50).map(Duration::from_millis) {
        let (_, asked_at) = asked(true, late);
        assert!(asked_at <= SILENCE + Duration::from_millis(2_220), "{asked_at:?}");
    }
}

#[test]
fn an_answer_ends_the_pauses() {
    let mut backoff = ProbeBackoff::default();
    assert_eq!(
        backoff.record_failure(false),
        Duration::ZERO,
        "a watch may be cut while the store is well"
    );
    assert!(backoff.record_failure(false) > Duration::ZERO);
    backoff.record_response();
    assert_eq!(backoff.record_failure(false), Duration::ZERO);
}
