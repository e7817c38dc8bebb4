//! Admission queue of one service.
//!
//! Requests are granted by priority; within a priority, those that can still end within their goal
//! go first; then the customer that was granted least; then the earliest deadline. The request at
//! the end of that order is refused when it could not end in time. Under a lasting overload that
//! means within its goal, because a longer queue would make all requests late; otherwise the queue
//! is a passing burst, and requests may wait up to their deadline.

use std::collections::HashMap;
use std::time::Duration;

use ids::{CustomerName, Moment, Priority, RouteName};
use rand::Rng;

use crate::rate::{ArrivalRate, SmoothedDuration};
use crate::shares::CustomerShares;
use crate::targets::TargetSet;
use crate::{
    Admission, AdmissionRequest, Grant, QueueEvent, RejectReason, Rejection, ReturnSchedule,
    TargetReport, TicketId,
};

/// Maximum number of waiting requests; bounds memory and the time of a decision.
const MAX_WAITING: usize = 1_024;
/// Fraction of the served rate from which arrivals count as an overload.
const OVERLOAD_FRACTION: f64 = 0.95;
/// Minimum fraction of the served rate that is expected to be free for returning callers. Without
/// it no caller would be told to return while an overload lasts.
const MIN_SPARE_FRACTION: f64 = 0.25;
/// Assumed time of a request before the first one has ended.
const INITIAL_HOLD_TIME: Duration = Duration::from_millis(50);
/// How long a shortage is reported after the last request that had to wait.
const SHORTAGE_TTL: Duration = Duration::from_secs(1);
/// Fraction of the permits in use from which the service counts as short.
const SHORTAGE_FRACTION: f64 = 0.7;

#[derive(Debug, Clone)]
struct WaitingRequest {
    ticket: TicketId,
    request: AdmissionRequest,
    since: Moment,
}

#[derive(Debug, Clone)]
struct Permit {
    grant: Grant,
    customer: Option<CustomerName>,
    granted_at: Moment,
    deadline: Moment,
}

/// Waiting requests and permits of one service.
#[derive(Debug, Clone, Default)]
pub struct AdmissionQueue {
    waiting: Vec<WaitingRequest>,
    permits: HashMap<TicketId, Permit>,
    targets: TargetSet,
    shares: CustomerShares,
    returns: ReturnSchedule,
    arrivals: ArrivalRate,
    hold_time: SmoothedDuration,
    waited_at: Option<Moment>,
    next_ticket: u64,
}

/// Position in the order of grants; the smallest goes first.
type OrderKey = (Priority, bool, u64, Moment, TicketId);

