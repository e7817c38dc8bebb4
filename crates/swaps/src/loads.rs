//! Selection of the engines that load next.
//!
//! Only a few engines may load at the same time, so with several trainers on one pool a new version
//! may be named before all engines have the previous one. The model with the smallest fraction of
//! up-to-date engines goes first, because its steps can use only its own engines. Among the
//! engines of a model, the most outdated one goes first.

use std::cmp::Reverse;
use std::collections::HashMap;

/// An engine and the model whose versions it loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowedEngine {
    /// Position of the model among the service's models.
    pub model: usize,
    /// Number of versions that the engine is behind the named version.
    pub behind: u64,
    /// Whether an order to the engine is in flight.
    pub ordered: bool,
    /// Number of requests running at the engine.
    pub running: u32,
}

impl FollowedEngine {
    const fn is_fresh(&self) -> bool {
        self.behind == 0 || self.ordered
    }
}

/// Returns the indices of the engines that should load, in order of priority.
pub fn due_loads(engines: &[FollowedEngine]) -> Vec<usize> {
    let mut counts: HashMap<usize, (usize, usize)> = HashMap::new();
    for engine in engines {
        let (fresh, all) = counts.entry(engine.model).or_default();
        *fresh += usize::from(engine.is_fresh());
        *all += 1;
    }
    let fresh_permille = |model: usize| {
        let (fresh, all) = counts.get(&model).copied().unwrap_or_default();
        // An integer, so that it can be compared exactly.
        fresh * 1_000 / all.max(1)
    };
    let mut due: Vec<usize> =
        (0..engines.len()).filter(|index| !engines[*index].is_fresh()).collect();
    due.sort_by_cached_key(|index| {
        let engine = &engines[*index];
        (fresh_permille(engine.model), Reverse(engine.behind), engine.running)
    });
    due
}
