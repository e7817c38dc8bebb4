//! The versions a sample may be made of.

use crate::ModelVersion;

/// From the oldest version allowed to the one now named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionWindow {
    /// The oldest version allowed.
    pub floor: ModelVersion,
    /// The version now named.
    pub named: ModelVersion,
}

impl VersionWindow {
    /// The window of `named` under a staleness bound of `bound` versions.
    pub const fn new(named: ModelVersion, bound: u32) -> Self {
        Self { floor: named.floor(bound), named }
    }

    /// Whether a version is past the staleness bound.
    pub fn is_too_old(&self, version: ModelVersion) -> bool {
        version < self.floor
    }

    /// Whether a version has not been named yet, and perhaps never will be.
    pub fn is_ahead(&self, version: ModelVersion) -> bool {
        version > self.named
    }

    /// Whether a sample may be made of a version.
    pub fn contains(&self, version: ModelVersion) -> bool {
        !self.is_too_old(version) && !self.is_ahead(version)
    }
}
