//! State of an engine's weights, as tracked by its home.
//!
//! An order without a definite outcome leaves the replica in doubt, and it gets no work. The doubt
//! is resolved by a reading that was requested after the order's deadline, or that reports the
//! ordered version or a new incarnation.

use std::fmt;

use ids::{FencingToken, Incarnation, ModelVersion, Moment};
use serde::{Deserialize, Serialize};

/// Outcome of an order, as observed by the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine reports that it holds the version.
    Done,
    /// The engine refused the order; nothing changed.
    Refused,
    /// No definite outcome.
    Unknown,
}

/// One reading of an engine's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReading {
    /// Incarnation of the engine that responded.
    pub incarnation: Incarnation,
    /// The weight version; `None` if none is loaded.
    pub version: Option<ModelVersion>,
    /// Whether another version is being loaded.
    pub loading: bool,
    /// Highest fencing token that the engine accepted.
    pub token: FencingToken,
    /// Whether the engine is stopping.
    pub leaving: bool,
}

/// Status of a replica, which decides whether it gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStatus {
    /// Not read yet.
    Unread,
    /// Holds this version.
    Serving(ModelVersion),
    /// Swaps to this version. Running streams continue, new work waits.
    Swapping(ModelVersion),
    /// A swap had no definite outcome, the engine is loading or has no version, or a response
    /// contradicted the expected version.
    InDoubt,
    /// Stopping.
    Leaving,
    /// Does not respond.
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

/// State of one replica, tracked by its home.
#[derive(Debug, Clone)]
pub struct ReplicaState {
    status: ReplicaStatus,
    incarnation: Option<Incarnation>,
    /// The version of the last order. A reading of it resolves the doubt early: the order can have
    /// no further effect.
    ordered: Option<ModelVersion>,
    /// Readings requested before this time are ignored.
    valid_from: Moment,
}

impl Default for ReplicaState {
    fn default() -> Self {
        Self {
            status: ReplicaStatus::Unread,
            incarnation: None,
            ordered: None,
            valid_from: Moment::START,
        }
    }
}

impl ReplicaState {
    /// Returns the status of the replica.
    pub const fn status(&self) -> ReplicaStatus {
        self.status
    }

    /// Returns the incarnation of the engine at the last reading.
    pub const fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Records that an order was sent; it may take effect until `deadline`.
    pub const fn order_sent(&mut self, version: ModelVersion, deadline: Moment) {
        self.valid_from = deadline;
        self.ordered = Some(version);
        self.status = ReplicaStatus::Swapping(version);
    }

    /// Applies the outcome of the last order.
    pub fn order_completed(&mut self, now: Moment, version: ModelVersion, outcome: OrderOutcome) {
        if self.status != ReplicaStatus::Swapping(version) {
            return;
        }
        match outcome {
            OrderOutcome::Done => {
                self.valid_from = now;
                self.status = ReplicaStatus::Serving(version);
            }
            // The engine still holds its previous version, which the next reading reports.
            OrderOutcome::Refused => {
                self.valid_from = now;
                self.status = ReplicaStatus::Unread;
            }
            OrderOutcome::Unknown => self.status = ReplicaStatus::InDoubt,
        }
    }

    /// Applies a reading that was requested at `requested_at`.
    pub fn read(&mut self, requested_at: Moment, reading: &ReplicaReading) {
        if self.incarnation.is_some_and(|last| reading.incarnation < last) {
            return;
        }
        let restarted = self.incarnation.is_some_and(|last| reading.incarnation > last);
        if reading.leaving {
            self.incarnation = Some(reading.incarnation);
            self.status = ReplicaStatus::Leaving;
            return;
        }
        // A new incarnation has no pending order.
        let holds_ordered =
            !reading.loading && self.ordered.is_some() && reading.version == self.ordered;
        if requested_at < self.valid_from && !restarted && !holds_ordered {
            return;
        }
        if self.status == ReplicaStatus::Leaving && !restarted {
            return;
        }
        self.incarnation = Some(reading.incarnation);
        self.status = match reading.version {
            _ if reading.loading => ReplicaStatus::InDoubt,
            Some(version) => ReplicaStatus::Serving(version),
            None => ReplicaStatus::InDoubt,
        };
    }

    /// Records that the engine does not respond. A pending order leaves it in doubt.
    pub fn unreachable(&mut self) {
        self.status = match self.status {
            ReplicaStatus::Leaving => ReplicaStatus::Leaving,
            ReplicaStatus::Swapping(_) | ReplicaStatus::InDoubt => ReplicaStatus::InDoubt,
            _ => ReplicaStatus::Down,
        };
    }

    /// Records that the platform or a peer reports the engine as leaving.
    pub const fn mark_leaving(&mut self) {
        self.status = ReplicaStatus::Leaving;
    }

    /// Records a response stamped with a version other than the expected one.
    pub fn contradicted(&mut self, now: Moment) {
        if matches!(self.status, ReplicaStatus::Serving(_)) {
            self.status = ReplicaStatus::InDoubt;
            self.valid_from = now;
        }
    }
}
