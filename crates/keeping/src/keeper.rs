//! The keeper's state machine.

mod reign;

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

use crate::messages::EndHint;
use crate::{AttemptOutcome, KeeperAction, KeeperRefusal, KeptState, Placement};

/// Most steps open at once for one trainer: the one it trains on, the next, and one to spare.
const MOST_STEPS: usize = 3;
/// Bytes of samples that may wait for their trainer. A trainer that does not pull must not
/// fill its keeper's memory; what runs already may go a little over.
const MOST_WAITING_BYTES: usize = 32 << 20;
/// Pause before targets are tried again when none could be chosen and none is known to rest.
const STARVED_RETRY: Duration = Duration::from_millis(100);
/// How long a sample of a version that is not named waits for it: a configuration is in force
/// everywhere within this time, so a version still not named by then never was.
const AHEAD_PATIENCE: Duration = Duration::from_secs(11);

/// Who keeps, and for whom.
#[derive(Debug, Clone)]
pub struct KeeperSettings {
    /// This box.
    pub me: BoxId,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub address: String,
    /// The lease's term.
    pub term: Duration,
    /// The pool.
    pub pool: PoolName,
    /// The trainer.
    pub trainer: TrainerId,
}

/// A run of questions without an answer, each within a term of the one before.
#[derive(Debug, Clone, Copy)]
struct VainAsks {
    since: Moment,
    last: Moment,
}

/// Keeps one trainer's steps.
#[derive(Debug)]
pub struct StepKeeper<R, C = TargetChooser> {
    settings: KeeperSettings,
    rng: R,
    claim: LeaseClaim,
    acting: Option<FencingToken>,
    /// Highest token the trainer has shown.
    seen: FencingToken,
    pool: Option<PoolSpec>,
    generation: Generation,
    steps: BTreeMap<StepNumber, StepLedger>,
    adopted: Vec<StepSnapshot>,
    chooser: C,
    in_flight: u32,
    started_at: Moment,
    platform_heard: Option<Moment>,
    /// Trainers' questions that could not be answered here.
    vain: Option<VainAsks>,
    handing_over: bool,
    /// Whether a planned stop has freed the lease; it is not claimed again.
    released: bool,
    /// Since when this keeper has had no step.
    empty_since: Option<Moment>,
    starved_until: Option<Moment>,
    /// Since when samples have waited for a version that is not named.
    ahead_since: Option<Moment>,
}

impl<R: Rng> StepKeeper<R> {
    /// A keeper that begins to claim its lease.
    pub fn new(now: Moment, settings: KeeperSettings, rng: R) -> Self {
        Self::with_choice(now, settings, rng, TargetChooser::default())
    }
}

