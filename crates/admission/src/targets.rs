//! The targets of a service and the permits in use at each.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{InstanceId, Moment};

use crate::rate::SmoothedDuration;
use crate::{PermitOutcome, TargetLimit, TargetReport};

/// Backoff after the first failure; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff; bounds how late a recovered target is noticed.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of doublings of a backoff; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 8;
/// Weight of the newest report in the average of the load without a permit. Reports are older than
/// the count of permits that they are compared with, so single differences say little.
/// With a larger weight, part of the capacity would stay unused.
const UNPERMITTED_SMOOTHING: f64 = 0.03;
/// How long reports of load without a permit count.
const REPORT_TTL: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct TargetPermits {
    limit: TargetLimit,
    in_use: u32,
    /// Smoothed number of requests at the target that hold no permit.
    unpermitted: f64,
    reported_at: Moment,
    hold_time: SmoothedDuration,
    /// Consecutive failures.
    failures: u32,
    backoff_until: Moment,
    /// When a permit was last granted.
    granted_at: Moment,
}

impl TargetPermits {
    fn new(slots: u32) -> Self {
        Self {
            limit: TargetLimit::new(slots),
            in_use: 0,
            unpermitted: 0.0,
            reported_at: Moment::START,
            hold_time: SmoothedDuration::default(),
            failures: 0,
            backoff_until: Moment::START,
            granted_at: Moment::START,
        }
    }

    fn unpermitted(&self, now: Moment) -> f64 {
        if now.since(self.reported_at) < REPORT_TTL { self.unpermitted.max(0.0) } else { 0.0 }
    }

    /// Permits that the target may have, at least one so that its load is seen. Only one after a
    /// failure, until a request there is served.
    fn capacity(&self, now: Moment) -> f64 {
        if self.failures > 0 {
            return 1.0;
        }
        (f64::from(self.limit.permits()) - self.unpermitted(now)).max(1.0)
    }

    fn is_exhausted(&self, now: Moment) -> bool {
        f64::from(self.in_use + 1) > self.capacity(now)
    }

    fn has_room(&self, now: Moment) -> bool {
        now >= self.backoff_until && !self.is_exhausted(now)
    }

    /// Relative time until one more request would end; the smallest wins. `service_time` is assumed
    /// before the target has ended a request.
    fn cost(&self, now: Moment, service_time: Duration) -> f64 {
        let hold_time = self.hold_time.get().unwrap_or(service_time).as_secs_f64();
        f64::from(self.in_use + 1) / self.capacity(now) * hold_time
    }

    /// Failures of requests that were sent before a backoff count once.
    fn record_failure(&mut self, now: Moment) {
        if now < self.backoff_until {
            return;
        }
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
    }

    /// Responses during a backoff may be from before the failure.
    fn record_success(&mut self, now: Moment) {
        if now >= self.backoff_until {
            self.failures = 0;
        }
    }
}

/// Permits of all targets of a service.
#[derive(Debug, Clone, Default)]
pub(crate) struct TargetSet(BTreeMap<InstanceId, TargetPermits>);

impl TargetSet {
    /// Replaces the targets in use, given with their slots. `in_use` counts the permits in use at a
    /// target that was not listed before; it may have been removed and added again.
    pub fn set(&mut self, targets: &[(InstanceId, u32)], in_use: impl Fn(&InstanceId) -> usize) {
        self.0.retain(|instance, _| targets.iter().any(|(listed, _)| listed == instance));
        for (instance, slots) in targets {
            let target = self.0.entry(instance.clone()).or_insert_with(|| {
                let in_use = u32::try_from(in_use(instance)).unwrap_or(u32::MAX);
                TargetPermits { in_use, ..TargetPermits::new(*slots) }
            });
            if target.limit.slots() != (*slots).max(1) {
                target.limit = TargetLimit::new(*slots);
            }
        }
    }

    /// Whether no target is in use.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of permits over all targets that are not backed off, at least one.
    pub fn capacity(&self, now: Moment) -> f64 {
        let usable = self.0.values().filter(|target| now >= target.backoff_until);
        usable.map(|target| target.capacity(now)).sum::<f64>().max(1.0)
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> u32 {
        self.0.values().map(|target| target.in_use).sum()
    }

    /// Whether a target is in use that is not in `avoid`.
    pub fn has_other_than(&self, avoid: &[InstanceId]) -> bool {
        if avoid.is_empty() {
            return !self.is_empty();
        }
        self.0.keys().any(|instance| !avoid.contains(instance))
    }

    /// Returns the targets with room: first the one at which a request would end first, or if
    /// several are equal, the one that was granted longest ago.
    pub fn with_room(&self, now: Moment, service_time: Duration) -> Vec<InstanceId> {
        let with_room = self.0.iter().filter(|(_, target)| target.has_room(now));
        let mut with_room: Vec<_> = with_room.collect();
        with_room.sort_by(|(_, a), (_, b)| {
            let cost = a.cost(now, service_time).total_cmp(&b.cost(now, service_time));
            cost.then(a.granted_at.cmp(&b.granted_at))
        });
        with_room.into_iter().map(|(instance, _)| instance.clone()).collect()
    }

    /// Counts a permit.
    pub fn acquire(&mut self, now: Moment, target: &InstanceId) {
        if let Some(target) = self.0.get_mut(target) {
            target.in_use += 1;
            target.granted_at = now;
        }
    }

    /// Ends a permit.
    pub fn release(&mut self, target: &InstanceId) {
        if let Some(target) = self.0.get_mut(target) {
            target.in_use = target.in_use.saturating_sub(1);
        }
    }

    /// Records for how long the permit of a served request was held.
    pub fn observe_hold_time(&mut self, target: &InstanceId, held: Duration) {
        if let Some(target) = self.0.get_mut(target) {
            target.hold_time.observe(held);
        }
    }

    /// Applies the result of a request.
    pub fn report(&mut self, now: Moment, report: &TargetReport, service_time: Duration) {
        let Some(target) = self.0.get_mut(&report.target) else { return };
        match report.outcome {
            PermitOutcome::Served => target.record_success(now),
            PermitOutcome::Failed => {}
            PermitOutcome::Refused => target.limit.record_refusal(now, service_time),
            PermitOutcome::Broken | PermitOutcome::Gone => target.record_failure(now),
        }
        let Some(load) = report.load else { return };
        let is_exhausted = target.is_exhausted(now);
        target.limit.record_load(now, load, is_exhausted, service_time);
        let unpermitted = f64::from(load.running + load.waiting) - f64::from(target.in_use);
        let is_fresh = now.since(target.reported_at) < REPORT_TTL;
        let previous = if is_fresh { target.unpermitted } else { 0.0 };
        target.unpermitted = previous + UNPERMITTED_SMOOTHING * (unpermitted - previous);
        target.reported_at = now;
    }
}
