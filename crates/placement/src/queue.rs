//! Admission queue of a target, at its home.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use ids::{ModelVersion, Moment, TokenCount, TrainerId, VersionWindow};
use pools::TargetKind;

use crate::{
    FairShare, NotRun, OrderOutcome, Refusal, ReplicaReading, ReplicaState, ReplicaStatus,
};

/// Maximum number of waiting requests per running slot.
const WAITING_PER_RUNNING: usize = 2;
/// Retry delay while the target's weight version is unsuitable or in doubt.
const VERSION_RETRY: Duration = Duration::from_millis(250);
/// Retry delay when the queue is full, before jitter.
const FULL_RETRY: Duration = Duration::from_millis(100);
/// Retry delay when the target is leaving or down.
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(5);

/// Identifies one admission request at a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(u64);

/// A request to use the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The requesting trainer; `None` for plain requests and scores, which have no fair shares.
    pub trainer: Option<TrainerId>,
    /// Acceptable weight versions; `None` if any will do.
    pub window: Option<VersionWindow>,
    /// Latest time at which the work may start.
    pub deadline: Moment,
}

/// Response to an admission request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The work may start now.
    Admitted(TicketId),
    /// The request waits; a [`QueueEvent`] follows.
    Queued(TicketId),
    /// The work will not run here.
    Refused(Refusal),
}

/// Outcome of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueEvent {
    /// The work may start now.
    Go(TicketId),
    /// The work will not run here.
    Refused(TicketId, Refusal),
}

#[derive(Debug, Clone)]
struct WaitingRequest {
    ticket: TicketId,
    request: AdmissionRequest,
}

/// Admission queue of one target.
#[derive(Debug, Clone)]
pub struct TargetQueue {
    kind: TargetKind,
    limit: usize,
    replica: ReplicaState,
    running: BTreeMap<TicketId, Option<TrainerId>>,
    waiting: VecDeque<WaitingRequest>,
    shares: FairShare,
    next_ticket: u64,
}

impl TargetQueue {
    /// Creates an empty queue. An engine admits no work before its first reading.
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

