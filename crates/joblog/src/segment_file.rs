//! Files of sealed segments: reading pieces of them, and receiving them under a temporary name.
//!
//! All calls block on disk I/O, like those of [`CopyFolder`].

use std::fs::{self, File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use ids::ShardIndex;

use crate::{CopyError, CopyFolder, EpochId, decode_records};

/// File name extension of a segment that is being received.
const INCOMING_EXTENSION: &str = ".part";
/// Bytes read at a time when a file is checked.
const CHECK_BYTES: u64 = 1 << 20;

/// Distinguishes the temporary files of this process: a takeover may fetch a segment that is being
/// pulled in the background.
static INCOMING_COUNT: AtomicU64 = AtomicU64::new(0);

/// Bytes of a segment's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentBytes {
    /// The bytes read.
    pub bytes: Vec<u8>,
    /// Whether the file ends with them.
    pub end: bool,
}

impl CopyFolder {
    /// Reads at most `max_bytes` bytes of an epoch's file from `offset`. `None` if there is no such
    /// file or it has no bytes there.
    pub fn read_segment(
        &self,
        shard: ShardIndex,
        epoch: &EpochId,
        offset: u64,
        max_bytes: usize,
    ) -> Result<Option<SegmentBytes>, CopyError> {
        let path = self.path(shard, epoch);
        if !path.exists() {
            return Ok(None);
        }
        let mut file = File::open(path)?;
        let file_len = file.metadata()?.len();
        if offset >= file_len {
            return Ok(None);
        }
        file.seek(SeekFrom::Start(offset))?;
        let mut bytes = Vec::new();
        file.take(max_bytes as u64).read_to_end(&mut bytes)?;
        let end = offset + bytes.len() as u64 >= file_len;
        Ok(Some(SegmentBytes { bytes, end }))
    }

    /// Starts to receive a segment.
    pub fn receive_segment(
        &self,
        shard: ShardIndex,
        epoch: &EpochId,
    ) -> Result<IncomingSegment, CopyError> {
        let path = self.path(shard, epoch);
        let number = INCOMING_COUNT.fetch_add(1, Ordering::Relaxed);
        let mut temporary = path.clone().into_os_string();
        temporary.push(format!(".{number}{INCOMING_EXTENSION}"));
        let temporary = PathBuf::from(temporary);
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(&temporary)?;
        let folder = self.clone();
        Ok(IncomingSegment { folder, path, temporary, file, len: 0, complete: false })
    }

    /// Removes the files of segments whose receipt a crash interrupted. Call this only at start.
    pub fn remove_incoming(&self) -> Result<(), CopyError> {
        for entry in fs::read_dir(self.folder())? {
            let entry = entry?;
            let name = entry.file_name();
            if name.to_str().is_some_and(|name| name.ends_with(INCOMING_EXTENSION)) {
                fs::remove_file(entry.path())?;
            }
        }
        Ok(())
    }
}

/// A segment that is being received. Its file is removed when this is dropped before
/// [`Self::finish`].
#[derive(Debug)]
pub struct IncomingSegment {
    folder: CopyFolder,
    path: PathBuf,
    temporary: PathBuf,
    file: File,
    len: u64,
    complete: bool,
}

impl IncomingSegment {
    /// Returns the number of bytes received.
    pub const fn len(&self) -> u64 {
        self.len
    }

    /// Returns whether nothing was received.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends received bytes.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), CopyError> {
        self.file.write_all(bytes)?;
        self.len += bytes.len() as u64;
        Ok(())
    }

    /// Flushes the file to disk, checks that it consists of `len` bytes of complete records, and
    /// gives it its final name.
    pub fn finish(mut self, len: u64) -> Result<(), CopyError> {
        self.file.sync_all()?;
        let checked = checked_len(&self.temporary)?;
        if self.len != len || checked != len {
            return Err(CopyError::NoRecord { offset: checked });
        }
        fs::rename(&self.temporary, &self.path)?;
        self.complete = true;
        self.folder.sync_folder()
    }
}

impl Drop for IncomingSegment {
    fn drop(&mut self) {
        if !self.complete {
            // A file that stays is removed at the next start.
            let _removed = fs::remove_file(&self.temporary);
        }
    }
}

/// Returns the number of bytes up to the first incomplete or damaged record.
fn checked_len(path: &std::path::Path) -> Result<u64, CopyError> {
    let mut file = File::open(path)?;
    let (mut bytes, mut checked) = (Vec::new(), 0);
    loop {
        let bytes_read = Read::by_ref(&mut file).take(CHECK_BYTES).read_to_end(&mut bytes)?;
        let (_, decoded) = decode_records(&bytes);
        bytes.drain(..decoded);
        checked += decoded as u64;
        if bytes_read == 0 {
            return Ok(checked);
        }
    }
}
