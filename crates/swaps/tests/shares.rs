//! Engines are divided among models by their work.

use std::collections::HashSet;

use swaps::{EngineRanking, divide_engines, needed_engines};

const MODELS: [&str; 3] = ["m-0", "m-1", "m-2"];

fn names(engines: usize) -> Vec<String> {
    (0..engines).map(|at| format!("i-{at}")).collect()
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
fn every_model_has_an_engine_where_there_are_enough() {
    assert_eq!(divide_engines(5, &[100.0, 0.0, 0.0]), [3, 1, 1]);
    assert_eq!(divide_engines(3, &[0.0, 0.0, 0.0]), [1, 1, 1]);
    assert_eq!(divide_engines(2, &[0.0, 5.0, 1.0]).iter().sum::<usize>(), 2);
    assert!(divide_engines(4, &[]).is_empty());
}

#[test]
fn all_engines_are_given_and_each_follows_one_model() {
    for engines in 0..60 {
        for work in [[1.0, 2.0, 3.0], [0.0, 0.0, 9.0], [5.0, 5.0, 5.0]] {
            let counts = divide_engines(engines, &work);
            assert_eq!(counts.iter().sum::<usize>(), engines, "{counts:?}");
            let followers = ranking(engines).followers(&counts);
            let followed: HashSet<usize> = followers.iter().map(|(at, _)| *at).collect();
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

/// What a version costs in loads, orders and news of them goes with the work, not with the fleet.
#[test]
fn a_larger_fleet_loads_no_more_engines_for_the_same_work() {
    let followers = |engines: usize| {
        let work = [150.0, 150.0, 150.0];
        let shares = divide_engines(engines, &work).into_iter().zip(work);
        let counts: Vec<usize> =
            shares.map(|(share, work)| share.min(needed_engines(work, 6))).collect();
        ranking(engines).followers(&counts).len()
    };
    assert_eq!(followers(45), 45, "a small one needs all that it has");
    assert_eq!(followers(3_000), followers(6_000));
    assert!(followers(6_000) < 450, "{}", followers(6_000));
    assert!(needed_engines(300.0, 6) > needed_engines(150.0, 6));
}

/// A failure domain takes a sixth of all engines with it. Where engines follow by their place in one order, nearly
/// all of the last model's are other ones then, and have to load while the rest has more to do.
#[test]
fn the_loss_of_a_domain_moves_few_other_engines() {
    let all = names(1_200);
    let counts = [100, 100, 100];
    let follow = |engines: &[&str]| -> HashSet<(String, usize)> {
        let followers = EngineRanking::new(engines, &MODELS).followers(&counts);
        followers.into_iter().map(|(at, model)| (engines[at].to_owned(), model)).collect()
    };
    let before = follow(&all.iter().map(String::as_str).collect::<Vec<_>>());
    let left: Vec<&str> =
        all.iter().map(String::as_str).filter(|name| !name.ends_with('7')).collect();
    let after = follow(&left);
    let lost = before.iter().filter(|(engine, _)| engine.ends_with('7')).count();
    let moved = before.difference(&after).count() - lost;
    assert!(lost > 0);
    // An engine that two models want may go to the other one when a rank above it falls free.
    assert!(moved <= lost / 2, "{moved} moved where {lost} were lost");
}
