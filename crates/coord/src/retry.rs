//! Retry budgets and jittered backoff.
//!
//! A budget ties retries to first attempts, so that a failing target meets at most a fixed
//! share of extra load, whatever the number of callers. Randomness is passed in.

use std::time::Duration;

/// Thousandths of a retry that one token is worth.
const MILLI: u64 = 1_000;

/// Retries allowed as a share of first attempts, with a small float for quiet times.
///
/// ```
/// use coord::retry::RetryBudget;
///
/// // A tenth of a retry for each attempt, two held for quiet times.
/// let mut budget = RetryBudget::new(100, 2);
/// assert!(budget.try_retry() && budget.try_retry());
/// assert!(!budget.try_retry());
/// for _ in 0..10 {
///     budget.record_attempt();
/// }
/// assert!(budget.try_retry());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    earned_per_attempt: u64,
    float: u64,
    balance: u64,
}

impl RetryBudget {
    /// A budget that earns `thousandths` of a retry per first attempt and holds at most
    /// `float` retries.
    pub const fn new(thousandths: u64, float: u64) -> Self {
        let float = float * MILLI;
        Self { earned_per_attempt: thousandths, float, balance: float }
    }

    /// Notes a first attempt.
    pub fn record_attempt(&mut self) {
        self.balance = (self.balance + self.earned_per_attempt).min(self.float);
    }

    /// Takes one retry; `false` when the budget is spent and the error must go back as it is.
    pub fn try_retry(&mut self) -> bool {
        if self.balance < MILLI {
            return false;
        }
        self.balance -= MILLI;
        true
    }
}

/// Exponential backoff with full jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    first: Duration,
    most: Duration,
}

impl Backoff {
    /// Delays up to `first` at the start, doubling up to `most`.
    pub const fn new(first: Duration, most: Duration) -> Self {
        Self { first, most }
    }

    /// Delay before retry number `retry` (from zero); `random` is uniform over all of `u32`.
    pub fn delay(&self, retry: u32, random: u32) -> Duration {
        let doubled = self.first.saturating_mul(1_u32.checked_shl(retry).unwrap_or(u32::MAX));
        let ceiling = doubled.min(self.most);
        ceiling.mul_f64(f64::from(random) / f64::from(u32::MAX))
    }
}
