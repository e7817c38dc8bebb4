//! Pools and the document that holds them.

use std::collections::BTreeMap;

use ids::{Generation, ModelVersion, PoolName, TargetId, TrainerId};
use serde::{Deserialize, Serialize};

/// Which of the two measures a pool gives up last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolObjective {
    /// Samples as new as possible, at the price of idle trainers.
    #[default]
    Staleness,
    /// Trainers as busy as possible, up to the staleness bound.
    IdleTime,
}

/// How a new version reaches the replicas of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum SwapPolicy {
    /// At most this many replicas at a time.
    Rolling {
        /// Replicas swapping at once, at least one.
        at_once: u32,
    },
    /// All replicas together.
    AllAtOnce,
}

impl Default for SwapPolicy {
    fn default() -> Self {
        Self::Rolling { at_once: 2 }
    }
}

/// Limits that bind a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolLimits {
    /// Requests at work at one engine.
    pub per_engine: u32,
    /// Samples of one trainer at work over all engines.
    pub per_trainer: u32,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self { per_engine: 16, per_trainer: 512 }
    }
}

/// One rollout pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// The pool's name.
    pub name: PoolName,
    /// The weight version that engines should hold.
    pub version: ModelVersion,
    /// How many versions older than the named one a sample may be.
    #[serde(default = "default_bound")]
    pub staleness_bound: u32,
    /// Which measure is given up last.
    #[serde(default)]
    pub favours: PoolObjective,
    /// Trainers that may open steps.
    pub trainers: Vec<TrainerId>,
    /// Engines of the pool.
    pub engines: Vec<TargetId>,
    /// Scoring services, tried in turn; none means samples stay unscored.
    #[serde(default)]
    pub scorers: Vec<TargetId>,
    /// Limits.
    #[serde(default)]
    pub limits: PoolLimits,
    /// How versions roll out.
    #[serde(default)]
    pub swap: SwapPolicy,
}

/// The agency's bound, and the safer one: the named version or the one before it.
const fn default_bound() -> u32 {
    1
}

/// A pool as accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEntry {
    /// The pool.
    pub spec: PoolSpec,
    /// The generation that last changed it.
    pub changed: Generation,
    /// Names the write that last changed it, so that a lost answer is resolved by reading back.
    pub write_id: String,
}

/// Every pool, under one generation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Grows with every accepted change.
    pub generation: Generation,
    /// The pools by name.
    pub pools: BTreeMap<PoolName, PoolEntry>,
}

impl FleetConfig {
    /// The next generation, with `spec` added or replaced by the write `write_id`.
    #[must_use]
    pub fn with_pool(&self, spec: PoolSpec, write_id: String) -> Self {
        let generation = self.generation.next();
        let mut pools = self.pools.clone();
        let name = spec.name.clone();
        pools.insert(name, PoolEntry { spec, changed: generation, write_id });
        Self { generation, pools }
    }

    /// Only what changed after `base`, for a box that holds that generation.
    #[must_use]
    pub fn since(&self, base: Generation) -> Self {
        let newer = self.pools.iter().filter(|(_, entry)| entry.changed > base);
        let pools = newer.map(|(name, entry)| (name.clone(), entry.clone())).collect();
        Self { generation: self.generation, pools }
    }

    /// This document with a later one's changes since this one's generation.
    #[must_use]
    pub fn with_changes(&self, changes: Self) -> Self {
        let mut pools = self.pools.clone();
        pools.extend(changes.pools);
        Self { generation: changes.generation, pools }
    }

    /// One pool.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        self.pools.get(name).map(|entry| &entry.spec)
    }

    /// The most that any pool lets run at an engine; `None` when no pool uses it.
    pub fn engine_limit(&self, engine: &TargetId) -> Option<u32> {
        let users = self.pools.values().filter(|entry| entry.spec.engines.contains(engine));
        users.map(|entry| entry.spec.limits.per_engine).max()
    }
}
