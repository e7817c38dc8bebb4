//! Rate at which a box pulls the sealed segments that it lacks.
//!
//! The loss of further disks must be survived as soon as a box that came back without its disk
//! counts as present again. How fast it has to pull follows from what it lacks and from the time
//! left until then; appends share the link, so pulls take only a part of it.

use std::time::Duration;

use ids::ByteRate;

/// Lowest rate, also used if the time or the link is unknown.
const MIN_RATE: ByteRate = ByteRate::new(4_000_000);
/// Share of the link that pulls may take, as a divisor.
const LINK_DIVISOR: u64 = 2;
/// Share of the time after a return in which pulls should end, as a divisor. The rest is for the
/// start of the process, for the discovery of what is missing, and for a source that fails.
const TIME_DIVISOR: u32 = 2;
/// Minimum remaining time for which a rate is chosen.
const MIN_TIME: Duration = Duration::from_millis(100);

/// What limits the pulls of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PullLimits {
    /// Time in which everything that is missing should be pulled; zero for no limit.
    time: Duration,
    max_rate: ByteRate,
}

impl PullLimits {
    /// Creates the limits of a box that counts as present `catch_up` after its return, zero if that
    /// is unknown, and whose link has the rate `link`.
    pub fn new(catch_up: Duration, link: Option<ByteRate>) -> Self {
        let max_rate = link.map_or(MIN_RATE, |link| ByteRate::new(link.get() / LINK_DIVISOR));
        Self { time: catch_up / TIME_DIVISOR, max_rate: max_rate.max(MIN_RATE) }
    }

    /// Time in which everything that is missing should be pulled; zero for no limit.
    pub const fn time(&self) -> Duration {
        self.time
    }

    /// The rate for `bytes` that are missing `elapsed` after something was first found missing.
    pub fn rate(&self, bytes: u64, elapsed: Duration) -> ByteRate {
        if self.time.is_zero() {
            return MIN_RATE;
        }
        let left = self.time.saturating_sub(elapsed).max(MIN_TIME);
        ByteRate::for_transfer(bytes, left).clamp(MIN_RATE, self.max_rate)
    }

    /// Whether `bytes` that were just found missing can be pulled in time.
    pub fn is_sufficient(&self, bytes: u64) -> bool {
        self.time.is_zero() || self.max_rate.time_of(bytes) <= self.time
    }
}
