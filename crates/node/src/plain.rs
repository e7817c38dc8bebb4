//! One plain request, sent to targets until it is answered or nothing may be tried any more.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use ids::{CustomerName, InstanceId, WorkDigest, whole_millis};
use platform::headers::{self, ResponseInfo};
use routing::{ChosenTarget, Route, RouteKind, TargetFailure};
use tokio::time::{self, Instant};
use upstream::{FullResponse, SendError};

use crate::{
    NodeView, TargetChoice, WorkRequirements, choose_target, record_disconnect, request_work,
};

/// Longest answer that is held whole, in bytes.
const MOST_ANSWER: usize = 8 << 20;
/// Tries that no target ran, beyond the route's attempts: full targets answer at once.
const NOT_RUN_TRIES: u32 = 4;
/// A try may take this many times the route's goal before another target is tried.
const TRY_GOALS: u32 = 3;
/// Shortest time for one try.
const SHORTEST_TRY: Duration = Duration::from_millis(300);
/// Goal assumed where a route tells none.
const DEFAULT_GOAL: Duration = Duration::from_millis(500);
/// Pause before a try after every target was full or none was there.
const FULL_PAUSE: Duration = Duration::from_millis(20);

/// One plain request.
#[derive(Debug)]
pub struct PlainCall<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Its id.
    pub request_id: &'a str,
    /// Its method.
    pub method: Method,
    /// Its path and query, as the caller sent them.
    pub uri: Uri,
    /// Its headers, without those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When the caller stops waiting, or the route's time is over.
    pub deadline: Instant,
    /// Whether nobody waits for this one call: it is made again until it is answered.
    pub is_background: bool,
    /// Whose request it is, for the account of use; the headers name it to the target.
    pub customer: Option<CustomerName>,
}

impl PlainCall<'_> {
    fn work(&self) -> WorkDigest {
        request_work(&self.method, &self.headers, &self.uri, &self.body)
    }
}

/// How a plain request ended.
#[derive(Debug)]
pub enum PlainOutcome {
    /// A target answered, perhaps with an error of its own.
    Answered(FullResponse),
    /// No target has run it, and none will.
    NotRun(&'static str),
    /// It ends the targets that run it: none has run it this time, and none will.
    Quarantined,
    /// It may have run.
    Unknown(&'static str),
}

enum TryEnd {
    Answered(FullResponse),
    NotRun,
    Broken,
}

/// What became of one try, for logs and for the board.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TryOutcome {
    Answered,
    NotSent,
    /// This box holds as many connections as it may.
    NoRoom,
    Silent,
    Broken,
    /// The answer belongs to another request.
    OtherAnswer,
    /// Another life of the target, or another target, has the address.
    OtherTarget,
    Full,
    Unsigned,
}

impl TryOutcome {
    /// Whether a target began to run the request, as far as can be told: one that breaks off, or whose answer is
    /// spoilt, mostly has.
    const fn has_begun(self) -> bool {
        matches!(self, Self::Answered | Self::Broken | Self::OtherAnswer | Self::Unsigned)
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotSent => "not sent",
            Self::NoRoom => "no connection left",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::OtherAnswer => "answer to another request",
            Self::OtherTarget => "another target",
            Self::Full => "full",
            Self::Unsigned => "unsigned",
        }
    }
}

/// Sends a plain request. Only what may be repeated is sent again after it may have run.
pub async fn call_plain(view: &Arc<NodeView>, call: PlainCall<'_>) -> PlainOutcome {
    let repeatable = call.route.kind == RouteKind::Safe;
    let work = call.work();
    let mut tried: Vec<InstanceId> = Vec::new();
    let (mut runs, mut not_run) = (0, 0);
    let mut last_answer = None;
    while runs < call.route.attempts && not_run < NOT_RUN_TRIES && Instant::now() < call.deadline {
        let need = WorkRequirements {
            work,
            tried: &tried,
            allow_tried: true,
            is_background: call.is_background,
        };
        let slot = match choose_target(view, call.route, &need) {
            TargetChoice::Target(slot) => slot,
            TargetChoice::None => {
                not_run += 1;
                tried.clear();
                time::sleep(FULL_PAUSE).await;
                continue;
            }
            // Looked at before each try: the tries before this one may have been enough.
            TargetChoice::Quarantined if runs == 0 => return condemned(view, &call, work),
            TargetChoice::Quarantined => break,
        };
        let last = runs + 1 >= call.route.attempts || !repeatable;
        let end = try_once(view, &call, work, slot.slot(), last).await;
        tried.push(slot.slot().instance.clone());
        drop(slot);
        match end {
            TryEnd::Answered(answer) if answer.status.is_success() || !repeatable => {
                return PlainOutcome::Answered(answer);
            }
            TryEnd::Answered(answer) => {
                runs += 1;
                last_answer = Some(answer);
            }
            TryEnd::NotRun => not_run += 1,
            TryEnd::Broken if repeatable => runs += 1,
            TryEnd::Broken => return give_up(view, &call, work, "target broke off"),
        }
    }
    match last_answer {
        Some(answer) => PlainOutcome::Answered(answer),
        None if runs == 0 && Instant::now() < call.deadline => {
            PlainOutcome::NotRun("no target free")
        }
        None if runs == 0 => PlainOutcome::NotRun("out of time"),
        None => give_up(view, &call, work, "targets broke off"),
    }
}

