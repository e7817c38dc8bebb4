//! Why a run ended: what became of the item, and what it says of the engine.

use std::fmt;

use jobs::RunOutcome;
use routing::TargetFailure;

/// Why a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunReason {
    Complete,
    /// The item's request cannot be written.
    Unwritable,
    NotSent,
    /// This box holds as many connections as it may.
    NoRoom,
    SilentBeforeHead,
    BrokenBeforeHead,
    /// The answer belongs to another request.
    OtherAnswer,
    /// Another life of the engine, or another target, has the address.
    OtherTarget,
    FullOrLoading,
    WeightsTooOld,
    /// The engine says that the item can never be done.
    Impossible,
    TargetError,
    OddStatus,
    Unsigned,
    NoVersion,
    Silent,
    Broken,
    NoEvents,
    EventMissing,
    EndedWithinEvent,
    SlowEngine,
}

impl RunReason {
    /// What becomes of the item.
    pub(crate) const fn outcome(self) -> RunOutcome {
        match self {
            Self::Complete => RunOutcome::Complete,
            Self::Unwritable | Self::Impossible => RunOutcome::Impossible,
            Self::NotSent
            | Self::NoRoom
            | Self::OtherTarget
            | Self::FullOrLoading
            | Self::WeightsTooOld => RunOutcome::NotRun,
            Self::TargetError => RunOutcome::Failed,
            Self::SlowEngine => RunOutcome::Moved,
            Self::SilentBeforeHead
            | Self::BrokenBeforeHead
            | Self::OtherAnswer
            | Self::OddStatus
            | Self::Unsigned
            | Self::NoVersion
            | Self::Silent
            | Self::Broken
            | Self::NoEvents
            | Self::EventMissing
            | Self::EndedWithinEvent => RunOutcome::Cut,
        }
    }

    /// What it says of the engine; `None` for nothing bad.
    pub(crate) const fn failure(self) -> Option<TargetFailure> {
        match self {
            Self::OtherTarget => Some(TargetFailure::Gone),
            Self::FullOrLoading | Self::WeightsTooOld => Some(TargetFailure::Full),
            // Nothing was asked of it.
            Self::NoRoom => None,
            _ => match self.outcome() {
                RunOutcome::Cut | RunOutcome::NotRun => Some(TargetFailure::Broken),
                _ => None,
            },
        }
    }

    /// The word for logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Unwritable => "the item's request cannot be written",
            Self::NotSent => "not sent",
            Self::NoRoom => "no connection left",
            Self::SilentBeforeHead => "silent before the head",
            Self::BrokenBeforeHead => "broken before the head",
            Self::OtherAnswer => "answer to another request",
            Self::OtherTarget => "another target",
            Self::FullOrLoading => "full or loading",
            Self::WeightsTooOld => "weights too old",
            Self::Impossible => "impossible",
            Self::TargetError => "error of the target",
            Self::OddStatus => "odd status",
            Self::Unsigned => "unsigned",
            Self::NoVersion => "no version told",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::NoEvents => "no events",
            Self::EventMissing => "an event is missing",
            Self::EndedWithinEvent => "ended within an event",
            Self::SlowEngine => "slow engine",
        }
    }
}

impl fmt::Display for RunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
