//! Admission queue of one service.
//!
//! Requests are granted by priority; within a priority, those that can still end within their goal
//! go first; then the customer that received least service; then the earliest deadline. What could
//! not end in time is refused. Under a lasting overload the queue is kept so short that requests end
//! within their goal, because a longer queue would make all of them late: the most recent requests
//! are refused, so that refusals return soon. The others are granted, even late. Without an overload
//! the queue is a passing burst, and requests may wait up to their deadline.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{CustomerName, InstanceId, Moment, Priority, RouteName};
use rand::Rng;

use crate::rate::{ArrivalRate, SmoothedDuration};
use crate::shares::{CustomerShares, ShareIndex, micros};
use crate::targets::TargetSet;
use crate::{
    Admission, AdmissionRequest, Grant, QueueEvent, RejectReason, Rejection, ReturnSchedule,
    TargetReport, TicketId,
};

/// Maximum number of waiting requests; bounds memory and the time of a decision.
const MAX_WAITING: usize = 1_024;
/// Fraction of the served rate from which arrivals count as an overload. Less than one, since both
/// rates are estimates.
const OVERLOAD_FRACTION: f64 = 0.95;
/// Minimum fraction of the served rate that is expected to be free for returning callers. Without
/// it no caller would be told to return while an overload lasts.
const MIN_SPARE_FRACTION: f64 = 0.25;
/// Assumed time of a request before the first one has ended.
const INITIAL_HOLD_TIME: Duration = Duration::from_millis(50);
/// How long a shortage is reported after the last request that had to wait.
const SHORTAGE_TTL: Duration = Duration::from_secs(1);
/// Fraction of the permits in use from which the service counts as short.
const SHORTAGE_FRACTION: f64 = 0.9;
/// Multiple of the mean time of a request that is left for it when its wait is planned. With the
/// mean alone, half of the requests that wait longest would miss their goal, or end without a
/// response because their time runs out at the target.
const SERVICE_TIME_RESERVE: u32 = 2;
/// Factor by which an expected wait is lengthened when it is compared with the goal, for requests
/// that arrive later and go first. Without it, many would be refused after a long wait.
const WAIT_FACTOR: u32 = 2;
/// Fraction of the goal from which a planned wait makes returning callers give way. Below it the
/// overload is over, and there is room for them.
const LATE_GOAL_FRACTION: f64 = 0.9;
/// Added to the times to return under overload. Until it ends there is no room to return to, and a
/// caller that is refused twice is worse off than one that waits.
const OVERLOAD_DELAY: Duration = Duration::from_millis(500);
/// Time for which a request counts as recent, as a divisor of its goal. Recent requests are refused
/// before others: a refusal must return within a quarter of the goal, including the time of the
/// messages.
const RECENT_DIVISOR: u32 = 5;

#[derive(Debug, Clone)]
struct WaitingRequest {
    ticket: TicketId,
    request: AdmissionRequest,
    share: ShareIndex,
    since: Moment,
    recent_until: Moment,
    /// Whether it arrived too late to end within its goal, as after a refusal.
    arrived_late: bool,
}

impl WaitingRequest {
    /// Whether a refusal would still reach the caller within a quarter of its goal.
    fn is_recent(&self, now: Moment) -> bool {
        now < self.recent_until
    }
}

/// Until when a request that arrives at `now` counts as recent. One that avoids a target was granted
/// before, so it has waited already.
fn recent_until(now: Moment, request: &AdmissionRequest) -> Moment {
    if request.avoid.is_empty() { now + request.goal / RECENT_DIVISOR } else { now }
}

#[derive(Debug, Clone)]
struct Permit {
    grant: Grant,
    share: ShareIndex,
    /// Service that the customer was charged at the grant.
    expected: Duration,
    granted_at: Moment,
    deadline: Moment,
}

/// Waiting requests and permits of one service.
#[derive(Debug, Clone, Default)]
pub struct AdmissionQueue {
    waiting: Vec<WaitingRequest>,
    permits: BTreeMap<TicketId, Permit>,
    targets: TargetSet,
    shares: CustomerShares,
    returns: ReturnSchedule,
    arrivals: ArrivalRate,
    /// Time between the grant of a permit and its release.
    hold_time: SmoothedDuration,
    /// When a request last had to wait.
    waited_at: Option<Moment>,
    next_ticket: u64,
    is_overloaded: bool,
    /// No waiting request is unservable whose end is expected before this.
    unservable_from: Moment,
}

