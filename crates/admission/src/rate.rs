//! Moving averages of durations and rates.

use std::time::Duration;

use ids::Moment;

/// Weight of the newest duration.
const DURATION_SMOOTHING: f64 = 0.05;
/// Length of the windows over which arrivals are counted.
const RATE_WINDOW: Duration = Duration::from_millis(100);

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

/// Rate of arrivals, from the last complete window.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ArrivalRate {
    window_start: Moment,
    in_window: u32,
    per_second: f64,
}

impl ArrivalRate {
    /// Counts an arrival.
    pub fn record(&mut self, now: Moment) {
        self.advance(now);
        self.in_window += 1;
    }

    /// Arrivals per second.
    pub fn per_second(&mut self, now: Moment) -> f64 {
        self.advance(now);
        self.per_second
    }

    fn advance(&mut self, now: Moment) {
        let elapsed = now.since(self.window_start);
        if elapsed < RATE_WINDOW {
            return;
        }
        self.per_second = f64::from(self.in_window) / elapsed.as_secs_f64();
        self.in_window = 0;
        self.window_start = now;
    }
}
