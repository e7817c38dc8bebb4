//! The keeper's state machine: steps, requests of the trainer, and attempts at targets.

mod acting;

use std::collections::BTreeMap;
use std::time::Duration;

use coord::lease::{LeaseAction, LeaseClaim, ReadOutcome, WriteOutcome};
use ids::{
    BoxId, FencingToken, Generation, Incarnation, ModelVersion, Moment, PoolName, StepNumber,
    TargetId, TrainerId, VersionWindow,
};
use ledger::{
    LedgerError, PoolRule, Pull, PulledBatch, Settled, SlotSet, StepLedger, StepSnapshot, StepSpec,
};
use placement::{NotRun, PlacementPolicy, TargetChooser};
use pools::PoolSpec;
use rand::Rng;

use crate::messages::OutcomeHint;
use crate::{AttemptOutcome, KeeperAction, KeeperRefusal, KeptState, Placement};

/// Maximum number of open steps per trainer: the one that it trains on, the next one and a spare.
const MAX_STEPS: usize = 3;
/// Limit for samples that wait for their trainer, in bytes, which bounds the memory used for a
/// trainer that does not pull. Attempts in flight may exceed it slightly.
const MAX_WAITING_BYTES: usize = 32 << 20;
/// Maximum delay before target selection is retried after it found no target.
const STARVED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time that a sample of a version not yet named waits for it. A configuration reaches all boxes
/// within this time, so the version is invalid if it is still not named.
const AHEAD_TIMEOUT: Duration = Duration::from_secs(11);

/// Identity of a keeper and its trainer.
#[derive(Debug, Clone)]
pub struct KeeperSettings {
    /// This box.
    pub me: BoxId,
    /// Incarnation of this box.
    pub incarnation: Incarnation,
    /// Address at which peers reach this box.
    pub address: String,
    /// Term of the lease.
    pub term: Duration,
    /// The pool.
    pub pool: PoolName,
    /// The trainer.
    pub trainer: TrainerId,
}

/// A sequence of refused requests, each less than a term after the previous one.
#[derive(Debug, Clone, Copy)]
struct RefusedRequests {
    since: Moment,
    last: Moment,
}

/// State machine that keeps one trainer's steps.
#[derive(Debug)]
pub struct StepKeeper<R, C = TargetChooser> {
    settings: KeeperSettings,
    rng: R,
    claim: LeaseClaim,
    /// Token under which this box acts as the keeper; `None` while it does not.
    acting: Option<FencingToken>,
    /// Highest token received from the trainer or a previous keeper.
    highest_seen: FencingToken,
    pool: Option<PoolSpec>,
    generation: Generation,
    steps: BTreeMap<StepNumber, StepLedger>,
    /// Steps of a previous keeper that are not resumed yet.
    adopted: Vec<StepSnapshot>,
    chooser: C,
    in_flight: u32,
    started_at: Moment,
    /// Time of the last response of the platform.
    platform_seen_at: Option<Moment>,
    /// When reads of the lease last started again after the claim was idle.
    reading_since: Moment,
    /// Recent requests of the trainer that were refused because this box does not act.
    refused: Option<RefusedRequests>,
    handing_over: bool,
    /// Whether the lease was released in a planned stop; it is not claimed again.
    released: bool,
    /// Start of the time without open steps.
    empty_since: Option<Moment>,
    /// Until then no target is selected, because the last selection found none.
    starved_until: Option<Moment>,
    /// Start of the time with samples that wait for a version not yet named.
    ahead_since: Option<Moment>,
}

impl<R: Rng> StepKeeper<R> {
    /// Creates a keeper that starts to claim its lease.
    pub fn new(now: Moment, settings: KeeperSettings, rng: R) -> Self {
        Self::with_placement_policy(now, settings, rng, TargetChooser::default())
    }
}

