//! Which version is named: by the pool's configuration, and by the trainer itself.
//!
//! The trainer's word only rises. The pool's follows its configuration generations, so an
//! operator may roll a bad version back; a lower generation never counts. The newer of the two
//! is the version named, and the staleness bound counts back from it.

use ids::{Generation, ModelVersion, VersionWindow};
use serde::{Deserialize, Serialize};

/// What one generation of the configuration says of a pool's versions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRule {
    /// The generation.
    pub generation: Generation,
    /// The version it names.
    pub version: ModelVersion,
    /// How many versions older than named a sample may be.
    pub bound: u32,
}

/// What is named now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionNaming {
    trainer: ModelVersion,
    rule: PoolRule,
}

impl VersionNaming {
    /// The trainer names a version; the pool's rule may not be known yet.
    pub const fn new(trainer: ModelVersion, rule: PoolRule) -> Self {
        Self { trainer, rule }
    }

    /// The trainer names a version; an older one changes nothing.
    pub fn set_trainer_version(&mut self, version: ModelVersion) {
        self.trainer = self.trainer.max(version);
    }

    /// The configuration names a version; an older generation changes nothing.
    pub fn set_pool_rule(&mut self, rule: PoolRule) {
        if rule.generation >= self.rule.generation {
            self.rule = rule;
        }
    }

    /// The rule in force.
    pub const fn rule(&self) -> PoolRule {
        self.rule
    }

    /// The version named.
    pub fn named(&self) -> ModelVersion {
        self.trainer.max(self.rule.version)
    }

    /// Versions that a sample may be made of.
    pub fn window(&self) -> VersionWindow {
        VersionWindow::new(self.named(), self.rule.bound)
    }
}
