//! Sends one plain request to targets until one responds or no further try is allowed.

use std::sync::Arc;
use std::time::Duration;

use admission::PermitOutcome;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use ids::{CustomerName, InstanceId, WorkDigest, whole_millis};
use platform::headers::{self, ResponseInfo};
use routing::{ChosenTarget, Route, RouteKind, TargetFailure};
use tokio::time::{self, Instant};
use upstream::{FullResponse, ReadError, ReusePolicy, SendError};

use crate::choice::DEFAULT_GOAL;
use crate::{
    NodeView, ParentRequest, TargetChoice, WorkRequirements, choose_target, record_disconnect,
    request_work,
};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum number of tries that no target ran, in addition to the route's attempts. Full targets
/// respond at once.
const MAX_NOT_RUN_TRIES: u32 = 4;
/// Timeout of a try that may be followed by another, as a multiple of the route's goal.
const TRY_TIMEOUT_GOALS: u32 = 3;
/// Minimum timeout of one try.
const MIN_TRY_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection must be open this long before the end of its try. Otherwise the request is not
/// sent, and the caller still gets a response that says so.
pub const CONNECT_MARGIN: Duration = Duration::from_millis(20);
/// With less time for opening a connection, a failure to do so says nothing about the target.
pub const MIN_CONNECT_TIME: Duration = Duration::from_millis(250);
/// Pause before the next try when no target is available.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(20);

/// Time to return after a refusal because no target in the allowed regions can serve a request. The
/// refusal takes no time, so background calls would otherwise repeat it without a pause.
const REGIONS_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Reason of the refusal if no target in the allowed regions can serve a request.
pub const NO_TARGET_IN_REGIONS: &str = "no target in the allowed regions";

/// A plain request.
#[derive(Debug)]
pub struct PlainCall<'a> {
    /// The route.
    pub route: &'a Route,
    /// The request id.
    pub request_id: &'a str,
    /// The request method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When the caller stops waiting or the route's timeout ends, whichever is first.
    pub deadline: Instant,
    /// Whether this call is owed: no caller waits for it, and it is repeated until it gets a
    /// response.
    pub is_owed: bool,
    /// The customer, for usage counts; the headers name it to the target.
    pub customer: Option<CustomerName>,
    /// The request on whose behalf this internal call is made; its restriction to regions applies to
    /// the call too.
    pub parent: Option<ParentRequest<'a>>,
}

impl PlainCall<'_> {
    fn work(&self) -> WorkDigest {
        request_work(&self.method, &self.headers, &self.uri, &self.body)
    }
}

/// Outcome of a plain request.
#[derive(Debug)]
pub enum PlainOutcome {
    /// A target responded, possibly with an error of its own.
    Answered(FullResponse),
    /// No target has run the request, and none will.
    NotRun {
        /// Why it did not run.
        reason: &'static str,
        /// How long the caller should wait before it returns; `None` for the default.
        retry_after: Option<Duration>,
    },
    /// Targets have just crashed under this owed call. It has not run, and may be made again after
    /// this time.
    Delayed(Duration),
    /// The request is quarantined because it crashes targets. No target has run it during this
    /// call, and none will.
    Quarantined,
    /// The request may have run.
    Unknown(&'static str),
}

enum TryResult {
    Answered(FullResponse),
    NotRun,
    Broken,
}

/// Outcome of one try, for logs and the target table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TryOutcome {
    Answered,
    NotSent,
    /// Too little time was left to open a connection.
    NoTime,
    /// The box's connection limit is reached.
    NoRoom,
    Silent,
    Broken,
    /// The target sent more bytes than a response may have.
    TooLong,
    /// The response belongs to another request, or comes from another server.
    MismatchedResponse,
    /// Another target, or another incarnation of it, has the address.
    OtherTarget,
    Full,
    Unsigned,
    /// The response did not fit into the box's memory budget.
    NoMemory,
}

impl TryOutcome {
    /// Whether a target probably started to run the request. One that disconnects or sends an
    /// invalid response usually has.
    const fn has_begun(self) -> bool {
        matches!(
            self,
            Self::Answered
                | Self::Broken
                | Self::TooLong
                | Self::MismatchedResponse
                | Self::Unsigned
                | Self::NoMemory
        )
    }

