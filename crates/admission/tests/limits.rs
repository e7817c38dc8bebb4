//! Limits of targets, times to return and detection of a shortage.

use std::time::Duration;

use admission::{ReportedLoad, ReturnSchedule, ShortageDetector, TargetLimit};
use ids::{Moment, Priority};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SERVICE_TIME: Duration = Duration::from_millis(25);
const SPACING: Duration = Duration::from_millis(10);

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

const fn load(running: u32, waiting: u32) -> ReportedLoad {
    ReportedLoad { running, waiting }
}

/// Guards against slots that stay idle while a release and the next grant travel.
#[test]
fn limit_starts_at_the_slots_and_a_quarter() {
    assert_eq!([1, 4, 6, 8].map(|slots| TargetLimit::new(slots).permits()), [2, 5, 8, 10]);
    assert_eq!(TargetLimit::new(0).permits(), 2, "a target has at least one slot");
}

/// Guards against a limit that falls to one when requests sent together are refused.
#[test]
fn refusals_lower_the_limit_by_a_fifth_once_per_service_time() {
    let mut limit = TargetLimit::new(8);
    for _ in 0..10 {
        limit.record_refusal(at(100), SERVICE_TIME);
    }
    assert_eq!(limit.permits(), 8);
    limit.record_refusal(at(125), SERVICE_TIME);
    assert_eq!(limit.permits(), 6);
    for step in 0..100 {
        limit.record_refusal(at(200 + step * 25), SERVICE_TIME);
    }
    assert_eq!(limit.permits(), 1, "the load of a target stays visible");
}

/// Guards against a target whose own queue grows, and against reports from before a change that
/// change the limit again.
#[test]
fn queue_at_the_target_lowers_the_limit_by_one() {
    let mut limit = TargetLimit::new(8);
    limit.record_load(at(200), load(8, 2), true, SERVICE_TIME);
    assert_eq!(limit.permits(), 10, "a quarter of the slots may wait");
    limit.record_load(at(200), load(8, 3), true, SERVICE_TIME);
    assert_eq!(limit.permits(), 9);
    limit.record_load(at(299), load(8, 3), true, SERVICE_TIME);
    assert_eq!(limit.permits(), 9);
    limit.record_load(at(300), load(8, 3), true, SERVICE_TIME);
    assert_eq!(limit.permits(), 8);
}

/// Guards against idle slots at a target whose permits are all in use, and against a limit that
/// grows without being needed or without bound.
#[test]
fn idle_slots_raise_the_limit_while_all_permits_are_in_use() {
    let mut limit = TargetLimit::new(8);
    limit.record_load(at(200), load(7, 0), false, SERVICE_TIME);
    limit.record_load(at(200), load(8, 0), true, SERVICE_TIME);
    assert_eq!(limit.permits(), 10);
    limit.record_load(at(200), load(7, 0), true, SERVICE_TIME);
    assert_eq!(limit.permits(), 11);
    for step in 0..100 {
        limit.record_load(at(300 + step * 100), load(0, 0), true, SERVICE_TIME);
    }
    assert_eq!(limit.permits(), 16, "at most twice the slots");
}

/// Guards against callers that return together, or at times that repeat.
#[test]
fn returns_are_spaced() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut schedule = ReturnSchedule::default();
    let mut on_time = 0;
    for index in 0..100 {
        let delay = schedule.book(at(0), Priority::new(5), SPACING, &mut rng);
        let slot = Duration::from_millis(100) + SPACING * index;
        assert!((slot..=slot + SPACING).contains(&delay), "{index}: {delay:?}");
        on_time += u32::from(delay < slot + SPACING / 2);
    }
    assert!((25..75).contains(&on_time), "{on_time} returned in the first half of their time");
}

/// Guards against a lower priority that returns before a higher one, also when nothing is free.
#[test]
fn lower_priorities_return_later() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for booked in [1, 50, 1_000] {
        let mut schedule = ReturnSchedule::default();
        let mut book = |priority| schedule.book(at(0), Priority::new(priority), SPACING, &mut rng);
        let high: Vec<_> = (0..booked).map(|_| book(2)).collect();
        let low: Vec<_> = (0..booked).map(|_| book(7)).collect();
        assert!(high.iter().max() <= low.iter().min(), "{booked} of each priority");
        assert!(book(0) <= Duration::from_millis(100) + SPACING, "higher ones are not delayed");
    }
}

/// Guards against times that are too far ahead, and against callers that return together when no
/// time is free.
#[test]
fn returns_are_at_most_two_seconds_ahead() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut schedule = ReturnSchedule::default();
    let mut delays: Vec<_> = (0..1_000)
        .map(|_| schedule.book(at(0), Priority::new(5), SPACING, &mut rng))
        .skip(500)
        .collect();
    delays.sort();
    assert!(delays[0] >= Duration::from_secs(1));
    assert!(delays[499] <= Duration::from_secs(2));
    let gaps = delays.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    assert!(gaps.max().expect("many") < Duration::from_millis(50), "returns are spread");
}

/// Guards against bookings that stay after their time has passed.
#[test]
fn returns_are_soon_again_when_booked_times_have_passed() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut schedule = ReturnSchedule::default();
    for _ in 0..1_000 {
        schedule.book(at(0), Priority::new(5), SPACING, &mut rng);
    }
    let delay = schedule.book(at(2_000), Priority::new(5), SPACING, &mut rng);
    assert!(delay <= Duration::from_millis(100) + SPACING);
}

/// Guards against boxes that ask the home without a shortage, or that stop asking too early.
#[test]
fn shortage_lasts_two_seconds_after_each_sign() {
    let mut detector = ShortageDetector::default();
    assert!(!detector.is_short(at(0)));
    detector.record_load(at(0), load(6, 2), 6);
    detector.record_reply(at(0), false);
    assert!(!detector.is_short(at(0)), "a quarter of the slots may wait");
    let signs: [fn(&mut ShortageDetector, Moment); 3] = [
        |detector, now| detector.record_load(now, load(6, 3), 6),
        ShortageDetector::record_refusal,
        |detector, now| detector.record_reply(now, true),
    ];
    for (index, sign) in (0..).zip(signs) {
        let start = index * 10_000;
        sign(&mut detector, at(start));
        assert!(detector.is_short(at(start + 1_999)));
        assert!(!detector.is_short(at(start + 2_000)));
    }
}
