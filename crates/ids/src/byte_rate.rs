//! Arithmetic of transfer rates.

use std::time::Duration;

use crate::ByteRate;

impl ByteRate {
    /// The lowest rate that transfers `bytes` within `time`.
    pub fn for_transfer(bytes: u64, time: Duration) -> Self {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1);
        Self::new(bytes.saturating_mul(1_000).div_ceil(millis))
    }

    /// The rate of each of `count` transfers that share this one.
    #[must_use]
    pub fn divided_by(self, count: usize) -> Self {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        Self::new(self.get() / count.max(1))
    }

    /// Time that the transfer of `bytes` takes.
    pub fn time_of(self, bytes: u64) -> Duration {
        Duration::from_millis(bytes.saturating_mul(1_000) / self.get().max(1))
    }
}
