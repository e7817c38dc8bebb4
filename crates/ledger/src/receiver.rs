//! The trainer's side of a step: accepts each sample once, and only if it is fresh.
//!
//! This check guarantees single delivery, whatever the boxes send. Each slot is accepted once, a
//! response with a lower fencing token than the highest seen is refused, and freshness is checked
//! again against the trainer's own version.

use ids::{FencingToken, ModelVersion, VersionWindow};

use crate::{PoolRule, Sample, SlotSet, StepSpec, VersionNaming};

/// Outcome of accepting a pull's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReceivedBatch {
    /// Samples accepted, to train on.
    pub accepted: Vec<Sample>,
    /// Number of dropped samples whose slots were already held.
    pub duplicates: usize,
    /// Number of dropped samples that were too old; their slots are requested again.
    pub stale: usize,
    /// Number of dropped samples whose slots are not in the step.
    pub unknown_slots: usize,
}

/// The response has a lower fencing token than the highest seen.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the response has token {token}, but {seen} was already seen: pull again")]
pub struct OldToken {
    token: FencingToken,
    seen: FencingToken,
}

/// The trainer's state of one step.
#[derive(Debug, Clone)]
pub struct StepReceiver {
    spec: StepSpec,
    slots: usize,
    held: SlotSet,
    seen: FencingToken,
    naming: VersionNaming,
}

impl StepReceiver {
    /// Creates the state of a step without held slots.
    pub fn new(spec: StepSpec) -> Self {
        let naming = VersionNaming::new(spec.version, PoolRule::default());
        let slots = spec.slots();
        Self { spec, slots, held: SlotSet::default(), seen: FencingToken::default(), naming }
    }

    /// Returns the step as opened.
    pub const fn spec(&self) -> &StepSpec {
        &self.spec
    }

    /// Returns the slots held.
    pub const fn held(&self) -> &SlotSet {
        &self.held
    }

    /// Returns the highest fencing token seen.
    pub const fn seen(&self) -> FencingToken {
        self.seen
    }

    /// Returns the version named now.
    pub fn named(&self) -> ModelVersion {
        self.naming.named()
    }

    /// Returns the versions allowed in a sample accepted now.
    pub fn window(&self) -> VersionWindow {
        self.naming.window()
    }

    /// Whether every slot is held.
    pub fn is_complete(&self) -> bool {
        self.held.len() == self.slots
    }

    /// Names a newer version. Samples older than the staleness bound allows are dropped from now
    /// on.
    pub fn advance(&mut self, version: ModelVersion) {
        self.naming.set_trainer_version(version);
    }

    /// Accepts the samples of a response and applies the keeper's token and pool rule. A rule of an
    /// older generation than the current one is ignored.
    ///
    /// # Errors
    ///
    /// The token is lower than the highest seen; nothing is accepted.
    pub fn accept(
        &mut self,
        token: FencingToken,
        rule: PoolRule,
        samples: Vec<Sample>,
    ) -> Result<ReceivedBatch, OldToken> {
        if token < self.seen {
            return Err(OldToken { token, seen: self.seen });
        }
        self.seen = token;
        self.naming.set_pool_rule(rule);
        let window = self.window();
        let mut batch = ReceivedBatch::default();
        for sample in samples {
            if sample.slot.as_usize() >= self.slots {
                batch.unknown_slots += 1;
            } else if self.held.contains(sample.slot) {
                batch.duplicates += 1;
            } else if sample.spans.is_empty() || window.is_too_old(sample.oldest()) {
                batch.stale += 1;
            } else {
                self.held.insert(sample.slot);
                batch.accepted.push(sample);
            }
        }
        Ok(batch)
    }
}
