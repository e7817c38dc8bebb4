//! Counts of use, by window, source and customer.

use std::collections::BTreeMap;

use ids::{BoxId, CustomerName, Incarnation};

use crate::UsageWindow;

/// Who counted: a box in one life of its process. A restarted box begins at nought under another life, so that what
/// its earlier life had told still counts beside it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CountSource {
    /// The box.
    pub box_id: BoxId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// How many requests of a customer one source saw begin in a window, in all so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageCount {
    /// Who counted.
    pub source: CountSource,
    /// The window.
    pub window: UsageWindow,
    /// The customer.
    pub customer: CustomerName,
    /// The requests.
    pub requests: u64,
}

/// How far a table's changes have been told; begins at nought.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableVersion(u64);

#[derive(Debug, Clone, Copy)]
struct Cell {
    requests: u64,
    changed: TableVersion,
}

/// Counts that a box holds: its own, and those that others told it.
#[derive(Debug, Clone, Default)]
pub struct UsageTable {
    cells: BTreeMap<(UsageWindow, CountSource, CustomerName), Cell>,
    version: TableVersion,
    /// Windows before this one are forgotten, and late words of them are not taken.
    floor: UsageWindow,
}

impl Default for UsageWindow {
    fn default() -> Self {
        Self::new(0)
    }
}

impl UsageTable {
    /// Counts a request that began in `window`.
    pub fn count(&mut self, source: &CountSource, window: UsageWindow, customer: &CustomerName) {
        if window < self.floor {
            return;
        }
        let changed = self.change();
        let key = (window, source.clone(), customer.clone());
        let cell = self.cells.entry(key).or_insert(Cell { requests: 0, changed });
        *cell = Cell { requests: cell.requests + 1, changed };
    }

    /// Takes what another box tells. Counts only rise, so an older word changes nothing.
    pub fn merge(&mut self, told: UsageCount) {
        if told.window < self.floor {
            return;
        }
        let key = (told.window, told.source, told.customer);
        if self.cells.get(&key).is_some_and(|cell| cell.requests >= told.requests) {
            return;
        }
        let changed = self.change();
        self.cells.insert(key, Cell { requests: told.requests, changed });
    }

    /// What has changed since a version.
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

    /// The version that has all changes so far.
    pub const fn version(&self) -> TableVersion {
        self.version
    }

    /// All sources' counts of a window, by customer.
    pub fn totals(&self, window: UsageWindow) -> BTreeMap<CustomerName, u64> {
        let mut totals = BTreeMap::new();
        let cells = self.cells.iter().filter(|((of, ..), _)| *of == window);
        for ((_, _, customer), cell) in cells {
            *totals.entry(customer.clone()).or_default() += cell.requests;
        }
        totals
    }

    /// Forgets the windows before `window`.
    pub fn forget_before(&mut self, window: UsageWindow) {
        if window <= self.floor {
            return;
        }
        self.floor = window;
        self.cells.retain(|(of, ..), _| *of >= window);
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    fn change(&mut self) -> TableVersion {
        self.version = TableVersion(self.version.0 + 1);
        self.version
    }
}
