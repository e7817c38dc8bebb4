//! Regions of failure domains, and the regions in which a request may be handled.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use ids::{DomainId, RegionId};

/// Why a text could not be parsed as a region map.
#[derive(Debug, thiserror::Error)]
#[error("not a JSON object that names the region of each failure domain: {0}")]
pub struct RegionMapError(#[from] serde_json::Error);

/// The region of each failure domain. Domains without a region belong to none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap(BTreeMap<DomainId, RegionId>);

impl RegionMap {
    /// The region of a failure domain, if it is known.
    pub fn region_of(&self, domain: &DomainId) -> Option<&RegionId> {
        self.0.get(domain)
    }

    /// All regions, sorted.
    pub fn regions(&self) -> BTreeSet<&RegionId> {
        self.0.values().collect()
    }

    /// Whether no region is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Parses a JSON object from failure domain to region. Empty text and `null`, as left by templates,
/// contain no regions.
impl FromStr for RegionMap {
    type Err = RegionMapError;

    fn from_str(text: &str) -> Result<Self, RegionMapError> {
        let text = text.trim();
        if text.is_empty() {
            return Ok(Self::default());
        }
        let regions: Option<BTreeMap<DomainId, RegionId>> = serde_json::from_str(text)?;
        Ok(Self(regions.unwrap_or_default()))
    }
}

/// The regions in which a request may be handled.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RegionScope {
    /// Everywhere, including failure domains without a known region.
    #[default]
    Any,
    /// Only in these regions; nowhere if there are none.
    Only(BTreeSet<RegionId>),
}

impl RegionScope {
    /// Whether requests may be handled in `region`.
    pub fn allows(&self, region: &RegionId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.contains(region),
        }
    }

    /// Whether requests may be handled in a failure domain of `map`. A domain without a known
    /// region is outside of every restriction.
    pub fn allows_domain(&self, map: &RegionMap, domain: &DomainId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => {
                map.region_of(domain).is_some_and(|region| regions.contains(region))
            }
        }
    }

    /// Whether only certain regions are allowed, also if these are all that exist.
    pub const fn is_restricted(&self) -> bool {
        matches!(self, Self::Only(_))
    }

    /// Returns the scope that allows what both scopes allow.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, scope) | (scope, Self::Any) => scope.clone(),
            (Self::Only(left), Self::Only(right)) => {
                Self::Only(left.intersection(right).cloned().collect())
            }
        }
    }
}

/// Shows `any`, `none`, or the regions with commas between them.
impl fmt::Display for RegionScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self::Only(regions) = self else { return f.write_str("any") };
        if regions.is_empty() {
            return f.write_str("none");
        }
        for (index, region) in regions.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(f, "{region}")?;
        }
        Ok(())
    }
}
