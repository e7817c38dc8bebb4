//! Refusals between the decision code, the wire and callers.

use std::time::Duration;

use api::{ErrorBody, ErrorKind};
use ids::{ModelVersion, whole_millis};
use keeping::KeeperRefusal;
use ledger::LedgerError;
use links::CallError;
use placement::{NotRun, Refusal};
use targets::TargetError;
use wire::peer::{Refused, RefusedKind, TargetLoad};

/// What a caller is told to wait while a keeper is found.
const KEEPER_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Retry-After is spread by up to this factor, so that callers do not return all at once.
const RETRY_JITTER: f64 = 1.0;

/// Short stable names of the reasons, for the wire.
const REASONS: [(&str, NotRun); 10] = [
    ("overloaded", NotRun::Overloaded),
    ("leaving", NotRun::Leaving),
    ("in_doubt", NotRun::InDoubt),
    ("too_old", NotRun::TooOld { held: ModelVersion::new(0) }),
    ("not_named", NotRun::NotNamed { held: ModelVersion::new(0) }),
    ("unreachable", NotRun::Unreachable),
    ("not_known", NotRun::Unknown),
    ("expired", NotRun::Expired),
    ("stopping", NotRun::Stopping),
    ("refused_by_target", NotRun::RefusedByTarget),
];

fn reason_name(reason: NotRun) -> &'static str {
    let same = |known: NotRun| std::mem::discriminant(&known) == std::mem::discriminant(&reason);
    REASONS.iter().find(|(_, known)| same(*known)).map_or("unreachable", |(name, _)| name)
}

/// A refusal for the wire, with what the home knows of its target.
pub fn wire_refusal(refusal: &Refusal, load: Option<TargetLoad>) -> Refused {
    match refusal {
        Refusal::NotRun { reason, retry_after } => Refused {
            kind: RefusedKind::NotRun.into(),
            message: reason.to_string(),
            retry_after_ms: whole_millis(*retry_after),
            reason: reason_name(*reason).to_owned(),
            load,
            ..Refused::default()
        },
        Refusal::Unknown => Refused {
            kind: RefusedKind::Unknown.into(),
            message: refusal.to_string(),
            load,
            ..Refused::default()
        },
    }
}

/// A "not run" refusal for the wire.
pub fn wire_not_run(reason: NotRun, retry_after: Duration) -> Refused {
    wire_refusal(&Refusal::not_run(reason, retry_after), None)
}

/// A refusal of a request that is itself wrong.
pub fn wire_bad_request(message: impl Into<String>) -> Refused {
    Refused { kind: RefusedKind::BadRequest.into(), message: message.into(), ..Refused::default() }
}

/// A target's failure for the wire.
pub fn wire_target_error(error: &TargetError) -> Refused {
    let refusal = match error {
        TargetError::NotSent => Refusal::not_run(NotRun::Unreachable, Duration::ZERO),
        TargetError::Refused(_) => Refusal::not_run(NotRun::RefusedByTarget, KEEPER_RETRY_DELAY),
        TargetError::Broken(_) => Refusal::Unknown,
    };
    Refused { message: error.to_string(), ..wire_refusal(&refusal, None) }
}

/// A failed call to another box, passed on to the caller.
pub fn wire_call_error(error: CallError) -> Refused {
    match error {
        CallError::Refused(refused) => *refused,
        CallError::NotSent { .. } => wire_not_run(NotRun::Unreachable, KEEPER_RETRY_DELAY),
        CallError::Broken { .. } | CallError::LinkLost => {
            Refused { message: error.to_string(), ..wire_refusal(&Refusal::Unknown, None) }
        }
    }
}

/// A keeper's refusal for the wire.
pub fn wire_keeper_refusal(refusal: &KeeperRefusal) -> Refused {
    let (kind, retry_after) = match refusal {
        KeeperRefusal::NotKeeping { .. }
        | KeeperRefusal::Ledger(LedgerError::Superseded { .. }) => {
            (RefusedKind::NotKept, KEEPER_RETRY_DELAY)
        }
        KeeperRefusal::NotOpen { .. }
        | KeeperRefusal::TooManySteps { .. }
        | KeeperRefusal::Ledger(LedgerError::OtherBody { .. }) => {
            (RefusedKind::Conflict, Duration::ZERO)
        }
        KeeperRefusal::NotInPool { .. } => (RefusedKind::NotRun, KEEPER_RETRY_DELAY),
        KeeperRefusal::Ledger(LedgerError::Spec(_) | LedgerError::NoSuchSlot { .. }) => {
            (RefusedKind::BadRequest, Duration::ZERO)
        }
    };
    let reason = match refusal {
        KeeperRefusal::NotOpen { .. } => NOT_OPEN,
        KeeperRefusal::NotInPool { .. } => "not_known",
        _ => "",
    };
    let holder = match refusal {
        KeeperRefusal::NotKeeping { holder, .. } => holder.clone(),
        _ => None,
    };
    Refused {
        kind: kind.into(),
        message: refusal.to_string(),
        retry_after_ms: whole_millis(retry_after),
        reason: reason.to_owned(),
        keeper_address: holder.unwrap_or_default(),
        load: None,
    }
}

/// Reason that marks a step which its keeper does not know.
const NOT_OPEN: &str = "not_open";

/// The reason and pause of a "not run" refusal from the wire.
pub fn parse_not_run(refused: &Refused) -> Option<(NotRun, Duration)> {
    if refused.kind() == RefusedKind::Unknown {
        return None;
    }
    let known = REASONS.iter().find(|(name, _)| *name == refused.reason);
    let reason = known.map_or(NotRun::RefusedByTarget, |(_, reason)| *reason);
    Some((reason, Duration::from_millis(refused.retry_after_ms)))
}

/// A refusal from the wire, for callers; `random` from 0 to 1 spreads their return.
pub fn caller_error(refused: &Refused, random: f64) -> ErrorBody {
    let kind = match refused.kind() {
        RefusedKind::Unknown => ErrorKind::Unknown,
        RefusedKind::NotRun | RefusedKind::NotKept => ErrorKind::NotRun,
        RefusedKind::BadRequest => ErrorKind::BadRequest,
        RefusedKind::Conflict if refused.reason == NOT_OPEN => ErrorKind::NotOpen,
        RefusedKind::Conflict => ErrorKind::Conflict,
    };
    let pause = Duration::from_millis(refused.retry_after_ms);
    let spread = pause.mul_f64(1.0 + RETRY_JITTER * random.clamp(0.0, 1.0));
    ErrorBody { kind, message: refused.message.clone(), retry_after_ms: whole_millis(spread) }
}
