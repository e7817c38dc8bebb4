//! The platform's list of targets.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use ids::{DomainId, Generation, ServiceName, TargetId};
use serde::{Deserialize, Serialize};

/// What a target is.
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

/// Why a target kind was refused.
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

/// One target as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The target.
    pub id: TargetId,
    /// Its failure domain.
    pub domain: DomainId,
    /// What it is.
    pub kind: TargetKind,
    /// The service it answers for; none for engines.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Where it is reached, as `http://ip:port`.
    pub address: String,
    /// Whether it refuses orders with an old fencing token; unknown counts as not.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the platform says that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The list of targets, under the platform's revision of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// The platform's revision; only grows.
    pub revision: Generation,
    /// The targets.
    pub targets: Vec<TargetRecord>,
}

/// A target list made ready for look-ups, so that a request's cost does not grow with the list.
#[derive(Debug, Clone, Default)]
pub struct TargetIndex {
    list: TargetList,
    places: HashMap<TargetId, usize>,
    services: HashMap<ServiceName, Vec<TargetId>>,
}

impl TargetIndex {
    /// Indexes a list.
    pub fn new(list: TargetList) -> Self {
        let mut services: HashMap<ServiceName, Vec<TargetId>> = HashMap::new();
        for record in list.targets.iter().filter(|record| !record.leaving) {
            if let Some(service) = &record.service {
                services.entry(service.clone()).or_default().push(record.id.clone());
            }
        }
        let ids = list.targets.iter().enumerate();
        let places = ids.map(|(place, record)| (record.id.clone(), place)).collect();
        Self { list, places, services }
    }

    /// The list as it came.
    pub const fn list(&self) -> &TargetList {
        &self.list
    }

    /// The record of one target.
    pub fn find(&self, id: &TargetId) -> Option<&TargetRecord> {
        self.list.targets.get(*self.places.get(id)?)
    }

    /// The targets that answer for a service and are not leaving.
    pub fn of_service(&self, service: &ServiceName) -> &[TargetId] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}
