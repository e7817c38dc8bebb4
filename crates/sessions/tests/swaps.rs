//! A rollout starts when a version is named, without waiting for the next periodic read.

use std::time::Duration;

use ids::{FencingToken, Incarnation, ModelVersion, Moment, TargetId};
use pools::SwapPolicy;
use swaps::{RolloutAction, RolloutCoordinator};

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

#[test]
fn new_version_is_ordered_immediately() {
    let engine: TargetId = "engine-1".parse().expect("the target id is valid");
    let mut coordinator = RolloutCoordinator::new(Moment::START, FencingToken::new(1));
    let set_wanted = |coordinator: &mut RolloutCoordinator, version| {
        coordinator.want(
            ModelVersion::new(version),
            SwapPolicy::AllAtOnce,
            [(engine.clone(), true)],
        );
    };
    set_wanted(&mut coordinator, 1);
    assert_eq!(coordinator.poll(at(0)), [RolloutAction::Read(engine.clone())]);
    let incarnation = Incarnation::new(1);
    coordinator.read(at(0), at(1), &engine, incarnation, Some(ModelVersion::new(1)));
    set_wanted(&mut coordinator, 2);
    let actions = coordinator.poll(at(2));
    assert!(matches!(actions.as_slice(), [RolloutAction::Order(_)]), "{actions:?}");
}