impl<R: Rng, C: PlacementPolicy> StepKeeper<R, C> {
    /// A keeper that begins to claim its lease, with its own way to choose targets.
    pub fn with_choice(now: Moment, settings: KeeperSettings, rng: R, chooser: C) -> Self {
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
            seen: FencingToken::default(),
            pool: None,
            generation: Generation::default(),
            steps: BTreeMap::new(),
            adopted: Vec::new(),
            chooser,
            in_flight: 0,
            started_at: now,
            platform_heard: None,
            vain: None,
            handing_over: false,
            released: false,
            empty_since: None,
            starved_until: None,
            ahead_since: None,
        }
    }

    /// The token it acts under; `None` while it does not keep.
    pub const fn acting_token(&self) -> Option<FencingToken> {
        self.acting
    }

    /// Open steps.
    pub fn open_steps(&self) -> impl Iterator<Item = StepNumber> {
        self.steps.keys().copied()
    }

    /// Attempts under way.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Bytes of samples that wait for the trainer.
    pub fn waiting_bytes(&self) -> usize {
        self.steps.values().map(StepLedger::waiting_bytes).sum()
    }

    /// Versions that samples of a step may now be made of.
    pub fn window(&self, step: StepNumber) -> Option<VersionWindow> {
        self.steps.get(&step).map(StepLedger::window)
    }

    /// Takes the pool's configuration; `None` when the pool is gone.
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
        // The pool's version is the named one as soon as its configuration is in force.
        for ledger in self.steps.values_mut() {
            ledger.set_pool_rule(rule);
        }
    }

    fn rule(&self) -> Option<PoolRule> {
        let pool = self.pool.as_ref()?;
        let (version, bound) = (pool.version, pool.staleness_bound);
        Some(PoolRule { generation: self.generation, version, bound })
    }

    /// Opens a step, or opens it again.
    pub fn open(
        &mut self,
        now: Moment,
        spec: StepSpec,
        held: &SlotSet,
        seen: FencingToken,
    ) -> Result<KeptState, KeeperRefusal> {
        let token = self.act(now, seen)?;
        let trainer = &self.settings.trainer;
        let known = self.pool.as_ref().is_some_and(|pool| pool.trainers.contains(trainer));
        let Some(rule) = self.rule().filter(|_| known) else {
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
        let mut ledger = match self.take_adopted(&spec)? {
            Some(snapshot) => StepLedger::resume(snapshot, token, rule)?,
            None => StepLedger::open(spec, token, rule)?,
        };
        // A pull of nothing notes what the trainer holds.
        ledger.pull(&Pull { held: held.clone(), seen, max_samples: 0 })?;
        if self.steps.len() >= MOST_STEPS {
            return Err(KeeperRefusal::TooManySteps { open: self.steps.len() });
        }
        self.steps.insert(step, ledger);
        self.starved_until = None;
        self.state(step)
    }

    /// Answers a pull.
    pub fn pull(
        &mut self,
        now: Moment,
        step: StepNumber,
        pull: &Pull,
    ) -> Result<(PulledBatch, KeptState), KeeperRefusal> {
        self.act(now, pull.seen)?;
        let ledger = self.ledger(step)?;
        let out = ledger.pull(pull)?;
        let state = self.state(step)?;
        Ok((out, state))
    }

    /// Names a newer version for a step.
    pub fn advance(
        &mut self,
        now: Moment,
        step: StepNumber,
        version: ModelVersion,
        seen: FencingToken,
    ) -> Result<KeptState, KeeperRefusal> {
        self.act(now, seen)?;
        self.ledger(step)?.set_trainer_version(version);
        self.state(step)
    }

    /// Closes a step; closing one that is not open is no error.
    pub fn close(
        &mut self,
        now: Moment,
        step: StepNumber,
        seen: FencingToken,
    ) -> Result<(), KeeperRefusal> {
        self.act(now, seen)?;
        self.steps.remove(&step);
        Ok(())
    }

    /// A step's state.
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

    /// Takes the end of an attempt, with what the target's home said along with it.
    pub fn attempt_ended(
        &mut self,
        now: Moment,
        placement: &Placement,
        end: AttemptOutcome,
        hint: EndHint,
    ) -> Option<Settled> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.starved_until = None;
        let target = &placement.target;
        self.chooser.ended(target);
        if let Some(hint) = hint {
            self.chooser.hinted(now, target, &hint);
        }
        self.note_target(now, target, &end);
        let ledger = self.steps.get_mut(&placement.step)?;
        let (slot, attempt) = (placement.assignment.slot, placement.assignment.attempt);
        match end {
            AttemptOutcome::Completed(sample) => return Some(ledger.finished(attempt, sample)),
            AttemptOutcome::NotRun { .. } => ledger.failed(slot, attempt, false),
            AttemptOutcome::Unusable | AttemptOutcome::TooOld => ledger.failed(slot, attempt, true),
        }
        None
    }

    /// Takes the answer to a lease read.
    pub fn lease_read(&mut self, now: Moment, outcome: ReadOutcome) {
        if outcome != ReadOutcome::NoAnswer {
            self.platform_heard = Some(now);
        }
        self.claim.read_done(now, outcome);
        self.follow_claim(now);
    }

    /// Takes the outcome of a lease write.
    pub fn lease_written(&mut self, now: Moment, outcome: WriteOutcome) {
        if matches!(outcome, WriteOutcome::Applied(_) | WriteOutcome::Conflict) {
            self.platform_heard = Some(now);
        }
        self.claim.write_done(now, outcome);
        self.follow_claim(now);
    }

    /// The actions due at `now`.
    pub fn poll(&mut self, now: Moment) -> Vec<KeeperAction> {
        self.follow_claim(now);
        self.maybe_detach(now);
        self.maybe_force(now);
        self.give_up_ahead(now);
        let lease = self.free_empty(now).or_else(|| self.poll_claim(now));
        let mut actions: Vec<KeeperAction> = lease.map(KeeperAction::Lease).into_iter().collect();
        self.place_work(now, &mut actions);
        actions
    }

    /// When [`Self::poll`] next has something to do, if nothing else happens first.
    pub fn next_at(&self, now: Moment) -> Moment {
        let lease = if self.rests(now) { Moment::NEVER } else { self.claim.next_at() };
        let work = self.starved_until.filter(|_| self.acting.is_some());
        let ahead = self.ahead_since.map(|since| since + AHEAD_PATIENCE);
        let soonest = [work, ahead].into_iter().flatten().fold(lease, Moment::min);
        soonest.max(now)
    }

    /// Begins a planned stop: no new work is placed.
    pub const fn prepare_hand_over(&mut self) {
        self.handing_over = true;
    }

    /// Ends a planned stop: gives the open steps for a successor, and the lease action that
    /// frees the lease for it.
    pub fn hand_over(&mut self, now: Moment) -> (Vec<StepSnapshot>, Option<LeaseAction>) {
        let snapshots = self.steps.values().map(StepLedger::snapshot).collect();
        self.steps.clear();
        self.acting = None;
        self.released = true;
        (snapshots, self.claim.release(now))
    }

    /// Takes a predecessor's steps; they are resumed once this box holds the lease.
    pub fn adopt(&mut self, now: Moment, snapshots: Vec<StepSnapshot>, token: FencingToken) {
        self.seen = self.seen.max(token);
        self.claim.observe_token(now, self.seen);
        self.claim.expedite(now);
        self.adopted = snapshots;
        self.follow_claim(now);
    }

    fn ledger(&mut self, step: StepNumber) -> Result<&mut StepLedger, KeeperRefusal> {
        self.steps.get_mut(&step).ok_or(KeeperRefusal::NotOpen { step })
    }

    /// The token to act under, unless the trainer has seen a higher one.
    fn act(&mut self, now: Moment, seen: FencingToken) -> Result<FencingToken, KeeperRefusal> {
        self.seen = self.seen.max(seen);
        self.claim.observe_token(now, self.seen);
        match self.acting {
            Some(token) if seen > token => {
                self.step_down();
                Err(LedgerError::Superseded { mine: token, seen }.into())
            }
            Some(token) => Ok(token),
            None => {
                self.note_vain(now);
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

    fn take_adopted(&mut self, spec: &StepSpec) -> Result<Option<StepSnapshot>, LedgerError> {
        let found = self.adopted.iter().position(|snapshot| snapshot.spec.step == spec.step);
        let Some(at) = found else { return Ok(None) };
        if self.adopted[at].spec.digest() != spec.digest() {
            return Err(LedgerError::OtherBody { step: spec.step });
        }
        Ok(Some(self.adopted.remove(at)))
    }

    /// Samples of a version that is not named wait for its configuration, but not for ever.
    fn give_up_ahead(&mut self, now: Moment) {
        if !self.steps.values().any(StepLedger::has_ahead) {
            self.ahead_since = None;
            return;
        }
        let since = *self.ahead_since.get_or_insert(now);
        if now.since(since) >= AHEAD_PATIENCE {
            self.steps.values_mut().for_each(StepLedger::discard_ahead);
            self.ahead_since = None;
        }
    }

    fn place_work(&mut self, now: Moment, actions: &mut Vec<KeeperAction>) {
        let starved = self.starved_until.is_some_and(|until| now < until);
        let Some(pool) = &self.pool else { return };
        let full = self.waiting_bytes() >= MOST_WAITING_BYTES;
        if self.acting.is_none() || self.handing_over || starved || full {
            return;
        }
        self.starved_until = None;
        for (step, ledger) in &mut self.steps {
            while self.in_flight < pool.limits.per_trainer && ledger.has_wanted() {
                let window = Some(ledger.window());
                let chosen = self.chooser.choose(now, &pool.engines, window, &mut self.rng);
                let Some(target) = chosen.cloned() else {
                    let rest_end = self.chooser.next_backoff_end(now);
                    let retry = now + STARVED_RETRY;
                    self.starved_until = Some(rest_end.map_or(retry, |end| end.min(retry)));
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

    fn note_target(&mut self, now: Moment, target: &TargetId, end: &AttemptOutcome) {
        match end {
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
