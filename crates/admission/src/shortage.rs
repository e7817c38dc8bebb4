//! Detects on each box whether a service is short of slots.

use std::time::Duration;

use ids::Moment;

use crate::ReportedLoad;

/// How long a signal of shortage counts. Longer than the time between two requests of a box to a
/// service under moderate load.
const SIGNAL_TTL: Duration = Duration::from_secs(2);
/// A target is short if more than one request for this many slots waits there.
const SLOTS_PER_WAITING: u32 = 4;

/// Whether the targets of one service are short of slots, as seen by one box.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShortageDetector {
    short_until: Moment,
}

impl ShortageDetector {
    /// Records that a target refused a request for lack of capacity.
    pub fn record_refusal(&mut self, now: Moment) {
        self.short_until = now + SIGNAL_TTL;
    }

    /// Records the load that a target with `slots` slots reported.
    pub fn record_load(&mut self, now: Moment, load: ReportedLoad, slots: u32) {
        if load.waiting > slots.div_ceil(SLOTS_PER_WAITING) {
            self.short_until = now + SIGNAL_TTL;
        }
    }

    /// Records whether the box that grants permits sees a shortage.
    pub fn record_reply(&mut self, now: Moment, is_short: bool) {
        if is_short {
            self.short_until = now + SIGNAL_TTL;
        }
    }

    /// Whether the service is short of slots.
    pub fn is_short(&self, now: Moment) -> bool {
        now < self.short_until
    }
}
