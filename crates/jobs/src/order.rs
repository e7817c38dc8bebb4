//! In which order items are started.

use std::cmp::{Ordering, Reverse};
use std::time::Duration;

use ids::Moment;
use wire::peer::Job;

/// What is known of texts fades: the last few hundred count.
const FADING: f64 = 0.995;

/// When an item should start at the latest, in milliseconds on the book's clock; may lie before its
/// start. Only the order of two of them means anything.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatestStart(f64);

impl LatestStart {
    pub(crate) fn order(self, other: Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The items of a job in the order in which they should start: the longest first, by the caller's guess,
/// since the trainer waits for the last item of its groups.
///
/// The trainer does not wait for all groups, but what it leaves comes again in its next job and is waited
/// for then: the longest groups gain nothing by starting last.
pub fn run_order(job: &Job) -> Vec<u32> {
    let mut order: Vec<u32> = (0..).take(job.items.len()).collect();
    // Stable: items that look equally long stay with their groups.
    order.sort_by_key(|index| Reverse(job.items[*index as usize].length_hint));
    order
}

/// How long texts take for the caller's guesses, as seen.
#[derive(Debug, Clone, Default)]
pub(crate) struct TextPace {
    millis: f64,
    hinted: f64,
}

impl TextPace {
    /// Takes the time that a whole text took.
    pub(crate) fn took(&mut self, hint: u32, time: Duration) {
        self.millis = self.millis * FADING + time.as_secs_f64() * 1_000.0;
        self.hinted = self.hinted * FADING + f64::from(hint);
    }

    /// When an item of a job taken at `taken_at` should start at the latest, as compared to others:
    /// the one with the least value first.
    pub(crate) fn latest_start(&self, taken_at: Moment, hint: u32) -> LatestStart {
        let text =
            if self.hinted > 0.0 { self.millis / self.hinted * f64::from(hint) } else { 0.0 };
        LatestStart(taken_at.since(Moment::START).as_secs_f64() * 1_000.0 - text)
    }
}
