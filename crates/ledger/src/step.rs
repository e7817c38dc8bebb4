//! State of one step: the state of each slot, from unassigned to held by the trainer.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use ids::{FencingToken, ModelVersion, SlotIndex, VersionWindow};

use crate::{
    Assignment, AttemptId, LedgerError, PoolRule, Progress, Pull, PulledBatch, Sample, Settled,
    SlotSet, StepSnapshot, StepSpec, VersionNaming, WaitCause,
};

/// State of a slot.
#[derive(Debug, Clone)]
enum Slot {
    /// Needs an attempt.
    Wanted,
    /// The attempt is in progress.
    Running(AttemptId),
    /// The sample is finished and was not returned by a pull yet.
    Ready(Arc<Sample>),
    /// The sample was returned by a pull; a repeated pull returns the same sample.
    Frozen(Arc<Sample>),
    /// The trainer holds the sample.
    Held,
}

/// Ledger of one step.
#[derive(Debug, Clone)]
pub struct StepLedger {
    spec: StepSpec,
    token: FencingToken,
    naming: VersionNaming,
    group_by_slot: Vec<u32>,
    slots: Vec<Slot>,
    /// Slots to assign; may contain slots that are no longer wanted.
    wanted: VecDeque<SlotIndex>,
    /// Slots that are ready or frozen.
    deliverable: BTreeSet<SlotIndex>,
    held: usize,
    running: usize,
    attempts: u64,
    discarded: u64,
    waiting_bytes: usize,
}

