//! The one admission queue of a target, at its home.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use ids::{ModelVersion, Moment, TokenCount, TrainerId, VersionWindow};
use pools::TargetKind;

use crate::{
    FairShare, NotRun, OrderOutcome, Refusal, ReplicaReading, ReplicaState, ReplicaStatus,
};

/// Entries that may wait for each one that may run.
const WAITING_PER_RUNNING: usize = 2;
/// What a caller is told to wait while the target swaps or is in doubt.
const DOUBT_RETRY: Duration = Duration::from_millis(250);
/// What a caller is told to wait when the queue is full, before jitter.
const FULL_RETRY: Duration = Duration::from_millis(100);
/// What a caller is told to wait before trying a target that is gone.
const GONE_RETRY: Duration = Duration::from_secs(5);

/// Names one ask at a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(u64);

/// A wish to use the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// For whom; `None` for plain requests, which share one queue.
    pub trainer: Option<TrainerId>,
    /// Versions that will do; `None` where none matter.
    pub window: Option<VersionWindow>,
    /// The latest moment at which work may begin.
    pub deadline: Moment,
}

/// The answer to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Begin now.
    Admitted(TicketId),
    /// Wait for a [`QueueEvent`].
    Queued(TicketId),
    /// It will not run here.
    Refused(Refusal),
}

/// News for a waiting ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueEvent {
    /// Begin now.
    Go(TicketId),
    /// It will not run here.
    Refused(TicketId, Refusal),
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: TicketId,
    ask: AdmissionRequest,
}

/// Admission to one target.
#[derive(Debug, Clone)]
pub struct TargetQueue {
    kind: TargetKind,
    limit: usize,
    replica: ReplicaState,
    running: BTreeMap<TicketId, Option<TrainerId>>,
    waiting: VecDeque<Waiting>,
    shares: FairShare,
    next_ticket: u64,
}

impl TargetQueue {
    /// An empty queue; an engine gets no work before its first reading.
    pub fn new(kind: TargetKind, limit: usize) -> Self {
        Self {
            kind,
            limit: limit.max(1),
            replica: ReplicaState::default(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            shares: FairShare::default(),
            next_ticket: 0,
        }
    }

    /// Sets how many may run at once.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit.max(1);
    }

    /// How many may run at once.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Asks running now.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Asks waiting now.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// For whom an admitted ask runs.
    pub fn trainer_of(&self, ticket: TicketId) -> Option<&TrainerId> {
        self.running.get(&ticket)?.as_ref()
    }

    /// What is known of the replica.
    pub const fn replica(&self) -> &ReplicaState {
        &self.replica
    }

    /// Takes a wish to use the target.
    pub fn request_admission(&mut self, now: Moment, ask: AdmissionRequest) -> Admission {
        if now >= ask.deadline {
            return Admission::Refused(Refusal::not_run(NotRun::Expired, Duration::ZERO));
        }
        if let Some(refusal) = self.refusal(&ask) {
            return Admission::Refused(refusal);
        }
        let ticket = TicketId(self.next_ticket);
        if self.can_start(&ask) && self.waiting.is_empty() {
            self.next_ticket += 1;
            self.start(ticket, &ask);
            return Admission::Admitted(ticket);
        }
        if self.is_full_for(ask.trainer.as_ref()) {
            return Admission::Refused(Refusal::not_run(NotRun::Overloaded, FULL_RETRY));
        }
        self.next_ticket += 1;
        if let Some(trainer) = &ask.trainer {
            let present = self.waiting.iter().filter_map(|waiting| waiting.ask.trainer.as_ref());
            self.shares.join(trainer, present.chain(self.running.values().flatten()));
        }
        self.waiting.push_back(Waiting { ticket, ask });
        Admission::Queued(ticket)
    }

    /// Notes that an admitted ask ended, having used `tokens`.
    pub fn ended(&mut self, ticket: TicketId, tokens: TokenCount) {
        if let Some(Some(trainer)) = self.running.remove(&ticket) {
            self.shares.charge(&trainer, tokens);
        }
    }

