//! Windows of true time.

use std::fmt;
use std::time::Duration;

use ids::whole_millis;
use serde::{Deserialize, Serialize};

use crate::UnixTime;

/// One window: the number of window lengths since the beginning of 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageWindow(u64);

impl UsageWindow {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The bare number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The window after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The window `windows` before this one.
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

/// How long a window is; a millisecond at least.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowLength(u64);

impl WindowLength {
    /// Windows of this length; `None` for less than a millisecond.
    pub fn new(length: Duration) -> Option<Self> {
        let millis = whole_millis(length);
        (millis > 0).then_some(Self(millis))
    }

    /// The window that a moment lies in.
    pub const fn window_of(self, time: UnixTime) -> UsageWindow {
        UsageWindow(time.millis() / self.0)
    }

    /// When a window ends, and the next one begins.
    pub const fn end_of(self, window: UsageWindow) -> UnixTime {
        UnixTime::new(window.next().0.saturating_mul(self.0))
    }
}
