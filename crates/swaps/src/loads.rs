//! Which engines load next.
//!
//! Few engines may load at once, so with several trainers on one pool loads are scarce: a version is
//! named before all engines hold the last one. A step that needs the newest version but one waits
//! for the engines of its own model only, so the model with the smallest part of engines up to date
//! goes first. With the most outdated engines of all first, a model could wait for seconds for its first engine
//! after an outage.

use std::cmp::Reverse;
use std::collections::HashMap;

/// An engine and the model that it follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowedEngine {
    /// Position of the model among the service's models.
    pub model: usize,
    /// Versions of the model that the engine is behind the named one.
    pub behind: u64,
    /// An order is under way there.
    pub ordered: bool,
    /// Requests that run there.
    pub running: u32,
}

impl FollowedEngine {
    const fn is_fresh(&self) -> bool {
        self.behind == 0 || self.ordered
    }
}

/// Positions of the engines that should load, the best first.
pub fn due_loads(engines: &[FollowedEngine]) -> Vec<usize> {
    let mut counts: HashMap<usize, (usize, usize)> = HashMap::new();
    for engine in engines {
        let (fresh, all) = counts.entry(engine.model).or_default();
        *fresh += usize::from(engine.is_fresh());
        *all += 1;
    }
    let fresh_part = |model: usize| {
        let (fresh, all) = counts.get(&model).copied().unwrap_or_default();
        // In thousandths, so that parts compare exactly.
        fresh * 1_000 / all.max(1)
    };
    let mut due: Vec<usize> = (0..engines.len()).filter(|at| !engines[*at].is_fresh()).collect();
    due.sort_by_cached_key(|at| {
        let engine = &engines[*at];
        (fresh_part(engine.model), Reverse(engine.behind), engine.running)
    });
    due
}
