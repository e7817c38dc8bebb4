//! Requests for admission, and their outcomes.

use std::fmt;
use std::time::Duration;

use ids::{CustomerName, InstanceId, Moment, Priority, RouteName};

/// Identifies one admission request of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub(crate) u64);

/// A request that needs a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Route of the request.
    pub route: RouteName,
    /// The customer, if the caller is identified. All other callers share one quota.
    pub customer: Option<CustomerName>,
    /// Priority of the customer, or else of the route.
    pub priority: Priority,
    /// Response time goal of the route.
    pub goal: Duration,
    /// End of the goal, which counts from the caller's first try.
    pub goal_by: Moment,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// Targets that must not run the request.
    pub avoid: Vec<InstanceId>,
}

/// Permission to send one request to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The request that holds the permit.
    pub ticket: TicketId,
    /// The target.
    pub target: InstanceId,
    /// How long the request waited in the queue.
    pub waited: Duration,
}

/// Why a request is refused. No target has run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// It could not end before its deadline.
    NoTime,
    /// It could not end within its goal, and the overload lasts.
    QueueFull,
    /// A request of a higher priority, or of a customer that got less, took its place.
    Displaced,
    /// No target of the service is in use.
    NoTarget,
}

impl RejectReason {
    /// Stable name, for messages, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoTime => "no time",
            Self::QueueFull => "queue full",
            Self::Displaced => "displaced",
            Self::NoTarget => "no target",
        }
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal, with the time after which the caller should return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request is refused.
    pub reason: RejectReason,
    /// How long the caller should wait before it returns.
    pub retry_after: Duration,
    /// Number of requests that waited at the time.
    pub waiting: usize,
    /// Expected wait of a request at the end of the queue.
    pub expected_wait: Duration,
}

/// Response to an admission request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent now.
    Granted(Grant),
    /// The request waits; a [`QueueEvent`] follows.
    Queued {
        /// Identifies the request.
        ticket: TicketId,
        /// Expected wait.
        expected_wait: Duration,
    },
    /// The request is refused.
    Rejected(Rejection),
}

/// Outcome of a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueEvent {
    /// The request may be sent now.
    Granted(Grant),
    /// The request is refused.
    Rejected(TicketId, Rejection),
}

/// How a permit was used, as far as it affects later grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The target served the request.
    Served,
    /// The target responded with an error of its own.
    Failed,
    /// The target refused the request for lack of capacity and did not run it.
    Refused,
    /// The target was unreachable or unresponsive, or the connection broke.
    Broken,
    /// The target is gone, or another incarnation has its address.
    Gone,
}

/// Load that a target reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the target.
    pub waiting: u32,
}

/// Result of a request at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// The target.
    pub target: InstanceId,
    /// How the request ended.
    pub outcome: PermitOutcome,
    /// Load reported in the response.
    pub load: Option<ReportedLoad>,
}