impl<R: Rng, C: PlacementPolicy> StepKeeper<R, C> {
    /// Creates a keeper that starts to claim its lease and uses `chooser` to select targets.
    pub fn with_placement_policy(
        now: Moment,
        settings: KeeperSettings,
        rng: R,
        chooser: C,
    ) -> Self {
        let claim = LeaseClaim::new(
            settings.me.clone(),
            settings.incarnation,
            settings.address.clone(),
            settings.term,
        );
        Self {
            settings,
            rng,
            claim,
            acting: None,
            highest_seen: FencingToken::default(),
            pool: None,
            generation: Generation::default(),
            steps: BTreeMap::new(),
            adopted: Vec::new(),
            chooser,
            in_flight: 0,
            started_at: now,
            platform_seen_at: None,
            reading_since: now,
            refused: None,
            handing_over: false,
            released: false,
            empty_since: None,
            starved_until: None,
            ahead_since: None,
        }
    }

    /// Returns the token under which it acts, or `None` while it does not act as the keeper.
    pub const fn acting_token(&self) -> Option<FencingToken> {
        self.acting
    }

    /// Returns the open steps.
    pub fn open_steps(&self) -> impl Iterator<Item = StepNumber> {
        self.steps.keys().copied()
    }

    /// Returns the number of attempts in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the size of the samples that wait for the trainer, in bytes.
    pub fn waiting_bytes(&self) -> usize {
        self.steps.values().map(StepLedger::waiting_bytes).sum()
    }

    /// Returns the versions currently accepted for samples of a step.
    pub fn window(&self, step: StepNumber) -> Option<VersionWindow> {
        self.steps.get(&step).map(StepLedger::window)
    }

    /// Applies the pool's configuration; `None` if the pool no longer exists.
    pub fn pool_changed(&mut self, generation: Generation, pool: Option<PoolSpec>) {
        if generation < self.generation {
            return;
        }
        self.generation = generation;
        if let Some(pool) = &pool {
            self.chooser.assume_limit(pool.limits.per_engine);
        }
        self.pool = pool;
        self.starved_until = None;
        let Some(rule) = self.rule() else { return };
        // A new configuration names its version for all open steps.
        for ledger in self.steps.values_mut() {
            ledger.set_pool_rule(rule);
        }
    }

    fn rule(&self) -> Option<PoolRule> {
        let pool = self.pool.as_ref()?;
        let (version, bound) = (pool.version, pool.staleness_bound);
        Some(PoolRule { generation: self.generation, version, bound })
    }

    /// Opens a step, or reopens it if it is already open.
    pub fn open(
        &mut self,
        now: Moment,
        spec: StepSpec,
        held: &SlotSet,
        seen: FencingToken,
    ) -> Result<KeptState, KeeperRefusal> {
        let token = self.require_acting(now, seen)?;
        let trainer = &self.settings.trainer;
        let listed = self.pool.as_ref().is_some_and(|pool| pool.trainers.contains(trainer));
        let Some(rule) = self.rule().filter(|_| listed) else {
            return Err(KeeperRefusal::NotInPool {
                pool: self.settings.pool.clone(),
                trainer: trainer.clone(),
            });
        };
        let step = spec.step;
        if let Some(ledger) = self.steps.get(&step) {
            ledger.reopen(&spec)?;
            return self.state(step);
        }
        let adopted = self.find_adopted(&spec)?;
        if self.steps.len() >= MAX_STEPS {
            return Err(KeeperRefusal::TooManySteps { open: self.steps.len() });
        }
        let mut ledger = match adopted {
            Some(index) => StepLedger::resume(self.adopted[index].clone(), token, rule)?,
            None => StepLedger::open(spec, token, rule)?,
        };
        // A pull without samples records the slots that the trainer holds.
        ledger.pull(&Pull { held: held.clone(), seen, max_samples: 0 })?;
        // A refused open leaves the handed-over step for the next one.
        if let Some(index) = adopted {
            self.adopted.remove(index);
        }
        self.steps.insert(step, ledger);
        self.starved_until = None;
        self.state(step)
    }

    /// Returns the next samples of a step and its state.
    pub fn pull(
        &mut self,
        now: Moment,
        step: StepNumber,
        pull: &Pull,
    ) -> Result<(PulledBatch, KeptState), KeeperRefusal> {
        self.require_acting(now, pull.seen)?;
        let ledger = self.ledger(step)?;
        let batch = ledger.pull(pull)?;
        let state = self.state(step)?;
        Ok((batch, state))
    }

