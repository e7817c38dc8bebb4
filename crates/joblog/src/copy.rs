//! Copies of logs on this box's disk: one file per shard and epoch.
//!
//! All calls block on disk I/O; async callers must run them on a blocking thread.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::ops::Range;
use std::path::{Path, PathBuf};

use ids::{FencingToken, RecordLocation, ShardIndex};
use wire::peer::LogRecord;
use wire::peer::log_record::Body;

use crate::{EpochId, SealedSegment, ShardPlan, decode_records};

/// Bytes read at a time, so that a large copy is not buffered in full.
const READ_BYTES: u64 = 1 << 20;
/// File name extension of a copy.
const EXTENSION: &str = ".log";

/// Error of an operation on a copy.
#[derive(Debug, thiserror::Error)]
pub enum CopyError {
    /// A file operation in the data folder failed.
    #[error(
        "cannot access the data folder ({0}): check that it exists, is writable and has free space"
    )]
    Io(#[from] io::Error),
    /// A record is missing or damaged.
    #[error(
        "no complete record at byte {offset}: it is missing or damaged; serve from another copy"
    )]
    NoRecord {
        /// Expected offset of the record, in bytes.
        offset: u64,
    },
    /// No segment of the log has the token.
    #[error("no segment of the log has the token {token}: its records were moved")]
    NoSegment {
        /// Token of the segment.
        token: FencingToken,
    },
    /// An earlier write or sync of the copy failed.
    #[error("an earlier write to the copy failed: start a new epoch")]
    Failed,
    /// An append does not start at the end of the copy.
    #[error("the copy has {held} bytes but the append starts at {offset}: start a new epoch")]
    Gap {
        /// Length of the copy, in bytes.
        held: u64,
        /// Offset of the append, in bytes.
        offset: u64,
    },
}

/// What a copy contains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CopySummary {
    /// Number of records.
    pub records: usize,
    /// Length of the complete records in bytes.
    pub len: u64,
    /// Offset of the last round marker, or zero without one: the bytes before it are on all copies
    /// of the epoch.
    pub committed: u64,
}

impl CopySummary {
    fn add(&mut self, record: &LogRecord, len: u32) {
        if matches!(record.body, Some(Body::Round(_))) {
            self.committed = self.len;
        }
        self.records += 1;
        self.len += u64::from(len);
    }
}

/// The folder with all copies on this box.
#[derive(Debug, Clone)]
pub struct CopyFolder {
    folder: PathBuf,
}

impl CopyFolder {
    /// Opens the folder, creating it if missing.
    pub fn open(folder: &Path) -> Result<Self, CopyError> {
        fs::create_dir_all(folder)?;
        Ok(Self { folder: folder.to_owned() })
    }

    pub(crate) fn folder(&self) -> &Path {
        &self.folder
    }

    pub(crate) fn path(&self, shard: ShardIndex, epoch: &EpochId) -> PathBuf {
        self.folder.join(format!("shard-{shard}-{epoch}{EXTENSION}"))
    }

    pub(crate) fn sync_folder(&self) -> Result<(), CopyError> {
        File::open(&self.folder)?.sync_all()?;
        Ok(())
    }

    /// Returns whether this box has the copy of an epoch.
    pub fn has(&self, shard: ShardIndex, epoch: &EpochId) -> bool {
        self.path(shard, epoch).exists()
    }

    /// Creates an empty copy, replacing any copy of the same epoch.
    pub fn create(&self, shard: ShardIndex, epoch: &EpochId) -> Result<LogCopyFile, CopyError> {
        let path = self.path(shard, epoch);
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
        self.sync_folder()?;
        Ok(LogCopyFile { file, len: 0, last_offset: None, has_failed: false })
    }

    /// Calls `visit` with each record of a copy and its location, up to the first incomplete
    /// record.
    pub fn read(
        &self,
        shard: ShardIndex,
        epoch: &EpochId,
        visit: impl FnMut(LogRecord, RecordLocation),
    ) -> Result<CopySummary, CopyError> {
        self.read_until(shard, epoch, u64::MAX, visit)
    }

    /// Calls `visit` with each record of a sealed segment and its location.
    pub fn read_sealed(
        &self,
        shard: ShardIndex,
        segment: &SealedSegment,
        visit: impl FnMut(LogRecord, RecordLocation),
    ) -> Result<CopySummary, CopyError> {
        let summary = self.read_until(shard, &segment.epoch, segment.len, visit)?;
        if summary.len < segment.len {
            return Err(CopyError::NoRecord { offset: summary.len });
        }
        Ok(summary)
    }

    fn read_until(
        &self,
        shard: ShardIndex,
        epoch: &EpochId,
        end: u64,
        mut visit: impl FnMut(LogRecord, RecordLocation),
    ) -> Result<CopySummary, CopyError> {
        let mut file = File::open(self.path(shard, epoch))?.take(end);
        let mut bytes = Vec::new();
        let mut summary = CopySummary::default();
        loop {
            let bytes_read = file.by_ref().take(READ_BYTES).read_to_end(&mut bytes)?;
            let (records, decoded_len) = decode_records(&bytes);
            bytes.drain(..decoded_len);
            for (record, len) in records {
                let offset = summary.len;
                summary.add(&record, len);
                visit(record, RecordLocation { segment: epoch.token, offset, len });
            }
            if bytes_read == 0 {
                return Ok(summary);
            }
        }
    }

