//! Converts refusals between the decision code, the wire and callers.

use std::time::Duration;

use api::{ErrorBody, ErrorKind};
use ids::{ModelVersion, whole_millis};
use keeping::KeeperRefusal;
use ledger::LedgerError;
use links::CallError;
use placement::{NotRun, Refusal};
use targets::TargetError;
use wire::peer::{Refused, RefusedKind, TargetLoad};

/// Retry delay reported when a box, a keeper or a target is temporarily unavailable.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum relative jitter added to Retry-After, so that callers do not retry simultaneously.
const RETRY_JITTER: f64 = 1.0;

/// Stable names of the reasons on the wire.
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
    let same = |other: NotRun| std::mem::discriminant(&other) == std::mem::discriminant(&reason);
    REASONS.iter().find(|(_, other)| same(*other)).map_or("unreachable", |(name, _)| name)
}

/// Converts a refusal to its wire form, with the target's load if known.
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

/// Creates a "not run" refusal in its wire form.
pub fn wire_not_run(reason: NotRun, retry_after: Duration) -> Refused {
    wire_refusal(&Refusal::not_run(reason, retry_after), None)
}

/// Creates a refusal of an invalid request.
pub fn wire_bad_request(message: impl Into<String>) -> Refused {
    Refused { kind: RefusedKind::BadRequest.into(), message: message.into(), ..Refused::default() }
}

/// Converts a target's error to its wire form.
pub fn wire_target_error(error: &TargetError) -> Refused {
    let refusal = match error {
        TargetError::NotSent => Refusal::not_run(NotRun::Unreachable, Duration::ZERO),
        TargetError::Refused(_) => {
            Refusal::not_run(NotRun::RefusedByTarget, UNAVAILABLE_RETRY_DELAY)
        }
        TargetError::Broken(_) => Refusal::Unknown,
    };
    Refused { message: error.to_string(), ..wire_refusal(&refusal, None) }
}

/// Converts a failed call to another box to its wire form.
pub fn wire_call_error(error: CallError) -> Refused {
    match error {
        CallError::Refused(refused) => *refused,
        CallError::NotSent { .. } => wire_not_run(NotRun::Unreachable, UNAVAILABLE_RETRY_DELAY),
        CallError::Broken { .. } | CallError::LinkLost => {
            Refused { message: error.to_string(), ..wire_refusal(&Refusal::Unknown, None) }
        }
    }
}

/// Converts a keeper's refusal to its wire form.
pub fn wire_keeper_refusal(refusal: &KeeperRefusal) -> Refused {
    let (kind, retry_after) = match refusal {
        KeeperRefusal::NotKeeping { .. }
        | KeeperRefusal::Ledger(LedgerError::Superseded { .. }) => {
            (RefusedKind::NotKept, UNAVAILABLE_RETRY_DELAY)
        }
        KeeperRefusal::NotOpen { .. }
        | KeeperRefusal::TooManySteps { .. }
        | KeeperRefusal::Ledger(LedgerError::OtherBody { .. }) => {
            (RefusedKind::Conflict, Duration::ZERO)
        }
        KeeperRefusal::NotInPool { .. } => (RefusedKind::NotRun, UNAVAILABLE_RETRY_DELAY),
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

/// Reason of a refusal for a step that is not open at its keeper.
const NOT_OPEN: &str = "not_open";

/// Parses the reason and retry delay of a refusal from the wire. Returns `None` if the work may
/// have run.
pub fn parse_not_run(refused: &Refused) -> Option<(NotRun, Duration)> {
    if refused.kind() == RefusedKind::Unknown {
        return None;
    }
    let entry = REASONS.iter().find(|(name, _)| *name == refused.reason);
    let reason = entry.map_or(NotRun::RefusedByTarget, |(_, reason)| *reason);
    Some((reason, Duration::from_millis(refused.retry_after_ms)))
}

/// Converts a refusal from the wire to an error for callers. `random`, from 0 to 1, sets the
/// jitter of the retry delay.
pub fn caller_error(refused: &Refused, random: f64) -> ErrorBody {
    let kind = match refused.kind() {
        RefusedKind::Unknown => ErrorKind::Unknown,
        RefusedKind::NotRun | RefusedKind::NotKept => ErrorKind::NotRun,
        RefusedKind::BadRequest => ErrorKind::BadRequest,
        RefusedKind::Conflict if refused.reason == NOT_OPEN => ErrorKind::NotOpen,
        RefusedKind::Conflict => ErrorKind::Conflict,
    };
    let retry_after = Duration::from_millis(refused.retry_after_ms);
    let jittered = retry_after.mul_f64(1.0 + RETRY_JITTER * random.clamp(0.0, 1.0));
    ErrorBody { kind, message: refused.message.clone(), retry_after_ms: whole_millis(jittered) }
}
