//! Targets as the platform lists them, and what requests need of them.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{
    DomainId, InstanceId, ModelName, ModelVersion, ServiceName, SoftwareVersion, StartTime,
    TargetIncarnation,
};

use crate::ColdSender;

/// A model version that a target holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: ModelVersion,
}

/// What the platform lists of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// The target's id.
    pub instance: InstanceId,
    /// When this life of it began.
    pub born: StartTime,
    /// The software that it runs, where it tells.
    pub software: Option<SoftwareVersion>,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests it works on at a time.
    pub slots: u32,
    /// It has said that it will end: no new work.
    pub leaving: bool,
    /// How long it is still cold, as it said last.
    pub cold_left: Duration,
    /// Models it holds, if it is an engine.
    pub models: Vec<HeldModel>,
}

impl TargetRecord {
    /// This life of it.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation { instance: self.instance.clone(), born: self.born }
    }
}

impl ChosenTarget {
    /// The life that was chosen.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation { instance: self.instance.clone(), born: self.born }
    }
}

/// Load as told by an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
}

/// How a request at a target failed, as far as it concerns the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFailure {
    /// It could not be reached, broke off or was silent.
    Broken,
    /// It was full and took no work.
    Full,
    /// It is another life, or gone.
    Gone,
}

/// What a request needs of its target.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetRequirements<'a> {
    /// A version of this model, at least this new.
    pub model: Option<(&'a ModelName, ModelVersion)>,
    /// Only targets with a free slot that do not rest: the request may wait.
    pub free_slot: bool,
    /// Rather a fast target than an idle or a near one.
    pub fast: bool,
    /// In whose part of a cold target's rate it goes; without one it goes to warm targets alone.
    pub sender: Option<ColdSender>,
    /// Targets already tried.
    pub avoid: &'a [InstanceId],
}

/// Why no target was found for a request that may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTargetReason {
    /// None holds the model in a version that is new enough.
    OldVersion,
    /// Those that do load weights.
    Loading,
    /// Those that do rest after a failure or a refusal.
    BackedOff,
    /// Those that do have no free slot.
    Full,
    /// Those that do are cold, and have got what they bear for now.
    Cold,
    /// Those that do are in failure domains that are to be emptied.
    Evacuated,
}

/// A target chosen for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenTarget {
    /// The target's id.
    pub instance: InstanceId,
    /// When this life of it began.
    pub born: StartTime,
    /// The software that it runs, where it tells.
    pub software: Option<SoftwareVersion>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its service.
    pub service: ServiceName,
}
