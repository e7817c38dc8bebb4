//! Streaming requests: each runs at no more than one target, whose response is forwarded as it
//! arrives.

use std::sync::Arc;
use std::time::Duration;

use admission::PermitOutcome;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use ids::{InstanceId, WorkDigest, whole_millis};
use node::{
    CONNECT_MARGIN, MIN_CONNECT_TIME, NO_TARGET_IN_REGIONS, NodeView, SlotGuard, TargetChoice,
    WorkRequirements, choose_target, record_disconnect, request_work, reuse_policy,
};
use platform::headers;
use routing::{ChosenTarget, Route, TargetFailure};
use tokio::time::{self, Instant};
use upstream::{SendError, TargetResponse};

use crate::admission::AdmittedRequest;
use crate::callers::Caller;
use crate::plain::{deadline, stated_deadline};
use crate::response::{self, FrontBody};
use crate::stream_copy::{ChunkSender, StreamEnd, StreamLimits, copy_stream};

/// Maximum number of targets that are tried for one stream.
const MAX_TARGETS_TRIED: u32 = 4;
/// Maximum size of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;
/// Maximum time for the rest of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of body chunks buffered for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 16;

/// Serves a streaming request on its route.
pub async fn serve_stream(
    view: &Arc<NodeView>,
    admitted: &AdmittedRequest,
    caller: &Arc<Caller>,
    head: Parts,
    body: Bytes,
    received: Instant,
) -> Response<FrontBody> {
    let route = &admitted.route;
    let deadline = deadline(&head, route, received);
    let id = headers::request_id(&head.headers).unwrap_or_default().to_owned();
    let mut sent_headers = head.headers.clone();
    headers::strip_connection(&mut sent_headers);
    admitted.name_customer(&mut sent_headers);
    let work = request_work(&head.method, &head.headers, &head.uri, &body);
    let mut tried: Vec<InstanceId> = Vec::new();
    for _ in 0..MAX_TARGETS_TRIED {
        let requirements = WorkRequirements {
            request_id: &id,
            customer: admitted.caller.customer(),
            received,
            work,
            tried: &tried,
            allow_tried: false,
            is_owed: false,
            deadline,
            parent: None,
        };
        let slot = match choose_target(view, route, &requirements).await {
            TargetChoice::Target(slot) => slot,
            TargetChoice::None | TargetChoice::Delayed(_) => break,
            TargetChoice::NoneInRegions => return not_run(view, route, &id, NO_TARGET_IN_REGIONS),
            TargetChoice::Quarantined => return quarantined(view, route, &id, work),
            TargetChoice::Refused(refusal) => {
                view.metrics.count_outcome("stream", "not run");
                let retry_after = refusal.retry_after;
                return response::not_run_until("no slot in time", retry_after, Some(&id));
            }
        };
        let target = slot.target();
        if tried.is_empty() {
            view.admission.record_request(&target.service);
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        let mut request = target_request(&head, &sent_headers, &body, time_left);
        headers::set_instance(request.headers_mut(), &target.instance);
        let target_response = match send(view, target, request, work, deadline).await {
            Ok(target_response) => target_response,
            Err(SendFailure::NotSent) => {
                tried.push(target.instance.clone());
                if view.admission.try_retry(&target.service) {
                    continue;
                }
                break;
            }
            Err(SendFailure::LimitReached) => break,
            Err(SendFailure::Unknown) => return unknown_outcome(view, &id, work),
        };
        let info = headers::response_info(target_response.headers());
        if !info.responds_to(&id) {
            record_broken(view, target);
            return unknown_outcome(view, &id, work);
        }
        if target_response.status() == StatusCode::MISDIRECTED_REQUEST {
            record_failure(view, target, TargetFailure::Gone);
            view.suspects().instance_gone(view.now(), &target.instance);
            view.admission.record_result(view, target, PermitOutcome::Gone, info.load);
            tried.push(target.instance.clone());
            continue;
        }
        if info.not_run {
            record_failure(view, target, TargetFailure::Full);
            view.admission.record_result(view, target, PermitOutcome::Refused, info.load);
            drain_refusal(view, target_response).await;
            tried.push(target.instance.clone());
            if view.admission.try_retry(&target.service) {
                continue;
            }
            break;
        }
        view.admission.record_result(view, target, PermitOutcome::Served, info.load);
        view.metrics.count_outcome("stream", "begun");
        if let Some(customer) = admitted.caller.customer() {
            view.usage.count(view.now(), customer);
        }
        let limits = StreamLimits {
            deadline: stated_deadline(&head, route, received),
            caller: Arc::clone(caller),
        };
        let task = StreamTask { view: Arc::clone(view), request_id: id, slot, work, limits };
        return task.forward(target_response);
    }
    not_run(view, route, &id, "no target free")
}

/// Why a target gave no response.
enum SendFailure {
    /// Nothing was sent.
    NotSent,
    /// The box can open no connection; nothing was sent.
    LimitReached,
    /// The target may have run the request.
    Unknown,
}

/// Sends a request and records a failure of its target.
async fn send(
    view: &Arc<NodeView>,
    target: &ChosenTarget,
    request: Request<Full<Bytes>>,
    work: WorkDigest,
    deadline: Instant,
) -> Result<TargetResponse, SendFailure> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let response = view.pool.send_by(target.address, request, deadline - CONNECT_MARGIN);
    match time::timeout_at(deadline, response).await {
        Ok(Ok(target_response)) => Ok(target_response),
        Ok(Err(SendError::NotSent(_))) => {
            if time_left >= MIN_CONNECT_TIME {
                record_unreachable(view, target);
            }
            Err(SendFailure::NotSent)
        }
        Ok(Err(SendError::LimitReached)) => Err(SendFailure::LimitReached),
        Ok(Err(SendError::Broken(_))) => {
            record_broken(view, target);
            record_disconnect(view, target, work);
            Err(SendFailure::Unknown)
        }
        Ok(Err(SendError::TooLong(_))) | Err(_) => {
            record_broken(view, target);
            Err(SendFailure::Unknown)
        }
    }
}