    /// Sets a newer version for a step.
    pub fn advance(
        &mut self,
        now: Moment,
        step: StepNumber,
        version: ModelVersion,
        seen: FencingToken,
    ) -> Result<KeptState, KeeperRefusal> {
        self.require_acting(now, seen)?;
        self.ledger(step)?.set_trainer_version(version);
        self.state(step)
    }

    /// Closes a step. Closing a step that is not open succeeds.
    pub fn close(
        &mut self,
        now: Moment,
        step: StepNumber,
        seen: FencingToken,
    ) -> Result<(), KeeperRefusal> {
        self.require_acting(now, seen)?;
        self.steps.remove(&step);
        Ok(())
    }

    /// Returns the state of a step.
    pub fn state(&self, step: StepNumber) -> Result<KeptState, KeeperRefusal> {
        let ledger = self.steps.get(&step).ok_or(KeeperRefusal::NotOpen { step })?;
        let window = ledger.window();
        Ok(KeptState {
            token: ledger.token(),
            named: window.named,
            rule: ledger.rule(),
            progress: ledger.progress(),
        })
    }

    /// Records the outcome of an attempt and the hint of the target's home.
    pub fn attempt_ended(
        &mut self,
        now: Moment,
        placement: &Placement,
        outcome: AttemptOutcome,
        hint: OutcomeHint,
    ) -> Option<Settled> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.starved_until = None;
        let target = &placement.target;
        self.chooser.ended(target);
        if let Some(hint) = hint {
            self.chooser.hinted(now, target, &hint);
        }
        self.record_target_outcome(now, target, &outcome);
        let ledger = self.steps.get_mut(&placement.step)?;
        let (slot, attempt) = (placement.assignment.slot, placement.assignment.attempt);
        match outcome {
            AttemptOutcome::Completed(sample) => return Some(ledger.finished(attempt, sample)),
            AttemptOutcome::NotRun { .. } => ledger.failed(slot, attempt, false),
            AttemptOutcome::Unusable | AttemptOutcome::TooOld => ledger.failed(slot, attempt, true),
        }
        None
    }

    /// Applies the outcome of a lease read.
    pub fn lease_read(&mut self, now: Moment, outcome: ReadOutcome) {
        if outcome != ReadOutcome::NoAnswer {
            self.platform_seen_at = Some(now);
        }
        self.claim.read_done(now, outcome);
        self.follow_claim(now);
    }

    /// Applies the outcome of a lease write.
    pub fn lease_written(&mut self, now: Moment, outcome: WriteOutcome) {
        if matches!(outcome, WriteOutcome::Applied(_) | WriteOutcome::Conflict) {
            self.platform_seen_at = Some(now);
        }
        self.claim.write_done(now, outcome);
        self.follow_claim(now);
    }

    /// Returns the actions due at `now`.
    pub fn poll(&mut self, now: Moment) -> Vec<KeeperAction> {
        self.follow_claim(now);
        self.act_without_lease(now);
        self.force_lease(now);
        self.expire_ahead(now);
        let lease = self.release_if_empty(now).or_else(|| self.poll_claim(now));
        let mut actions: Vec<KeeperAction> = lease.map(KeeperAction::Lease).into_iter().collect();
        self.place_work(now, &mut actions);
        actions
    }

    /// Returns when [`Self::poll`] next has an action, without further events.
    pub fn next_at(&self, now: Moment) -> Moment {
        let lease = if self.is_claim_idle(now) { Moment::NEVER } else { self.claim.next_at() };
        let work = self.starved_until.filter(|_| self.acting.is_some());
        let ahead = self.ahead_since.map(|since| since + AHEAD_TIMEOUT);
        let soonest = [work, ahead].into_iter().flatten().fold(lease, Moment::min);
        soonest.max(now)
    }

    /// Starts a planned stop: no new attempts are started.
    pub const fn prepare_hand_over(&mut self) {
        self.handing_over = true;
    }

    /// Completes a planned stop. Returns the open steps for the next keeper, and the action that
    /// releases the lease.
    pub fn hand_over(&mut self, now: Moment) -> (Vec<StepSnapshot>, Option<LeaseAction>) {
        let snapshots = self.steps.values().map(StepLedger::snapshot).collect();
        self.steps.clear();
        self.acting = None;
        self.released = true;
        (snapshots, self.claim.release(now))
    }

    /// Adopts the steps of the previous keeper; they are resumed once this box holds the lease.
    pub fn adopt(&mut self, now: Moment, snapshots: Vec<StepSnapshot>, token: FencingToken) {
        self.highest_seen = self.highest_seen.max(token);
        self.claim.observe_token(now, self.highest_seen);
        self.claim.expedite(now);
        self.adopted = snapshots;
        self.follow_claim(now);
    }

    fn ledger(&mut self, step: StepNumber) -> Result<&mut StepLedger, KeeperRefusal> {
        self.steps.get_mut(&step).ok_or(KeeperRefusal::NotOpen { step })
    }

    /// Returns the token under which this box acts, unless the trainer has seen a higher one.
    fn require_acting(
        &mut self,
        now: Moment,
        seen: FencingToken,
    ) -> Result<FencingToken, KeeperRefusal> {
        self.highest_seen = self.highest_seen.max(seen);
        self.claim.observe_token(now, self.highest_seen);
        match self.acting {
            Some(token) if seen > token => {
                self.step_down();
                Err(LedgerError::Superseded { mine: token, seen }.into())
            }
            Some(token) => Ok(token),
            None => {
                self.record_refused(now);
                Err(self.not_keeping())
            }
        }
    }

    fn not_keeping(&self) -> KeeperRefusal {
        let holder = self.claim.other_holder().filter(|record| !record.released);
        KeeperRefusal::NotKeeping {
            pool: self.settings.pool.clone(),
            trainer: self.settings.trainer.clone(),
            holder: holder.map(|record| record.address.clone()),
            claiming: !self.handing_over,
        }
    }

    /// Returns the index of the previous keeper's snapshot of a step.
    fn find_adopted(&self, spec: &StepSpec) -> Result<Option<usize>, LedgerError> {
        let found = self.adopted.iter().position(|snapshot| snapshot.spec.step == spec.step);
        let Some(index) = found else { return Ok(None) };
        if self.adopted[index].spec.digest() != spec.digest() {
            return Err(LedgerError::OtherBody { step: spec.step });
        }
        Ok(Some(index))
    }

    /// Discards samples that have waited too long for a version not yet named.
    fn expire_ahead(&mut self, now: Moment) {
        if !self.steps.values().any(StepLedger::has_ahead) {
            self.ahead_since = None;
            return;
        }
        let since = *self.ahead_since.get_or_insert(now);
        if now.since(since) >= AHEAD_TIMEOUT {
            self.steps.values_mut().for_each(StepLedger::discard_ahead);
            self.ahead_since = None;
        }
    }

    fn place_work(&mut self, now: Moment, actions: &mut Vec<KeeperAction>) {
        let starved = self.starved_until.is_some_and(|until| now < until);
        let Some(pool) = &self.pool else { return };
        let full = self.waiting_bytes() >= MAX_WAITING_BYTES;
        if self.acting.is_none() || self.handing_over || starved || full {
            return;
        }
        self.starved_until = None;
        for (step, ledger) in &mut self.steps {
            while self.in_flight < pool.limits.per_trainer && ledger.has_wanted() {
                let window = Some(ledger.window());
                let chosen = self.chooser.choose(now, &pool.engines, window, &mut self.rng);
                let Some(target) = chosen.cloned() else {
                    let backoff_end = self.chooser.next_backoff_end(now);
                    let retry = now + STARVED_RETRY_DELAY;
                    self.starved_until = Some(backoff_end.map_or(retry, |end| end.min(retry)));
                    return;
                };
                let Some(assignment) = ledger.assign() else {
                    break;
                };
                self.chooser.placed(&target);
                self.in_flight += 1;
                actions.push(KeeperAction::Start(Placement { step: *step, assignment, target }));
            }
        }
    }

    fn record_target_outcome(&mut self, now: Moment, target: &TargetId, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::Completed(_) | AttemptOutcome::TooOld => self.chooser.succeeded(target),
            AttemptOutcome::Unusable => self.chooser.failed(now, target),
            AttemptOutcome::NotRun { reason: NotRun::Unreachable, .. } => {
                self.chooser.failed(now, target);
            }
            AttemptOutcome::NotRun { retry_after, .. } => {
                self.chooser.refused(now, target, *retry_after);
            }
        }
    }
}
