//! How many connections to targets a box may hold.
//!
//! A server of jobs holds a connection for each item that runs, thousands at three hundred boxes. A process
//! that runs out of descriptors can neither answer other boxes nor write its log, and gives up
//! everything at once; so it starts no more items a step ahead of that, and keeps the last places for what
//! lets go of work: reward calls, orders and plain requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Descriptors that are not for targets: files of the logs and the process's own, and a connection in each
/// direction to the boxes of the largest deployment that is planned for, 410. At most half of all: a box with
/// few descriptors stands among few boxes.
const OTHER_DESCRIPTORS: usize = 1_100;
/// One place in this many is not for items.
const SPARE_PARTS: usize = 10;

/// How many connections to targets are open, and how many may be.
#[derive(Debug)]
pub struct ConnectionLimit {
    most: usize,
    open: Arc<AtomicUsize>,
}

impl Default for ConnectionLimit {
    fn default() -> Self {
        Self { most: usize::MAX, open: Arc::default() }
    }
}

impl ConnectionLimit {
    /// The limit of a process that may open so many descriptors.
    pub fn for_descriptors(descriptors: usize) -> Self {
        let most = descriptors - OTHER_DESCRIPTORS.min(descriptors / 2);
        Self { most, open: Arc::default() }
    }

    /// Connections that are open, resting ones included.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Connections that may be open.
    pub const fn most(&self) -> usize {
        self.most
    }

    /// Whether another item may be started, with as many connections open as there are.
    pub fn has_capacity(&self) -> bool {
        self.open() < self.most - self.most / SPARE_PARTS
    }

    /// Takes a place, if there is one.
    pub fn take(&self) -> Option<ConnectionPlace> {
        let more = |open| (open < self.most).then_some(open + 1);
        self.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more).ok()?;
        Some(ConnectionPlace(Arc::clone(&self.open)))
    }
}

/// The place of one connection, free again once it is dropped.
#[derive(Debug)]
pub struct ConnectionPlace(Arc<AtomicUsize>);

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