fn target_request(
    head: &Parts,
    sent_headers: &HeaderMap,
    body: &Bytes,
    time_left: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    *request.headers_mut() = sent_headers.clone();
    headers::set_time_left(request.headers_mut(), time_left);
    request
}

fn not_run(view: &NodeView, route: &Route, id: &str, reason: &str) -> Response<FrontBody> {
    view.metrics.count_outcome("stream", "not run");
    log::info!(target: "entry", request = id, route:% = route.name, outcome = "not run"; "request ended");
    let retry_after = view.admission.local_retry_after().unwrap_or(response::RETRY_DELAY);
    response::not_run_until(reason, retry_after, Some(id))
}

fn quarantined(view: &NodeView, route: &Route, id: &str, work: WorkDigest) -> Response<FrontBody> {
    view.metrics.count_outcome("stream", "condemned");
    view.metrics.count_outcome("work", "condemned");
    log::info!(
        target: "entry", request = id, route:% = route.name, work:% = work,
        ends = view.suspects().crash_count(work), outcome = "condemned";
        "request ended"
    );
    response::quarantined(id)
}

fn unknown_outcome(view: &NodeView, id: &str, work: WorkDigest) -> Response<FrontBody> {
    view.suspects().caller_unanswered(work);
    view.suspects_changed();
    view.metrics.count_outcome("stream", "unknown");
    log::info!(target: "entry", request = id, work:% = work, outcome = "unknown"; "request ended");
    response::refuse(
        StatusCode::BAD_GATEWAY,
        "target broke off",
        "it may have run: send it again only if it may be repeated",
        Some(id),
    )
}

/// Records that no connection to a target could be opened.
fn record_unreachable(view: &NodeView, target: &ChosenTarget) {
    record_failure(view, target, TargetFailure::Unreachable);
    view.admission.record_result(view, target, PermitOutcome::Broken, None);
}

/// Records that a target was unresponsive or broke the connection.
fn record_broken(view: &NodeView, target: &ChosenTarget) {
    record_failure(view, target, TargetFailure::Broken);
    view.admission.record_result(view, target, PermitOutcome::Broken, None);
}

fn record_failure(view: &NodeView, target: &ChosenTarget, failure: TargetFailure) {
    view.target_table().failed(view.now(), &target.instance, failure);
}

/// A stream whose head is forwarded.
struct StreamTask {
    view: Arc<NodeView>,
    request_id: String,
    slot: SlotGuard,
    work: WorkDigest,
    limits: StreamLimits,
}

impl StreamTask {
    /// Copies the body in a task of its own and returns the response to the caller.
    fn forward(self, target_response: TargetResponse) -> Response<FrontBody> {
        let (chunks, body) = Channel::new(STREAM_BUFFER_CHUNKS);
        let mut response = Response::new(Either::Right(body));
        *response.status_mut() = target_response.status();
        *response.headers_mut() = target_response.headers().clone();
        response::strip_target_headers(response.headers_mut());
        let chunks = ChunkSender::new(chunks);
        tokio::spawn(async move {
            let end = copy_stream(target_response, chunks, &self.view.memory, &self.limits).await;
            let limits = self.limits.clone();
            self.record(end);
            if matches!(end, StreamEnd::TargetSilent { .. } | StreamEnd::CallerSlow) {
                limits.disconnect_after_flush().await;
            }
        });
        response
    }

    /// Records how the stream ended, and releases its slot.
    fn record(mut self, end: StreamEnd) {
        let view = &self.view;
        match end {
            StreamEnd::Complete => {
                self.slot.mark_served();
                view.suspects().succeeded(self.work);
            }
            StreamEnd::CallerDisconnected => {}
            StreamEnd::TargetSilent { silent } => {
                view.metrics.count_outcome("stream", "target silent");
                self.log("target silent", silent);
            }
            StreamEnd::CallerSlow => {
                view.metrics.count_outcome("stream", "caller slow");
                self.log("caller slow", Duration::ZERO);
            }
            StreamEnd::NoMemory => {
                view.metrics.count_outcome("memory", "stream ended");
                self.log("no memory", Duration::ZERO);
            }
            StreamEnd::TooLong => {
                record_failure(view, self.slot.target(), TargetFailure::Broken);
            }
            StreamEnd::Broken => {
                record_failure(view, self.slot.target(), TargetFailure::Broken);
                record_disconnect(view, self.slot.target(), self.work);
                view.suspects().caller_unanswered(self.work);
                view.suspects_changed();
            }
        }
    }

    fn log(&self, outcome: &str, silent: Duration) {
        log::info!(
            target: "entry", request = self.request_id.as_str(), work:% = self.work,
            target:% = self.slot.target().instance, silent_ms = whole_millis(silent),
            reserved = self.view.memory.reserved().get(), limit = self.view.memory.limit().get(),
            outcome = outcome;
            "stream ended"
        );
    }
}

/// Reads the rest of a refusal, so that its connection can be used again.
async fn drain_refusal(view: &NodeView, refusal: TargetResponse) {
    let rest = refusal.reusable_after(reuse_policy(view)).read_full(MAX_REFUSAL_BYTES);
    // Without the rest the connection closes.
    let _drained = time::timeout(REFUSAL_TIMEOUT, rest).await;
}
