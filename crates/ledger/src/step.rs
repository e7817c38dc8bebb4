//! The state of one step: which slots want, make, wait for pick-up, or are held.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use ids::{FencingToken, ModelVersion, SlotIndex, VersionWindow};

use crate::{
    Assignment, AttemptId, LedgerError, PoolRule, Progress, Pull, PulledBatch, Sample, Settled,
    SlotSet, StepSnapshot, StepSpec, VersionNaming, WaitCause,
};

#[derive(Debug, Clone)]
enum Slot {
    Wanted,
    Running(AttemptId),
    /// Made, never handed out.
    Ready(Arc<Sample>),
    /// Handed out at least once: a repeated pull gets the same sample.
    Frozen(Arc<Sample>),
    Held,
}

/// The ledger.
#[derive(Debug, Clone)]
pub struct StepLedger {
    spec: StepSpec,
    token: FencingToken,
    naming: VersionNaming,
    group_of: Vec<u32>,
    slots: Vec<Slot>,
    wanted: VecDeque<SlotIndex>,
    deliverable: BTreeSet<SlotIndex>,
    held: usize,
    running: usize,
    attempts: u64,
    discarded: u64,
    waiting_bytes: usize,
}

impl StepLedger {
    /// Opens a step under `token` and the pool's rule.
    pub fn open(spec: StepSpec, token: FencingToken, rule: PoolRule) -> Result<Self, LedgerError> {
        spec.check()?;
        let count = spec.slots();
        Ok(Self {
            token,
            naming: VersionNaming::new(spec.version, rule),
            group_of: spec.group_of_slots(),
            slots: vec![Slot::Wanted; count],
            wanted: spec.slot_indexes().collect(),
            deliverable: BTreeSet::new(),
            held: 0,
            running: 0,
            attempts: 0,
            discarded: 0,
            waiting_bytes: 0,
            spec,
        })
    }

    /// Goes on from a predecessor's snapshot under a new token.
    pub fn resume(
        snapshot: StepSnapshot,
        token: FencingToken,
        rule: PoolRule,
    ) -> Result<Self, LedgerError> {
        let mut ledger = Self::open(snapshot.spec, token, snapshot.naming.rule())?;
        ledger.naming = snapshot.naming;
        ledger.naming.set_pool_rule(rule);
        ledger.hold(&snapshot.held)?;
        for sample in snapshot.samples {
            let frozen = snapshot.frozen.contains(sample.slot);
            ledger.restore(sample, frozen);
        }
        Ok(ledger)
    }

    /// The step as opened.
    pub const fn spec(&self) -> &StepSpec {
        &self.spec
    }

    /// The ledger's fencing token.
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Takes a repeated open: the same body is the same step, another body a conflict.
    pub fn reopen(&self, spec: &StepSpec) -> Result<(), LedgerError> {
        if spec.digest() == self.spec.digest() {
            return Ok(());
        }
        Err(LedgerError::OtherBody { step: self.spec.step })
    }

    /// The versions a sample may now be made of.
    pub fn window(&self) -> VersionWindow {
        self.naming.window()
    }

    /// The pool's rule in force.
    pub const fn rule(&self) -> PoolRule {
        self.naming.rule()
    }

    /// The next slot to fill, if any is wanted.
    pub fn assign(&mut self) -> Option<Assignment> {
        let slot = self.next_wanted()?;
        self.attempts += 1;
        let attempt = AttemptId(self.attempts);
        self.slots[slot.as_usize()] = Slot::Running(attempt);
        self.running += 1;
        let group = self.group_of[slot.as_usize()];
        let spec = &self.spec.groups[group as usize];
        Some(Assignment {
            slot,
            attempt,
            group,
            prompt: Arc::clone(&spec.prompt),
            max_tokens: spec.max_tokens,
            window: self.window(),
        })
    }

    /// Takes the sample of an attempt.
    pub fn finished(&mut self, attempt: AttemptId, sample: Sample) -> Settled {
        let slot = sample.slot;
        if !self.is_running(slot, attempt) {
            return Settled::Superseded;
        }
        if self.window().is_too_old(sample.oldest()) {
            self.want_again(slot);
            return Settled::TooOld;
        }
        self.running -= 1;
        self.waiting_bytes += sample.text.len();
        self.slots[slot.as_usize()] = Slot::Ready(Arc::new(sample));
        self.deliverable.insert(slot);
        Settled::Kept
    }

