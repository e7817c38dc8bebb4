//! Delays between attempts.

use std::time::Duration;

/// The first delay.
const FIRST: Duration = Duration::from_millis(100);
/// The longest delay. A longer one would postpone service once the store is back.
const LONGEST: Duration = Duration::from_millis(400);

/// Delays that double from one attempt to the next.
#[derive(Debug)]
pub struct RetryDelay(Duration);

impl RetryDelay {
    /// Starts with the shortest delay.
    pub const fn new() -> Self {
        Self(FIRST)
    }

    /// Returns the delay after another failed attempt.
    pub fn next(&mut self) -> Duration {
        let delay = self.0;
        self.0 = LONGEST.min(delay * 2);
        delay
    }
}
