//! Division of a large service into cells, each with its own queue.
//!
//! All boxes must find the same cell for a target without agreeing on anything but the target list.
//! A division by the hash of each target alone gives cells of different sizes, and each cell gets
//! the same share of the requests, whatever its size.

use std::collections::HashMap;

use ids::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

/// Targets per cell of a service. Bounds the permits that one home grants per second: a storage box
/// has a fraction of a core.
const TARGETS_PER_CELL: usize = 8;

/// The cell of each target of a service.
///
/// The targets are ordered by hash and divided into equal ranges, whose sizes differ by at most
/// one. If a target joins or leaves and the number of cells stays, at most one target per cell
/// moves to another cell.
#[derive(Debug, Clone, Default)]
pub struct CellLayout {
    cells: HashMap<InstanceId, u32>,
    count: u32,
}

impl CellLayout {
    /// Divides the targets of a service into as many cells as their number requires.
    pub fn new<'a>(targets: impl IntoIterator<Item = &'a InstanceId>) -> Self {
        let targets: Vec<&InstanceId> = targets.into_iter().collect();
        let count = targets.len().div_ceil(TARGETS_PER_CELL);
        Self::with_count(targets, u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Divides the targets of a service into `count` cells, or one if it is zero. A home uses the
    /// number of cells of the box that asks, whose list may differ.
    pub fn with_count<'a>(targets: impl IntoIterator<Item = &'a InstanceId>, count: u32) -> Self {
        let count = count.max(1);
        let mut ranked: Vec<(u64, &InstanceId)> = targets
            .into_iter()
            .map(|target| (xxh3_64(target.as_str().as_bytes()), target))
            .collect();
        ranked.sort_unstable();
        let len = ranked.len();
        let with_cells = ranked.into_iter().enumerate();
        let cells = with_cells.map(|(rank, (_, target))| (target.clone(), cell(rank, len, count)));
        Self { cells: cells.collect(), count }
    }

    /// Number of cells, at least one.
    pub fn count(&self) -> u32 {
        self.count.max(1)
    }

    /// The cell of a target; `None` if the target is unknown.
    pub fn cell_of(&self, target: &InstanceId) -> Option<u32> {
        self.cells.get(target).copied()
    }
}

/// The cell whose range contains `rank`: cell `i` starts at rank `i * len / count`, rounded down.
fn cell(rank: usize, len: usize, count: u32) -> u32 {
    let count = u64::from(count);
    let (rank, len) = (rank as u64, len as u64);
    u32::try_from(((rank + 1) * count - 1) / len.max(1)).unwrap_or(u32::MAX)
}
