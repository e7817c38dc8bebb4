//! Backoff of probes while the store does not respond.
//!
//! During an outage most boxes receive store updates from the feed source of their failure domain.
//! The source probes often and reports the recovery to the others. Their own probes only cover the
//! case that the store serves them but not the source, so they probe less often; otherwise a
//! recovering store would receive a burst of calls. Boxes that serve jobs always probe often,
//! because trainers wait for what they do after the recovery.

use std::time::Duration;

/// Pause after the second consecutive failure; doubles up to [`MAX_PAUSE`]. The first retry is
/// immediate, because a watch may be cut while the store is healthy.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause after a failed call. Trainers name their versions as soon as the store is back, and
/// wait for the engines from then on.
const MAX_PAUSE: Duration = Duration::from_millis(300);
/// Pause of a box whose feed source still responds with stale updates. With a call timeout of 0.7 s
/// the box detects a store that serves it alone within 2.2 s, of the allowed three.
const FEED_PAUSE: Duration = Duration::from_millis(1_500);

/// Backoff between consecutive failed calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProbeBackoff {
    /// Failures since the last response.
    failures: u32,
}

impl ProbeBackoff {
    /// Records a failed call and returns the pause before the next. `has_source` says whether a
    /// feed source responds.
    pub fn record_failure(&mut self, has_source: bool) -> Duration {
        let failures = self.failures;
        self.failures = self.failures.saturating_add(1);
        match failures {
            _ if has_source => FEED_PAUSE,
            0 => Duration::ZERO,
            _ => FIRST_PAUSE.saturating_mul(1 << (failures - 1).min(8)).min(MAX_PAUSE),
        }
    }

    /// Records a response and resets the backoff.
    pub const fn record_response(&mut self) {
        self.failures = 0;
    }
}
