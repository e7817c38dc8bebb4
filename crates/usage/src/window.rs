//! Time windows in cluster time.

use std::fmt;
use std::time::Duration;

use ids::whole_millis;
use serde::{Deserialize, Serialize};

use crate::UnixTime;

/// Number of a window, counted in window lengths since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageWindow(u64);

impl UsageWindow {
    /// Wraps a window number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the window number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The following window.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The window that lies `windows` earlier, at least window 0.
    #[must_use]
    pub const fn back(self, windows: u64) -> Self {
        Self(self.0.saturating_sub(windows))
    }
}

impl fmt::Display for UsageWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Length of a window in milliseconds, at least 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowLength(u64);

impl WindowLength {
    /// Creates a window length, in whole milliseconds; `None` if that is zero.
    pub fn new(length: Duration) -> Option<Self> {
        let millis = whole_millis(length);
        (millis > 0).then_some(Self(millis))
    }

    /// The window that contains `time`.
    pub const fn window_of(self, time: UnixTime) -> UsageWindow {
        UsageWindow(time.millis() / self.0)
    }

    /// End of a window, which is the start of the next.
    pub const fn end_of(self, window: UsageWindow) -> UnixTime {
        UnixTime::new(window.next().0.saturating_mul(self.0))
    }
}
