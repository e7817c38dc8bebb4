//! Engines whose long-term speed is far worse than the median.

use std::time::Duration;

use routing::{TargetRequirements, TargetTable};

use crate::{NOW, SLOTS, choose, instance, load, table, target, text};

/// Counts the choices of each of `names` until no slot is free.
fn fill(table: &mut TargetTable, names: &[&str]) -> Vec<(usize, usize)> {
    let chosen: Vec<String> =
        (0..100).map_while(|_| choose(table, NOW, &text(50.0, 50.0))).collect();
    let positions = |name: &&str| {
        let first = chosen.iter().position(|other| other == name).unwrap_or(usize::MAX);
        (first, chosen.iter().filter(|other| other == name).count())
    };
    names.iter().map(positions).collect()
}

/// Guards against an outlier that gets work while other engines have room, and against one whose
/// slots stay idle when they have none.
#[test]
fn outlier_gets_only_work_that_no_other_engine_has_room_for() {
    let mut table = table(&[("a", 20), ("b", 22), ("c", 24), ("outlier", 80)]);
    let filled = fill(&mut table, &["outlier"]);
    assert_eq!(filled, [(3 * SLOTS as usize, SLOTS as usize)]);
}

/// Guards against plain requests that queue at an engine although only the outlier has room.
#[test]
fn outlier_gets_plain_requests_when_the_others_are_full() {
    let mut table = table(&[("a", 20), ("b", 22), ("c", 24), ("outlier", 80)]);
    let requirements = TargetRequirements::default();
    let before =
        (0..100).position(|_| choose(&mut table, NOW, &requirements).as_deref() == Some("outlier"));
    assert!(before.is_some_and(|requests| requests < 4 * SLOTS as usize), "{before:?}");
    for name in ["a", "b", "c"] {
        assert!(table.local_in_flight(&instance(name)) >= SLOTS, "{name} has room");
    }
}

/// Guards against a service that sets aside more engines than it can spare.
#[test]
fn at_most_a_third_of_the_engines_are_outliers() {
    let mut table =
        table(&[("a", 20), ("b", 20), ("c", 20), ("d", 20), ("x", 70), ("y", 80), ("z", 90)]);
    let filled = fill(&mut table, &["x", "y", "z"]);
    let firsts: Vec<usize> = filled.iter().map(|(first, _)| *first).collect();
    let ordinary = 5 * SLOTS as usize;
    assert!(firsts[0] < ordinary, "the fastest of the three is treated as the others: {firsts:?}");
    assert!(firsts[1] >= ordinary && firsts[2] >= ordinary, "{firsts:?}");
}

/// Guards against an engine that is set aside after a single slow measurement.
#[test]
fn one_measurement_makes_no_outlier() {
    let mut table = table(&[("a", 20), ("b", 20), ("c", 20)]);
    table.put(NOW, target("new"));
    let new = instance("new");
    table.record_load(NOW, &new, load(0, Some(100)));
    table.record_unit_time(NOW, &new, Duration::from_millis(64));
    let filled = fill(&mut table, &["new"]);
    assert!(filled[0].0 < 3 * SLOTS as usize, "{filled:?}");
}
