//! What a home knows of its engine's weights.
//!
//! An order that ended without a definite answer leaves the replica in doubt. Only a reading
//! that began after the order could no longer take effect clears the doubt; until then the
//! replica gets no work.

use std::fmt;

use ids::{FencingToken, Incarnation, ModelVersion, Moment};
use serde::{Deserialize, Serialize};

/// Names one order, so that an engine's report can be matched with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderId(u64);

impl OrderId {
    /// Wraps a bare number.
    pub const fn new(id: u64) -> Self {
        Self(id)
    }

    /// The bare number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How an order ended, as far as the sender can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine says that it holds the version.
    Done,
    /// The engine refused it; nothing changed.
    Refused,
    /// No definite answer.
    Unknown,
}

/// One reading of an engine's own state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReading {
    /// Which life of the engine answered.
    pub incarnation: Incarnation,
    /// The version it holds; `None` while it holds none.
    pub version: Option<ModelVersion>,
    /// Whether it is loading another version now.
    pub loading: bool,
    /// Highest fencing token it has obeyed.
    pub token: FencingToken,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// Whether a replica may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStatus {
    /// Never read yet.
    Unread,
    /// Holds this version.
    Serving(ModelVersion),
    /// Swaps to this version; streams go on, new work waits.
    Swapping(ModelVersion),
    /// A swap ended without a definite answer, or the engine contradicts what was ordered.
    InDoubt,
    /// Stopping.
    Leaving,
    /// Does not answer.
    Down,
}

impl fmt::Display for ReplicaStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unread => f.write_str("unread"),
            Self::Serving(version) => write!(f, "serving {version}"),
            Self::Swapping(version) => write!(f, "swapping to {version}"),
            Self::InDoubt => f.write_str("in doubt"),
            Self::Leaving => f.write_str("leaving"),
            Self::Down => f.write_str("down"),
        }
    }
}

/// A home's knowledge of one replica.
#[derive(Debug, Clone)]
pub struct ReplicaState {
    status: ReplicaStatus,
    incarnation: Option<Incarnation>,
    /// The version ordered last; a late effect of that order changes nothing once it is held.
    ordered: Option<ModelVersion>,
    /// Readings that began before this moment prove nothing.
    trust_from: Moment,
}

impl Default for ReplicaState {
    fn default() -> Self {
        Self {
            status: ReplicaStatus::Unread,
            incarnation: None,
            ordered: None,
            trust_from: Moment::START,
        }
    }
}

impl ReplicaState {
    /// Whether the replica may get work.
    pub const fn status(&self) -> ReplicaStatus {
        self.status
    }

    /// The life of the engine last read.
    pub const fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Notes that an order went out; it may take effect until `deadline`.
    pub const fn order_sent(&mut self, version: ModelVersion, deadline: Moment) {
        self.trust_from = deadline;
        self.ordered = Some(version);
        self.status = ReplicaStatus::Swapping(version);
    }

    /// Takes the outcome of the order last sent.
    pub fn order_completed(&mut self, now: Moment, version: ModelVersion, outcome: OrderOutcome) {
        if self.status != ReplicaStatus::Swapping(version) {
            return;
        }
        match outcome {
            OrderOutcome::Done => {
                self.trust_from = now;
                self.status = ReplicaStatus::Serving(version);
            }
            // The version from before is still there, but only a reading names it.
            OrderOutcome::Refused => {
                self.trust_from = now;
                self.status = ReplicaStatus::Unread;
            }
            OrderOutcome::Unknown => self.status = ReplicaStatus::InDoubt,
        }
    }

    /// Takes a reading whose request was sent at `asked_at`.
    pub fn read(&mut self, asked_at: Moment, reading: &ReplicaReading) {
        if self.incarnation.is_some_and(|known| reading.incarnation < known) {
            return;
        }
        let new_life = self.incarnation.is_some_and(|known| reading.incarnation > known);
        if reading.leaving {
            self.incarnation = Some(reading.incarnation);
            self.status = ReplicaStatus::Leaving;
            return;
        }
        // A new life has forgotten the orders of the one before.
        let settled = !reading.loading && self.ordered.is_some() && reading.version == self.ordered;
        if asked_at < self.trust_from && !new_life && !settled {
            return;
        }
        if self.status == ReplicaStatus::Leaving && !new_life {
            return;
        }
        self.incarnation = Some(reading.incarnation);
        self.status = match reading.version {
            _ if reading.loading => ReplicaStatus::InDoubt,
            Some(version) => ReplicaStatus::Serving(version),
            None => ReplicaStatus::InDoubt,
        };
    }

    /// Notes that the engine does not answer; an order under way stays in doubt.
    pub fn unreachable(&mut self) {
        self.status = match self.status {
            ReplicaStatus::Leaving => ReplicaStatus::Leaving,
            ReplicaStatus::Swapping(_) | ReplicaStatus::InDoubt => ReplicaStatus::InDoubt,
            _ => ReplicaStatus::Down,
        };
    }

    /// Notes that the platform or a peer says the engine is leaving.
    pub const fn mark_leaving(&mut self) {
        self.status = ReplicaStatus::Leaving;
    }

    /// Notes a stamp that contradicts the version believed in.
    pub fn contradicted(&mut self, now: Moment) {
        if matches!(self.status, ReplicaStatus::Serving(_)) {
            self.status = ReplicaStatus::InDoubt;
            self.trust_from = now;
        }
    }
}
