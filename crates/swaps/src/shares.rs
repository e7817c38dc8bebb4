//! Assignment of engines to models.
//!
//! An engine that serves several models would have to load every version of each of them, and
//! requests of a model stall while it loads. Where several models share engines, each engine
//! therefore follows the versions of one model. A model gets engines in proportion to its work, but
//! no more than it needs, because each load causes refusals and an update to every box. Engines
//! that no model needs keep their version.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A model gets this many times the engines that its open items would fill. Allows for engines that
/// are loading, the loss of a failure domain, and bursts of items.
const HEADROOM_FACTOR: f64 = 4.0;
/// Minimum number of engines that a model needs, so that a new step finds up-to-date engines.
const MIN_ENGINES: usize = 12;

/// Divides `engines` among models and returns the number for each model.
///
/// Each model gets at least one engine if there are enough, and the others in proportion to its
/// work. If no model has work, the engines are divided equally.
pub fn divide_engines(engines: usize, work: &[f64]) -> Vec<usize> {
    if work.is_empty() {
        return Vec::new();
    }
    let min_count = usize::from(engines >= work.len());
    let mut counts = vec![min_count; work.len()];
    let remaining = engines - min_count * work.len();
    let (total, models) = (work.iter().sum::<f64>(), as_f64(work.len()));
    let share = |work: f64| {
        let fraction = if total > 0.0 { work / total } else { 1.0 / models };
        // The share of all engines, minus the engine that each model already has.
        (fraction * as_f64(engines) - as_f64(min_count)).max(0.0)
    };
    let wanted: Vec<f64> = work.iter().map(|work| share(*work)).collect();
    for _ in 0..remaining {
        let largest_deficit = (0..work.len()).max_by(|a, b| {
            let deficit = |model: usize| wanted[model] - as_f64(counts[model] - min_count);
            deficit(*a).total_cmp(&deficit(*b)).then(b.cmp(a))
        });
        if let Some(model) = largest_deficit {
            counts[model] += 1;
        }
    }
    counts
}

/// Returns the number of engines that a model with `open_items` needs, with `slots` per engine.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float-to-integer conversion saturates"
)]
pub fn needed_engines(open_items: f64, slots: u32) -> usize {
    let filled = open_items / f64::from(slots.max(1));
    MIN_ENGINES + (filled * HEADROOM_FACTOR).ceil() as usize
}

/// A ranking of all engines for each model, by a hash of their names.
///
/// Adding or removing engines, even a full failure domain, reassigns few others.
#[derive(Debug, Clone, Default)]
pub struct EngineRanking {
    engines: usize,
    rankings: Vec<Vec<usize>>,
}

impl EngineRanking {
    /// Ranks `engines` for each of `models`, both given by name.
    pub fn new(engines: &[&str], models: &[&str]) -> Self {
        let ranking = |model: &&str| {
            let seed = xxh3_64(model.as_bytes());
            let mut ranking: Vec<usize> = (0..engines.len()).collect();
            ranking.sort_by_cached_key(|index| {
                (xxh3_64_with_seed(engines[*index].as_bytes(), seed), engines[*index])
            });
            ranking
        };
        Self { engines: engines.len(), rankings: models.iter().map(ranking).collect() }
    }

    /// Assigns `counts[model]` engines to each model. Returns pairs of an engine's index and its
    /// model's index.
    pub fn followers(&self, counts: &[usize]) -> Vec<(usize, usize)> {
        let mut assigned = vec![false; self.engines];
        let mut followers = Vec::with_capacity(counts.iter().sum());
        for (model, (ranking, count)) in self.rankings.iter().zip(counts).enumerate() {
            let free: Vec<usize> =
                ranking.iter().copied().filter(|index| !assigned[*index]).take(*count).collect();
            for index in free {
                assigned[index] = true;
                followers.push((index, model));
            }
        }
        followers
    }
}

#[expect(clippy::cast_precision_loss, reason = "numbers of engines are far below 2^52")]
fn as_f64(count: usize) -> f64 {
    count as f64
}
