//! Order in which engines load when several models share them.

use swaps::{FollowedEngine, due_loads};

fn engine(model: usize, behind: u64, running: u32) -> FollowedEngine {
    FollowedEngine { model, behind, ordered: false, running }
}

#[test]
fn the_model_with_the_smallest_fraction_of_fresh_engines_goes_first() {
    // Model 0 has the most outdated engine; model 1 has no up-to-date engine.
    let engines = [engine(0, 0, 1), engine(0, 5, 1), engine(1, 1, 9), engine(1, 1, 3)];
    assert_eq!(due_loads(&engines), [3, 2, 1]);
}

#[test]
fn an_engine_with_an_order_counts_as_up_to_date() {
    let ordered = FollowedEngine { ordered: true, ..engine(1, 1, 3) };
    let engines = [engine(0, 1, 0), engine(0, 1, 0), ordered, engine(1, 1, 0)];
    assert_eq!(due_loads(&engines), [0, 1, 3]);
}

#[test]
fn within_a_model_the_most_outdated_then_least_loaded_goes_first() {
    let engines = [engine(0, 1, 2), engine(0, 2, 7), engine(0, 1, 0), engine(0, 0, 0)];
    assert_eq!(due_loads(&engines), [1, 2, 0]);
}

#[test]
fn nothing_is_due_when_all_engines_are_up_to_date() {
    assert!(due_loads(&[engine(0, 0, 1), engine(1, 0, 1)]).is_empty());
    assert!(due_loads(&[]).is_empty());
}