/// Position in the order of grants; the smallest goes first. The order of the fields matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    priority: Priority,
    /// Whether it can't end within its goal any more, without an overload.
    is_late: bool,
    /// Service that its customer received.
    received: u64,
    /// Whether it is recent and arrived too late for its goal.
    arrived_late: bool,
    is_recent: bool,
    deadline: Moment,
    ticket: TicketId,
}

/// Position in the order of refusals at a priority; the largest is refused first. The order of the
/// fields matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RefusalKey {
    is_recent: bool,
    /// Service that its customer received and asks for.
    claimed: u64,
    arrived_late: bool,
    deadline: Moment,
    ticket: TicketId,
}

/// Waiting requests of one priority.
#[derive(Debug, Clone, Copy)]
struct PriorityLevel {
    waiting: usize,
    /// The last in order, which is refused first, and its index.
    last: (RefusalKey, usize),
}

impl AdmissionQueue {
    /// Replaces the targets in use, given with their slots.
    pub fn set_targets(&mut self, targets: &[(InstanceId, u32)]) {
        self.unservable_from = Moment::START;
        let permits = &self.permits;
        self.targets.set(targets, |instance| {
            permits.values().filter(|permit| permit.grant.target == *instance).count()
        });
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
        self.update(now);
        if let Some(reason) = self.refusal_of(self.earliest_end(now), &request) {
            return Admission::Rejected(self.reject(now, &request, reason, rng));
        }
        let ticket = TicketId(self.next_ticket);
        self.next_ticket += 1;
        let share = self.shares.enqueued(request.priority, request.customer.as_ref());
        let recent_until = recent_until(now, &request);
        let arrived_late = now + self.hold_time() > request.goal_by;
        self.unservable_from = self.unservable_from.min(request.deadline);
        self.waiting.push(WaitingRequest {
            ticket,
            request,
            share,
            since: now,
            recent_until,
            arrived_late,
        });
        // If others wait, the request must not overtake them.
        if self.waiting.len() == 1
            && let Some(grant) = self.grant_next(now)
        {
            return Admission::Granted(grant);
        }
        self.waited_at = Some(now);
        let expected_wait = self.expected_wait(now, self.waiting.len() - 1);
        if let Some((at, reason)) = self.next_refusal(now)
            && at == self.waiting.len() - 1
        {
            let waiting = self.remove(self.waiting.len() - 1);
            return Admission::Rejected(self.reject(now, &waiting.request, reason, rng));
        }
        Admission::Queued { ticket, expected_wait }
    }

