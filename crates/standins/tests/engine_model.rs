//! The engine model: lengths, batches and swaps.

use std::time::Duration;

use ids::{FencingToken, Incarnation, ModelVersion, Moment};
use standins::engine_model::{
    CHUNK_TOKENS, EngineModel, EngineSettings, OrderStart, answer_length,
};

fn drain(model: &mut EngineModel) -> Vec<(Moment, ModelVersion, u32)> {
    let mut made = Vec::new();
    while let Some(at) = model.next_at() {
        made.extend(model.step(at).into_iter().map(|step| (at, step.version, step.tokens)));
    }
    made
}

#[test]
fn lengths_have_a_heavy_tail_that_siblings_share() {
    let lengths: Vec<u32> =
        (0..4_000).map(|seed| answer_length(seed / 8, seed, 24, 100_000)).collect();
    let mean = lengths.iter().map(|length| f64::from(*length)).sum::<f64>() / 4_000.0;
    let longest = f64::from(lengths.iter().copied().max().unwrap_or(0));
    assert!(longest > 10.0 * mean, "longest {longest}, mean {mean}");
    assert_eq!(answer_length(3, 9, 24, 100_000), answer_length(3, 9, 24, 100_000));
}

#[test]
fn a_larger_batch_makes_each_quantum_longer_and_more_in_all() {
    let settings = EngineSettings { prefill: Duration::ZERO, ..EngineSettings::default() };
    let rate = |streams: u32| {
        let mut model = EngineModel::new(settings, Incarnation::new(1), ModelVersion::new(1));
        for seed in 0..streams {
            model.start(Moment::START, 1, u64::from(seed), 24);
        }
        // The first quantum began when the first stream came; the second has them all.
        let begins = model.next_at().expect("work");
        model.step(begins);
        let second = model.next_at().expect("work").since(begins);
        (second, f64::from(CHUNK_TOKENS) * f64::from(streams) / second.as_secs_f64())
    };
    let (alone, slow) = rate(1);
    let (together, fast) = rate(16);
    assert!(together > alone && fast > slow);
}

#[test]
fn a_swap_in_place_changes_the_stamps_of_streams_under_way() {
    let settings = EngineSettings { shortest: 400, ..EngineSettings::default() };
    let mut model = EngineModel::new(settings, Incarnation::new(1), ModelVersion::new(1));
    model.start(Moment::START, 1, 1, 10_000);
    let order = model.order(Moment::START, ModelVersion::new(2), FencingToken::new(1));
    let OrderStart::LoadedAt(loaded_at) = order else { panic!("refused") };
    for (at, version, _) in drain(&mut model) {
        let expected = if at >= loaded_at { 2 } else { 1 };
        assert_eq!(version, ModelVersion::new(expected), "at {at}");
    }
}
