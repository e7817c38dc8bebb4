//! The clock of all that a box believes: leases, terms, proofs, rests.
//!
//! A box may be suspended for seconds. The clock that the runtime sleeps by does not count that time, so a lease that is
//! counted by it would be believed in for just as long after its end. What is believed is counted by a clock
//! that does; what only bounds a wait of this process goes by the runtime's.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ids::Moment;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Where the time comes from by which a box believes.
#[derive(Debug, Clone, Default)]
pub enum ClockSource {
    /// The machine's clock that goes on while it is suspended.
    #[default]
    Machine,
    /// The runtime's, which tests pause and advance, and as many milliseconds of suspension as they say.
    Runtime(Arc<AtomicU64>),
}

/// Time since the start of this box, suspensions included.
#[derive(Debug)]
pub(crate) enum BeliefClock {
    Machine { started: Duration },
    Runtime { started: Instant, suspended_ms: Arc<AtomicU64> },
}

impl BeliefClock {
    /// A clock that starts now.
    pub(crate) fn start(source: ClockSource) -> Self {
        match source {
            ClockSource::Machine => Self::Machine { started: machine_time() },
            ClockSource::Runtime(suspended_ms) => {
                Self::Runtime { started: Instant::now(), suspended_ms }
            }
        }
    }

    pub(crate) fn now(&self) -> Moment {
        Moment::after_start(match self {
            Self::Machine { started } => machine_time().saturating_sub(*started),
            Self::Runtime { started, suspended_ms } => {
                let suspended = Duration::from_millis(suspended_ms.load(Ordering::Relaxed));
                started.elapsed() + suspended
            }
        })
    }
}

/// The machine's time since it was started, suspensions included. One reading, since two clocks that are read one after
/// the other may lie a scheduler's turn apart.
fn machine_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
