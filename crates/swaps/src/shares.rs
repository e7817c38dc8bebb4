//! Which engine follows the versions of which model.
//!
//! An engine that holds several models would have to load each version of each of them, and while
//! it loads the runs of that model stand still. So where several models share engines, each engine
//! follows the versions of one: as many engines a model as its share of the work, but no more than its work
//! needs. Each load is an order, a refusal or two of the work that comes meanwhile, and a change of the target's
//! entry that every box hears of; engines that no model needs keep the version that they have.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Engines for each one that the open items of a model would fill: a part of them loads at any time, a failure
/// domain of them may be lost, and items come in steps.
const ENGINES_PER_FULL: f64 = 4.0;
/// Engines that follow a model without any work: the next step finds them up to date.
const LEAST_ENGINES: usize = 12;

/// Divides `engines` among models by the work of each: at least one engine a model where there are
/// enough, the rest by shares. Models without any work are treated alike.
pub fn divide_engines(engines: usize, work: &[f64]) -> Vec<usize> {
    if work.is_empty() {
        return Vec::new();
    }
    let least = usize::from(engines >= work.len());
    let mut counts = vec![least; work.len()];
    let left = engines - least * work.len();
    let (total, models) = (work.iter().sum::<f64>(), as_real(work.len()));
    let share = |work: f64| {
        let part = if total > 0.0 { work / total } else { 1.0 / models };
        // Of all engines, less the one that each model has already.
        (part * as_real(engines) - as_real(least)).max(0.0)
    };
    let wanted: Vec<f64> = work.iter().map(|work| share(*work)).collect();
    for _ in 0..left {
        let most_short = (0..work.len()).max_by(|a, b| {
            let short = |at: usize| wanted[at] - as_real(counts[at] - least);
            short(*a).total_cmp(&short(*b)).then(b.cmp(a))
        });
        if let Some(at) = most_short {
            counts[at] += 1;
        }
    }
    counts
}

/// Engines that a model with so many open items needs, of engines with `slots` places each.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float's conversion saturates"
)]
pub fn needed_engines(open_items: f64, slots: u32) -> usize {
    let full = open_items / f64::from(slots.max(1));
    LEAST_ENGINES + (full * ENGINES_PER_FULL).ceil() as usize
}

/// For each model all engines, in an order of its own that hangs on their names alone.
///
/// So an engine that comes or goes moves hardly any other, also where a whole failure domain goes.
#[derive(Debug, Clone, Default)]
pub struct EngineRanking {
    engines: usize,
    orders: Vec<Vec<usize>>,
}

impl EngineRanking {
    /// The orders of `engines` for each of `models`, all by name.
    pub fn new(engines: &[&str], models: &[&str]) -> Self {
        let order = |model: &&str| {
            let seed = xxh3_64(model.as_bytes());
            let mut order: Vec<usize> = (0..engines.len()).collect();
            order.sort_by_cached_key(|at| {
                (xxh3_64_with_seed(engines[*at].as_bytes(), seed), engines[*at])
            });
            order
        };
        Self { engines: engines.len(), orders: models.iter().map(order).collect() }
    }

    /// The engines that follow a model, each with the model's position, where each model has so many.
    pub fn followers(&self, counts: &[usize]) -> Vec<(usize, usize)> {
        let mut taken = vec![false; self.engines];
        let mut followers = Vec::with_capacity(counts.iter().sum());
        for (model, (order, count)) in self.orders.iter().zip(counts).enumerate() {
            let free: Vec<usize> =
                order.iter().copied().filter(|at| !taken[*at]).take(*count).collect();
            for at in free {
                taken[at] = true;
                followers.push((at, model));
            }
        }
        followers
    }
}

#[expect(clippy::cast_precision_loss, reason = "numbers of engines are far below 2^52")]
fn as_real(count: usize) -> f64 {
    count as f64
}
