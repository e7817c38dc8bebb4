//! Number of bytes.

use std::fmt;

/// A number of bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteCount(usize);

impl ByteCount {
    /// No bytes.
    pub const ZERO: Self = Self(0);
    /// More bytes than any machine has.
    pub const MAX: Self = Self(usize::MAX);

    /// Creates a count.
    pub const fn new(bytes: usize) -> Self {
        Self(bytes)
    }

    /// The number of bytes.
    pub const fn get(self) -> usize {
        self.0
    }

    /// The sum, or [`Self::MAX`] if it is too large.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The difference, or zero if it is negative.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
