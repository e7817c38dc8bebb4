//! Trainers that compete for too few engines, simulated on a job table without a network.

#[path = "shortage/simulation.rs"]
mod simulation;

use jobs::StartOrder;
use simulation::{STEP_INTERVAL_MS, Simulation, Step};

/// Slots of all engines; the trainers need 95% of them for all their groups.
const SLOTS: usize = 72;
const TRAINERS: usize = 3;
/// Steps after the end of a shortage by which every trainer must be on time again.
const RECOVERY_STEPS: u64 = 3;
/// Maximum lateness of any step under a lasting shortage. Ordering late jobs last without any gain
/// over time exceeds it.
const MAX_LATE_MS: u64 = 8_000;

fn is_late_after(steps: &[Step], submitted_ms: u64) -> bool {
    steps.iter().any(|step| step.submitted_ms >= submitted_ms && step.late_ms() > 0)
}

fn steps_of(steps: &[Step], trainer: usize) -> impl Iterator<Item = &Step> {
    steps.iter().filter(move |step| step.trainer == trainer)
}

/// Guards against trainers that stay behind for good after an outage, as they do when items are
/// ordered by acceptance.
#[test]
fn all_trainers_are_on_time_soon_after_engines_were_halved_for_a_while() {
    let (from, until) = (12_000, 32_000);
    let slots = |now| if (from..until).contains(&now) { SLOTS / 2 } else { SLOTS };
    let recovered = until + RECOVERY_STEPS * STEP_INTERVAL_MS;
    let run = |order| Simulation::new(order, TRAINERS).run(60_000, slots);
    let by_acceptance = run(StartOrder::Accepted);
    assert!(is_late_after(&by_acceptance, recovered), "the shortage has a lasting effect");
    let steps = run(StartOrder::Due);
    assert!(is_late_after(&steps, 0), "the shortage makes steps late");
    assert!(!is_late_after(&steps, recovered), "{steps:?}");
    for trainer in 0..TRAINERS {
        let done = steps_of(&steps, trainer).count();
        assert!(done >= 11, "trainer {trainer} completed {done} steps");
    }
}

/// Guards against an order in which a trainer that is behind counts as much as one that isn't.
#[test]
fn one_trainer_that_is_behind_catches_up_with_two_that_are_not() {
    let run = |order| {
        let mut simulation = Simulation::new(order, TRAINERS);
        simulation.delay_first_step(0, 6_000);
        simulation.run(40_000, |_now| SLOTS)
    };
    let first_late_ms = |steps: &[Step]| steps_of(steps, 0).next().expect("a step").late_ms();
    let (by_acceptance, steps) = (run(StartOrder::Accepted), run(StartOrder::Due));
    let (late_by_acceptance, late) = (first_late_ms(&by_acceptance), first_late_ms(&steps));
    assert!(
        late > 0 && late < late_by_acceptance / 2,
        "{late} ms late, {late_by_acceptance} by acceptance"
    );
    assert!(!is_late_after(&steps, 1), "only the delayed step is late: {steps:?}");
}

/// Guards against an order in which on-time jobs starve those that are late already.
#[test]
fn no_trainer_is_left_behind_under_lasting_shortage() {
    let mut simulation = Simulation::new(StartOrder::Due, TRAINERS);
    simulation.delay_first_step(0, 6_000);
    let steps = simulation.run(90_000, |_now| SLOTS * 5 / 6);
    assert!(is_late_after(&steps, 1));
    let latest = steps.iter().map(Step::late_ms).max();
    assert!(latest.is_some_and(|latest| latest < MAX_LATE_MS), "{latest:?}");
    let counts: Vec<usize> =
        (0..TRAINERS).map(|trainer| steps_of(&steps, trainer).count()).collect();
    let (fewest, most) = (counts.iter().min(), counts.iter().max());
    assert!(fewest.zip(most).is_some_and(|(fewest, most)| fewest + 2 >= *most), "{counts:?}");
}
