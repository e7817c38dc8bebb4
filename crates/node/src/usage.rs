//! Usage counts per customer, and the cluster time.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use ids::{BoxId, CustomerName, Incarnation, Moment};
use usage::{
    ClusterClock, CountSource, TableVersion, UnixTime, UsageCount, UsageTable, UsageWindow,
    WindowLength,
};
use wire::peer::UsageCell;

/// Number of past windows to retain, so that late reports can be completed.
const RETAINED_WINDOWS: u64 = 26;

/// This box's wall clock, which may step.
pub fn wall_time() -> UnixTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixTime::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// The version up to which counts were reported to an incarnation of a peer.
#[derive(Debug, Clone)]
struct ReportedCounts {
    peer: BoxId,
    incarnation: Incarnation,
    version: TableVersion,
}

/// Usage counts of one box and those received from others.
#[derive(Debug)]
pub struct UsageTracker {
    /// `None` if usage is not reported.
    length: Option<WindowLength>,
    source: CountSource,
    clock: Mutex<ClusterClock>,
    table: Mutex<UsageTable>,
    reported: Mutex<Option<ReportedCounts>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl UsageTracker {
    /// Creates a tracker for a new incarnation of the box. Without a `length`, it counts nothing.
    pub fn new(box_id: BoxId, length: Option<WindowLength>) -> Self {
        // Unique unless the wall clock has stepped back to the millisecond at which an earlier
        // incarnation started. Their counts would then be merged as if they were one source.
        let incarnation = Incarnation::new(wall_time().millis());
        Self {
            length,
            source: CountSource { box_id, incarnation },
            clock: Mutex::default(),
            table: Mutex::default(),
            reported: Mutex::default(),
        }
    }

    /// The incarnation of this process.
    pub const fn incarnation(&self) -> Incarnation {
        self.source.incarnation
    }

    /// Length of the windows; `None` if usage is not reported.
    pub const fn length(&self) -> Option<WindowLength> {
        self.length
    }

    /// Cluster time at a moment, past or present; the current wall clock until it is known.
    pub fn time_at(&self, at: Moment) -> UnixTime {
        lock(&self.clock).now(at).unwrap_or_else(wall_time)
    }

    /// Whether several boxes have agreed on the cluster time.
    pub fn is_time_agreed(&self) -> bool {
        lock(&self.clock).is_anchored()
    }

    /// Records a reading of the wall clock of `from`, which may be this box.
    pub fn record_peer_time(&self, now: Moment, from: &BoxId, time: UnixTime) {
        lock(&self.clock).observe(now, from, time);
    }

    /// Adopts cluster time from a box that has agreed on it with others.
    pub fn follow_time(&self, now: Moment, time: UnixTime) {
        lock(&self.clock).follow(now, time);
    }

    /// Counts a customer's request that a target started to run at `started_at`.
    pub fn count(&self, started_at: Moment, customer: &CustomerName) {
        let Some(length) = self.length else { return };
        let window = length.window_of(self.time_at(started_at));
        let mut table = lock(&self.table);
        table.count(&self.source, window, customer);
        table.forget_before(window.back(RETAINED_WINDOWS));
    }

    /// Merges counts received from another box.
    pub fn merge(&self, cells: &[UsageCell]) {
        if cells.is_empty() {
            return;
        }
        let mut table = lock(&self.table);
        for cell in cells {
            match cell_from_wire(cell) {
                Some(count) => table.merge(count),
                None => {
                    log::warn!(target: "usage", peer = cell.box_id.as_str(); "usage count refused: invalid id");
                }
            }
        }
    }

    /// Returns the requests per customer in a window.
    pub fn totals(&self, window: UsageWindow) -> std::collections::BTreeMap<CustomerName, u64> {
        lock(&self.table).totals(window)
    }

    /// Drops windows that are no longer retained.
    pub fn forget(&self, now: Moment) {
        let Some(length) = self.length else { return };
        let window = length.window_of(self.time_at(now));
        lock(&self.table).forget_before(window.back(RETAINED_WINDOWS));
    }

    /// Returns the counts not yet reported to `peer`, and the version they reach.
    pub fn unreported(&self, peer: &BoxId) -> (Vec<UsageCell>, TableVersion) {
        let reported = lock(&self.reported).clone().filter(|reported| reported.peer == *peer);
        self.since(reported.map(|reported| reported.version).unwrap_or_default())
    }

    /// Returns the counts that changed since a version, and the version they reach.
    pub fn since(&self, version: TableVersion) -> (Vec<UsageCell>, TableVersion) {
        let table = lock(&self.table);
        (table.since(version).iter().map(cell_to_wire).collect(), table.version())
    }

    /// Records that counts up to a version were reported to this incarnation of `peer`. If the peer
    /// has restarted since the last report, it has only received the latest changes, so everything
    /// is reported again.
    pub fn record_reported(&self, peer: &BoxId, incarnation: Incarnation, version: TableVersion) {
        let mut reported = lock(&self.reported);
        let restarted = reported
            .as_ref()
            .is_some_and(|reported| reported.peer == *peer && reported.incarnation != incarnation);
        let version = if restarted { TableVersion::default() } else { version };
        *reported = Some(ReportedCounts { peer: peer.clone(), incarnation, version });
    }

    /// Whether everything that this box counted was reported to some other box.
    pub fn is_fully_reported(&self) -> bool {
        let version = lock(&self.table).version();
        version == TableVersion::default()
            || lock(&self.reported).as_ref().is_some_and(|reported| reported.version >= version)
    }
}

fn cell_to_wire(count: &UsageCount) -> UsageCell {
    UsageCell {
        box_id: count.source.box_id.to_string(),
        incarnation: count.source.incarnation.get(),
        window: count.window.get(),
        customer: count.customer.to_string(),
        requests: count.requests,
    }
}

fn cell_from_wire(cell: &UsageCell) -> Option<UsageCount> {
    Some(UsageCount {
        source: CountSource {
            box_id: cell.box_id.parse().ok()?,
            incarnation: Incarnation::new(cell.incarnation),
        },
        window: UsageWindow::new(cell.window),
        customer: cell.customer.parse().ok()?,
        requests: cell.requests,
    })
}