/// The caller hears that the request may have run, and may come again at any box; a call that nobody waits for
/// comes again here, and need not be told of after a single end.
fn give_up(
    view: &NodeView,
    call: &PlainCall<'_>,
    work: WorkDigest,
    reason: &'static str,
) -> PlainOutcome {
    if !call.is_background {
        view.suspects().caller_unanswered(work);
    }
    view.suspects_changed();
    PlainOutcome::Unknown(reason)
}

fn condemned(view: &NodeView, call: &PlainCall<'_>, work: WorkDigest) -> PlainOutcome {
    view.metrics.count_outcome("work", "condemned");
    log::info!(
        target: "targets", request = call.request_id, work:% = work, route:% = call.route.name,
        ends = view.suspects().crash_count(work), outcome = "condemned";
        "work turned away"
    );
    PlainOutcome::Quarantined
}

async fn try_once(
    view: &Arc<NodeView>,
    call: &PlainCall<'_>,
    work: WorkDigest,
    slot: &ChosenTarget,
    last: bool,
) -> TryEnd {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let limit = if last {
        left
    } else {
        let goal = call.route.goal.unwrap_or(DEFAULT_GOAL);
        left.min((goal * TRY_GOALS).max(SHORTEST_TRY))
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    headers::set_time_left(request.headers_mut(), left);
    headers::set_instance(request.headers_mut(), &slot.instance);
    let (started, began) = (Instant::now(), view.now());
    let sent = async {
        let answer = view.pool.send(slot.address, request).await?;
        answer.read_full(MOST_ANSWER).await
    };
    let (outcome, end) = match time::timeout(limit, sent).await {
        Err(_elapsed) => {
            view.pool.close_idle();
            (TryOutcome::Silent, TryEnd::Broken)
        }
        Ok(Err(SendError::NotSent(_))) => (TryOutcome::NotSent, TryEnd::NotRun),
        Ok(Err(SendError::LimitReached)) => (TryOutcome::NoRoom, TryEnd::NotRun),
        Ok(Err(SendError::Broken(_))) => (TryOutcome::Broken, TryEnd::Broken),
        Ok(Ok(answer)) => judge(view, call, slot, answer),
    };
    if let Some(customer) = call.customer.as_ref().filter(|_| outcome.has_begun()) {
        // What it waited at the target is not known; mostly it is a few milliseconds.
        view.usage.count(began, customer);
    }
    note_try(view, slot, &end, outcome, started.elapsed());
    let status = match &end {
        TryEnd::Answered(answer) => answer.status.as_u16(),
        _ => 0,
    };
    match outcome {
        TryOutcome::Broken => record_disconnect(view, slot, work),
        TryOutcome::OtherTarget => view.suspects().instance_gone(view.now(), &slot.instance),
        // Whatever the answer is, the target has lived to give it.
        TryOutcome::Answered => view.suspects().succeeded(work),
        _ => {}
    }
    if outcome != TryOutcome::Answered || status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16() {
        log::info!(
            target: "targets", request = call.request_id, work:% = work, target:% = slot.instance,
            outcome = outcome.as_str(), status = status, took_ms = whole_millis(started.elapsed()), left_ms = whole_millis(left);
            "try ended"
        );
    }
    end
}

/// Whether an answer is the target's answer to this request.
fn judge(
    view: &NodeView,
    call: &PlainCall<'_>,
    slot: &ChosenTarget,
    answer: FullResponse,
) -> (TryOutcome, TryEnd) {
    let facts = headers::response_info(&answer.headers);
    if let Some(load) = facts.load {
        view.target_table().record_load(view.now(), &slot.instance, load);
    }
    if facts.request_id.as_deref().is_some_and(|id| id != call.request_id) {
        return (TryOutcome::OtherAnswer, TryEnd::Broken);
    }
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        view.target_table().failed(view.now(), &slot.instance, TargetFailure::Gone);
        return (TryOutcome::OtherTarget, TryEnd::NotRun);
    }
    if facts.not_run {
        view.target_table().failed(view.now(), &slot.instance, TargetFailure::Full);
        return (TryOutcome::Full, TryEnd::NotRun);
    }
    if answer.status.is_success() && !is_signed(&facts) {
        return (TryOutcome::Unsigned, TryEnd::Broken);
    }
    (TryOutcome::Answered, TryEnd::Answered(answer))
}

fn is_signed(facts: &ResponseInfo) -> bool {
    facts.signature.is_some()
}

fn note_try(
    view: &NodeView,
    slot: &ChosenTarget,
    end: &TryEnd,
    outcome: TryOutcome,
    took: Duration,
) {
    view.metrics.count_outcome("target_try", outcome.as_str());
    let mut board = view.target_table();
    match end {
        TryEnd::Answered(answer) if answer.status.is_success() => {
            board.succeeded(view.now(), &slot.instance);
            board.record_unit_time(&slot.instance, took);
        }
        TryEnd::NotRun if outcome == TryOutcome::NotSent => {
            board.failed(view.now(), &slot.instance, TargetFailure::Broken);
        }
        // An error of the target's own, or a refusal that was noted when it was read.
        TryEnd::Answered(_) | TryEnd::NotRun => {}
        TryEnd::Broken => board.failed(view.now(), &slot.instance, TargetFailure::Broken),
    }
}
