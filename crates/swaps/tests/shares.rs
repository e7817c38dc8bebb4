//! Division of engines among models by their work.

use std::collections::HashSet;

use swaps::{EngineRanking, divide_engines, needed_engines};

const MODELS: [&str; 3] = ["m-0", "m-1", "m-2"];

fn names(engines: usize) -> Vec<String> {
    (0..engines).map(|index| format!("i-{index}")).collect()
}

fn ranking(engines: usize) -> EngineRanking {
    let names = names(engines);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    EngineRanking::new(&names, &MODELS)
}

#[test]
fn engines_are_divided_by_work() {
    assert_eq!(divide_engines(45, &[3_560.0, 1_408.0, 3_560.0]), [19, 7, 19]);
    assert_eq!(divide_engines(9, &[1.0, 1.0]), [5, 4]);
    assert_eq!(divide_engines(11, &[7.0]), [11]);
}

#[test]
fn every_model_has_an_engine_if_there_are_enough() {
    assert_eq!(divide_engines(5, &[100.0, 0.0, 0.0]), [3, 1, 1]);
    assert_eq!(divide_engines(3, &[0.0, 0.0, 0.0]), [1, 1, 1]);
    assert_eq!(divide_engines(2, &[0.0, 5.0, 1.0]).iter().sum::<usize>(), 2);
    assert!(divide_engines(4, &[]).is_empty());
}

#[test]
fn every_engine_follows_exactly_one_model() {
    for engines in 0..60 {
        for work in [[1.0, 2.0, 3.0], [0.0, 0.0, 9.0], [5.0, 5.0, 5.0]] {
            let counts = divide_engines(engines, &work);
            assert_eq!(counts.iter().sum::<usize>(), engines, "{counts:?}");
            let followers = ranking(engines).followers(&counts);
            let followed: HashSet<usize> = followers.iter().map(|(engine, _)| *engine).collect();
            assert_eq!((followers.len(), followed.len()), (engines, engines));
            for (model, count) in counts.iter().enumerate() {
                let of_model = followers.iter().filter(|(_, followed)| *followed == model);
                assert_eq!(of_model.count(), *count);
            }
        }
    }
}

#[test]
fn more_work_never_means_fewer_engines() {
    for step in 0..40 {
        let before = divide_engines(20, &[f64::from(step), 10.0, 10.0]);
        let after = divide_engines(20, &[f64::from(step + 1), 10.0, 10.0]);
        assert!(after[0] >= before[0], "{before:?} {after:?}");
    }
}

/// Guards against a cost per version, in loads and updates, that grows with the fleet.
#[test]
fn a_larger_fleet_needs_no_more_engines_for_the_same_work() {
    let follower_count = |engines: usize| {
        let work = [150.0, 150.0, 150.0];
        let shares = divide_engines(engines, &work).into_iter().zip(work);
        let counts: Vec<usize> =
            shares.map(|(share, work)| share.min(needed_engines(work, 6))).collect();
        ranking(engines).followers(&counts).len()
    };
    assert_eq!(follower_count(45), 45, "a small fleet uses all engines");
    assert_eq!(follower_count(3_000), follower_count(6_000));
    assert!(follower_count(6_000) < 450, "{}", follower_count(6_000));
    assert!(needed_engines(300.0, 6) > needed_engines(150.0, 6));
}

/// Guards against many reassigned engines, which all have to load, after the loss of a domain.
#[test]
fn the_loss_of_a_domain_reassigns_few_other_engines() {
    let all = names(1_200);
    let counts = [100, 100, 100];
    let follow = |engines: &[&str]| -> HashSet<(String, usize)> {
        let followers = EngineRanking::new(engines, &MODELS).followers(&counts);
        followers.into_iter().map(|(index, model)| (engines[index].to_owned(), model)).collect()
    };
    let before = follow(&all.iter().map(String::as_str).collect::<Vec<_>>());
    let remaining: Vec<&str> =
        all.iter().map(String::as_str).filter(|name| !name.ends_with('7')).collect();
    let after = follow(&remaining);
    let lost = before.iter().filter(|(engine, _)| engine.ends_with('7')).count();
    let moved = before.difference(&after).count() - lost;
    assert!(lost > 0);
    // An engine ranked highly by two models may be reassigned when a higher-ranked one is lost.
    assert!(moved <= lost / 2, "{moved} engines reassigned after {lost} were lost");
}