    /// Sets the maximum number of running requests, at least 1.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit.max(1);
    }

    /// Maximum number of running requests.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the trainer of a running request.
    pub fn trainer_of(&self, ticket: TicketId) -> Option<&TrainerId> {
        self.running.get(&ticket)?.as_ref()
    }

    /// State of the replica, from its readings and orders.
    pub const fn replica(&self) -> &ReplicaState {
        &self.replica
    }

    /// Admits, queues or refuses a request.
    pub fn request_admission(&mut self, now: Moment, request: AdmissionRequest) -> Admission {
        if now >= request.deadline {
            return Admission::Refused(Refusal::not_run(NotRun::Expired, Duration::ZERO));
        }
        if let Some(refusal) = self.refusal(&request) {
            return Admission::Refused(refusal);
        }
        let ticket = TicketId(self.next_ticket);
        if self.can_start(&request) && self.waiting.is_empty() {
            self.next_ticket += 1;
            self.start(ticket, &request);
            return Admission::Admitted(ticket);
        }
        if self.is_full_for(request.trainer.as_ref()) {
            return Admission::Refused(Refusal::not_run(NotRun::Overloaded, FULL_RETRY));
        }
        self.next_ticket += 1;
        if let Some(trainer) = &request.trainer {
            let active = self.waiting.iter().filter_map(|waiting| waiting.request.trainer.as_ref());
            self.shares.join(trainer, active.chain(self.running.values().flatten()));
        }
        self.waiting.push_back(WaitingRequest { ticket, request });
        Admission::Queued(ticket)
    }

    /// Records that an admitted request ended, and charges `tokens` to its trainer.
    pub fn ended(&mut self, ticket: TicketId, tokens: TokenCount) {
        if let Some(Some(trainer)) = self.running.remove(&ticket) {
            self.shares.charge(&trainer, tokens);
        }
    }

    /// Removes a waiting or running request without charging its trainer.
    pub fn withdraw(&mut self, ticket: TicketId) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.running.remove(&ticket);
    }

    /// Returns outcomes for waiting requests. Call after every state change.
    pub fn poll(&mut self, now: Moment) -> Vec<QueueEvent> {
        let mut events = self.refuse_unserviceable(now);
        while let Some(waiting) = self.next_to_start() {
            self.start(waiting.ticket, &waiting.request);
            events.push(QueueEvent::Go(waiting.ticket));
        }
        events
    }

    /// Applies a reading that was requested at `requested_at`.
    pub fn read(&mut self, requested_at: Moment, reading: &ReplicaReading) {
        self.replica.read(requested_at, reading);
    }

    /// Records that the target does not respond.
    pub fn unreachable(&mut self) {
        self.replica.unreachable();
    }

    /// Records that the platform or a peer reports the target as leaving.
    pub const fn mark_leaving(&mut self) {
        self.replica.mark_leaving();
    }

    /// Records that the platform no longer lists the target as leaving. Ignored for engines: only a
    /// new incarnation ends their leaving state. Other targets report no incarnation.
    pub fn clear_leaving(&mut self) {
        if self.kind != TargetKind::Engine && self.replica.status() == ReplicaStatus::Leaving {
            self.replica = ReplicaState::default();
        }
    }

    /// Records that a swap order was sent; it may take effect until `deadline`.
    pub const fn order_sent(&mut self, version: ModelVersion, deadline: Moment) {
        self.replica.order_sent(version, deadline);
    }

    /// Applies the outcome of the last order.
    pub fn order_completed(&mut self, now: Moment, version: ModelVersion, outcome: OrderOutcome) {
        self.replica.order_completed(now, version, outcome);
    }

    /// Records a response stamped with a version other than the expected one.
    pub fn contradicted(&mut self, now: Moment) {
        self.replica.contradicted(now);
    }

    /// Whether a request of this trainer must not be queued, because the trainer has used up its
    /// share of the queue. The active trainers have equal shares, so that none can fill the queue
    /// for the others. Requests without a trainer are limited only by the size of the queue.
    fn is_full_for(&self, trainer: Option<&TrainerId>) -> bool {
        let capacity = self.limit * WAITING_PER_RUNNING;
        let Some(trainer) = trainer else { return self.waiting.len() >= capacity };
        let waiting = self.waiting.iter().filter_map(|waiting| waiting.request.trainer.as_ref());
        let active: BTreeSet<&TrainerId> =
            waiting.clone().chain(self.running.values().flatten()).chain([trainer]).collect();
        let own = waiting.filter(|other| *other == trainer).count();
        own >= (capacity / active.len()).max(1)
    }

    fn refusal(&self, request: &AdmissionRequest) -> Option<Refusal> {
        let status = self.replica.status();
        let (reason, retry_after) = match status {
            ReplicaStatus::Leaving => (NotRun::Leaving, UNAVAILABLE_RETRY),
            ReplicaStatus::Down => (NotRun::Unreachable, UNAVAILABLE_RETRY),
            ReplicaStatus::InDoubt => (NotRun::InDoubt, VERSION_RETRY),
            ReplicaStatus::Serving(held) | ReplicaStatus::Swapping(held) => {
                let window = request.window?;
                if window.contains(held) {
                    return None;
                }
                let too_old = window.is_too_old(held);
                let reason =
                    if too_old { NotRun::TooOld { held } } else { NotRun::NotNamed { held } };
                (reason, VERSION_RETRY)
            }
            ReplicaStatus::Unread => return None,
        };
        Some(Refusal::not_run(reason, retry_after))
    }

    fn can_start(&self, request: &AdmissionRequest) -> bool {
        if self.running.len() >= self.limit {
            return false;
        }
        match self.replica.status() {
            ReplicaStatus::Serving(held) => {
                request.window.is_none_or(|window| window.contains(held))
            }
            // Plain services and scorers need no version reading.
            ReplicaStatus::Unread => self.kind != TargetKind::Engine,
            _ => false,
        }
    }

    fn start(&mut self, ticket: TicketId, request: &AdmissionRequest) {
        self.running.insert(ticket, request.trainer.clone());
    }

    fn refuse_unserviceable(&mut self, now: Moment) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        let mut remaining = VecDeque::with_capacity(self.waiting.len());
        for waiting in std::mem::take(&mut self.waiting) {
            let expired = now >= waiting.request.deadline;
            let refusal = if expired {
                Some(Refusal::not_run(NotRun::Expired, Duration::ZERO))
            } else {
                self.refusal(&waiting.request)
            };
            match refusal {
                Some(refusal) => events.push(QueueEvent::Refused(waiting.ticket, refusal)),
                None => remaining.push_back(waiting),
            }
        }
        self.waiting = remaining;
        events
    }

    /// Removes and returns the request to start next: the oldest startable one of the trainer that
    /// was served least.
    fn next_to_start(&mut self) -> Option<WaitingRequest> {
        let served = |waiting: &WaitingRequest| {
            waiting.request.trainer.as_ref().map_or(0, |trainer| self.served_estimate(trainer))
        };
        let startable = self.waiting.iter().enumerate().filter(|(_, w)| self.can_start(&w.request));
        let (at, _) = startable.min_by_key(|(at, waiting)| (served(waiting), *at))?;
        self.waiting.remove(at)
    }

    /// Served tokens of a trainer, plus an estimate for its running requests. Without it, a burst
    /// of one trainer would take all free slots before its first request is charged.
    fn served_estimate(&self, trainer: &TrainerId) -> u64 {
        /// Estimated tokens of a running request.
        const RUNNING_TOKENS: u64 = 256;
        let running = self.running.values().flatten().filter(|other| *other == trainer).count();
        self.shares.served(trainer) + RUNNING_TOKENS * running as u64
    }
}
