//! Checks a pool document before anything is written.

use std::collections::BTreeSet;
use std::fmt;
use std::hash::Hash;

use crate::{PoolSpec, SwapPolicy};

/// Most versions a sample may lag; more is surely a slip of the pen.
const MAX_BOUND: u32 = 1_000;
/// Most requests at one engine.
const MAX_PER_ENGINE: u32 = 4_096;

/// Why a pool document was refused; all faults at once.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PoolError {
    /// Not the TOML of a pool.
    #[error("the document is not a pool: {0}")]
    Syntax(String),
    /// Values that cannot work together.
    #[error("the pool cannot be accepted:\n  {}", .0.join("\n  "))]
    Faults(Vec<String>),
}

/// Reads and checks a pool written as TOML.
pub fn parse_pool(text: &str) -> Result<PoolSpec, PoolError> {
    let spec: PoolSpec =
        toml::from_str(text).map_err(|error| PoolError::Syntax(error.to_string()))?;
    spec.check()?;
    Ok(spec)
}

impl PoolSpec {
    /// Reports every fault at once.
    pub fn check(&self) -> Result<(), PoolError> {
        let mut faults = Vec::new();
        let mut require = |holds: bool, fault: &str| {
            if !holds {
                faults.push(fault.to_owned());
            }
        };
        require(self.version.get() > 0, "`version` is 0: name the first version, 1 or later");
        require(!self.trainers.is_empty(), "`trainers` is empty: name at least one trainer");
        require(!self.engines.is_empty(), "`engines` is empty: name at least one engine");
        require(
            self.staleness_bound <= MAX_BOUND,
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
        faults.extend(doubles("trainers", &self.trainers));
        faults.extend(doubles("engines", &self.engines));
        faults.extend(doubles("scorers", &self.scorers));
        if faults.is_empty() { Ok(()) } else { Err(PoolError::Faults(faults)) }
    }
}

fn doubles<T: Ord + Hash + fmt::Display>(field: &str, names: &[T]) -> Vec<String> {
    let mut seen = BTreeSet::new();
    names
        .iter()
        .filter(|name| !seen.insert(*name))
        .map(|name| format!("`{field}` names `{name}` twice: keep one"))
        .collect()
}