    /// Reads the bytes of a copy in a range, which must be complete.
    pub fn read_bytes(
        &self,
        shard: ShardIndex,
        epoch: &EpochId,
        range: Range<u64>,
    ) -> Result<Vec<u8>, CopyError> {
        let mut file = File::open(self.path(shard, epoch))?;
        file.seek(SeekFrom::Start(range.start))?;
        let mut bytes = Vec::new();
        file.take(range.end - range.start).read_to_end(&mut bytes)?;
        let end = range.start + bytes.len() as u64;
        if end < range.end { Err(CopyError::NoRecord { offset: end }) } else { Ok(bytes) }
    }

    /// Returns whether this box has all bytes of a sealed segment.
    pub fn has_sealed(&self, shard: ShardIndex, segment: &SealedSegment) -> bool {
        let file = fs::metadata(self.path(shard, &segment.epoch));
        file.is_ok_and(|file| file.len() >= segment.len)
    }

    /// Reads single records, in the order of `locations`. `segments` are the epochs of the log's
    /// segments; other epochs with the same tokens are not part of it.
    pub fn load(
        &self,
        shard: ShardIndex,
        segments: &[EpochId],
        locations: &[RecordLocation],
    ) -> Result<Vec<LogRecord>, CopyError> {
        let mut files = HashMap::new();
        let mut records = Vec::with_capacity(locations.len());
        for location in locations {
            let file = match files.entry(location.segment) {
                Entry::Occupied(open) => open.into_mut(),
                Entry::Vacant(entry) => {
                    let epoch = segments.iter().find(|epoch| epoch.token == location.segment);
                    let epoch = epoch.ok_or(CopyError::NoSegment { token: location.segment })?;
                    entry.insert(File::open(self.path(shard, epoch))?)
                }
            };
            records.push(load_record(file, location)?);
        }
        Ok(records)
    }

    /// Returns the epochs of a shard that have a copy on this box.
    pub fn epochs(&self, shard: ShardIndex) -> Result<Vec<EpochId>, CopyError> {
        let prefix = format!("shard-{shard}-");
        let mut epochs = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let name = entry?.file_name();
            let Some(name) = name.to_str() else { continue };
            let epoch = name.strip_prefix(&prefix).and_then(|rest| rest.strip_suffix(EXTENSION));
            epochs.extend(epoch.and_then(|epoch| epoch.parse().ok()));
        }
        Ok(epochs)
    }

    /// Deletes the copies that neither `plan`, which the store must have confirmed, nor any later
    /// plan can name. Returns their epochs.
    pub fn remove_unused(
        &self,
        shard: ShardIndex,
        plan: &ShardPlan,
    ) -> Result<Vec<EpochId>, CopyError> {
        let mut unused = self.epochs(shard)?;
        unused.retain(|epoch| plan.excludes(epoch));
        for epoch in &unused {
            match fs::remove_file(self.path(shard, epoch)) {
                // Another task deletes copies under the same plan.
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
                _ => {}
            }
        }
        Ok(unused)
    }
}

fn load_record(file: &mut File, location: &RecordLocation) -> Result<LogRecord, CopyError> {
    let mut bytes = vec![0; location.len as usize];
    file.seek(SeekFrom::Start(location.offset))?;
    file.read_exact(&mut bytes)?;
    let (mut read, _) = decode_records(&bytes);
    let error = CopyError::NoRecord { offset: location.offset };
    read.pop().map(|(record, _)| record).ok_or(error)
}

/// A copy that is open for appends.
#[derive(Debug)]
pub struct LogCopyFile {
    file: File,
    len: u64,
    /// Offset of the last append, in bytes; `None` before the first one.
    last_offset: Option<u64>,
    /// A write or sync failed.
    has_failed: bool,
}

impl LogCopyFile {
    /// Returns the length in bytes.
    pub const fn len(&self) -> u64 {
        self.len
    }

    /// Returns whether the copy is empty.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends encoded records at `offset`. They are durable only after [`Self::sync`].
    ///
    /// Repeating the last append is a no-op: an epoch has one writer, so the bytes are the same.
    /// After a failed write or sync, the copy accepts no more appends, since what is on disk is
    /// unknown: bytes of a partial write may follow the last record.
    pub fn append(&mut self, offset: u64, records: &[u8]) -> Result<(), CopyError> {
        if self.has_failed {
            return Err(CopyError::Failed);
        }
        if self.last_offset == Some(offset) && offset + records.len() as u64 == self.len {
            return Ok(());
        }
        if offset != self.len {
            return Err(CopyError::Gap { held: self.len, offset });
        }
        self.has_failed = true;
        self.file.write_all(records)?;
        self.has_failed = false;
        self.last_offset = Some(offset);
        self.len += records.len() as u64;
        Ok(())
    }

    /// Flushes all appends to disk.
    pub fn sync(&mut self) -> Result<(), CopyError> {
        if self.has_failed {
            return Err(CopyError::Failed);
        }
        self.has_failed = true;
        self.file.sync_data()?;
        self.has_failed = false;
        Ok(())
    }
}
