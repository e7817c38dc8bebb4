//! The process's clock: the runtime's, which tests pause and advance.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ids::{Incarnation, Moment, whole_millis};
use tokio::time::Instant;

/// Counts from the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    started: Instant,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Now.
    pub fn now(&self) -> Moment {
        Moment::after_start(self.started.elapsed())
    }

    /// The runtime's instant of a moment, to sleep until; a day ahead at the most.
    pub fn instant(&self, moment: Moment) -> Instant {
        let soonest = moment.min(self.now() + Duration::from_hours(24));
        self.started + soonest.since_start()
    }
}

/// A number for this life of the box, larger than that of any earlier life.
///
/// Boxes keep nothing, so it is taken from the wall clock, once, at start. A clock set back
/// makes the box look like an older life until it has caught up; its peers then ignore it.
pub fn incarnation_from_wall_clock() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    Incarnation::new(whole_millis(since))
}