    /// Notes that an attempt came to nothing; `wasted` when an engine had worked on it.
    pub fn failed(&mut self, slot: SlotIndex, attempt: AttemptId, wasted: bool) {
        if !self.is_running(slot, attempt) {
            return;
        }
        self.running -= 1;
        self.slots[slot.as_usize()] = Slot::Wanted;
        // First in line: its siblings are already under way.
        self.wanted.push_front(slot);
        self.discarded += u64::from(wasted);
    }

    /// The trainer names a version; samples that became too old are wanted again.
    pub fn set_trainer_version(&mut self, version: ModelVersion) {
        self.naming.set_trainer_version(version);
        self.discard_old();
    }

    /// The configuration names a version; samples that became too old are wanted again.
    pub fn set_pool_rule(&mut self, rule: PoolRule) {
        self.naming.set_pool_rule(rule);
        self.discard_old();
    }

    fn discard_old(&mut self) {
        let window = self.window();
        self.make_again(|sample| window.is_too_old(sample.oldest()));
    }

    /// Whether samples wait for a version that is not named yet.
    pub fn has_ahead(&self) -> bool {
        let window = self.window();
        let mut waiting = self.deliverable.iter().filter_map(|slot| self.sample(*slot));
        waiting.any(|sample| window.is_ahead(sample.newest()))
    }

    /// Makes samples of versions that were never named again: an engine may come back with a
    /// version of its own.
    pub fn discard_ahead(&mut self) {
        let window = self.window();
        self.make_again(|sample| window.is_ahead(sample.newest()));
    }

    fn make_again(&mut self, unfit: impl Fn(&Sample) -> bool) {
        let slots: Vec<SlotIndex> = self
            .deliverable
            .iter()
            .copied()
            .filter(|slot| self.sample(*slot).is_some_and(&unfit))
            .collect();
        for slot in slots {
            self.no_longer_waiting(slot);
            self.slots[slot.as_usize()] = Slot::Wanted;
            self.wanted.push_front(slot);
            self.discarded += 1;
        }
    }

    /// Takes a pull: notes what the trainer holds, then hands out fresh samples.
    pub fn pull(&mut self, pull: &Pull) -> Result<PulledBatch, LedgerError> {
        if pull.seen > self.token {
            return Err(LedgerError::Superseded { mine: self.token, seen: pull.seen });
        }
        self.hold(&pull.held)?;
        let window = self.window();
        let out: Vec<SlotIndex> = self
            .deliverable
            .iter()
            .copied()
            .filter(|slot| {
                self.sample(*slot).is_some_and(|sample| !window.is_ahead(sample.newest()))
            })
            .take(pull.most)
            .collect();
        let samples = out.into_iter().filter_map(|slot| self.freeze(slot)).collect();
        Ok(PulledBatch { samples, progress: self.progress() })
    }

    /// Whether a slot wants an attempt.
    pub fn has_wanted(&self) -> bool {
        self.wanted.iter().any(|slot| matches!(self.slots[slot.as_usize()], Slot::Wanted))
    }

    /// Whether the trainer holds every slot.
    pub fn is_complete(&self) -> bool {
        self.held == self.slots.len()
    }

    /// Whether a pull would get a sample now.
    pub fn has_deliverable(&self) -> bool {
        let window = self.window();
        let mut waiting = self.deliverable.iter().filter_map(|slot| self.sample(*slot));
        waiting.any(|sample| !window.is_ahead(sample.newest()))
    }

    /// Bytes of samples that wait for the trainer.
    pub const fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Counts of the step's slots and why the trainer waits.
    pub fn progress(&self) -> Progress {
        let ready = self.deliverable.len();
        let wanted = self.slots.len() - self.held - self.running - ready;
        Progress {
            slots: self.slots.len(),
            held: self.held,
            ready,
            running: self.running,
            wanted,
            discarded: self.discarded,
            cause: self.cause(wanted),
        }
    }

    /// What a successor needs to go on.
    pub fn snapshot(&self) -> StepSnapshot {
        let held = self.filter_slots(|slot| matches!(slot, Slot::Held));
        let frozen = self.filter_slots(|slot| matches!(slot, Slot::Frozen(_)));
        let samples =
            self.deliverable.iter().filter_map(|slot| self.sample(*slot).cloned()).collect();
        StepSnapshot { spec: self.spec.clone(), naming: self.naming, held, samples, frozen }
    }

