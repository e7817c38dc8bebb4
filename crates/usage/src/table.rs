//! Usage counts, by window, source and customer.

use std::collections::BTreeMap;

use ids::{BoxId, CustomerName, Incarnation};

use crate::UsageWindow;

/// The incarnation of a box that counted requests. A restarted box starts at zero as a new source,
/// so the counts of its earlier incarnation remain valid.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CountSource {
    /// The box.
    pub box_id: BoxId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Total number of requests of a customer that one source has counted in a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageCount {
    /// The source that counted.
    pub source: CountSource,
    /// The window in which the requests started.
    pub window: UsageWindow,
    /// The customer that sent them.
    pub customer: CustomerName,
    /// Total number so far.
    pub requests: u64,
}

/// Version of a table; rises with each change, starting at zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableVersion(u64);

#[derive(Debug, Clone, Copy)]
struct Cell {
    requests: u64,
    changed: TableVersion,
}

/// Counts of this box and of others.
#[derive(Debug, Clone, Default)]
pub struct UsageTable {
    cells: BTreeMap<(UsageWindow, CountSource, CustomerName), Cell>,
    version: TableVersion,
    /// Oldest window that is kept. Counts of earlier ones are ignored.
    oldest_window: UsageWindow,
}

impl Default for UsageWindow {
    fn default() -> Self {
        Self::new(0)
    }
}

impl UsageTable {
    /// Counts a request that started in `window`.
    pub fn count(&mut self, source: &CountSource, window: UsageWindow, customer: &CustomerName) {
        if window < self.oldest_window {
            return;
        }
        let changed = self.next_version();
        let key = (window, source.clone(), customer.clone());
        let cell = self.cells.entry(key).or_insert(Cell { requests: 0, changed });
        *cell = Cell { requests: cell.requests + 1, changed };
    }

    /// Merges a count of another box. Counts only rise, so only a higher one is applied.
    pub fn merge(&mut self, received: UsageCount) {
        if received.window < self.oldest_window {
            return;
        }
        let key = (received.window, received.source, received.customer);
        if self.cells.get(&key).is_some_and(|cell| cell.requests >= received.requests) {
            return;
        }
        let changed = self.next_version();
        self.cells.insert(key, Cell { requests: received.requests, changed });
    }

    /// Returns the counts that changed after `version`.
    pub fn since(&self, version: TableVersion) -> Vec<UsageCount> {
        let changed = self.cells.iter().filter(|(_, cell)| cell.changed > version);
        let counts = changed.map(|((window, source, customer), cell)| UsageCount {
            source: source.clone(),
            window: *window,
            customer: customer.clone(),
            requests: cell.requests,
        });
        counts.collect()
    }

    /// Current version of the table.
    pub const fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns the totals of a window over all sources, by customer.
    pub fn totals(&self, window: UsageWindow) -> BTreeMap<CustomerName, u64> {
        let mut totals = BTreeMap::new();
        let cells = self.cells.iter().filter(|((cell_window, ..), _)| *cell_window == window);
        for ((_, _, customer), cell) in cells {
            *totals.entry(customer.clone()).or_default() += cell.requests;
        }
        totals
    }

    /// Removes all windows before `window`.
    pub fn forget_before(&mut self, window: UsageWindow) {
        if window <= self.oldest_window {
            return;
        }
        self.oldest_window = window;
        self.cells.retain(|(cell_window, ..), _| *cell_window >= window);
    }

    /// Whether the table has no counts.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    fn next_version(&mut self) -> TableVersion {
        self.version = TableVersion(self.version.0 + 1);
        self.version
    }
}
