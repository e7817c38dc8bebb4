//! The targets of a service and the permits in use at each.

use std::collections::HashMap;
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
const UNPERMITTED_SMOOTHING: f64 = 0.1;
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
    failures: u32,
    backoff_until: Moment,
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

    /// Permits that the target may have, at least one so that its load is seen.
    fn capacity(&self, now: Moment) -> f64 {
        (f64::from(self.limit.permits()) - self.unpermitted(now)).max(1.0)
    }

    fn has_room(&self, now: Moment) -> bool {
        now >= self.backoff_until && f64::from(self.in_use + 1) <= self.capacity(now)
    }

    /// Relative time until one more request would end; the smallest wins.
    fn cost(&self, now: Moment) -> f64 {
        let hold_time = self.hold_time.get().map_or(1.0, |time| time.as_secs_f64());
        f64::from(self.in_use + 1) / self.capacity(now) * hold_time
    }
}

/// Permits of all targets of a service.
#[derive(Debug, Clone, Default)]
pub(crate) struct TargetSet(HashMap<InstanceId, TargetPermits>);

impl TargetSet {
    /// Replaces the targets in use, given with their slots. Permits at a target that is removed end
    /// on their own.
    pub fn set(&mut self, targets: &[(InstanceId, u32)]) {
        self.0.retain(|instance, _| targets.iter().any(|(listed, _)| listed == instance));
        for (instance, slots) in targets {
            let target =
                self.0.entry(instance.clone()).or_insert_with(|| TargetPermits::new(*slots));
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

    /// Returns the target with room at which a request would end first; the one that was granted
    /// longest ago if several are equal.
    pub fn choose(&self, now: Moment, avoid: &[InstanceId]) -> Option<InstanceId> {
        let with_room =
            self.0.iter().filter(|(id, target)| target.has_room(now) && !avoid.contains(id));
        let best = with_room.min_by(|(_, a), (_, b)| {
            a.cost(now).total_cmp(&b.cost(now)).then(a.granted_at.cmp(&b.granted_at))
        });
        best.map(|(instance, _)| instance.clone())
    }

    /// Counts a permit.
    pub fn acquire(&mut self, now: Moment, target: &InstanceId) {
        if let Some(target) = self.0.get_mut(target) {
            target.in_use += 1;
            target.granted_at = now;
        }
    }

    /// Ends a permit that was held for `held`.
    pub fn release(&mut self, target: &InstanceId, held: Duration) {
        if let Some(target) = self.0.get_mut(target) {
            target.in_use = target.in_use.saturating_sub(1);
            target.hold_time.observe(held);
        }
    }

    /// Applies the result of a request.
    pub fn report(&mut self, now: Moment, report: &TargetReport, service_time: Duration) {
        let Some(target) = self.0.get_mut(&report.target) else { return };
        match report.outcome {
            PermitOutcome::Served => target.failures = 0,
            PermitOutcome::Refused => target.limit.record_refusal(now, service_time),
            PermitOutcome::Broken | PermitOutcome::Gone => {
                let backoff =
                    INITIAL_BACKOFF.saturating_mul(1 << target.failures.min(MAX_DOUBLINGS));
                target.backoff_until = now + backoff.min(MAX_BACKOFF);
                target.failures = target.failures.saturating_add(1);
            }
        }
        let Some(load) = report.load else { return };
        let is_exhausted = !target.has_room(now);
        target.limit.record_load(now, load, is_exhausted, service_time);
        let unpermitted = f64::from(load.running + load.waiting) - f64::from(target.in_use);
        let is_fresh = now.since(target.reported_at) < REPORT_TTL;
        let previous = if is_fresh { target.unpermitted } else { 0.0 };
        target.unpermitted = previous + UNPERMITTED_SMOOTHING * (unpermitted - previous);
        target.reported_at = now;
    }
}
