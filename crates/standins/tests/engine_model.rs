//! Tests of the engine model: response lengths, batches and weight swaps.

use std::time::Duration;

use ids::{FencingToken, Incarnation, ModelVersion, Moment};
use standins::engine_model::{
    CHUNK_TOKENS, EngineModel, EngineSettings, OrderStart, response_length,
};

fn run_to_end(model: &mut EngineModel) -> Vec<(Moment, ModelVersion, u32)> {
    let mut chunks = Vec::new();
    while let Some(at) = model.next_at() {
        chunks.extend(model.step(at).into_iter().map(|step| (at, step.version, step.tokens)));
    }
    chunks
}

#[test]
fn response_lengths_are_heavy_tailed_and_deterministic() {
    let lengths: Vec<u32> =
        (0..4_000).map(|seed| response_length(seed / 8, seed, 24, 100_000)).collect();
    let mean = lengths.iter().map(|length| f64::from(*length)).sum::<f64>() / 4_000.0;
    let longest = f64::from(lengths.iter().copied().max().unwrap_or(0));
    assert!(longest > 10.0 * mean, "longest {longest}, mean {mean}");
    assert_eq!(response_length(3, 9, 24, 100_000), response_length(3, 9, 24, 100_000));
}

#[test]
fn larger_batch_has_longer_quanta_and_higher_throughput() {
    let settings = EngineSettings { prefill: Duration::ZERO, ..EngineSettings::default() };
    let rate = |streams: u32| {
        let mut model = EngineModel::new(settings, Incarnation::new(1), ModelVersion::new(1));
        for seed in 0..streams {
            model.start(Moment::START, 1, u64::from(seed), 24);
        }
        // The first quantum started with one stream; the second contains all of them.
        let second_start = model.next_at().expect("a quantum is due");
        model.step(second_start);
        let second_duration = model.next_at().expect("a quantum is due").since(second_start);
        (
            second_duration,
            f64::from(CHUNK_TOKENS) * f64::from(streams) / second_duration.as_secs_f64(),
        )
    };
    let (alone, slow) = rate(1);
    let (together, fast) = rate(16);
    assert!(together > alone && fast > slow);
}

#[test]
fn in_place_swap_changes_version_of_running_streams() {
    let settings = EngineSettings { min_tokens: 400, ..EngineSettings::default() };
    let mut model = EngineModel::new(settings, Incarnation::new(1), ModelVersion::new(1));
    model.start(Moment::START, 1, 1, 10_000);
    let order = model.order(Moment::START, ModelVersion::new(2), FencingToken::new(1));
    let OrderStart::LoadedAt(loaded_at) = order else { panic!("the order was refused") };
    for (at, version, _) in run_to_end(&mut model) {
        let expected = if at >= loaded_at { 2 } else { 1 };
        assert_eq!(version, ModelVersion::new(expected), "at {at}");
    }
}
