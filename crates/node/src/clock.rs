//! The box's clock for leases, timeouts of cached state and backoffs.
//!
//! A box may be suspended for seconds. The runtime's clock does not count that time, so a lease
//! measured by it would appear valid after its end. This clock includes suspensions. Timeouts that
//! only limit a wait of this process use the runtime's clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ids::Moment;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Time source of the box's clock.
#[derive(Debug, Clone, Default)]
pub enum ClockSource {
    /// The machine's clock, which includes suspensions.
    #[default]
    Machine,
    /// The runtime's clock, which tests pause and advance, plus a simulated suspension in
    /// milliseconds.
    Runtime(Arc<AtomicU64>),
}

/// Measures the time since the start of this box, suspensions included.
#[derive(Debug)]
pub(crate) enum NodeClock {
    Machine { started: Duration },
    Runtime { started: Instant, suspended_ms: Arc<AtomicU64> },
}

impl NodeClock {
    /// Starts a clock at zero.
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

/// Time since the machine started, suspensions included.
fn machine_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
