//! Locations of records in files.

/// Location of a record in a copy of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLocation {
    /// Offset of its first byte.
    pub offset: u64,
    /// Length in bytes, including the record header.
    pub len: u32,
}
