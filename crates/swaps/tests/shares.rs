//! Engines are divided among models by their work.

use swaps::{divide_engines, followed_model};

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
            let followed = (0..engines).filter_map(|at| followed_model(&counts, at));
            assert_eq!(followed.count(), engines);
            assert_eq!(followed_model(&counts, engines), None);
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
