//! What a box counts and hears of its customers' use, and true time as it knows it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use ids::{BoxId, CustomerName, Incarnation, Moment};
use usage::{
    ClusterClock, CountSource, TableVersion, UnixTime, UsageCount, UsageTable, UsageWindow,
    WindowLength,
};
use wire::peer::UsageCell;

/// Windows that are held, beside the present one: reports are caught up for as many.
const HELD_WINDOWS: u64 = 26;

/// This box's own reading of the time of day; it may step.
pub fn wall_time() -> UnixTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixTime::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Up to which version which life of another box has been told.
#[derive(Debug, Clone)]
struct ToldCounts {
    peer: BoxId,
    life: Incarnation,
    version: TableVersion,
}

/// Counts of use at one box.
#[derive(Debug)]
pub struct UsageTracker {
    /// None where nobody wants reports.
    length: Option<WindowLength>,
    source: CountSource,
    clock: Mutex<ClusterClock>,
    table: Mutex<UsageTable>,
    told: Mutex<Option<ToldCounts>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl UsageTracker {
    /// A board of a box that begins its life now; it counts where windows have a length.
    pub fn new(box_id: BoxId, length: Option<WindowLength>) -> Self {
        // A later life has a larger number, unless the time of day steps back at just that time: then its
        // counts fall in with the earlier life's.
        let life = Incarnation::new(wall_time().millis());
        Self {
            length,
            source: CountSource { box_id, incarnation: life },
            clock: Mutex::default(),
            table: Mutex::default(),
            told: Mutex::default(),
        }
    }

    /// The life that this process is.
    pub const fn incarnation(&self) -> Incarnation {
        self.source.incarnation
    }

    /// How long windows are; `None` where nobody wants reports.
    pub const fn length(&self) -> Option<WindowLength> {
        self.length
    }

    /// True time at a moment, past or present; the box's own time of day before it has heard any.
    pub fn time_at(&self, at: Moment) -> UnixTime {
        lock(&self.clock).now(at).unwrap_or_else(wall_time)
    }

    /// Whether several boxes have agreed on the time.
    pub fn is_time_agreed(&self) -> bool {
        lock(&self.clock).is_anchored()
    }

    /// Takes what a box, this one included, reads as its time of day.
    pub fn record_peer_time(&self, now: Moment, from: &BoxId, time: UnixTime) {
        lock(&self.clock).observe(now, from, time);
    }

    /// Takes true time from a box that has agreed on it with others.
    pub fn follow_time(&self, now: Moment, time: UnixTime) {
        lock(&self.clock).follow(now, time);
    }

    /// Counts a request of a customer that a target began at `began`.
    pub fn count(&self, began: Moment, customer: &CustomerName) {
        let Some(length) = self.length else { return };
        let window = length.window_of(self.time_at(began));
        let mut table = lock(&self.table);
        table.count(&self.source, window, customer);
        table.forget_before(window.back(HELD_WINDOWS));
    }

    /// Takes what another box tells.
    pub fn merge(&self, cells: &[UsageCell]) {
        if cells.is_empty() {
            return;
        }
        let mut table = lock(&self.table);
        for cell in cells {
            match read_cell(cell) {
                Some(count) => table.merge(count),
                None => {
                    log::warn!(target: "usage", peer = cell.box_id.as_str(); "count refused: a name is no id");
                }
            }
        }
    }

    /// All that is known of a window.
    pub fn totals(&self, window: UsageWindow) -> std::collections::BTreeMap<CustomerName, u64> {
        lock(&self.table).totals(window)
    }

    /// Forgets windows that are not held any more.
    pub fn forget(&self, now: Moment) {
        let Some(length) = self.length else { return };
        let window = length.window_of(self.time_at(now));
        lock(&self.table).forget_before(window.back(HELD_WINDOWS));
    }

    /// What `peer` has not been told yet, and the version that it reaches.
    pub fn untold(&self, peer: &BoxId) -> (Vec<UsageCell>, TableVersion) {
        let told = lock(&self.told).clone().filter(|told| told.peer == *peer);
        self.since(told.map(|told| told.version).unwrap_or_default())
    }

    /// What has changed since a version, and the version that it reaches.
    pub fn since(&self, version: TableVersion) -> (Vec<UsageCell>, TableVersion) {
        let table = lock(&self.table);
        (table.since(version).iter().map(write_cell).collect(), table.version())
    }

    /// Notes that `peer`, in this life, has been told up to a version. Where it had been told before in another
    /// life, it heard the last changes alone, and has to be told everything anew.
    pub fn note_told(&self, peer: &BoxId, life: Incarnation, version: TableVersion) {
        let mut told = lock(&self.told);
        let restarted = told.as_ref().is_some_and(|told| told.peer == *peer && told.life != life);
        let version = if restarted { TableVersion::default() } else { version };
        *told = Some(ToldCounts { peer: peer.clone(), life, version });
    }

    /// Whether all that this box counted has been told to some other box.
    pub fn is_fully_reported(&self) -> bool {
        let version = lock(&self.table).version();
        version == TableVersion::default()
            || lock(&self.told).as_ref().is_some_and(|told| told.version >= version)
    }
}

fn write_cell(count: &UsageCount) -> UsageCell {
    UsageCell {
        box_id: count.source.box_id.to_string(),
        incarnation: count.source.incarnation.get(),
        window: count.window.get(),
        customer: count.customer.to_string(),
        requests: count.requests,
    }
}

fn read_cell(cell: &UsageCell) -> Option<UsageCount> {
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
