//! Monotonic process clock, based on the runtime's clock, which tests can pause and advance.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ids::{Incarnation, Moment, whole_millis};
use tokio::time::Instant;

/// Measures time since the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    started: Instant,
}

impl ProcessClock {
    /// Creates a clock that starts at the current time.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        Moment::after_start(self.started.elapsed())
    }

    /// Converts a moment to a runtime instant to sleep until, at most 24 hours ahead.
    pub fn instant(&self, moment: Moment) -> Instant {
        let capped = moment.min(self.now() + Duration::from_hours(24));
        self.started + capped.since_start()
    }
}

/// Returns the incarnation number of this start of the box.
///
/// Boxes have no persistent state, so the number is taken from the wall clock. It is larger than
/// that of any earlier start unless the clock was set back; in that case peers ignore the box.
pub fn incarnation_from_wall_clock() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    Incarnation::new(whole_millis(since))
}