    /// Forgets an ask whose asker went away.
    pub fn withdraw(&mut self, ticket: TicketId) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.running.remove(&ticket);
    }

    /// News for waiting asks; call after every change.
    pub fn poll(&mut self, now: Moment) -> Vec<QueueEvent> {
        let mut events = self.refuse_hopeless(now);
        while let Some(waiting) = self.next_to_start() {
            self.start(waiting.ticket, &waiting.ask);
            events.push(QueueEvent::Go(waiting.ticket));
        }
        events
    }

    /// Takes a reading whose request was sent at `asked_at`.
    pub fn read(&mut self, asked_at: Moment, reading: &ReplicaReading) {
        self.replica.read(asked_at, reading);
    }

    /// Notes that the target does not answer.
    pub fn unreachable(&mut self) {
        self.replica.unreachable();
    }

    /// Notes that the target is said to be leaving.
    pub const fn mark_leaving(&mut self) {
        self.replica.mark_leaving();
    }

    /// Notes that the platform's list no longer says that the target is leaving. An engine is
    /// believed only in a new life; others have no life to tell, so the list decides.
    pub fn clear_leaving(&mut self) {
        if self.kind != TargetKind::Engine && self.replica.status() == ReplicaStatus::Leaving {
            self.replica = ReplicaState::default();
        }
    }

    /// Notes that an order went out.
    pub const fn order_sent(&mut self, version: ModelVersion, deadline: Moment) {
        self.replica.order_sent(version, deadline);
    }

    /// Takes the outcome of the order last sent.
    pub fn order_completed(&mut self, now: Moment, version: ModelVersion, outcome: OrderOutcome) {
        self.replica.order_completed(now, version, outcome);
    }

    /// Notes a stamp that contradicts the version believed in.
    pub fn contradicted(&mut self, now: Moment) {
        self.replica.contradicted(now);
    }

    /// Whether a trainer has its share of the waiting places. Shares are even among those
    /// present, so a trainer that fills the queue cannot keep another out of it.
    fn is_full_for(&self, trainer: Option<&TrainerId>) -> bool {
        let places = self.limit * WAITING_PER_RUNNING;
        let Some(trainer) = trainer else { return self.waiting.len() >= places };
        let waiting = self.waiting.iter().filter_map(|waiting| waiting.ask.trainer.as_ref());
        let present: BTreeSet<&TrainerId> =
            waiting.clone().chain(self.running.values().flatten()).chain([trainer]).collect();
        let mine = waiting.filter(|other| *other == trainer).count();
        mine >= (places / present.len()).max(1)
    }

    fn refusal(&self, ask: &AdmissionRequest) -> Option<Refusal> {
        let status = self.replica.status();
        let (reason, retry_after) = match status {
            ReplicaStatus::Leaving => (NotRun::Leaving, GONE_RETRY),
            ReplicaStatus::Down => (NotRun::Unreachable, GONE_RETRY),
            ReplicaStatus::InDoubt => (NotRun::InDoubt, DOUBT_RETRY),
            ReplicaStatus::Serving(held) | ReplicaStatus::Swapping(held) => {
                let window = ask.window?;
                if window.contains(held) {
                    return None;
                }
                let too_old = window.is_too_old(held);
                let reason =
                    if too_old { NotRun::TooOld { held } } else { NotRun::NotNamed { held } };
                (reason, DOUBT_RETRY)
            }
            ReplicaStatus::Unread => return None,
        };
        Some(Refusal::not_run(reason, retry_after))
    }

    fn can_start(&self, ask: &AdmissionRequest) -> bool {
        if self.running.len() >= self.limit {
            return false;
        }
        match self.replica.status() {
            ReplicaStatus::Serving(held) => ask.window.is_none_or(|window| window.contains(held)),
            // Plain services and scorers need no reading of a version first.
            ReplicaStatus::Unread => self.kind != TargetKind::Engine,
            _ => false,
        }
    }

    fn start(&mut self, ticket: TicketId, ask: &AdmissionRequest) {
        self.running.insert(ticket, ask.trainer.clone());
    }

    fn refuse_hopeless(&mut self, now: Moment) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        let mut kept = VecDeque::with_capacity(self.waiting.len());
        for waiting in std::mem::take(&mut self.waiting) {
            let expired = now >= waiting.ask.deadline;
            let refusal = if expired {
                Some(Refusal::not_run(NotRun::Expired, Duration::ZERO))
            } else {
                self.refusal(&waiting.ask)
            };
            match refusal {
                Some(refusal) => events.push(QueueEvent::Refused(waiting.ticket, refusal)),
                None => kept.push_back(waiting),
            }
        }
        self.waiting = kept;
        events
    }

    /// The waiting ask whose trainer was served least; the oldest of equals.
    fn next_to_start(&mut self) -> Option<Waiting> {
        let served = |waiting: &Waiting| {
            waiting.ask.trainer.as_ref().map_or(0, |trainer| self.share_of(trainer))
        };
        let startable = self.waiting.iter().enumerate().filter(|(_, w)| self.can_start(&w.ask));
        let (at, _) = startable.min_by_key(|(at, waiting)| (served(waiting), *at))?;
        self.waiting.remove(at)
    }

    /// Running asks count as if they had been charged a little, so that one trainer's burst
    /// does not take every free place before its first answer ends.
    fn share_of(&self, trainer: &TrainerId) -> u64 {
        /// Tokens a running ask is taken to use until it ends.
        const RUNNING_TOKENS: u64 = 256;
        let running = self.running.values().flatten().filter(|other| *other == trainer).count();
        self.shares.served(trainer) + RUNNING_TOKENS * running as u64
    }
}