impl StepLedger {
    /// Opens a step with the keeper's fencing token and the pool's rule.
    ///
    /// # Errors
    ///
    /// The specification is invalid.
    pub fn open(spec: StepSpec, token: FencingToken, rule: PoolRule) -> Result<Self, LedgerError> {
        spec.check()?;
        let count = spec.slots();
        Ok(Self {
            token,
            naming: VersionNaming::new(spec.version, rule),
            group_by_slot: spec.group_of_slots(),
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

    /// Restores a step from a predecessor's snapshot with a new token.
    ///
    /// # Errors
    ///
    /// The specification is invalid, or a held slot is not in the step.
    pub fn resume(
        snapshot: StepSnapshot,
        token: FencingToken,
        rule: PoolRule,
    ) -> Result<Self, LedgerError> {
        let mut ledger = Self::open(snapshot.spec, token, snapshot.naming.rule())?;
        ledger.naming = snapshot.naming;
        ledger.naming.set_pool_rule(rule);
        ledger.mark_held(&snapshot.held)?;
        for sample in snapshot.samples {
            let frozen = snapshot.frozen.contains(sample.slot);
            ledger.restore(sample, frozen);
        }
        Ok(ledger)
    }

    /// Returns the step as opened.
    pub const fn spec(&self) -> &StepSpec {
        &self.spec
    }

    /// Returns the ledger's fencing token.
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Checks a repeated open.
    ///
    /// # Errors
    ///
    /// The specification differs from the first one.
    pub fn reopen(&self, spec: &StepSpec) -> Result<(), LedgerError> {
        if spec.digest() == self.spec.digest() {
            return Ok(());
        }
        Err(LedgerError::OtherBody { step: self.spec.step })
    }

    /// Returns the versions allowed in a sample now.
    pub fn window(&self) -> VersionWindow {
        self.naming.window()
    }

    /// Returns the pool's current rule.
    pub const fn rule(&self) -> PoolRule {
        self.naming.rule()
    }

    /// Assigns the next wanted slot, if any, to a new attempt.
    pub fn assign(&mut self) -> Option<Assignment> {
        let slot = self.next_wanted()?;
        self.attempts += 1;
        let attempt = AttemptId(self.attempts);
        self.slots[slot.as_usize()] = Slot::Running(attempt);
        self.running += 1;
        let group = self.group_by_slot[slot.as_usize()];
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

    /// Handles the sample of a finished attempt.
    pub fn finished(&mut self, attempt: AttemptId, sample: Sample) -> Settled {
        let slot = sample.slot;
        if !self.is_running(slot, attempt) {
            return Settled::Superseded;
        }
        if self.window().is_too_old(sample.oldest()) {
            self.requeue_slot(slot);
            return Settled::TooOld;
        }
        self.running -= 1;
        self.waiting_bytes += sample.text.len();
        self.slots[slot.as_usize()] = Slot::Ready(Arc::new(sample));
        self.deliverable.insert(slot);
        Settled::Kept
    }

    /// Handles a failed attempt. `wasted` says whether an engine worked on it, which counts as a
    /// discarded sample.
    pub fn failed(&mut self, slot: SlotIndex, attempt: AttemptId, wasted: bool) {
        if !self.is_running(slot, attempt) {
            return;
        }
        self.running -= 1;
        self.slots[slot.as_usize()] = Slot::Wanted;
        // First in the queue, because the other samples of its group are already in progress.
        self.wanted.push_front(slot);
        self.discarded += u64::from(wasted);
    }

    /// Sets the trainer's version and discards samples that are now too old.
    pub fn set_trainer_version(&mut self, version: ModelVersion) {
        self.naming.set_trainer_version(version);
        self.discard_stale();
    }

    /// Sets the pool's rule and discards samples that are now too old.
    pub fn set_pool_rule(&mut self, rule: PoolRule) {
        self.naming.set_pool_rule(rule);
        self.discard_stale();
    }

    fn discard_stale(&mut self) {
        let window = self.window();
        self.discard_where(|sample| window.is_too_old(sample.oldest()));
    }

    /// Whether any finished sample is newer than the named version.
    pub fn has_ahead(&self) -> bool {
        let window = self.window();
        let mut waiting = self.deliverable.iter().filter_map(|slot| self.sample(*slot));
        waiting.any(|sample| window.is_ahead(sample.newest()))
    }

    /// Discards samples that are newer than the named version. A restarted engine may generate with
    /// a version that is never named.
    pub fn discard_ahead(&mut self) {
        let window = self.window();
        self.discard_where(|sample| window.is_ahead(sample.newest()));
    }

    /// Discards the matching samples and queues their slots again.
    fn discard_where(&mut self, should_discard: impl Fn(&Sample) -> bool) {
        let slots: Vec<SlotIndex> = self
            .deliverable
            .iter()
            .copied()
            .filter(|slot| self.sample(*slot).is_some_and(&should_discard))
            .collect();
        for slot in slots {
            self.remove_deliverable(slot);
            self.slots[slot.as_usize()] = Slot::Wanted;
            self.wanted.push_front(slot);
            self.discarded += 1;
        }
    }

    /// Handles a pull: records the slots that the trainer holds, then returns finished samples that
    /// are not newer than the named version.
    ///
    /// # Errors
    ///
    /// The trainer has seen a higher token, or a held slot is not in the step.
    pub fn pull(&mut self, pull: &Pull) -> Result<PulledBatch, LedgerError> {
        if pull.seen > self.token {
            return Err(LedgerError::Superseded { mine: self.token, seen: pull.seen });
        }
        self.mark_held(&pull.held)?;
        let window = self.window();
        let slots: Vec<SlotIndex> = self
            .deliverable
            .iter()
            .copied()
            .filter(|slot| {
                self.sample(*slot).is_some_and(|sample| !window.is_ahead(sample.newest()))
            })
            .take(pull.max_samples)
            .collect();
        let samples = slots.into_iter().filter_map(|slot| self.freeze(slot)).collect();
        Ok(PulledBatch { samples, progress: self.progress() })
    }

    /// Whether any slot needs an attempt.
    pub fn has_wanted(&self) -> bool {
        self.wanted.iter().any(|slot| matches!(self.slots[slot.as_usize()], Slot::Wanted))
    }

    /// Whether the trainer holds every slot.
    pub fn is_complete(&self) -> bool {
        self.held == self.slots.len()
    }

    /// Whether a pull would return a sample now.
    pub fn has_deliverable(&self) -> bool {
        let window = self.window();
        let mut waiting = self.deliverable.iter().filter_map(|slot| self.sample(*slot));
        waiting.any(|sample| !window.is_ahead(sample.newest()))
    }

    /// Returns the text size of the samples that wait for the trainer, in bytes.
    pub const fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Returns the counts of the step's slots and why the trainer waits.
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
            cause: self.wait_cause(wanted),
        }
    }

    /// Returns the state from which a successor can resume.
    pub fn snapshot(&self) -> StepSnapshot {
        let held = self.filter_slots(|slot| matches!(slot, Slot::Held));
        let frozen = self.filter_slots(|slot| matches!(slot, Slot::Frozen(_)));
        let samples =
            self.deliverable.iter().filter_map(|slot| self.sample(*slot).cloned()).collect();
        StepSnapshot { spec: self.spec.clone(), naming: self.naming, held, samples, frozen }
    }

    /// Returns the memory per slot, without the sample, in bytes.
    pub const fn bytes_per_slot() -> usize {
        // The slot, its group, and its entries in the queue and the set of deliverable slots.
        size_of::<Slot>() + size_of::<u32>() + 2 * size_of::<SlotIndex>()
    }

    fn wait_cause(&self, wanted: usize) -> WaitCause {
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

    /// Returns the next wanted slot. Skips queue entries whose slot is no longer wanted.
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

    /// Queues a running slot again after its sample was discarded.
    fn requeue_slot(&mut self, slot: SlotIndex) {
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

    /// Marks a sample as returned by a pull.
    fn freeze(&mut self, slot: SlotIndex) -> Option<Arc<Sample>> {
        let entry = self.slots.get_mut(slot.as_usize())?;
        let sample = match entry {
            Slot::Ready(sample) | Slot::Frozen(sample) => Arc::clone(sample),
            Slot::Wanted | Slot::Running(_) | Slot::Held => return None,
        };
        *entry = Slot::Frozen(Arc::clone(&sample));
        Some(sample)
    }

    fn mark_held(&mut self, held: &SlotSet) -> Result<(), LedgerError> {
        let step = self.spec.step;
        let count = self.slots.len();
        if let Some(slot) = held.iter().find(|slot| slot.as_usize() >= count) {
            return Err(LedgerError::NoSuchSlot { slot, step });
        }
        for slot in held.iter() {
            self.mark_slot_held(slot);
        }
        Ok(())
    }

    fn mark_slot_held(&mut self, slot: SlotIndex) {
        match self.slots[slot.as_usize()] {
            Slot::Held => return,
            Slot::Running(_) => self.running -= 1,
            Slot::Ready(_) | Slot::Frozen(_) => self.remove_deliverable(slot),
            Slot::Wanted => {}
        }
        self.slots[slot.as_usize()] = Slot::Held;
        self.held += 1;
    }

    /// Removes a sample from those that wait for the trainer.
    fn remove_deliverable(&mut self, slot: SlotIndex) {
        let bytes = self.sample(slot).map_or(0, |sample| sample.text.len());
        self.waiting_bytes -= bytes;
        self.deliverable.remove(&slot);
    }

    /// Restores a sample from a snapshot, unless it is too old or its slot is already held.
    fn restore(&mut self, sample: Sample, frozen: bool) {
        let slot = sample.slot;
        let is_fresh = !self.window().is_too_old(sample.oldest());
        let Some(entry) = self.slots.get_mut(slot.as_usize()) else {
            return;
        };
        if !is_fresh || !matches!(entry, Slot::Wanted) {
            return;
        }
        self.waiting_bytes += sample.text.len();
        let sample = Arc::new(sample);
        *entry = if frozen { Slot::Frozen(sample) } else { Slot::Ready(sample) };
        self.deliverable.insert(slot);
    }
}
