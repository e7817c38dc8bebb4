//! The promises as invariants over whole sessions with faults drawn at random.
//!
//! Each property runs a fixed list of seeds, so that a run gives the same verdict every time;
//! a failure prints its seed and the session's story.

use std::time::Duration;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use arbtest::arbtest;
use ids::ModelVersion;
use sessions::{Fault, FaultPlan, Verdict, World, WorldPlan};
use tokio::runtime::Builder;

/// Sessions of each property.
const SESSIONS: u64 = 300;
/// Bytes of chance that a session may draw.
const ENTROPY: u64 = 512;
/// Faults come within this time; a step without any takes about a second.
const FAULT_WINDOW_MS: u64 = 4_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(plan: WorldPlan, faults: FaultPlan) -> (Verdict, String) {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime without I/O always builds");
    runtime.block_on(async {
        let mut world: World = World::new(plan, faults);
        let verdict = world.run().await;
        (verdict, world.story())
    })
}

/// Runs the property's sessions: none may break a promise, and each must end whole.
fn check(property: &str, draw: impl Fn(&mut Unstructured<'_>, &WorldPlan) -> Drawn<FaultPlan>) {
    for index in 0..SESSIONS {
        // The library reads the size of the entropy from a seed's lower half.
        let seed = index.wrapping_mul(0x9e37_79b9) << 32 | ENTROPY;
        arbtest(|u| {
            let plan = WorldPlan { seed: u.arbitrary()?, ..WorldPlan::default() };
            let faults = draw(u, &plan)?;
            let (verdict, story) = run(plan, faults);
            assert!(
                verdict.breaches.is_empty() && verdict.complete,
                "{property}, session {index}: {verdict:#?}\n{story}"
            );
            Ok(())
        })
        .seed(seed);
    }
}

fn moment(u: &mut Unstructured<'_>) -> Drawn<u64> {
    u.int_in_range(0..=FAULT_WINDOW_MS)
}

/// A fault that begins and ends.
fn span(
    u: &mut Unstructured<'_>,
    plan: FaultPlan,
    begin: Fault,
    end: Fault,
    longest: u64,
) -> Drawn<FaultPlan> {
    let from = moment(u)?;
    let lasts = u.int_in_range(10..=longest)?;
    Ok(plan.at(ms(from), begin).at(ms(from + lasts), end))
}

/// One fault of those that threaten keepers and their leases.
fn keeper_fault(u: &mut Unstructured<'_>, plan: FaultPlan, world: &WorldPlan) -> Drawn<FaultPlan> {
    let index = u.choose_index(world.boxes)?;
    Ok(match u.int_in_range(0..=7)? {
        0 => plan.at(ms(moment(u)?), Fault::RestartBox(index)),
        1 => span(u, plan, Fault::FreezeBox(index), Fault::ThawBox(index), 5_000)?,
        2 => span(u, plan, Fault::CutBox(index), Fault::HealBox(index), 6_000)?,
        3 => span(u, plan, Fault::StoreDown, Fault::StoreUp, 8_000)?,
        4 => plan.at(ms(moment(u)?), Fault::LoseStoreAnswers(u.int_in_range(1..=3)?)),
        5 => plan.at(ms(moment(u)?), Fault::LoseReplies(u.int_in_range(1..=4)?)),
        6 => plan.at(ms(moment(u)?), Fault::DoubleReplies(u.int_in_range(1..=4)?)),
        _ => plan.at(ms(moment(u)?), Fault::RestartTrainer),
    })
}

/// One fault of those that threaten versions and attribution.
fn version_fault(u: &mut Unstructured<'_>, plan: FaultPlan, world: &WorldPlan) -> Drawn<FaultPlan> {
    let index = u.choose_index(world.engines)?;
    let version = ModelVersion::new(u.int_in_range(1..=5)?);
    Ok(match u.int_in_range(0..=6)? {
        0 | 1 => plan.at(ms(moment(u)?), Fault::NameVersion(version)),
        2 => plan.at(ms(moment(u)?), Fault::RestartEngine(index, version)),
        3 => plan.at(ms(moment(u)?), Fault::LoseOrderAnswer(index)),
        4 => plan.at(ms(moment(u)?), Fault::RefuseOrder(index)),
        5 => plan.at(ms(moment(u)?), Fault::DropStamps(index, u.int_in_range(1..=3)?)),
        _ => plan.at(ms(moment(u)?), Fault::CutStreams(index)),
    })
}

/// Versions are named in order, as a trainer does.
fn rising_versions(u: &mut Unstructured<'_>, mut plan: FaultPlan) -> Drawn<FaultPlan> {
    let mut at = 0;
    for version in 2..=u.int_in_range(2..=5)? {
        at += u.int_in_range(50..=900)?;
        plan = plan.at(ms(at), Fault::NameVersion(ModelVersion::new(version)));
    }
    Ok(plan)
}

#[test]
fn one_keeper_fault_doubles_and_loses_nothing() {
    check("one keeper fault", |u, world| keeper_fault(u, FaultPlan::default(), world));
}

#[test]
fn several_keeper_faults_together_double_and_lose_nothing() {
    check("several keeper faults", |u, world| {
        let mut plan = FaultPlan::default();
        for _ in 0..u.int_in_range(2..=5)? {
            plan = keeper_fault(u, plan, world)?;
        }
        Ok(plan)
    });
}

#[test]
fn versions_are_attributed_and_fresh_under_swaps() {
    check("swaps", |u, world| {
        let mut plan = rising_versions(u, FaultPlan::default())?;
        for _ in 0..u.int_in_range(0..=3)? {
            plan = version_fault(u, plan, world)?;
        }
        Ok(plan)
    });
}

#[test]
fn swaps_and_keeper_faults_together_break_no_promise() {
    check("swaps and keeper faults", |u, world| {
        let mut plan = rising_versions(u, FaultPlan::default())?;
        for _ in 0..u.int_in_range(1..=3)? {
            plan = keeper_fault(u, plan, world)?;
            plan = version_fault(u, plan, world)?;
        }
        Ok(plan)
    });
}

#[test]
fn leaving_engines_get_no_work_and_the_step_ends_without_them() {
    check("leaving engines", |u, world| {
        let first = u.choose_index(world.engines)?;
        let mut plan = FaultPlan::default().at(ms(moment(u)? / 4), Fault::LeaveEngine(first));
        if u.arbitrary()? {
            let second = (first + 1) % world.engines;
            plan = plan.at(ms(moment(u)? / 4), Fault::LeaveEngine(second));
        }
        rising_versions(u, plan)
    });
}

#[test]
fn planned_stops_lose_nothing_even_two_at_once() {
    check("planned stops", |u, _| {
        let first = moment(u)?;
        let second = if u.arbitrary()? { first } else { moment(u)? };
        let plan = FaultPlan::default().at(ms(first), Fault::StopBox(0));
        Ok(plan.at(ms(second), Fault::StopBox(1)))
    });
}
