//! Retry budgets and jittered backoff.
//!
//! A budget limits retries to a fixed fraction of first attempts, which bounds the extra load on a
//! failing target for any number of callers. Randomness is passed in.

use std::time::Duration;

/// Cost of one retry, in thousandths.
const RETRY_COST: u64 = 1_000;

/// A token bucket that limits retries to a fraction of first attempts.
///
/// ```
/// use coord::retry::RetryBudget;
///
/// // Earns 0.1 retries per attempt and holds at most two.
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
    capacity: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates a full budget that earns `thousandths` of a retry per first attempt and holds at
    /// most `capacity` retries.
    pub const fn new(thousandths: u64, capacity: u64) -> Self {
        let capacity = capacity * RETRY_COST;
        Self { earned_per_attempt: thousandths, capacity, balance: capacity }
    }

    /// Records a first attempt.
    pub fn record_attempt(&mut self) {
        self.balance = (self.balance + self.earned_per_attempt).min(self.capacity);
    }

    /// Spends one retry. Returns `false` if the budget is exhausted and the error must be returned
    /// to the caller.
    pub fn try_retry(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}

/// Exponential backoff with full jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates a backoff whose upper bound starts at `initial` and doubles up to `max`.
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self { initial, max }
    }

    /// Returns the delay before retry number `retry`, counted from zero. `random` is uniform over
    /// all of `u32`.
    pub fn delay(&self, retry: u32, random: u32) -> Duration {
        let doubled = self.initial.saturating_mul(1_u32.checked_shl(retry).unwrap_or(u32::MAX));
        let ceiling = doubled.min(self.max);
        ceiling.mul_f64(f64::from(random) / f64::from(u32::MAX))
    }
}
