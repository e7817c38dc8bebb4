//! What truly happened, written down apart from the decision code, to judge it by.

use std::collections::BTreeMap;

use ids::{ModelVersion, Moment, SlotIndex, TargetId, VersionWindow};
use ledger::{Sample, VersionSpan};

use crate::events::RunId;

/// A broken promise, as one line.
pub type Breach = String;

/// What the fakes know to be true.
#[derive(Debug, Default)]
pub struct Truth {
    made: BTreeMap<RunId, Vec<VersionSpan>>,
    texts: BTreeMap<String, RunId>,
    taken: BTreeMap<SlotIndex, u32>,
    breaches: Vec<Breach>,
}

/// What came of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the trainer holds every slot.
    pub complete: bool,
    /// Promises broken; empty when all held.
    pub breaches: Vec<Breach>,
    /// When the step was complete, or when the session was given up.
    pub ended_at: Moment,
    /// Attempts that reached an engine.
    pub attempts: usize,
    /// Times the trainer opened the step again.
    pub reopened: u32,
}

impl Truth {
    /// Notes the tokens an engine made for an attempt.
    pub fn made(&mut self, run: RunId, version: ModelVersion, tokens: u32) {
        let spans = self.made.entry(run).or_default();
        let tokens = ids::TokenCount::new(tokens);
        match spans.last_mut() {
            Some(last) if last.version == version => {
                last.tokens = ids::TokenCount::new(last.tokens.get() + tokens.get());
            }
            _ => spans.push(VersionSpan { version, tokens }),
        }
    }

    /// Notes the whole text of an attempt.
    pub fn finished(&mut self, run: RunId, text: String) {
        self.texts.insert(text, run);
    }

    /// Judges a sample that the trainer took under `window`.
    pub fn taken(
        &mut self,
        now: Moment,
        sample: &Sample,
        window: VersionWindow,
        target_of: impl Fn(RunId) -> Option<(SlotIndex, TargetId)>,
    ) {
        let count = self.taken.entry(sample.slot).or_default();
        *count += 1;
        if *count > 1 {
            self.breaches.push(format!("{now} slot {} taken {count} times", sample.slot));
        }
        let oldest = sample.oldest();
        if window.is_too_old(oldest) {
            let (slot, named) = (sample.slot, window.named);
            self.breaches
                .push(format!("{now} slot {slot} made by {oldest} while {named} is named"));
        }
        let Some(run) = self.texts.get(&sample.text).copied() else {
            self.breaches.push(format!("{now} slot {} holds text nobody made", sample.slot));
            return;
        };
        if self.made.get(&run) != Some(&sample.spans) {
            self.breaches
                .push(format!("{now} slot {} names versions that did not make it", sample.slot));
        }
        if target_of(run) != Some((sample.slot, sample.engine.clone())) {
            self.breaches.push(format!("{now} slot {} holds another slot's sample", sample.slot));
        }
    }

    /// Notes that work began at an engine that had said long ago that it was leaving.
    pub fn began_at_leaving(&mut self, now: Moment, target: &TargetId) {
        self.breaches.push(format!("{now} work began at {target}, which is leaving"));
    }

    /// The verdict on the whole session.
    pub fn verdict(&self, complete: bool, ended_at: Moment, reopened: u32) -> Verdict {
        Verdict {
            complete,
            breaches: self.breaches.clone(),
            ended_at,
            attempts: self.made.len(),
            reopened,
        }
    }
}
