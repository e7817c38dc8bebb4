//! Why a run ended, and what follows for the item and for the engine.

use std::fmt;

use jobs::RunOutcome;
use routing::TargetFailure;

/// Why a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunReason {
    Complete,
    /// The item's request can't be encoded.
    InvalidRequest,
    NotSent,
    /// This box is at its connection limit.
    ConnectionLimit,
    TimeoutBeforeHead,
    BrokenBeforeHead,
    /// The engine sent more bytes than a response may have.
    TooLong,
    /// The response belongs to another request, or comes from another server.
    WrongRequestId,
    /// The address belongs to another incarnation or another target.
    OtherTarget,
    FullOrLoading,
    WeightsTooOld,
    /// The engine reports that the item can never succeed.
    Impossible,
    TargetError,
    UnexpectedStatus,
    Unsigned,
    NoVersion,
    BodyTimeout,
    Broken,
    InvalidEvents,
    EventMissing,
    TruncatedEvent,
    SlowEngine,
}

impl RunReason {
    /// Returns the outcome for the item.
    pub(crate) const fn outcome(self) -> RunOutcome {
        match self {
            Self::Complete => RunOutcome::Complete,
            Self::InvalidRequest | Self::Impossible => RunOutcome::Impossible,
            Self::NotSent
            | Self::ConnectionLimit
            | Self::OtherTarget
            | Self::FullOrLoading
            | Self::WeightsTooOld => RunOutcome::NotRun,
            Self::TargetError => RunOutcome::Failed,
            Self::SlowEngine => RunOutcome::Moved,
            Self::TimeoutBeforeHead | Self::BodyTimeout => RunOutcome::Silent,
            Self::BrokenBeforeHead
            | Self::TooLong
            | Self::WrongRequestId
            | Self::UnexpectedStatus
            | Self::Unsigned
            | Self::NoVersion
            | Self::Broken
            | Self::InvalidEvents
            | Self::EventMissing
            | Self::TruncatedEvent => RunOutcome::Cut,
        }
    }

    /// Returns the failure to record for the engine, if any.
    pub(crate) const fn failure(self) -> Option<TargetFailure> {
        match self {
            Self::OtherTarget => Some(TargetFailure::Gone),
            Self::FullOrLoading | Self::WeightsTooOld => Some(TargetFailure::Full),
            // Nothing was sent to the engine.
            Self::ConnectionLimit => None,
            _ => match self.outcome() {
                RunOutcome::Cut | RunOutcome::Silent | RunOutcome::NotRun => {
                    Some(TargetFailure::Broken)
                }
                _ => None,
            },
        }
    }

    /// Returns the label for logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::InvalidRequest => "the item's request cannot be written",
            Self::NotSent => "not sent",
            Self::ConnectionLimit => "no connection left",
            Self::TimeoutBeforeHead => "silent before the head",
            Self::BrokenBeforeHead => "broken before the head",
            Self::TooLong => "too long",
            Self::WrongRequestId => "answer to another request",
            Self::OtherTarget => "another target",
            Self::FullOrLoading => "full or loading",
            Self::WeightsTooOld => "weights too old",
            Self::Impossible => "impossible",
            Self::TargetError => "error of the target",
            Self::UnexpectedStatus => "odd status",
            Self::Unsigned => "unsigned",
            Self::NoVersion => "no version told",
            Self::BodyTimeout => "silent",
            Self::Broken => "broken",
            Self::InvalidEvents => "no events",
            Self::EventMissing => "an event is missing",
            Self::TruncatedEvent => "ended within an event",
            Self::SlowEngine => "slow engine",
        }
    }
}

impl fmt::Display for RunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
