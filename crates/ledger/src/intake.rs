//! The trainer's end of a step: takes each sample once, and only if it is fresh.
//!
//! This is the arbiter behind single delivery. Whatever boxes do, a slot is taken once; an
//! answer under a lower fencing token than one seen is refused whole; and freshness is checked
//! again against the version the trainer itself knows.

use ids::{FencingToken, ModelVersion, VersionWindow};

use crate::{PoolRule, Sample, SlotSet, StepSpec, VersionNaming};

/// What an answer to a pull brought.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReceivedBatch {
    /// Samples taken, to train on.
    pub taken: Vec<Sample>,
    /// Samples of slots held already, dropped.
    pub doubled: usize,
    /// Samples too old by now, dropped; they are asked for again.
    pub stale: usize,
    /// Samples of slots that the step does not have, dropped.
    pub foreign: usize,
}

/// Why a whole answer was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the answer bears token {token}, and {seen} has been seen: pull again")]
pub struct OldToken {
    token: FencingToken,
    seen: FencingToken,
}

/// The trainer's record of one step.
#[derive(Debug, Clone)]
pub struct StepReceiver {
    spec: StepSpec,
    slots: usize,
    held: SlotSet,
    seen: FencingToken,
    naming: VersionNaming,
}

impl StepReceiver {
    /// The record of a step that holds nothing yet.
    pub fn new(spec: StepSpec) -> Self {
        let naming = VersionNaming::new(spec.version, PoolRule::default());
        let slots = spec.slots();
        Self { spec, slots, held: SlotSet::default(), seen: FencingToken::default(), naming }
    }

    /// The step.
    pub const fn spec(&self) -> &StepSpec {
        &self.spec
    }

    /// Slots held.
    pub const fn held(&self) -> &SlotSet {
        &self.held
    }

    /// Highest fencing token seen.
    pub const fn seen(&self) -> FencingToken {
        self.seen
    }

    /// The version now named.
    pub fn named(&self) -> ModelVersion {
        self.naming.named()
    }

    /// Versions that a sample taken now may be made of.
    pub fn window(&self) -> VersionWindow {
        self.naming.window()
    }

    /// Whether every slot is held.
    pub fn is_complete(&self) -> bool {
        self.held.len() == self.slots
    }

    /// Names a newer version; answers made of older ones are refused from now on.
    pub fn advance(&mut self, version: ModelVersion) {
        self.naming.set_trainer_version(version);
    }

    /// Takes a keeper's word of its token and the pool's rule, and the samples of an answer. A
    /// rule of an older generation than one heard before is not believed.
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
        let mut intake = ReceivedBatch::default();
        for sample in samples {
            if sample.slot.as_usize() >= self.slots {
                intake.foreign += 1;
            } else if self.held.contains(sample.slot) {
                intake.doubled += 1;
            } else if sample.spans.is_empty() || window.is_too_old(sample.oldest()) {
                intake.stale += 1;
            } else {
                self.held.insert(sample.slot);
                intake.taken.push(sample);
            }
        }
        Ok(intake)
    }
}
