//! Which slow caller is disconnected when the memory budget is exhausted.

use std::time::Duration;

use tokio::time::Instant;

use super::ByteCount;

/// How long a caller may take nothing of its response while the budget is exhausted.
pub const READER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a shortage lasts after a reservation that did not fit, so that the freed room is there
/// when its caller retries.
const SHORTAGE_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct Shortage {
    /// Free bytes that end the shortage.
    needed: ByteCount,
    until: Instant,
}

/// Chooses the callers to disconnect.
#[derive(Debug, Clone, Default)]
pub struct ReaderPolicy {
    shortage: Option<Shortage>,
}

impl ReaderPolicy {
    /// Records that reservations needed this many free bytes and did not fit.
    pub fn record_shortage(&mut self, now: Instant, needed: ByteCount) {
        let needed = self.current(now).map_or(needed, |shortage| shortage.needed.max(needed));
        self.shortage = Some(Shortage { needed, until: now + SHORTAGE_TIME });
    }

    fn current(&self, now: Instant) -> Option<Shortage> {
        self.shortage.filter(|shortage| now < shortage.until)
    }

    /// Whether the budget is exhausted when it has `free` bytes.
    pub fn is_exhausted(&self, now: Instant, free: ByteCount) -> bool {
        self.current(now).is_some_and(|shortage| free < shortage.needed)
    }

    /// Returns the caller that has taken nothing for longest, if the budget is exhausted and that
    /// time exceeds the timeout. `stalled` lists the callers that take nothing, and since when.
    pub fn choose<T>(
        &self,
        now: Instant,
        free: ByteCount,
        stalled: impl IntoIterator<Item = (T, Instant)>,
    ) -> Option<T> {
        if !self.is_exhausted(now, free) {
            return None;
        }
        let (caller, since) = stalled.into_iter().min_by_key(|(_, since)| *since)?;
        (now.saturating_duration_since(since) >= READER_TIMEOUT).then_some(caller)
    }
}
