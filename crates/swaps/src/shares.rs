//! Which engine follows the versions of which model.
//!
//! An engine that holds several models would have to load each version of each of them, and while
//! it loads the runs of that model stand still. So where several models share engines, each engine
//! follows the versions of one: as many engines a model as its share of the work.

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

/// The model that the engine at `position`, in an order that all boxes share, follows.
pub fn followed_model(counts: &[usize], position: usize) -> Option<usize> {
    let mut end = 0;
    counts.iter().position(|count| {
        end += count;
        position < end
    })
}

#[expect(clippy::cast_precision_loss, reason = "numbers of engines are far below 2^52")]
fn as_real(count: usize) -> f64 {
    count as f64
}
