//! Adaptive limit on the permits of one target.
//!
//! Additive increase and multiplicative decrease, driven by the target's refusals and by the queue
//! that it reports. The queue shows overload earlier than refusals: a target refuses only once its
//! own queue is full, and by then every request there is late.

use std::time::Duration;

use ids::Moment;

use crate::ReportedLoad;

/// One permit more for each this many slots. It covers the time for which a slot would be idle
/// while its release and the next grant travel between boxes.
const SLOTS_PER_EXTRA_PERMIT: u32 = 4;
/// Maximum limit, as a multiple of the slots.
const MAX_SLOT_MULTIPLE: u32 = 2;
/// Service times between two changes by reported loads. Reports may be some service times old; if
/// each changed the limit, it would fall to one before the first fall shows in the reports.
const SERVICE_TIMES_PER_CHANGE: u32 = 4;
/// Factor applied after a refusal.
const REFUSAL_FACTOR: f64 = 0.8;

/// Number of permits that a target may have.
#[derive(Debug, Clone, Copy)]
pub struct TargetLimit {
    slots: u32,
    permits: f64,
    changed_at: Moment,
}

impl TargetLimit {
    /// Creates the limit of a target that runs `slots` requests at a time.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        let permits = f64::from(slots + slots.div_ceil(SLOTS_PER_EXTRA_PERMIT));
        Self { slots, permits, changed_at: Moment::START }
    }

    /// Number of requests that the target runs at a time.
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of permits, at least one.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded by a multiple of the slots"
    )]
    pub const fn permits(&self) -> u32 {
        self.permits as u32
    }

    /// Lowers the limit after a refusal, at most once per `service_time`: requests sent before the
    /// change are refused together.
    pub fn record_refusal(&mut self, now: Moment, service_time: Duration) {
        if self.may_change(now, service_time) {
            self.set(now, self.permits * REFUSAL_FACTOR);
        }
    }

    /// Adapts the limit to a reported load. `is_exhausted` says whether all permits are in use.
    pub fn record_load(
        &mut self,
        now: Moment,
        load: ReportedLoad,
        is_exhausted: bool,
        service_time: Duration,
    ) {
        if !self.may_change(now, service_time * SERVICE_TIMES_PER_CHANGE) {
            return;
        }
        if load.waiting > self.slots.div_ceil(SLOTS_PER_EXTRA_PERMIT) {
            self.set(now, self.permits - 1.0);
        } else if is_exhausted && load.waiting == 0 && load.running < self.slots {
            self.set(now, self.permits + 1.0);
        }
    }

    fn may_change(&self, now: Moment, interval: Duration) -> bool {
        now.since(self.changed_at) >= interval
    }

    fn set(&mut self, now: Moment, permits: f64) {
        self.permits = permits.clamp(1.0, f64::from(self.slots * MAX_SLOT_MULTIPLE));
        self.changed_at = now;
    }
}