    /// The outcome as the service's admission home counts it; `None` if it says nothing about the
    /// target.
    const fn permit_outcome(self) -> Option<PermitOutcome> {
        Some(match self {
            Self::Answered => PermitOutcome::Served,
            Self::Full => PermitOutcome::Refused,
            Self::OtherTarget => PermitOutcome::Gone,
            Self::NotSent
            | Self::Silent
            | Self::Broken
            | Self::TooLong
            | Self::MismatchedResponse
            | Self::Unsigned => PermitOutcome::Broken,
            Self::NoTime | Self::NoRoom | Self::NoMemory => return None,
        })
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotSent => "not sent",
            Self::NoTime => "no time to connect",
            Self::NoRoom => "no connection left",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::TooLong => "too long",
            Self::MismatchedResponse => "answer to another request",
            Self::OtherTarget => "another target",
            Self::Full => "full",
            Self::Unsigned => "unsigned",
            Self::NoMemory => "no memory",
        }
    }
}

/// Sends a plain request. A request that may have run is only sent again if it is repeatable.
pub async fn call_plain(view: &Arc<NodeView>, call: PlainCall<'_>) -> PlainOutcome {
    let repeatable = call.route.kind == RouteKind::Safe;
    let work = call.work();
    let received = Instant::now();
    let mut tried: Vec<InstanceId> = Vec::new();
    let (mut run_count, mut not_run_count) = (0, 0);
    let mut last_response = None;
    let mut tried_service = None;
    while run_count < call.route.attempts
        && not_run_count < MAX_NOT_RUN_TRIES
        && Instant::now() < call.deadline
    {
        let requirements = WorkRequirements {
            request_id: call.request_id,
            customer: call.customer.as_ref(),
            received,
            work,
            tried: &tried,
            allow_tried: true,
            is_owed: call.is_owed,
            deadline: call.deadline,
            parent: call.parent,
        };
        if let Some(service) = &tried_service
            && !view.admission.try_retry(service)
        {
            view.metrics.count_outcome("admission", "no retry left");
            break;
        }
        let mut slot = match choose_target(view, call.route, &requirements).await {
            TargetChoice::Target(slot) => slot,
            TargetChoice::None => {
                not_run_count += 1;
                tried.clear();
                time::sleep(NO_TARGET_PAUSE).await;
                continue;
            }
            TargetChoice::Delayed(delay) if run_count == 0 => return PlainOutcome::Delayed(delay),
            // Checked before each try, since earlier tries may have caused the quarantine.
            TargetChoice::Quarantined if run_count == 0 => {
                return refuse_quarantined(view, &call, work);
            }
            TargetChoice::Refused(refusal) if run_count == 0 => {
                let retry_after = Some(refusal.retry_after);
                return PlainOutcome::NotRun { reason: "no slot in time", retry_after };
            }
            TargetChoice::NoneInRegions if run_count == 0 => {
                let retry_after = view.admission.local_retry_after();
                let retry_after = Some(retry_after.unwrap_or(REGIONS_RETRY_DELAY));
                return PlainOutcome::NotRun { reason: NO_TARGET_IN_REGIONS, retry_after };
            }
            TargetChoice::Delayed(_)
            | TargetChoice::Quarantined
            | TargetChoice::Refused(_)
            | TargetChoice::NoneInRegions => break,
        };
        let is_last = run_count + 1 >= call.route.attempts || !repeatable;
        let result = try_once(view, &call, work, slot.target(), is_last).await;
        if matches!(&result, TryResult::Answered(response) if !response.status.is_server_error()) {
            slot.mark_served();
        }
        tried.push(slot.target().instance.clone());
        if tried_service.is_none() {
            view.admission.record_request(&slot.target().service);
        }
        tried_service = Some(slot.target().service.clone());
        drop(slot);
        match result {
            TryResult::Answered(response) if response.status.is_success() || !repeatable => {
                return PlainOutcome::Answered(response);
            }
            TryResult::Answered(response) => {
                run_count += 1;
                last_response = Some(response);
            }
            TryResult::NotRun => not_run_count += 1,
            TryResult::Broken if repeatable => run_count += 1,
            TryResult::Broken => return give_up(view, &call, work, "target broke off"),
        }
    }
    match last_response {
        Some(response) => PlainOutcome::Answered(response),
        None if run_count == 0 && Instant::now() < call.deadline => {
            let retry_after = view.admission.local_retry_after();
            PlainOutcome::NotRun { reason: "no target free", retry_after }
        }
        None if run_count == 0 => PlainOutcome::NotRun { reason: "out of time", retry_after: None },
        None => give_up(view, &call, work, "targets broke off"),
    }
}

