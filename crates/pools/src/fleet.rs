//! Pools and the document that contains them.

use std::collections::BTreeMap;

use ids::{Generation, ModelVersion, PoolName, TargetId, TrainerId};
use serde::{Deserialize, Serialize};

/// What a pool minimizes where fresh samples and busy trainers conflict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolObjective {
    /// Prefer the newest samples, even if trainers are idle.
    #[default]
    Staleness,
    /// Prefer busy trainers, within the staleness bound.
    IdleTime,
}

/// How a new version is rolled out to the replicas of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum SwapPolicy {
    /// A limited number of replicas at a time.
    Rolling {
        /// Maximum number of replicas that swap at the same time; at least 1.
        at_once: u32,
    },
    /// All replicas at the same time.
    AllAtOnce,
}

impl Default for SwapPolicy {
    fn default() -> Self {
        Self::Rolling { at_once: 2 }
    }
}

/// Limits on the running requests of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolLimits {
    /// Maximum number of running requests at one engine.
    pub per_engine: u32,
    /// Maximum number of running samples of one trainer, over all engines.
    pub per_trainer: u32,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self { per_engine: 16, per_trainer: 512 }
    }
}

/// Configuration of a rollout pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: PoolName,
    /// Weight version that the engines should have loaded.
    pub version: ModelVersion,
    /// Maximum age of a sample, in versions before the named one.
    #[serde(default = "default_staleness_bound")]
    pub staleness_bound: u32,
    /// What to minimize where fresh samples and busy trainers conflict.
    #[serde(default)]
    pub favours: PoolObjective,
    /// Trainers that may open steps.
    pub trainers: Vec<TrainerId>,
    /// Engines of the pool.
    pub engines: Vec<TargetId>,
    /// Scoring services, tried in order. If empty, samples are not scored.
    #[serde(default)]
    pub scorers: Vec<TargetId>,
    /// Limits on running requests.
    #[serde(default)]
    pub limits: PoolLimits,
    /// How new versions are rolled out.
    #[serde(default)]
    pub swap: SwapPolicy,
}

/// Allows the named version and the one before it.
const fn default_staleness_bound() -> u32 {
    1
}

/// An accepted pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEntry {
    /// Configuration of the pool.
    pub spec: PoolSpec,
    /// Generation of the last change.
    pub changed: Generation,
    /// ID of the write that made the last change. If a write gets no response, reading this back
    /// shows whether it took effect.
    pub write_id: String,
}

/// All pools, under one generation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Increases with every accepted change.
    pub generation: Generation,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, PoolEntry>,
}

impl FleetConfig {
    /// Returns the next generation, in which the write `write_id` adds or replaces `spec`.
    #[must_use]
    pub fn with_pool(&self, spec: PoolSpec, write_id: String) -> Self {
        let generation = self.generation.next();
        let mut pools = self.pools.clone();
        let name = spec.name.clone();
        pools.insert(name, PoolEntry { spec, changed: generation, write_id });
        Self { generation, pools }
    }

    /// Returns only the pools changed after `base`, for a box that has that generation.
    #[must_use]
    pub fn since(&self, base: Generation) -> Self {
        let newer = self.pools.iter().filter(|(_, entry)| entry.changed > base);
        let pools = newer.map(|(name, entry)| (name.clone(), entry.clone())).collect();
        Self { generation: self.generation, pools }
    }

    /// Returns this document updated with `changes`, the result of [`Self::since`] of a later
    /// document for this generation.
    #[must_use]
    pub fn with_changes(&self, changes: Self) -> Self {
        let mut pools = self.pools.clone();
        pools.extend(changes.pools);
        Self { generation: changes.generation, pools }
    }

    /// Returns the pool `name`.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        self.pools.get(name).map(|entry| &entry.spec)
    }

    /// Returns the highest `per_engine` limit of the pools that use an engine, or `None` if no pool
    /// does.
    pub fn engine_limit(&self, engine: &TargetId) -> Option<u32> {
        let users = self.pools.values().filter(|entry| entry.spec.engines.contains(engine));
        users.map(|entry| entry.spec.limits.per_engine).max()
    }
}
