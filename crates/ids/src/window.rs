//! Weight versions that may generate a sample.

use crate::ModelVersion;

/// Range from the oldest allowed version to the currently named version, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionWindow {
    /// Oldest allowed version.
    pub floor: ModelVersion,
    /// Currently named version.
    pub named: ModelVersion,
}

impl VersionWindow {
    /// Creates the window for `named` under a staleness bound of `bound` versions.
    pub const fn new(named: ModelVersion, bound: u32) -> Self {
        Self { floor: named.floor(bound), named }
    }

    /// Returns whether a version exceeds the staleness bound.
    pub fn is_too_old(&self, version: ModelVersion) -> bool {
        version < self.floor
    }

    /// Returns whether a version is newer than the named one.
    pub fn is_ahead(&self, version: ModelVersion) -> bool {
        version > self.named
    }

    /// Returns whether a version may generate a sample.
    pub fn contains(&self, version: ModelVersion) -> bool {
        !self.is_too_old(version) && !self.is_ahead(version)
    }
}
