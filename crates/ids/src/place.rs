//! Where something lies in a file.

/// Where a record lies in the copy of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLocation {
    /// Its first byte.
    pub offset: u64,
    /// Its length in bytes, with its head.
    pub len: u32,
}
