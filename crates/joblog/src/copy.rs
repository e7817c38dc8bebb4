//! Copies of logs on this box's disk: one file for each shard and epoch.
//!
//! All calls wait for the disk; a shell runs them where waiting is allowed.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use ids::{RecordLocation, ShardIndex};
use wire::peer::LogRecord;

use crate::{EpochId, decode_records};

/// Bytes read at a time: a copy may be much larger than what a box can hold twice.
const READ_BYTES: u64 = 1 << 20;
/// Ending of a copy's file.
const ENDING: &str = ".log";

/// Why a copy could not be used.
#[derive(Debug, thiserror::Error)]
pub enum CopyError {
    /// The disk failed.
    #[error("the data folder failed ({0}): check that it exists, is writable and has room")]
    Io(#[from] io::Error),
    /// No whole record lies where one was written.
    #[error(
        "no whole record lies at byte {offset}: the disk has lost it, serve the shard from another copy"
    )]
    NoRecord {
        /// Where it should lie.
        offset: u64,
    },
    /// An append does not follow what is there.
    #[error("the copy holds {held} bytes and the append begins at {offset}: form a new epoch")]
    Gap {
        /// Bytes held.
        held: u64,
        /// Where the append begins.
        offset: u64,
    },
}

/// The folder of all copies on this box.
#[derive(Debug, Clone)]
pub struct CopyFolder {
    folder: PathBuf,
}

impl CopyFolder {
    /// Opens the folder, making it where it is missing.
    pub fn open(folder: &Path) -> Result<Self, CopyError> {
        fs::create_dir_all(folder)?;
        Ok(Self { folder: folder.to_owned() })
    }

    fn path(&self, shard: ShardIndex, epoch: &EpochId) -> PathBuf {
        self.folder.join(format!("shard-{shard}-{epoch}{ENDING}"))
    }

    fn sync_folder(&self) -> Result<(), CopyError> {
        File::open(&self.folder)?.sync_all()?;
        Ok(())
    }

    /// Whether the copy of an epoch is here.
    pub fn has(&self, shard: ShardIndex, epoch: &EpochId) -> bool {
        self.path(shard, epoch).exists()
    }

    /// Begins an empty copy; one of the same epoch is replaced.
    pub fn create(&self, shard: ShardIndex, epoch: &EpochId) -> Result<LogCopyFile, CopyError> {
        let path = self.path(shard, epoch);
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
        self.sync_folder()?;
        Ok(LogCopyFile { file, len: 0, last_offset: None })
    }

    /// Gives each record of a copy to `take`, with its place, up to the first that is not whole;
    /// says how many.
    pub fn read(
        &self,
        shard: ShardIndex,
        epoch: &EpochId,
        mut take: impl FnMut(LogRecord, RecordLocation),
    ) -> Result<usize, CopyError> {
        let mut file = File::open(self.path(shard, epoch))?;
        let mut bytes = Vec::new();
        let mut count = 0;
        let mut offset = 0;
        loop {
            let more = Read::by_ref(&mut file).take(READ_BYTES).read_to_end(&mut bytes)?;
            let (records, used) = decode_records(&bytes);
            bytes.drain(..used);
            count += records.len();
            for (record, len) in records {
                take(record, RecordLocation { offset, len });
                offset += u64::from(len);
            }
            if more == 0 {
                return Ok(count);
            }
        }
    }

    /// Reads single records of a copy, in the order of `places`.
    pub fn load(
        &self,
        shard: ShardIndex,
        epoch: &EpochId,
        places: &[RecordLocation],
    ) -> Result<Vec<LogRecord>, CopyError> {
        let mut file = File::open(self.path(shard, epoch))?;
        let mut records = Vec::with_capacity(places.len());
        for place in places {
            let mut bytes = vec![0; place.len as usize];
            file.seek(SeekFrom::Start(place.offset))?;
            file.read_exact(&mut bytes)?;
            let (mut read, _) = decode_records(&bytes);
            let fault = CopyError::NoRecord { offset: place.offset };
            records.push(read.pop().map(|(record, _)| record).ok_or(fault)?);
        }
        Ok(records)
    }

    /// The epochs of a shard that lie here.
    pub fn epochs(&self, shard: ShardIndex) -> Result<Vec<EpochId>, CopyError> {
        let start = format!("shard-{shard}-");
        let mut epochs = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let name = entry?.file_name();
            let Some(name) = name.to_str() else { continue };
            let epoch = name.strip_prefix(&start).and_then(|rest| rest.strip_suffix(ENDING));
            epochs.extend(epoch.and_then(|epoch| epoch.parse().ok()));
        }
        Ok(epochs)
    }

    /// Removes the copy of an epoch that no plan names any more.
    pub fn remove(&self, shard: ShardIndex, epoch: &EpochId) -> Result<(), CopyError> {
        fs::remove_file(self.path(shard, epoch))?;
        Ok(())
    }
}

/// A copy that is open for appends.
#[derive(Debug)]
pub struct LogCopyFile {
    file: File,
    len: u64,
    /// Where the last append began.
    last_offset: Option<u64>,
}

impl LogCopyFile {
    /// Bytes held.
    pub const fn len(&self) -> u64 {
        self.len
    }

    /// Whether nothing is held.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends encoded records that begin at `offset`. They last only after [`Self::sync`]. The last
    /// append may be repeated: an epoch has one writer, so what lies there is the same.
    pub fn append(&mut self, offset: u64, records: &[u8]) -> Result<(), CopyError> {
        if self.last_offset == Some(offset) && offset + records.len() as u64 == self.len {
            return Ok(());
        }
        if offset != self.len {
            return Err(CopyError::Gap { held: self.len, offset });
        }
        self.last_offset = None;
        self.file.write_all(records)?;
        self.last_offset = Some(offset);
        self.len += records.len() as u64;
        Ok(())
    }

    /// Returns once all appends are on the disk.
    pub fn sync(&mut self) -> Result<(), CopyError> {
        self.file.sync_data()?;
        Ok(())
    }
}
