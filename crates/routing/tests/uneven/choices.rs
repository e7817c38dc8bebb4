//! Choices by predicted length, long-term speed and current slowdown.

use std::time::Duration;

use routing::TargetRequirements;

use crate::{NOW, SLOTS, choose, instance, load, table, text};

/// Guards against short texts that take the slots of fast engines while others are free.
#[test]
fn long_texts_take_fast_engines_and_short_ones_leave_them() {
    let mut table = table(&[("slow", 42), ("fast", 17)]);
    assert_eq!(choose(&mut table, NOW, &text(400.0, 100.0)).as_deref(), Some("fast"));
    assert_eq!(choose(&mut table, NOW, &text(5.0, 100.0)).as_deref(), Some("slow"));
    assert_eq!(
        choose(&mut table, NOW, &text(5.0, 5.0)).as_deref(),
        Some("fast"),
        "no longer texts are expected"
    );
}

/// Guards against slots that stay idle while an item waits that could use them.
#[test]
fn every_free_slot_is_used_whatever_the_length() {
    for units in [1.0, 5.0, 80.0, 600.0] {
        let mut table = table(&[("slow", 42), ("fast", 17), ("outlier", 200)]);
        let started = (0..100).filter_map(|_| choose(&mut table, NOW, &text(units, 100.0)));
        assert_eq!(started.count(), 3 * SLOTS as usize, "texts of {units} events");
    }
}

/// Guards against a momentary slowdown that counts as permanent.
#[test]
fn slowdown_does_not_change_the_long_term_speed() {
    let mut table = table(&[("a", 20), ("b", 20)]);
    table.record_load(NOW, &instance("a"), load(0, Some(250)));
    for _ in 0..20 {
        table.record_unit_time(NOW, &instance("a"), Duration::from_millis(50));
    }
    let speed = table.speed(NOW, &instance("a")).expect("it reports its slowdown");
    assert!(speed.usual_unit_time.abs_diff(Duration::from_millis(20)) < Duration::from_millis(1));
    assert_eq!(speed.slowdown_percent(), 250);
}

/// Guards against a slowdown that is used long after it was reported, and against one that is not
/// used at all.
#[test]
fn slowdown_counts_until_its_report_expires() {
    for requirements in [TargetRequirements::default(), text(10.0, 1.0)] {
        let mut table = table(&[("a", 20), ("b", 22)]);
        assert_eq!(choose(&mut table, NOW, &requirements).as_deref(), Some("a"));
        table.ended(&instance("a"));
        table.record_load(NOW, &instance("a"), load(0, Some(250)));
        assert_eq!(choose(&mut table, NOW, &requirements).as_deref(), Some("b"));
        table.ended(&instance("b"));
        let later = NOW + Duration::from_millis(400);
        assert_eq!(choose(&mut table, later, &requirements).as_deref(), Some("a"));
    }
}

/// Guards against a long text that avoids a fast engine because of a slowdown that ends long
/// before the text.
#[test]
fn long_texts_outlast_a_slowdown() {
    let mut table = table(&[("slow", 42), ("fast", 17)]);
    table.record_load(NOW, &instance("fast"), load(0, Some(300)));
    assert_eq!(choose(&mut table, NOW, &text(10.0, 1.0)).as_deref(), Some("slow"));
    table.ended(&instance("slow"));
    assert_eq!(choose(&mut table, NOW, &text(400.0, 1.0)).as_deref(), Some("fast"));
}

/// Guards against plain requests that ignore the long-term speed.
#[test]
fn plain_requests_are_spread_by_long_term_speed() {
    let mut table = table(&[("slow", 60), ("fast", 20)]);
    let chosen = (0..8).filter_map(|_| choose(&mut table, NOW, &TargetRequirements::default()));
    let fast = chosen.filter(|name| name == "fast").count();
    assert!((5..=7).contains(&fast), "{fast} of 8");
}

/// Guards against a slowdown that no current report covers and that counts as long-term speed.
#[test]
fn unreported_slowdown_changes_the_long_term_speed_little() {
    let mut table = table(&[("a", 20)]);
    let later = NOW + Duration::from_secs(1);
    table.record_unit_time(later, &instance("a"), Duration::from_millis(200));
    let speed = table.speed(later, &instance("a")).expect("it reported its slowdown");
    assert_eq!(speed.slowdown, None);
    assert!(speed.usual_unit_time <= Duration::from_millis(22), "{:?}", speed.usual_unit_time);
}
