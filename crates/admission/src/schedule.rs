//! Times at which refused callers should return.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{Moment, Priority};
use rand::Rng;

/// Minimum delay of a return; a caller that returns earlier meets the same queue.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay of a return. Callers give up soon after, and forecasts further ahead are guesses.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Books a time to return for each refused caller.
///
/// Callers that return together would be refused together again. So each one gets the next free
/// time, spaced by the rate at which there will be room. Lower priorities return after the higher
/// ones that are booked.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    /// End of the booked times, by priority.
    booked_until: BTreeMap<Priority, Moment>,
}

impl ReturnSchedule {
    /// Books a return and returns its delay. `spacing` is the expected time between two free slots.
    pub fn book(
        &mut self,
        now: Moment,
        priority: Priority,
        spacing: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        self.booked_until.retain(|_, until| *until > now);
        let booked = self.booked_until.range(..=priority).map(|(_, until)| *until).max();
        let latest = now + MAX_DELAY;
        let start = booked.unwrap_or_default().max(now + MIN_DELAY);
        if start >= latest {
            // If higher priorities have booked all times, return after them. Otherwise spread the
            // returns over the second half of the time.
            let by_higher = self.booked_until.range(..priority).any(|(_, until)| *until >= latest);
            let fraction = if by_higher { 1.0 } else { 0.5 + 0.5 * rng.random::<f64>() };
            return MAX_DELAY.mul_f64(fraction);
        }
        self.booked_until.insert(priority, (start + spacing).min(latest));
        let jitter = spacing.mul_f64(rng.random::<f64>());
        (start.since(now) + jitter).min(MAX_DELAY)
    }
}
