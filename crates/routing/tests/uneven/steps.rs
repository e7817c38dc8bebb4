//! Figures of simulated steps with and without slowdown reports.

use crate::sim::{Figures, Scenario, simulate};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

/// Sums the figures of all seeds.
fn total(texts: usize, reports: bool) -> Figures {
    let figures = SEEDS.map(|seed| simulate(Scenario { seed, reports, texts }));
    let total = figures.fold(Figures::default(), Figures::plus);
    println!("{texts} texts per step, reports {reports}: {total}");
    total
}

/// Guards against short texts that take the fast slots of long ones, and against runs that move
/// because of momentary slowdowns or because they were started at the wrong engine.
#[test]
fn steps_complete_earlier_and_fewer_runs_move() {
    for texts in [40, 52, 60] {
        let (without, with) = (total(texts, false), total(texts, true));
        assert!(with.mean_last_ms() < 0.85 * without.mean_last_ms(), "{texts} texts per step");
        assert!(with.moved_share() < 0.08, "{texts} texts per step");
        assert!(with.moved_share() < 0.25 * without.moved_share(), "{texts} texts per step");
    }
}

/// Guards against a price for fast slots that makes steps of few texts slower.
#[test]
fn steps_of_few_texts_complete_no_later() {
    let (without, with) = (total(24, false), total(24, true));
    assert!(with.mean_last_ms() < without.mean_last_ms());
}
