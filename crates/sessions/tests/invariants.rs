//! Invariants of sessions with random faults: no sample is lost, duplicated, stale or attributed
//! to the wrong version, and the step completes.
//!
//! Each property runs a fixed list of seeds; a failure prints the seed and the session's event log.

use std::time::Duration;

use arbtest::arbitrary::{Result as ArbitraryResult, Unstructured};
use arbtest::arbtest;
use ids::ModelVersion;
use sessions::{Fault, FaultPlan, Verdict, World, WorldPlan};
use tokio::runtime::Builder;

/// Number of sessions per property.
const SESSION_COUNT: u64 = 300;
/// Bytes of random input per session.
const ENTROPY_BYTES: u64 = 512;
/// Latest start of a fault, in milliseconds; longer than a step without faults takes.
const FAULT_WINDOW_MS: u64 = 4_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(plan: WorldPlan, faults: FaultPlan) -> (Verdict, String) {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime without I/O can be built");
    runtime.block_on(async {
        let mut world: World = World::new(plan, faults);
        let verdict = world.run().await;
        (verdict, world.transcript())
    })
}

/// Runs the sessions of a property; each must complete without violations.
fn check(
    property: &str,
    draw: impl Fn(&mut Unstructured<'_>, &WorldPlan) -> ArbitraryResult<FaultPlan>,
) {
    for index in 0..SESSION_COUNT {
        // arbtest reads the size of the random input from the lower half of the seed.
        let seed = index.wrapping_mul(0x9e37_79b9) << 32 | ENTROPY_BYTES;
        arbtest(|u| {
            let plan = WorldPlan { seed: u.arbitrary()?, ..WorldPlan::default() };
            let faults = draw(u, &plan)?;
            let (verdict, transcript) = run(plan, faults);
            assert!(
                verdict.violations.is_empty() && verdict.complete,
                "{property}, session {index}: {verdict:#?}\n{transcript}"
            );
            Ok(())
        })
        .seed(seed);
    }
}

fn random_millis(u: &mut Unstructured<'_>) -> ArbitraryResult<u64> {
    u.int_in_range(0..=FAULT_WINDOW_MS)
}

/// Adds a fault with a random start and duration.
fn add_lasting_fault(
    u: &mut Unstructured<'_>,
    plan: FaultPlan,
    begin: Fault,
    end: Fault,
    max_millis: u64,
) -> ArbitraryResult<FaultPlan> {
    let from = random_millis(u)?;
    let duration = u.int_in_range(10..=max_millis)?;
    Ok(plan.at(ms(from), begin).at(ms(from + duration), end))
}

/// Adds a random fault that affects keepers, their leases or replies.
fn add_keeper_fault(
    u: &mut Unstructured<'_>,
    plan: FaultPlan,
    world: &WorldPlan,
) -> ArbitraryResult<FaultPlan> {
    let index = u.choose_index(world.boxes)?;
    Ok(match u.int_in_range(0..=7)? {
        0 => plan.at(ms(random_millis(u)?), Fault::RestartBox(index)),
        1 => add_lasting_fault(u, plan, Fault::FreezeBox(index), Fault::ThawBox(index), 5_000)?,
        2 => add_lasting_fault(
            u,
            plan,
            Fault::DisconnectBox(index),
            Fault::ReconnectBox(index),
            6_000,
        )?,
        3 => add_lasting_fault(u, plan, Fault::StoreDown, Fault::StoreUp, 8_000)?,
        4 => plan.at(ms(random_millis(u)?), Fault::LoseStoreResponses(u.int_in_range(1..=3)?)),
        5 => plan.at(ms(random_millis(u)?), Fault::LoseReplies(u.int_in_range(1..=4)?)),
        6 => plan.at(ms(random_millis(u)?), Fault::DuplicateReplies(u.int_in_range(1..=4)?)),
        _ => plan.at(ms(random_millis(u)?), Fault::RestartTrainer),
    })
}

/// Adds a random fault that affects weight versions and their attribution.
fn add_version_fault(
    u: &mut Unstructured<'_>,
    plan: FaultPlan,
    world: &WorldPlan,
) -> ArbitraryResult<FaultPlan> {
    let index = u.choose_index(world.engines)?;
    let version = ModelVersion::new(u.int_in_range(1..=5)?);
    Ok(match u.int_in_range(0..=6)? {
        0 | 1 => plan.at(ms(random_millis(u)?), Fault::NameVersion(version)),
        2 => plan.at(ms(random_millis(u)?), Fault::RestartEngine(index, version)),
        3 => plan.at(ms(random_millis(u)?), Fault::LoseOrderResponse(index)),
        4 => plan.at(ms(random_millis(u)?), Fault::RefuseOrder(index)),
        5 => plan.at(ms(random_millis(u)?), Fault::DropStamps(index, u.int_in_range(1..=3)?)),
        _ => plan.at(ms(random_millis(u)?), Fault::BreakStreams(index)),
    })
}

/// Adds versions that are named in ascending order, as by a trainer.
fn add_ascending_versions(
    u: &mut Unstructured<'_>,
    mut plan: FaultPlan,
) -> ArbitraryResult<FaultPlan> {
    let mut at = 0;
    for version in 2..=u.int_in_range(2..=5)? {
        at += u.int_in_range(50..=900)?;
        plan = plan.at(ms(at), Fault::NameVersion(ModelVersion::new(version)));
    }
    Ok(plan)
}

#[test]
fn one_keeper_fault_duplicates_and_loses_no_sample() {
    check("one keeper fault", |u, world| add_keeper_fault(u, FaultPlan::default(), world));
}

#[test]
fn several_keeper_faults_duplicate_and_lose_no_sample() {
    check("several keeper faults", |u, world| {
        let mut plan = FaultPlan::default();
        for _ in 0..u.int_in_range(2..=5)? {
            plan = add_keeper_fault(u, plan, world)?;
        }
        Ok(plan)
    });
}

#[test]
fn versions_are_attributed_and_within_the_bound_during_swaps() {
    check("swaps", |u, world| {
        let mut plan = add_ascending_versions(u, FaultPlan::default())?;
        for _ in 0..u.int_in_range(0..=3)? {
            plan = add_version_fault(u, plan, world)?;
        }
        Ok(plan)
    });
}

#[test]
fn swaps_with_keeper_faults_violate_no_invariant() {
    check("swaps and keeper faults", |u, world| {
        let mut plan = add_ascending_versions(u, FaultPlan::default())?;
        for _ in 0..u.int_in_range(1..=3)? {
            plan = add_keeper_fault(u, plan, world)?;
            plan = add_version_fault(u, plan, world)?;
        }
        Ok(plan)
    });
}

#[test]
fn leaving_engines_get_no_work_and_the_step_completes() {
    check("leaving engines", |u, world| {
        let first = u.choose_index(world.engines)?;
        let mut plan =
            FaultPlan::default().at(ms(random_millis(u)? / 4), Fault::MarkEngineLeaving(first));
        if u.arbitrary()? {
            let second = (first + 1) % world.engines;
            plan = plan.at(ms(random_millis(u)? / 4), Fault::MarkEngineLeaving(second));
        }
        add_ascending_versions(u, plan)
    });
}

#[test]
fn two_planned_stops_lose_no_sample() {
    check("planned stops", |u, _| {
        let first = random_millis(u)?;
        let second = if u.arbitrary()? { first } else { random_millis(u)? };
        let plan = FaultPlan::default().at(ms(first), Fault::StopBox(0));
        Ok(plan.at(ms(second), Fault::StopBox(1)))
    });
}
