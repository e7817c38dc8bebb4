//! How often a box asks a store that does not answer whether it is back.
//!
//! The pattern: the store is silent for seven seconds, and hundreds of boxes hear of it from one box of their
//! failure domain each. That box asks often, and tells the others of the store's return; what they ask for
//! themselves is for the case that the store serves them and not the one that tells. Asked by all of them
//! once a second, a store that comes back meets a thousand calls more than it had to.
//! Boxes that serve jobs ask often all the same: trainers wait for what they do at the store's return.

use std::time::Duration;

/// Pause after the second failed call in a row; doubles up to [`MOST_PAUSE`]. The first is made
/// again at once: a watch may be cut without a word while the store is well.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call. Trainers name their versions at the moment of the store's return, and
/// wait for the engines from then on.
const MOST_PAUSE: Duration = Duration::from_millis(300);
/// The pause of a box that another one still answers, though with old news. With a call that waits 0.7 s for
/// its answer, the box knows of a store that serves it alone within 2.2 s; it has three seconds from the
/// moment at which its way to the store is well.
const TOLD_PAUSE: Duration = Duration::from_millis(1_500);

/// The pauses between calls that fail in a row.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProbePace {
    /// Calls that have failed since the last answer.
    failures: u32,
}

impl ProbePace {
    /// Takes a failed call; the pause before the next one. `told` when another box answers this one.
    pub fn failed(&mut self, told: bool) -> Duration {
        let before = self.failures;
        self.failures = self.failures.saturating_add(1);
        match before {
            _ if told => TOLD_PAUSE,
            0 => Duration::ZERO,
            _ => FIRST_PAUSE.saturating_mul(1 << (before - 1).min(8)).min(MOST_PAUSE),
        }
    }

    /// Takes an answer.
    pub const fn answered(&mut self) {
        self.failures = 0;
    }
}
