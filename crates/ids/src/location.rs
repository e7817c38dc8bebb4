//! Locations of records in files.

use crate::FencingToken;

/// Location of a record in a copy of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLocation {
    /// Fencing token of the epoch whose segment holds the record.
    pub segment: FencingToken,
    /// Offset of its first byte in the segment.
    pub offset: u64,
    /// Length in bytes, including the record header.
    pub len: u32,
}
