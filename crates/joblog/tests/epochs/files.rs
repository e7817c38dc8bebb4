//! Model of the copies on a disk, and of the table that their records give.

use std::collections::{HashMap, HashSet};

use ids::FencingToken;
use joblog::{EpochId, LoadedLog, SealedSegment, ShardPlan, VersionedPlan};

/// Size of a record with an even number, in bytes: three of them are worth a segment.
const SMALL_BYTES: u64 = 100 << 10;
/// Size of a record with an odd number, in bytes: one is worth a segment.
const LARGE_BYTES: u64 = 300 << 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// Start of a round.
    Round,
    Record(u64),
    /// Drops all records up to this one.
    Drop(u64),
}

impl Entry {
    const fn len(self) -> u64 {
        match self {
            Self::Record(record) if record % 2 == 0 => SMALL_BYTES,
            Self::Record(_) => LARGE_BYTES,
            Self::Round | Self::Drop(_) => 1,
        }
    }
}

pub fn byte_len(entries: &[Entry]) -> u64 {
    entries.iter().map(|entry| entry.len()).sum()
}

/// Returns the entries with their offsets.
pub fn located(entries: &[Entry]) -> impl Iterator<Item = (u64, Entry)> {
    entries.iter().scan(0, |offset, entry| {
        let at = *offset;
        *offset += entry.len();
        Some((at, *entry))
    })
}

/// Returns the entries in a range of bytes.
pub fn slice(entries: &[Entry], from: u64, until: u64) -> Vec<Entry> {
    located(entries).filter(|(at, _)| (from..until).contains(at)).map(|(_, entry)| entry).collect()
}

/// Returns the offset of the last round marker.
pub fn committed_len(entries: &[Entry]) -> u64 {
    let rounds = located(entries).filter(|(_, entry)| *entry == Entry::Round);
    rounds.last().map_or(0, |(at, _)| at)
}

/// A record of a table and its location.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    pub record: u64,
    pub segment: FencingToken,
    pub offset: u64,
}

/// The records that were not dropped.
#[derive(Debug, Clone, Default)]
pub struct Table {
    pub held: Vec<Held>,
    pub dropped_until: u64,
}

impl Table {
    pub fn apply(&mut self, segment: FencingToken, offset: u64, entry: Entry) {
        match entry {
            Entry::Round => {}
            // Replaying a known record changes nothing.
            Entry::Record(record) if self.held.iter().any(|held| held.record == record) => {}
            Entry::Record(record) => self.held.push(Held { record, segment, offset }),
            Entry::Drop(until) => {
                self.held.retain(|held| held.record > until);
                self.dropped_until = self.dropped_until.max(until);
            }
        }
    }

    pub fn apply_all(&mut self, segment: FencingToken, start: u64, entries: &[Entry]) {
        for (offset, entry) in located(entries) {
            self.apply(segment, start + offset, entry);
        }
    }

    pub fn records(&self) -> Vec<u64> {
        self.held.iter().map(|held| held.record).collect()
    }

    pub fn oldest_segment(&self) -> Option<FencingToken> {
        self.held.iter().map(|held| held.segment).min()
    }

    pub fn relocate_tail(&mut self, of: FencingToken, from: u64, to: FencingToken) {
        for held in &mut self.held {
            if held.segment == of && held.offset >= from {
                held.segment = to;
                held.offset -= from;
            }
        }
    }

    pub fn snapshot(&self) -> Vec<Entry> {
        self.held.iter().map(|held| Entry::Record(held.record)).collect()
    }
}

#[derive(Default)]
pub struct Disk(pub HashMap<EpochId, Vec<Entry>>);

impl Disk {
    pub fn has_sealed(&self, segment: &SealedSegment) -> bool {
        self.0.get(&segment.epoch).is_some_and(|file| byte_len(file) >= segment.len)
    }

    /// Returns the table that the log gives, and the log as read.
    pub fn read(&self, epoch: &EpochId, sealed: &[SealedSegment]) -> Option<(Table, LoadedLog)> {
        let mut table = Table::default();
        for segment in sealed {
            let file = self.0.get(&segment.epoch)?;
            let entries = slice(file, 0, segment.len);
            if byte_len(&entries) < segment.len {
                return None;
            }
            table.apply_all(segment.epoch.token, 0, &entries);
        }
        let file = self.0.get(epoch)?;
        table.apply_all(epoch.token, 0, file);
        let (committed, len) = (committed_len(file), byte_len(file));
        Some((table, LoadedLog { epoch: epoch.clone(), committed, len }))
    }

    /// Deletes the files that no plan can name any more. Returns their number.
    pub fn remove_unused(&mut self, plan: &ShardPlan) -> usize {
        let before = self.0.len();
        self.0.retain(|epoch, _| !plan.excludes(epoch));
        before - self.0.len()
    }
}

/// How a box serves the shard.
pub struct Serving {
    /// The plan, at the revision that the box knows.
    pub known: VersionedPlan,
    /// Records of a failed round, to be appended again in the next epoch.
    pub unacknowledged: Vec<Entry>,
}

#[derive(Default)]
pub struct Box {
    pub disk: Disk,
    /// Copies that accept appends; lost when the process ends.
    pub open: HashSet<EpochId>,
    pub takeover: Option<joblog::EpochTakeover>,
    /// Where the records of the new segment are, once its plan is in force.
    pub copied: Option<(joblog::SegmentContent, u64)>,
    pub table: Table,
    pub loaded: Option<LoadedLog>,
    pub serving: Option<Serving>,
    /// A plan that the store confirmed, perhaps long ago.
    pub observed: Option<ShardPlan>,
}

impl Box {
    pub fn restart(&mut self) {
        let disk = std::mem::take(&mut self.disk);
        *self = Self { disk, ..Self::default() };
    }

    pub fn reset(&mut self) {
        self.table = Table::default();
        self.loaded = None;
    }
}
