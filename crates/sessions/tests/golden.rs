//! Compares the event logs of sessions with snapshots.

use std::time::Duration;

use ids::ModelVersion;
use sessions::{Fault, FaultPlan, World, WorldPlan};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs a session and compares its event log and verdict with the snapshot `name`.
async fn check(name: &str, plan: WorldPlan, faults: FaultPlan) {
    let mut world: World = World::new(plan, faults);
    let verdict = world.run().await;
    let transcript = format!("{}\n\n{verdict:#?}\n", world.transcript());
    insta::assert_snapshot!(name, transcript);
}

fn small_world() -> WorldPlan {
    WorldPlan { boxes: 2, engines: 2, groups: 2, samples: 3, per_engine: 2, ..WorldPlan::default() }
}

#[tokio::test(start_paused = true)]
async fn step_with_a_weight_swap() {
    let faults = FaultPlan::default().at(ms(100), Fault::NameVersion(ModelVersion::new(2)));
    let plan = WorldPlan { samples: 5, ..small_world() };
    check("step_with_swap", plan, faults).await;
}

#[tokio::test(start_paused = true)]
async fn keeper_box_restarts() {
    let faults = FaultPlan::default().at(ms(250), Fault::RestartBox(0));
    check("keeper_dies", small_world(), faults).await;
}

#[tokio::test(start_paused = true)]
async fn keeper_box_stops_as_planned() {
    let faults = FaultPlan::default().at(ms(250), Fault::StopBox(0));
    check("keeper_stops", small_world(), faults).await;
}
