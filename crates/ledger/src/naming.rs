//! The named weight version, set by the pool's configuration and by the trainer.
//!
//! The trainer's version never decreases. The pool's version follows the configuration generation,
//! so an operator can roll back a bad version; older generations are ignored. The newer of the two
//! versions is the named one, and the staleness bound counts back from it.

use ids::{Generation, ModelVersion, VersionWindow};
use serde::{Deserialize, Serialize};

/// Version rule of a pool in one generation of the configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRule {
    /// Configuration generation.
    pub generation: Generation,
    /// Version named by the configuration.
    pub version: ModelVersion,
    /// Staleness bound: number of versions that a sample may lag behind the named one.
    pub bound: u32,
}

/// State that determines the named version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionNaming {
    trainer: ModelVersion,
    rule: PoolRule,
}

impl VersionNaming {
    /// Creates the state from the trainer's version and the pool's rule. Use the default rule while
    /// the pool's is unknown.
    pub const fn new(trainer: ModelVersion, rule: PoolRule) -> Self {
        Self { trainer, rule }
    }

    /// Sets the trainer's version; an older one is ignored.
    pub fn set_trainer_version(&mut self, version: ModelVersion) {
        self.trainer = self.trainer.max(version);
    }

    /// Sets the pool's rule; an older generation is ignored.
    pub fn set_pool_rule(&mut self, rule: PoolRule) {
        if rule.generation >= self.rule.generation {
            self.rule = rule;
        }
    }

    /// Returns the pool's current rule.
    pub const fn rule(&self) -> PoolRule {
        self.rule
    }

    /// Returns the named version.
    pub fn named(&self) -> ModelVersion {
        self.trainer.max(self.rule.version)
    }

    /// Returns the versions allowed in a sample.
    pub fn window(&self) -> VersionWindow {
        VersionWindow::new(self.named(), self.rule.bound)
    }
}
