//! The platform's list of targets.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use ids::{DomainId, Generation, ServiceName, TargetId};
use serde::{Deserialize, Serialize};

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
    /// A scoring service.
    Scorer,
}

impl fmt::Display for TargetKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Engine => "engine",
            Self::Plain => "plain",
            Self::Scorer => "scorer",
        })
    }
}

/// A text is not a valid target kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a target kind: use engine, plain or scorer")]
pub struct KindError(String);

impl FromStr for TargetKind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        match text {
            "engine" => Ok(Self::Engine),
            "plain" => Ok(Self::Plain),
            "scorer" => Ok(Self::Scorer),
            _ => Err(KindError(text.chars().take(32).collect())),
        }
    }
}

/// Entry of a target in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// ID of the target.
    pub id: TargetId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Service that the target provides; `None` for engines.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Address, as `http://ip:port`.
    pub address: String,
    /// Whether the target refuses orders with an old fencing token; `false` if unknown.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the platform reports that the target is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// List of targets with the platform's revision number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// Revision assigned by the platform; never decreases.
    pub revision: Generation,
    /// Listed targets.
    pub targets: Vec<TargetRecord>,
}

/// Target list with indexes, so that lookups take constant time.
#[derive(Debug, Clone, Default)]
pub struct TargetIndex {
    list: TargetList,
    positions: HashMap<TargetId, usize>,
    services: HashMap<ServiceName, Vec<TargetId>>,
}

impl TargetIndex {
    /// Builds the indexes of a list.
    pub fn new(list: TargetList) -> Self {
        let mut services: HashMap<ServiceName, Vec<TargetId>> = HashMap::new();
        for record in list.targets.iter().filter(|record| !record.leaving) {
            if let Some(service) = &record.service {
                services.entry(service.clone()).or_default().push(record.id.clone());
            }
        }
        let indexed = list.targets.iter().enumerate();
        let positions = indexed.map(|(position, record)| (record.id.clone(), position)).collect();
        Self { list, positions, services }
    }

    /// Returns the original list.
    pub const fn list(&self) -> &TargetList {
        &self.list
    }

    /// Returns the record of a target.
    pub fn find(&self, id: &TargetId) -> Option<&TargetRecord> {
        self.list.targets.get(*self.positions.get(id)?)
    }

    /// Returns the targets that provide a service and are not leaving.
    pub fn of_service(&self, service: &ServiceName) -> &[TargetId] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}
