//! Points in time. The decision code reads no clock; its callers pass in the current time.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since the start of the process; comparable only within one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// The start of the process.
    pub const START: Self = Self(0);

    /// Later than any other moment.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates the moment `elapsed` after the start.
    pub fn after_start(elapsed: Duration) -> Self {
        Self(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the time since the start.
    pub const fn since_start(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}s", self.0 / 1_000_000, self.0 / 1_000 % 1_000)
    }
}

/// Returns the whole milliseconds of a duration, for logs and messages. Saturates at `u64::MAX`.
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
