//! Fair sharing between trainers, measured in tokens.
//!
//! A simple form of start-time fair queueing: the trainer served least goes first. A returning
//! trainer starts at the minimum of the active trainers, so it gains no credit while it is
//! inactive.

use std::collections::BTreeMap;

use ids::{TokenCount, TrainerId};

/// Tokens served to each trainer.
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    served: BTreeMap<TrainerId, u64>,
}

impl FairShare {
    /// Adds `trainer` to the `active` trainers. Raises its served tokens to their minimum.
    pub fn join<'a>(&mut self, trainer: &TrainerId, active: impl Iterator<Item = &'a TrainerId>) {
        let min_served = active.filter_map(|other| self.served.get(other)).min().copied();
        let served = self.served.entry(trainer.clone()).or_default();
        *served = (*served).max(min_served.unwrap_or_default());
    }

    /// Charges tokens to a trainer.
    pub fn charge(&mut self, trainer: &TrainerId, tokens: TokenCount) {
        *self.served.entry(trainer.clone()).or_default() += u64::from(tokens.get());
    }

    /// Returns the tokens charged to a trainer.
    pub fn served(&self, trainer: &TrainerId) -> u64 {
        self.served.get(trainer).copied().unwrap_or_default()
    }
}
