//! Moves of runs between engines that report their slowdown.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{
    MoveEstimate, PredictedWork, RunProgress, TargetRequirements, TargetTable, WorkUnits,
};

use crate::{NOW, SLOTS, choose, instance, load, service, table, target, text};

fn run(unit_ms: u64, prefill_ms: u64, left: f64) -> RunProgress {
    RunProgress {
        unit_time: Duration::from_millis(unit_ms),
        prefill: Duration::from_millis(prefill_ms),
        left: PredictedWork { units: WorkUnits::new(left), reference: WorkUnits::new(1.0) },
    }
}

fn better(table: &TargetTable, run: &RunProgress) -> Option<MoveEstimate> {
    let requirements = TargetRequirements { free_slot: true, ..TargetRequirements::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    table.better_target(NOW, &instance("slow"), run, &requirements, &mut rng)
}

/// Guards against moves whose gain is smaller than the time to read the prompt again.
#[test]
fn run_moves_only_if_the_gain_exceeds_the_prefill() {
    let table = table(&[("slow", 60), ("fast", 20)]);
    let estimate = better(&table, &run(60, 300, 30.0)).expect("a gain of more than a second");
    assert_eq!(estimate.here, Duration::from_millis(1_800));
    assert_eq!(estimate.elsewhere, Duration::from_millis(100 + 600));
    assert_eq!(better(&table, &run(60, 300, 2.0)), None, "the text is nearly complete");
    assert_eq!(better(&table, &run(60, 5_400, 30.0)), None, "the prompt is long");
}

/// Guards against moves because of a slowdown that ends soon.
#[test]
fn run_stays_through_a_momentary_slowdown() {
    let table = table(&[("slow", 20), ("other", 20)]);
    assert_eq!(better(&table, &run(50, 300, 100.0)), None);
}

/// Guards against moves to engines without a free slot.
#[test]
fn run_does_not_move_to_a_full_engine() {
    let mut table = table(&[("slow", 60), ("fast", 20)]);
    table.record_load(NOW, &instance("fast"), load(SLOTS, Some(100)));
    assert_eq!(better(&table, &run(60, 100, 100.0)), None);
}

/// Guards against a run that leaves an engine and is started there again.
#[test]
fn moved_run_continues_at_another_engine() {
    let mut moved = 0;
    for (left, unit_ms) in [(5.0, 60), (5.0, 150), (30.0, 60), (30.0, 150), (300.0, 60)] {
        for busy in 0..SLOTS {
            let mut table = table(&[("slow", 60), ("fast", 20)]);
            table.record_load(NOW, &instance("fast"), load(busy, Some(100)));
            let avoid = [instance("fast")];
            let first = TargetRequirements { avoid: &avoid, ..text(left, 1.0) };
            assert_eq!(choose(&mut table, NOW, &first).as_deref(), Some("slow"));
            if better(&table, &run(unit_ms, 50, left)).is_some() {
                moved += 1;
                table.ended(&instance("slow"));
                let next = choose(&mut table, NOW, &text(left, 1.0));
                assert_eq!(next.as_deref(), Some("fast"), "{left} events left, load {busy}");
            }
        }
    }
    assert!(moved > 10, "{moved} moves");
}

/// Guards against the estimates being used for a service whose targets report no slowdown, also
/// after the only target that did is removed.
#[test]
fn service_without_reports_has_no_estimates() {
    let mut table = table(&[]);
    for (name, millis) in [("slow", 60), ("fast", 20)] {
        table.put(NOW, target(name));
        table.record_unit_time(NOW, &instance(name), Duration::from_millis(millis));
    }
    assert_eq!(better(&table, &run(60, 0, 100.0)), None);
    table.put(NOW, target("reporting"));
    table.record_load(NOW, &instance("reporting"), load(0, Some(100)));
    assert!(table.reports_slowdown(&service()));
    assert!(better(&table, &run(60, 0, 100.0)).is_some());
    table.remove(&instance("reporting"));
    assert!(!table.reports_slowdown(&service()));
    assert_eq!(table.speed(NOW, &instance("slow")), None);
}
