//! Limit on the number of open connections to targets.
//!
//! A shard server holds one connection per running item, which can be thousands. A process without
//! free file descriptors can neither respond to other boxes nor write its log. The server therefore
//! stops starting items before the limit and reserves the last connections for work that completes
//! items: reward calls, orders and plain requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// File descriptors reserved for other uses: log files, the process itself, and a connection in
/// each direction to up to 410 other boxes. Boxes with few descriptors reserve at most half of
/// them.
const OTHER_DESCRIPTORS: usize = 1_100;
/// One in this many connections is not available for items.
const RESERVE_DIVISOR: usize = 10;

/// Counts the open connections to targets and limits their number.
#[derive(Debug)]
pub struct ConnectionLimit {
    max_open: usize,
    open: Arc<AtomicUsize>,
}

impl Default for ConnectionLimit {
    fn default() -> Self {
        Self { max_open: usize::MAX, open: Arc::default() }
    }
}

impl ConnectionLimit {
    /// Computes the limit for a process that may open `descriptors` file descriptors.
    pub fn for_descriptors(descriptors: usize) -> Self {
        let max_open = descriptors - OTHER_DESCRIPTORS.min(descriptors / 2);
        Self { max_open, open: Arc::default() }
    }

    /// Number of open connections, including idle ones.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Maximum number of open connections.
    pub const fn max_open(&self) -> usize {
        self.max_open
    }

    /// Whether another item may be started at the current number of connections.
    pub fn has_capacity(&self) -> bool {
        // At least one connection is reserved, also under a small limit. A single connection is not
        // reserved, or no item could ever start.
        let reserve = self.max_open.div_ceil(RESERVE_DIVISOR).min(self.max_open / 2);
        self.open() < self.max_open - reserve
    }

    /// Acquires a permit for one connection; returns `None` at the limit.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        let increment = |open| (open < self.max_open).then_some(open + 1);
        self.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment).ok()?;
        Some(ConnectionPermit(Arc::clone(&self.open)))
    }
}

/// Permit for one connection; released when it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit(Arc<AtomicUsize>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