    /// Grants and refuses waiting requests. Call after every change and when time has passed.
    pub fn poll(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<QueueEvent> {
        self.update(now);
        let mut events = self.refuse_unservable(now, rng);
        while let Some(grant) = self.grant_next(now) {
            events.push(QueueEvent::Granted(grant));
        }
        while let Some((last, reason)) = self.next_refusal(now) {
            let reason = match reason {
                RejectReason::QueueFull if self.is_overtaken(last) => RejectReason::Displaced,
                reason => reason,
            };
            events.push(self.reject_waiting(now, last, reason, rng));
        }
        events
    }

    /// Releases the permit of a request that its target has served.
    pub fn release(&mut self, now: Moment, ticket: TicketId) {
        if let Some(permit) = self.permits.get(&ticket) {
            let held = now.since(permit.granted_at);
            self.hold_time.observe(held);
            self.targets.observe_hold_time(&permit.grant.target, held);
        }
        self.withdraw(now, ticket);
    }

    /// Releases the permit of a request that was not served, or removes a waiting request. Its time
    /// does not count as a service time: a target that fails fast would seem to be the fastest.
    pub fn withdraw(&mut self, now: Moment, ticket: TicketId) {
        if let Some(permit) = self.permits.remove(&ticket) {
            let held = now.since(permit.granted_at);
            self.targets.release(&permit.grant.target);
            self.shares.released(permit.share, permit.expected, held);
        } else if let Some(at) = self.waiting.iter().position(|waiting| waiting.ticket == ticket) {
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
            let updated = priority(&request.route, request.customer.as_ref());
            let Some(updated) = updated.filter(|updated| *updated != request.priority) else {
                continue;
            };
            request.priority = updated;
            self.shares.dequeued(waiting.share);
            waiting.share = self.shares.enqueued(updated, request.customer.as_ref());
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

    fn update(&mut self, now: Moment) {
        self.expire_permits(now);
        let overload = self.served_per_second(now) * OVERLOAD_FRACTION;
        self.is_overloaded = self.arrivals.per_second(now) >= overload;
    }

    /// When a request would end that is granted at `now`.
    fn earliest_end(&self, now: Moment) -> Moment {
        // Only permits correct the time that a request is assumed to take.
        if self.permits.is_empty() { now } else { now + self.hold_time() }
    }

    /// Why the request can't be served at all, wherever it is in the order.
    fn refusal_of(&self, earliest_end: Moment, request: &AdmissionRequest) -> Option<RejectReason> {
        if !self.targets.has_other_than(&request.avoid) {
            return Some(RejectReason::NoTarget);
        }
        (earliest_end >= request.deadline).then_some(RejectReason::NoTime)
    }

    /// Refuses waiting requests that can't be served at all.
    fn refuse_unservable(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        // A request that has waited is refused while that is still true, rather than sent to a target
        // that is likely to respond too late.
        let reserve = self.hold_time() * (SERVICE_TIME_RESERVE - 1);
        let earliest_end = self.earliest_end(now) + reserve;
        if earliest_end < self.unservable_from {
            return events;
        }
        for at in (0..self.waiting.len()).rev() {
            if let Some(reason) = self.refusal_of(earliest_end, &self.waiting[at].request) {
                events.push(self.reject_waiting(now, at, reason, rng));
            }
        }
        let deadlines = self.waiting.iter().map(|waiting| waiting.request.deadline);
        self.unservable_from = deadlines.min().unwrap_or(Moment::NEVER);
        events
    }

    /// Grants the next request in order for which a target has room.
    fn grant_next(&mut self, now: Moment) -> Option<Grant> {
        if self.waiting.is_empty() {
            return None;
        }
        let expected = self.hold_time();
        let with_room = self.targets.with_room(now, expected);
        if with_room.is_empty() {
            return None;
        }
        // Under overload all other requests that wait were planned to end within their goal.
        let late_from = if self.is_overloaded { Moment::START } else { now + expected };
        let candidates = self.waiting.iter().enumerate().filter_map(|(at, waiting)| {
            let avoid = &waiting.request.avoid;
            let target = with_room.iter().find(|target| !avoid.contains(target))?;
            let received = self.shares.received(waiting.share);
            Some((order_key(now, late_from, waiting, received), at, target))
        });
        let (_, at, target) = candidates.min_by_key(|(key, ..)| *key)?;
        let target = target.clone();
        let waiting = self.remove(at);
        self.shares.granted(waiting.share, expected);
        self.targets.acquire(now, &target);
        let grant = Grant { ticket: waiting.ticket, target, waited: now.since(waiting.since) };
        let permit = Permit {
            grant: grant.clone(),
            share: waiting.share,
            expected,
            granted_at: now,
            deadline: waiting.request.deadline,
        };
        self.permits.insert(waiting.ticket, permit);
        Some(grant)
    }

    /// Removes the request at index `at`; the last one takes its index.
    fn remove(&mut self, at: usize) -> WaitingRequest {
        let waiting = self.waiting.swap_remove(at);
        self.shares.dequeued(waiting.share);
        waiting
    }

    /// Whether a request that came later than the one at index `at` still waits.
    fn is_overtaken(&self, at: usize) -> bool {
        let ticket = self.waiting[at].ticket;
        self.waiting.iter().any(|waiting| waiting.ticket > ticket)
    }

    /// The next request to refuse because of those before it, and why. Lower priorities are refused
    /// first.
    fn next_refusal(&self, now: Moment) -> Option<(usize, RejectReason)> {
        let levels = self.levels(now);
        let mut ahead = self.waiting.len();
        for (index, (priority, level)) in levels.iter().rev().enumerate() {
            let wait = self.expected_wait(now, ahead - 1);
            ahead -= level.waiting;
            let last = level.last.1;
            let ends_at = now + wait + self.hold_time() * SERVICE_TIME_RESERVE;
            if ends_at > self.waiting[last].request.deadline {
                return Some((last, RejectReason::NoTime));
            }
            let is_too_many = index == 0 && self.waiting.len() > MAX_WAITING;
            let refused = self.first_to_miss_goal(now, *priority, wait, ahead > 0);
            if let Some(at) = refused.or(is_too_many.then_some(last)) {
                return Some((at, RejectReason::QueueFull));
            }
        }
        None
    }

    /// The waiting requests by priority.
    fn levels(&self, now: Moment) -> BTreeMap<Priority, PriorityLevel> {
        let service_time = micros(self.hold_time());
        let mut levels = BTreeMap::new();
        for (at, waiting) in self.waiting.iter().enumerate() {
            let last = (self.refusal_key(now, waiting, service_time), at);
            let level = levels
                .entry(waiting.request.priority)
                .or_insert(PriorityLevel { waiting: 0, last });
            level.waiting += 1;
            level.last = level.last.max(last);
        }
        levels
    }

    /// The first request to refuse at a priority whose expected `wait` is longer than planned under
    /// an overload. Refusals of requests that waited for long would be late, so only a higher
    /// priority takes their place.
    fn first_to_miss_goal(
        &self,
        now: Moment,
        priority: Priority,
        wait: Duration,
        has_higher: bool,
    ) -> Option<usize> {
        if !self.is_overloaded {
            return None;
        }
        let hold_time = self.hold_time();
        let planned = wait * WAIT_FACTOR + hold_time * SERVICE_TIME_RESERVE;
        let service_time = micros(hold_time);
        let same_priority = || {
            let waiting = self.waiting.iter().enumerate();
            waiting.filter(|(_, waiting)| waiting.request.priority == priority)
        };
        let claims =
            same_priority().map(|(_, waiting)| self.shares.claimed(waiting.share, service_time));
        let most_claimed = claims.max().unwrap_or_default();
        let refusable = same_priority().filter(|(_, waiting)| {
            // A caller that returns is late anyway. It gives way to those that are not, unless its
            // customer asks for less than others.
            let asks_for_more = self.shares.claimed(waiting.share, service_time) == most_claimed
                || self.shares.waiting(waiting.share) > 1;
            let goal = waiting.request.goal;
            let gives_way =
                waiting.arrived_late && asks_for_more && planned > goal.mul_f64(LATE_GOAL_FRACTION);
            let misses_goal = planned > goal;
            (has_higher || waiting.is_recent(now)) && (gives_way || misses_goal)
        });
        let first =
            refusable.max_by_key(|(_, waiting)| self.refusal_key(now, waiting, service_time));
        first.map(|(at, _)| at)
    }

    fn refusal_key(&self, now: Moment, waiting: &WaitingRequest, service_time: u64) -> RefusalKey {
        RefusalKey {
            is_recent: waiting.is_recent(now),
            claimed: self.shares.claimed(waiting.share, service_time),
            arrived_late: waiting.arrived_late,
            deadline: waiting.request.deadline,
            ticket: waiting.ticket,
        }
    }

    fn reject_waiting(
        &mut self,
        now: Moment,
        at: usize,
        reason: RejectReason,
        rng: &mut impl Rng,
    ) -> QueueEvent {
        let waiting = self.remove(at);
        QueueEvent::Rejected(waiting.ticket, self.reject(now, &waiting.request, reason, rng))
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
        let booked = self.returns.book(now, request.priority, spacing, rng);
        let retry_after = if self.is_overloaded { booked + OVERLOAD_DELAY } else { booked };
        let waiting = self.waiting.len();
        Rejection { reason, retry_after, waiting, expected_wait: self.expected_wait(now, waiting) }
    }

    /// Releases permits whose requests must have ended. Their holders may be unable to say so.
    fn expire_permits(&mut self, now: Moment) {
        let expired = self.permits.iter().filter(|(_, permit)| now >= permit.deadline);
        let expired: Vec<TicketId> = expired.map(|(ticket, _)| *ticket).collect();
        for permit in expired.iter().filter_map(|ticket| self.permits.remove(ticket)) {
            // How long the request ran is unknown, so it does not count as a service time.
            self.targets.release(&permit.grant.target);
            let held = now.since(permit.granted_at);
            self.shares.released(permit.share, permit.expected, held);
        }
    }
}

/// `late_from` is when a request granted now would end, or [`Moment::START`] under an overload.
fn order_key(now: Moment, late_from: Moment, waiting: &WaitingRequest, received: u64) -> OrderKey {
    let request = &waiting.request;
    let is_recent = waiting.is_recent(now);
    OrderKey {
        priority: request.priority,
        is_late: late_from > request.goal_by,
        received,
        arrived_late: waiting.arrived_late && is_recent,
        is_recent,
        deadline: request.deadline,
        ticket: waiting.ticket,
    }
}