/// Reports that the request may have run. The caller may repeat it at any box, so the suspicion is
/// published after a single crash; an owed call is repeated here and needs no report.
fn give_up(
    view: &NodeView,
    call: &PlainCall<'_>,
    work: WorkDigest,
    reason: &'static str,
) -> PlainOutcome {
    if !call.is_owed {
        view.suspects().caller_unanswered(work);
    }
    view.suspects_changed();
    PlainOutcome::Unknown(reason)
}

fn refuse_quarantined(view: &NodeView, call: &PlainCall<'_>, work: WorkDigest) -> PlainOutcome {
    view.metrics.count_outcome("work", "condemned");
    log::info!(
        target: "targets", request = call.request_id, work:% = work, route:% = call.route.name,
        ends = view.suspects().crash_count(work), outcome = "condemned";
        "work refused"
    );
    PlainOutcome::Quarantined
}

async fn try_once(
    view: &Arc<NodeView>,
    call: &PlainCall<'_>,
    work: WorkDigest,
    target: &ChosenTarget,
    is_last: bool,
) -> TryResult {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let limit = if is_last {
        left
    } else {
        let goal = call.route.goal.unwrap_or(DEFAULT_GOAL);
        left.min((goal * TRY_TIMEOUT_GOALS).max(MIN_TRY_TIMEOUT))
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    headers::set_time_left(request.headers_mut(), left);
    headers::set_instance(request.headers_mut(), &target.instance);
    set_engine_priority(view, call, target, request.headers_mut());
    let (started, sent_at) = (Instant::now(), view.now());
    let connect_time = limit.saturating_sub(CONNECT_MARGIN);
    let sent = async {
        let connect_by = started + connect_time;
        let response = view.pool.send_by(target.address, request, connect_by).await?;
        let response = response.reusable_after(reuse_policy(view));
        response.read_full_by(MAX_RESPONSE_BYTES, started + limit).await
    };
    let mut load = None;
    let (outcome, result) = match time::timeout(limit, sent).await {
        Err(_elapsed) => {
            view.pool.close_idle();
            (TryOutcome::Silent, TryResult::Broken)
        }
        Ok(Err(ReadError::Send(SendError::NotSent(_))))
            if connect_time < MIN_CONNECT_TIME && started.elapsed() >= connect_time =>
        {
            (TryOutcome::NoTime, TryResult::NotRun)
        }
        Ok(Err(ReadError::Send(SendError::NotSent(_)))) => (TryOutcome::NotSent, TryResult::NotRun),
        Ok(Err(ReadError::Send(SendError::LimitReached))) => {
            (TryOutcome::NoRoom, TryResult::NotRun)
        }
        Ok(Err(ReadError::Send(SendError::Broken(_)))) => (TryOutcome::Broken, TryResult::Broken),
        Ok(Err(ReadError::Send(SendError::TooLong(_)))) => (TryOutcome::TooLong, TryResult::Broken),
        Ok(Err(ReadError::NoMemory)) => (TryOutcome::NoMemory, TryResult::Broken),
        Ok(Ok(response)) => {
            let info = headers::response_info(&response.headers);
            load = info.load;
            classify_response(view, call, target, response, &info)
        }
    };
    if let Some(permit_outcome) = permit_outcome(outcome, &result) {
        view.admission.record_result(view, target, permit_outcome, load);
    }
    if let Some(customer) = call.customer.as_ref().filter(|_| outcome.has_begun()) {
        // Counted from the time of sending: the time spent queued at the target is unknown.
        view.usage.count(sent_at, customer);
    }
    record_try(view, target, &result, outcome, started.elapsed());
    let status = match &result {
        TryResult::Answered(response) => response.status.as_u16(),
        _ => 0,
    };
    match outcome {
        TryOutcome::Broken => record_disconnect(view, target, work),
        TryOutcome::OtherTarget => view.suspects().instance_gone(view.now(), &target.instance),
        // The work did not crash the target, whatever the status of the response.
        TryOutcome::Answered => view.suspects().succeeded(work),
        _ => {}
    }
    if outcome != TryOutcome::Answered || status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16() {
        log::info!(
            target: "targets", request = call.request_id, work:% = work, target:% = target.instance,
            outcome = outcome.as_str(), status = status, took_ms = whole_millis(started.elapsed()), left_ms = whole_millis(left);
            "try ended"
        );
    }
    result
}

/// Which responses leave their connection usable. While boxes share queues, refusals are frequent,
/// and each one that closed its connection would cost the target another.
pub fn reuse_policy(view: &NodeView) -> ReusePolicy {
    if view.admission.is_shared() {
        ReusePolicy::SuccessesAndRefusals(headers::REFUSAL_HEADER)
    } else {
        ReusePolicy::Successes
    }
}

/// The outcome as the service's admission home counts it.
fn permit_outcome(outcome: TryOutcome, result: &TryResult) -> Option<PermitOutcome> {
    match result {
        TryResult::Answered(response) if response.status.is_server_error() => {
            Some(PermitOutcome::Failed)
        }
        _ => outcome.permit_outcome(),
    }
}

/// Tells an engine the request's priority. Other targets run requests in the order of arrival.
fn set_engine_priority(
    view: &NodeView,
    call: &PlainCall<'_>,
    target: &ChosenTarget,
    header_map: &mut HeaderMap,
) {
    if !view.admission.is_shared() {
        return;
    }
    let table = view.table();
    let is_engine = table.service(&target.service).is_some_and(|spec| !spec.models.is_empty());
    if let Some(priority) = table.priority(&call.route.name, call.customer.as_ref())
        && is_engine
    {
        headers::set_priority(header_map, priority.get());
    }
}

/// Classifies a response and updates the target table.
fn classify_response(
    view: &NodeView,
    call: &PlainCall<'_>,
    target: &ChosenTarget,
    response: FullResponse,
    info: &ResponseInfo,
) -> (TryOutcome, TryResult) {
    if let Some(load) = info.load {
        view.target_table().record_load(view.now(), &target.instance, load);
    }
    if !info.responds_to(call.request_id) {
        return (TryOutcome::MismatchedResponse, TryResult::Broken);
    }
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        view.target_table().failed(view.now(), &target.instance, TargetFailure::Gone);
        return (TryOutcome::OtherTarget, TryResult::NotRun);
    }
    if info.not_run {
        view.target_table().failed(view.now(), &target.instance, TargetFailure::Full);
        return (TryOutcome::Full, TryResult::NotRun);
    }
    if response.status.is_success() && !is_signed(info) {
        return (TryOutcome::Unsigned, TryResult::Broken);
    }
    (TryOutcome::Answered, TryResult::Answered(response))
}

fn is_signed(info: &ResponseInfo) -> bool {
    info.signature.is_some()
}

fn record_try(
    view: &NodeView,
    target: &ChosenTarget,
    result: &TryResult,
    outcome: TryOutcome,
    took: Duration,
) {
    view.metrics.count_outcome("target_try", outcome.as_str());
    let mut targets = view.target_table();
    match result {
        TryResult::Answered(response) if response.status.is_success() => {
            targets.succeeded(view.now(), &target.instance);
            targets.record_unit_time(view.now(), &target.instance, took);
        }
        TryResult::NotRun if outcome == TryOutcome::NotSent => {
            targets.failed(view.now(), &target.instance, TargetFailure::Unreachable);
        }
        // An error of the target, or a refusal that `classify_response` has recorded.
        TryResult::Answered(_) | TryResult::NotRun => {}
        // The target is not at fault.
        TryResult::Broken if outcome == TryOutcome::NoMemory => {}
        TryResult::Broken => targets.failed(view.now(), &target.instance, TargetFailure::Broken),
    }
}
