//! Messages for operators.

use ids::{
    BoxId, DomainId, FencingToken, Generation, Incarnation, ModelVersion, PoolName, TargetId,
};
use placement::ReplicaStatus;
use pools::PoolEntry;
use serde::{Deserialize, Serialize};

/// Response to an accepted configuration change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedBody {
    /// Generation that contains the change.
    pub generation: Generation,
}

/// Pools in the current configuration of the responding box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolsBody {
    /// Current generation of the configuration.
    pub generation: Generation,
    /// Configured pools.
    pub pools: Vec<PoolEntry>,
}

/// State of a box, reported by the box itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// ID of the box.
    pub id: BoxId,
    /// Failure domain of the box.
    pub domain: DomainId,
    /// Incarnation of the responding process.
    pub incarnation: Incarnation,
    /// Current configuration generation of the box.
    pub generation: Generation,
    /// Conditions that must be met before the box is ready; empty if it is ready.
    pub waits_for: Vec<String>,
    /// Functions that are unavailable although the box serves; empty if there are none.
    pub cannot: Vec<String>,
    /// Boxes that this box tracks.
    pub peers: Vec<PeerStatus>,
    /// Trainers of which the box is the keeper.
    pub kept: Vec<KeeperStatus>,
    /// Targets of which the box is the home.
    pub homes: Vec<HomeStatus>,
    /// Rollouts that the box coordinates.
    pub rollouts: Vec<RolloutStatus>,
}

/// State of a box, as observed by another box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// ID of the box.
    pub id: BoxId,
    /// Failure domain of the box.
    pub domain: DomainId,
    /// `live`, `suspect`, `leaving` or `dead`.
    pub liveness: String,
}

/// Steps of a trainer at their keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperStatus {
    /// Pool of the trainer.
    pub pool: PoolName,
    /// ID of the trainer.
    pub trainer: String,
    /// Fencing token of the keeper; zero while it is not active.
    pub token: FencingToken,
    /// Numbers of the open steps.
    pub steps: Vec<u64>,
}

/// State of a target at its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeStatus {
    /// ID of the target.
    pub target: TargetId,
    /// Last observed state of its weights.
    pub status: ReplicaStatus,
    /// Number of running requests.
    pub running: usize,
    /// Number of queued requests.
    pub waiting: usize,
    /// Maximum number of running requests.
    pub limit: usize,
}

/// Progress of a rollout in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Pool of the rollout.
    pub pool: PoolName,
    /// Version that is rolled out.
    pub wanted: ModelVersion,
    /// Number of replicas of the pool in the domain that are not leaving.
    pub replicas: usize,
    /// Number of replicas confirmed to have loaded the version.
    pub done: usize,
    /// Number of replicas with a swap order in flight.
    pub under_way: usize,
    /// Number of replicas whose version is unknown: not read since the coordinator started or their
    /// last order, or the last read gave no version.
    pub in_doubt: usize,
}
