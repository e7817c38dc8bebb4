//! Fair shares between trainers, in tokens.
//!
//! Start-time fair queueing in its simplest form: the trainer served least so far goes first.
//! A trainer that was away starts at the least of those present, so it gets no arrears.

use std::collections::BTreeMap;

use ids::{TokenCount, TrainerId};

/// Tokens served to each trainer, as far as it matters for who goes next.
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    served: BTreeMap<TrainerId, u64>,
}

impl FairShare {
    /// Notes that `trainer` wants service, beside those `present`.
    pub fn join<'a>(&mut self, trainer: &TrainerId, present: impl Iterator<Item = &'a TrainerId>) {
        let least = present.filter_map(|other| self.served.get(other)).min().copied();
        let served = self.served.entry(trainer.clone()).or_default();
        *served = (*served).max(least.unwrap_or_default());
    }

    /// Charges tokens to a trainer.
    pub fn charge(&mut self, trainer: &TrainerId, tokens: TokenCount) {
        *self.served.entry(trainer.clone()).or_default() += u64::from(tokens.get());
    }

    /// Tokens charged to a trainer.
    pub fn served(&self, trainer: &TrainerId) -> u64 {
        self.served.get(trainer).copied().unwrap_or_default()
    }
}
