//! Validation of pool documents before they are written.

use std::collections::BTreeSet;
use std::fmt;
use std::hash::Hash;

use crate::{PoolSpec, SwapPolicy};

/// Maximum staleness bound, in versions; larger values are rejected as likely typing errors.
const MAX_STALENESS_BOUND: u32 = 1_000;
/// Maximum value of `limits.per_engine`.
const MAX_PER_ENGINE: u32 = 4_096;

/// Reason why a pool document is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PoolError {
    /// The document is not the TOML of a pool.
    #[error("the document is not a pool: {0}")]
    Syntax(String),
    /// Messages for all invalid values.
    #[error("the pool cannot be accepted:\n  {}", .0.join("\n  "))]
    Faults(Vec<String>),
}

/// Parses and validates a pool written as TOML.
pub fn parse_pool(text: &str) -> Result<PoolSpec, PoolError> {
    let spec: PoolSpec =
        toml::from_str(text).map_err(|error| PoolError::Syntax(error.to_string()))?;
    spec.check()?;
    Ok(spec)
}

impl PoolSpec {
    /// Validates the values of the pool and reports all faults together.
    pub fn check(&self) -> Result<(), PoolError> {
        let mut faults = Vec::new();
        let mut require = |is_valid: bool, fault: &str| {
            if !is_valid {
                faults.push(fault.to_owned());
            }
        };
        require(self.version.get() > 0, "`version` is 0: name the first version, 1 or later");
        require(!self.trainers.is_empty(), "`trainers` is empty: name at least one trainer");
        require(!self.engines.is_empty(), "`engines` is empty: name at least one engine");
        require(
            self.staleness_bound <= MAX_STALENESS_BOUND,
            "`staleness_bound` is over 1000: give the number of versions a sample may lag",
        );
        require(
            (1..=MAX_PER_ENGINE).contains(&self.limits.per_engine),
            "`limits.per_engine` is out of range: give 1 to 4096",
        );
        require(
            self.limits.per_trainer > 0,
            "`limits.per_trainer` is 0: allow at least one sample",
        );
        require(
            self.swap != SwapPolicy::Rolling { at_once: 0 },
            "`swap.rolling.at_once` is 0: swap at least one replica at a time",
        );
        faults.extend(duplicates("trainers", &self.trainers));
        faults.extend(duplicates("engines", &self.engines));
        faults.extend(duplicates("scorers", &self.scorers));
        if faults.is_empty() { Ok(()) } else { Err(PoolError::Faults(faults)) }
    }
}

fn duplicates<T: Ord + Hash + fmt::Display>(field: &str, names: &[T]) -> Vec<String> {
    let mut seen = BTreeSet::new();
    names
        .iter()
        .filter(|name| !seen.insert(*name))
        .map(|name| format!("`{field}` names `{name}` twice: keep one"))
        .collect()
}
