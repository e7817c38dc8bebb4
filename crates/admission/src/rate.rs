//! Moving averages of durations and rates.

use std::time::Duration;

use ids::{Moment, whole_millis};

/// Weight of the newest duration. With a larger one, the estimate of the served rate varies so much
/// that bursts count as overload.
const DURATION_SMOOTHING: f64 = 0.02;
/// Time that the rate of arrivals covers. A burst that is worked off in that time does not count as
/// overload, and an overload is noticed before its queue exceeds usual goals.
const RATE_PERIOD: Duration = Duration::from_millis(400);
/// Number of windows in which arrivals are counted.
const RATE_WINDOWS: usize = 8;

/// Moving average of a duration.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SmoothedDuration(Option<f64>);

impl SmoothedDuration {
    /// Adds a duration.
    pub fn observe(&mut self, duration: Duration) {
        let seconds = duration.as_secs_f64();
        self.0 = Some(match self.0 {
            None => seconds,
            Some(mean) => mean + DURATION_SMOOTHING * (seconds - mean),
        });
    }

    /// The average; `None` before the first duration.
    pub fn get(self) -> Option<Duration> {
        self.0.map(Duration::from_secs_f64)
    }
}

/// Rate of arrivals over the last windows.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ArrivalRate {
    /// Number of the newest window.
    newest: u64,
    counts: [u32; RATE_WINDOWS],
}

impl ArrivalRate {
    /// Counts an arrival.
    pub fn record(&mut self, now: Moment) {
        let newest = self.advance(now);
        self.counts[newest] += 1;
    }

    /// Arrivals per second.
    pub fn per_second(&mut self, now: Moment) -> f64 {
        self.advance(now);
        let total = f64::from(self.counts.iter().sum::<u32>());
        total / RATE_PERIOD.as_secs_f64()
    }

    /// Clears the windows that have passed and returns the index of the newest.
    fn advance(&mut self, now: Moment) -> usize {
        let window =
            whole_millis(now.since_start()) * RATE_WINDOWS as u64 / whole_millis(RATE_PERIOD);
        let passed = window.saturating_sub(self.newest).min(RATE_WINDOWS as u64);
        for offset in 0..passed {
            self.counts[index(window - offset)] = 0;
        }
        self.newest = self.newest.max(window);
        index(self.newest)
    }
}

#[expect(clippy::cast_possible_truncation, reason = "less than the number of windows")]
const fn index(window: u64) -> usize {
    (window % RATE_WINDOWS as u64) as usize
}
