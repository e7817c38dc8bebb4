//! Target records of the platform's listing and the requirements of requests.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{
    DomainId, InstanceId, ModelName, ModelVersion, ServiceName, SoftwareVersion, StartTime,
    TargetIncarnation,
};

use crate::{ColdSender, RegionScope, Slowdown};

/// A model version that a target holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: ModelVersion,
}

/// One target in the platform's listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Id of the target.
    pub instance: InstanceId,
    /// Start time of this incarnation.
    pub born: StartTime,
    /// Software version, if the target reports it.
    pub software: Option<SoftwareVersion>,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Number of requests that it runs concurrently; 0 if not listed.
    pub slots: u32,
    /// The target announced its shutdown and accepts no new work.
    pub leaving: bool,
    /// Remaining cold time, as last reported.
    pub cold_left: Duration,
    /// Models that it holds; empty unless it is an engine.
    pub models: Vec<HeldModel>,
}

impl TargetRecord {
    /// The incarnation that the record describes.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation { instance: self.instance.clone(), born: self.born }
    }
}

impl ChosenTarget {
    /// The chosen incarnation.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation { instance: self.instance.clone(), born: self.born }
    }
}

/// Load reported in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the target.
    pub waiting: u32,
    /// Current slowdown; only targets that share their machine report it.
    pub slowdown: Option<Slowdown>,
}

/// An amount of work: events of a text, or requests.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct WorkUnits(f64);

impl WorkUnits {
    /// Creates an amount of work; it is at least one unit.
    pub const fn new(units: f64) -> Self {
        Self(units.max(1.0))
    }

    /// Returns the number of units.
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// Prediction of the work that a text still needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PredictedWork {
    /// Work left for this text.
    pub units: WorkUnits,
    /// Work of the texts that usually occupy a slot. Shorter texts leave fast targets to them.
    pub reference: WorkUnits,
}

/// Progress of a run that may move to another target.
#[derive(Debug, Clone, Copy)]
pub struct RunProgress {
    /// Last measured time per unit of work.
    pub unit_time: Duration,
    /// Time that the run needed to read its prompt.
    pub prefill: Duration,
    /// Work left.
    pub left: PredictedWork,
}

/// How engines are chosen for texts, in services whose targets report their slowdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EngineChoice {
    /// By load and smoothed speed, as in other services.
    #[default]
    Load,
    /// By the expected time of the text.
    ExpectedTime,
}

/// Why a run should move: its expected remaining times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveEstimate {
    /// Remaining time if it stays.
    pub here: Duration,
    /// Remaining time on the other target, including reading the prompt there.
    pub elsewhere: Duration,
}

/// Speed estimates of one target that reports its slowdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetSpeed {
    /// Long-term time per unit of work; zero before the first measurement.
    pub usual_unit_time: Duration,
    /// Current slowdown, unless the last report has expired.
    pub slowdown: Option<Slowdown>,
}

impl TargetSpeed {
    /// The long-term time per unit of work in microseconds, for logs.
    pub fn usual_unit_us(&self) -> u64 {
        u64::try_from(self.usual_unit_time.as_micros()).unwrap_or(u64::MAX)
    }

    /// The current slowdown as a percentage of the usual time, for logs; zero if it is unknown.
    pub fn slowdown_percent(&self) -> u32 {
        self.slowdown.map_or(0, Slowdown::percent)
    }
}

/// How a request at a target failed, as far as it affects later choices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFailure {
    /// The target was unresponsive, or the connection broke.
    Broken,
    /// No connection to the target could be opened.
    Unreachable,
    /// The target refused the request for now, usually because it is full or loads weights.
    Full,
    /// The target is gone, or restarted as another incarnation.
    Gone,
}

/// What a request requires of its target.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetRequirements<'a> {
    /// Required model and its minimum version.
    pub model: Option<(&'a ModelName, ModelVersion)>,
    /// Accepts only targets with a free slot that are not backed off: the request can be deferred.
    pub free_slot: bool,
    /// Accepts only targets that are not backed off, also if they have no free slot.
    pub skip_backed_off: bool,
    /// Prefers a fast target over an idle one or one in the same domain.
    pub fast: bool,
    /// Work of a text, for services whose targets report their slowdown.
    pub work: Option<PredictedWork>,
    /// Sender whose quota of a cold target's rate is used; without one only warm targets qualify.
    pub sender: Option<ColdSender>,
    /// Targets to exclude, usually because they were tried already.
    pub avoid: &'a [InstanceId],
    /// Regions in which the request may be handled; `None` for all. If restricted, a target that
    /// could not be reached is skipped during its backoff: with the regions cut off, the request is
    /// refused at once instead of after a connection timeout.
    pub regions: Option<&'a RegionScope>,
}

/// Why no target was found for a request that can be deferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTargetReason {
    /// No available target holds a new enough version of the model.
    OldVersion,
    /// All targets are outside of the allowed regions.
    OutsideRegions,
    /// The remaining targets are loading weights.
    Loading,
    /// The remaining targets are backed off after failures or refusals.
    BackedOff,
    /// The remaining targets have no free slot.
    Full,
    /// The remaining targets are cold and their quota is used up for now.
    Cold,
    /// The remaining targets are in evacuated failure domains.
    Evacuated,
}

impl NoTargetReason {
    /// Stable name, for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OldVersion => "old version",
            Self::OutsideRegions => "outside regions",
            Self::Loading => "loading",
            Self::BackedOff => "backed off",
            Self::Full => "full",
            Self::Cold => "cold",
            Self::Evacuated => "evacuated",
        }
    }
}

/// A target chosen for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenTarget {
    /// Id of the target.
    pub instance: InstanceId,
    /// Start time of the chosen incarnation.
    pub born: StartTime,
    /// Software version, if the target reports it.
    pub software: Option<SoftwareVersion>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Service that the target belongs to.
    pub service: ServiceName,
}
