//! Start order of items.

use std::cmp::Reverse;
use std::time::Duration;

use ids::Moment;
use wire::peer::Job;

use crate::Urgency;

/// Decay of the observed durations: only the last few hundred texts count.
const DECAY_FACTOR: f64 = 0.995;
/// Predicted time of a text, in milliseconds, before any was observed.
const UNOBSERVED_TEXT_MS: f64 = 1_000.0;

/// Latest useful start of an item, in milliseconds since [`Moment::START`]; may be negative. Only
/// compare it with other values.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatestStart(f64);

impl LatestStart {
    /// Returns the urgency that orders items by their latest start alone.
    pub(crate) const fn urgency(self) -> Urgency {
        Urgency::by_rank(self.0)
    }
}

/// Returns the items of a job in start order: longest first by the caller's length hint, since the
/// trainer waits for the last item of its groups.
///
/// The trainer doesn't wait for all groups, but it requests the remaining ones again in its next
/// job and waits for them then. Long groups therefore don't start last either.
pub fn run_order(job: &Job) -> Vec<u32> {
    let mut order: Vec<u32> = (0..).take(job.items.len()).collect();
    // The sort is stable: items with equal hints stay with their groups.
    order.sort_by_key(|index| Reverse(job.items[*index as usize].length_hint));
    order
}

/// Estimates the generation time of a text from its length hint.
#[derive(Debug, Clone, Default)]
pub(crate) struct DurationEstimator {
    decayed_millis: f64,
    decayed_hints: f64,
}

impl DurationEstimator {
    /// Records the generation time of a complete text.
    pub(crate) fn observe(&mut self, hint: u32, time: Duration) {
        self.decayed_millis = self.decayed_millis * DECAY_FACTOR + time.as_secs_f64() * 1_000.0;
        self.decayed_hints = self.decayed_hints * DECAY_FACTOR + f64::from(hint);
    }

    /// Returns the predicted time of generating the rest of a text, in milliseconds.
    pub(crate) fn remaining_ms(&self, hint: u32) -> f64 {
        if self.decayed_hints > 0.0 {
            self.decayed_millis / self.decayed_hints * f64::from(hint)
        } else {
            UNOBSERVED_TEXT_MS
        }
    }

    /// Returns the latest useful start of an item of a job accepted at `accepted_at`. The item with
    /// the smallest value starts first.
    pub(crate) fn latest_start(&self, accepted_at: Moment, hint: u32) -> LatestStart {
        let text_millis = if self.decayed_hints > 0.0 {
            self.decayed_millis / self.decayed_hints * f64::from(hint)
        } else {
            0.0
        };
        LatestStart(accepted_at.since(Moment::START).as_secs_f64() * 1_000.0 - text_millis)
    }
}
