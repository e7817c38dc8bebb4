//! What operators see.

use ids::{
    BoxId, DomainId, FencingToken, Generation, Incarnation, ModelVersion, PoolName, TargetId,
};
use placement::ReplicaStatus;
use pools::PoolEntry;
use serde::{Deserialize, Serialize};

/// An accepted change of configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedBody {
    /// The generation that holds it.
    pub generation: Generation,
}

/// All pools in force at the box asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolsBody {
    /// The generation in force.
    pub generation: Generation,
    /// The pools.
    pub pools: Vec<PoolEntry>,
}

/// One box as it sees itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// The box.
    pub id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Which life of it answers.
    pub incarnation: Incarnation,
    /// The configuration generation in force there.
    pub generation: Generation,
    /// What readiness waits for; empty when it is ready.
    pub waits_for: Vec<String>,
    /// What it cannot do now although it serves; empty when it can do all.
    pub cannot: Vec<String>,
    /// Boxes it knows.
    pub peers: Vec<PeerStatus>,
    /// Trainers whose steps it keeps.
    pub kept: Vec<KeeperStatus>,
    /// Targets it is the home of.
    pub homes: Vec<HomeStatus>,
    /// Roll-outs it conducts.
    pub rollouts: Vec<RolloutStatus>,
}

/// A box as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The box.
    pub id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
    /// `live`, `suspect`, `leaving` or `dead`.
    pub liveness: String,
}

/// One trainer's steps at their keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperStatus {
    /// The pool.
    pub pool: PoolName,
    /// The trainer.
    pub trainer: String,
    /// The keeper's fencing token; zero while it does not act.
    pub token: FencingToken,
    /// Open steps.
    pub steps: Vec<u64>,
}

/// A target at its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeStatus {
    /// The target.
    pub target: TargetId,
    /// What is known of its weights.
    pub status: ReplicaStatus,
    /// Requests at work.
    pub running: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// Most requests at work.
    pub limit: usize,
}

/// A roll-out in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The pool.
    pub pool: PoolName,
    /// The version wanted.
    pub wanted: ModelVersion,
    /// Replicas of the pool in the domain.
    pub replicas: usize,
    /// Replicas read to hold it.
    pub done: usize,
    /// Replicas with an order under way.
    pub under_way: usize,
    /// Replicas not read since their last order.
    pub in_doubt: usize,
}