    /// Bytes the ledger keeps for a slot beside its sample.
    pub const fn bytes_per_slot() -> usize {
        // The slot, its group, and its place in the queue or the set of deliverable slots.
        size_of::<Slot>() + size_of::<u32>() + 2 * size_of::<SlotIndex>()
    }

    fn cause(&self, wanted: usize) -> WaitCause {
        if self.is_complete() {
            return WaitCause::Nothing;
        }
        if self.has_deliverable() {
            return WaitCause::ReadyToPull;
        }
        if wanted > 0 {
            return WaitCause::WaitingForEngine;
        }
        if self.running > 0 {
            return WaitCause::Generating;
        }
        WaitCause::AheadOfNamed
    }

    fn filter_slots(&self, keep: impl Fn(&Slot) -> bool) -> SlotSet {
        let slots = self.spec.slot_indexes();
        slots.filter(|slot| keep(&self.slots[slot.as_usize()])).collect()
    }

    /// Skips queue entries whose slot was filled or held since.
    fn next_wanted(&mut self) -> Option<SlotIndex> {
        while let Some(slot) = self.wanted.pop_front() {
            if matches!(self.slots[slot.as_usize()], Slot::Wanted) {
                return Some(slot);
            }
        }
        None
    }

    fn is_running(&self, slot: SlotIndex, attempt: AttemptId) -> bool {
        matches!(self.slots.get(slot.as_usize()), Some(Slot::Running(id)) if *id == attempt)
    }

    fn want_again(&mut self, slot: SlotIndex) {
        self.running -= 1;
        self.slots[slot.as_usize()] = Slot::Wanted;
        self.wanted.push_front(slot);
        self.discarded += 1;
    }

    fn sample(&self, slot: SlotIndex) -> Option<&Sample> {
        match self.slots.get(slot.as_usize())? {
            Slot::Ready(sample) | Slot::Frozen(sample) => Some(sample),
            Slot::Wanted | Slot::Running(_) | Slot::Held => None,
        }
    }

    fn freeze(&mut self, slot: SlotIndex) -> Option<Arc<Sample>> {
        let entry = self.slots.get_mut(slot.as_usize())?;
        let sample = match entry {
            Slot::Ready(sample) | Slot::Frozen(sample) => Arc::clone(sample),
            Slot::Wanted | Slot::Running(_) | Slot::Held => return None,
        };
        *entry = Slot::Frozen(Arc::clone(&sample));
        Some(sample)
    }

    fn hold(&mut self, held: &SlotSet) -> Result<(), LedgerError> {
        let step = self.spec.step;
        let count = self.slots.len();
        if let Some(slot) = held.iter().find(|slot| slot.as_usize() >= count) {
            return Err(LedgerError::NoSuchSlot { slot, step });
        }
        for slot in held.iter() {
            self.hold_one(slot);
        }
        Ok(())
    }

    fn hold_one(&mut self, slot: SlotIndex) {
        match self.slots[slot.as_usize()] {
            Slot::Held => return,
            Slot::Running(_) => self.running -= 1,
            Slot::Ready(_) | Slot::Frozen(_) => self.no_longer_waiting(slot),
            Slot::Wanted => {}
        }
        self.slots[slot.as_usize()] = Slot::Held;
        self.held += 1;
    }

    /// Takes a sample off those that wait for the trainer.
    fn no_longer_waiting(&mut self, slot: SlotIndex) {
        let bytes = self.sample(slot).map_or(0, |sample| sample.text.len());
        self.waiting_bytes -= bytes;
        self.deliverable.remove(&slot);
    }

    fn restore(&mut self, sample: Sample, frozen: bool) {
        let slot = sample.slot;
        let fresh = !self.window().is_too_old(sample.oldest());
        let Some(entry) = self.slots.get_mut(slot.as_usize()) else {
            return;
        };
        if !fresh || !matches!(entry, Slot::Wanted) {
            return;
        }
        self.waiting_bytes += sample.text.len();
        let sample = Arc::new(sample);
        *entry = if frozen { Slot::Frozen(sample) } else { Slot::Ready(sample) };
        self.deliverable.insert(slot);
    }
}
