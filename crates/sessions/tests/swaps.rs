//! A roll-out begins when the version is named, not at the next rest reading.

use std::time::Duration;

use ids::{FencingToken, Incarnation, ModelVersion, Moment, TargetId};
use pools::SwapPolicy;
use swaps::{RolloutAction, RolloutCoordinator};

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

#[test]
fn a_new_version_is_ordered_at_once() {
    let engine: TargetId = "engine-1".parse().expect("an id");
    let mut conductor = RolloutCoordinator::new(Moment::START, FencingToken::new(1));
    let want = |conductor: &mut RolloutCoordinator, version| {
        conductor.want(ModelVersion::new(version), SwapPolicy::AllAtOnce, [(engine.clone(), true)]);
    };
    want(&mut conductor, 1);
    assert_eq!(conductor.poll(at(0)), [RolloutAction::Read(engine.clone())]);
    let life = Incarnation::new(1);
    conductor.read(at(0), at(1), &engine, life, Some(ModelVersion::new(1)));
    want(&mut conductor, 2);
    let actions = conductor.poll(at(2));
    assert!(matches!(actions.as_slice(), [RolloutAction::Order(_)]), "{actions:?}");
}
