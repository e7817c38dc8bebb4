//! Whole sessions as stories: open, place, stream, swap, pull, close.

use std::time::Duration;

use ids::ModelVersion;
use sessions::{Fault, FaultPlan, World, WorldPlan};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs a session and compares its story with the one on file.
async fn check(name: &str, plan: WorldPlan, faults: FaultPlan) {
    let mut world: World = World::new(plan, faults);
    let verdict = world.run().await;
    let story = format!("{}\n\n{verdict:#?}\n", world.story());
    insta::assert_snapshot!(name, story);
}

fn small() -> WorldPlan {
    WorldPlan { boxes: 2, engines: 2, groups: 2, samples: 3, per_engine: 2, ..WorldPlan::default() }
}

#[tokio::test(start_paused = true)]
async fn a_step_with_a_swap_in_the_middle() {
    let faults = FaultPlan::default().at(ms(100), Fault::NameVersion(ModelVersion::new(2)));
    let plan = WorldPlan { samples: 5, ..small() };
    check("step_with_swap", plan, faults).await;
}

#[tokio::test(start_paused = true)]
async fn a_keeper_dies_and_another_takes_over() {
    let faults = FaultPlan::default().at(ms(250), Fault::RestartBox(0));
    check("keeper_dies", small(), faults).await;
}

#[tokio::test(start_paused = true)]
async fn a_keeper_stops_as_planned() {
    let faults = FaultPlan::default().at(ms(250), Fault::StopBox(0));
    check("keeper_stops", small(), faults).await;
}