impl AdmissionQueue {
    /// Replaces the targets in use, given with their slots.
    pub fn set_targets(&mut self, targets: &[(ids::InstanceId, u32)]) {
        self.targets.set(targets);
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> usize {
        self.permits.len()
    }

    /// Whether requests had to wait recently, or most permits are in use.
    pub fn is_short(&self, now: Moment) -> bool {
        let has_waited = self.waited_at.is_some_and(|at| now.since(at) < SHORTAGE_TTL);
        let in_use = f64::from(self.targets.in_use());
        has_waited || in_use >= self.targets.capacity(now) * SHORTAGE_FRACTION
    }

    /// Grants, queues or refuses a request.
    ///
    /// A request that is queued may take the place of another; call [`Self::poll`] afterwards.
    pub fn request(
        &mut self,
        now: Moment,
        request: AdmissionRequest,
        rng: &mut impl Rng,
    ) -> Admission {
        self.arrivals.record(now);
        if self.targets.is_empty() {
            return Admission::Rejected(self.reject(now, &request, RejectReason::NoTarget, rng));
        }
        if now >= request.deadline {
            return Admission::Rejected(self.reject(now, &request, RejectReason::NoTime, rng));
        }
        let ticket = TicketId(self.next_ticket);
        self.next_ticket += 1;
        self.shares.enqueued(request.customer.as_ref());
        self.waiting.push(WaitingRequest { ticket, request, since: now });
        // If others wait, the request must not overtake them.
        if self.waiting.len() == 1
            && let Some(grant) = self.grant_next(now)
        {
            return Admission::Granted(grant);
        }
        self.waited_at = Some(now);
        let expected_wait = self.expected_wait(now, self.waiting.len() - 1);
        if self.last_in_order(now) == Some(self.waiting.len() - 1)
            && let Some(reason) = self.refusal_at_end(now, self.waiting.len() - 1)
            && let Some(waiting) = self.remove(self.waiting.len() - 1)
        {
            return Admission::Rejected(self.reject(now, &waiting.request, reason, rng));
        }
        Admission::Queued { ticket, expected_wait }
    }

    /// Returns outcomes of waiting requests. Call after every change and when time has passed.
    pub fn poll(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        self.expire_permits(now);
        while let Some(grant) = self.grant_next(now) {
            events.push(QueueEvent::Granted(grant));
        }
        while let Some(last) = self.last_in_order(now) {
            let reason = if self.targets.is_empty() {
                RejectReason::NoTarget
            } else {
                match self.refusal_at_end(now, last) {
                    // It was accepted before, so others have taken its place.
                    Some(RejectReason::QueueFull) => RejectReason::Displaced,
                    Some(reason) => reason,
                    None => break,
                }
            };
            let Some(waiting) = self.remove(last) else { break };
            let rejection = self.reject(now, &waiting.request, reason, rng);
            events.push(QueueEvent::Rejected(waiting.ticket, rejection));
        }
        events
    }

    /// Releases a permit, or removes a waiting request whose caller has left.
    pub fn release(&mut self, now: Moment, ticket: TicketId) {
        if let Some(permit) = self.permits.remove(&ticket) {
            let held = now.since(permit.granted_at);
            self.hold_time.observe(held);
            self.targets.release(&permit.grant.target, held);
            self.shares.released(permit.customer.as_ref());
            return;
        }
        if let Some(at) = self.waiting.iter().position(|waiting| waiting.ticket == ticket) {
            self.remove(at);
        }
    }

    /// Applies the result of a request at a target, with or without a permit.
    pub fn report(&mut self, now: Moment, report: &TargetReport) {
        let service_time = self.hold_time();
        self.targets.report(now, report, service_time);
    }

    /// Updates the priorities of waiting requests, by route and customer.
    pub fn update_priorities(
        &mut self,
        priority: impl Fn(&RouteName, Option<&CustomerName>) -> Option<Priority>,
    ) {
        for waiting in &mut self.waiting {
            let request = &mut waiting.request;
            if let Some(updated) = priority(&request.route, request.customer.as_ref()) {
                request.priority = updated;
            }
        }
    }

    fn hold_time(&self) -> Duration {
        self.hold_time.get().unwrap_or(INITIAL_HOLD_TIME)
    }

    /// Requests served per second when all permits are in use.
    fn served_per_second(&self, now: Moment) -> f64 {
        self.targets.capacity(now) / self.hold_time().as_secs_f64().max(0.001)
    }

    /// Expected wait of a request with `ahead` requests before it.
    #[expect(clippy::cast_precision_loss, reason = "the queue is bounded far below 2^52")]
    fn expected_wait(&self, now: Moment, ahead: usize) -> Duration {
        Duration::from_secs_f64((ahead as f64 + 1.0) / self.served_per_second(now))
    }

    fn is_overloaded(&mut self, now: Moment) -> bool {
        self.arrivals.per_second(now) >= self.served_per_second(now) * OVERLOAD_FRACTION
    }

    fn order_key(&self, now: Moment, waiting: &WaitingRequest) -> OrderKey {
        let request = &waiting.request;
        let is_late = now + self.hold_time() > request.goal_by;
        let grants = self.shares.grants(request.customer.as_ref());
        (request.priority, is_late, grants, request.deadline, waiting.ticket)
    }

    /// Grants the next request in order for which a target has room.
    fn grant_next(&mut self, now: Moment) -> Option<Grant> {
        let in_order = self.waiting.iter().enumerate();
        let candidates = in_order.filter_map(|(at, waiting)| {
            let target = self.targets.choose(now, &waiting.request.avoid)?;
            Some((self.order_key(now, waiting), at, target))
        });
        let (_, at, target) = candidates.min_by_key(|(key, ..)| *key)?;
        let waiting = self.remove(at)?;
        let request = waiting.request;
        self.shares.granted(request.customer.as_ref());
        self.targets.acquire(now, &target);
        let grant = Grant { ticket: waiting.ticket, target, waited: now.since(waiting.since) };
        let permit = Permit {
            grant: grant.clone(),
            customer: request.customer,
            granted_at: now,
            deadline: request.deadline,
        };
        self.permits.insert(waiting.ticket, permit);
        Some(grant)
    }

    fn remove(&mut self, at: usize) -> Option<WaitingRequest> {
        if at >= self.waiting.len() {
            return None;
        }
        let waiting = self.waiting.remove(at);
        self.shares.dequeued(waiting.request.customer.as_ref());
        Some(waiting)
    }

    /// Index of the request that is granted last: of the lowest priority, of the customer that
    /// claims most, with the latest deadline.
    fn last_in_order(&self, now: Moment) -> Option<usize> {
        let keys = self.waiting.iter().enumerate().map(|(at, waiting)| {
            let request = &waiting.request;
            let is_late = now + self.hold_time() > request.goal_by;
            let claimed = self.shares.claimed(request.customer.as_ref());
            ((request.priority, is_late, claimed, request.deadline, waiting.ticket), at)
        });
        keys.max().map(|(_, at)| at)
    }

    /// Why the last request in order, at index `last`, can't be served in time.
    fn refusal_at_end(&mut self, now: Moment, last: usize) -> Option<RejectReason> {
        let waiting = self.waiting.len();
        let ends_at = now + self.expected_wait(now, waiting - 1) + self.hold_time();
        let request = &self.waiting.get(last)?.request;
        let (goal_by, deadline) = (request.goal_by, request.deadline);
        if now >= deadline || ends_at > deadline {
            return Some(RejectReason::NoTime);
        }
        let is_full = waiting > MAX_WAITING || (ends_at > goal_by && self.is_overloaded(now));
        is_full.then_some(RejectReason::QueueFull)
    }

    fn reject(
        &mut self,
        now: Moment,
        request: &AdmissionRequest,
        reason: RejectReason,
        rng: &mut impl Rng,
    ) -> Rejection {
        let served = self.served_per_second(now);
        let spare = (served - self.arrivals.per_second(now)).max(served * MIN_SPARE_FRACTION);
        let spacing = Duration::from_secs_f64(1.0 / spare);
        let retry_after = self.returns.book(now, request.priority, spacing, rng);
        let waiting = self.waiting.len();
        Rejection { reason, retry_after, waiting, expected_wait: self.expected_wait(now, waiting) }
    }

    /// Releases permits whose requests must have ended. Their holders may be unable to say so.
    fn expire_permits(&mut self, now: Moment) {
        let expired = self.permits.iter().filter(|(_, permit)| now >= permit.deadline);
        let expired: Vec<TicketId> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in expired {
            self.release(now, ticket);
        }
    }
}
