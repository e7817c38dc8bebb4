//! Streaming requests: each runs at no more than one target, whose response is forwarded as it
//! arrives.

use std::sync::Arc;
use std::time::Duration;

use admission::PermitOutcome;
use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::channel::{Channel, Sender};
use http_body_util::{Either, Full};
use ids::{InstanceId, WorkDigest};
use node::{
    CONNECT_MARGIN, MIN_CONNECT_TIME, NO_TARGET_IN_REGIONS, NodeView, SlotGuard, TargetChoice,
    WorkRequirements, choose_target, record_disconnect, request_work, reuse_policy,
};
use platform::headers;
use routing::{ChosenTarget, Route, TargetFailure};
use tokio::time::{self, Instant};
use upstream::{ByteCount, MemoryBudget, SendError, TargetResponse};

use crate::admission::AdmittedRequest;
use crate::plain::deadline;
use crate::response::{self, FrontBody, StreamBroken};

/// Maximum number of targets that are tried for one stream.
const MAX_TARGETS_TRIED: u32 = 4;
/// Maximum size of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;
/// Maximum time for the rest of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of body chunks buffered for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 16;
/// Maximum wait for the memory of a chunk. Targets abort a response that is left unread for some
/// seconds.
const CHUNK_MEMORY_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves a streaming request on its route.
pub async fn serve_stream(
    view: &Arc<NodeView>,
    admitted: &AdmittedRequest,
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
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        *request.headers_mut() = sent_headers.clone();
        let time_left = deadline.saturating_duration_since(Instant::now());
        headers::set_time_left(request.headers_mut(), time_left);
        headers::set_instance(request.headers_mut(), &target.instance);
        let connect_by = deadline - CONNECT_MARGIN;
        let response = view.pool.send_by(target.address, request, connect_by);
        let sent = time::timeout_at(deadline, response).await;
        let target_response = match sent {
            Ok(Ok(target_response)) => target_response,
            Ok(Err(SendError::NotSent(_))) => {
                if time_left >= MIN_CONNECT_TIME {
                    record_unreachable(view, target);
                }
                tried.push(target.instance.clone());
                if view.admission.try_retry(&target.service) {
                    continue;
                }
                break;
            }
            Ok(Err(SendError::LimitReached)) => break,
            Ok(Err(SendError::Broken(_))) => {
                record_broken(view, target);
                record_disconnect(view, target, work);
                return unknown_outcome(view, &id, work);
            }
            Ok(Err(SendError::TooLong(_))) | Err(_) => {
                record_broken(view, target);
                return unknown_outcome(view, &id, work);
            }
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
        return forward_stream(view, slot, target_response, work);
    }
    not_run(view, route, &id, "no target free")
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

fn forward_stream(
    view: &Arc<NodeView>,
    slot: SlotGuard,
    target_response: TargetResponse,
    work: WorkDigest,
) -> Response<FrontBody> {
    let (chunks, body) = Channel::new(STREAM_BUFFER_CHUNKS);
    let mut response = Response::new(Either::Right(body));
    *response.status_mut() = target_response.status();
    *response.headers_mut() = target_response.headers().clone();
    response::strip_target_headers(response.headers_mut());
    let view = Arc::clone(view);
    let mut slot = slot;
    tokio::spawn(async move {
        match copy_chunks(target_response, chunks, &view.memory).await {
            StreamEnd::Complete => {
                slot.mark_served();
                view.suspects().succeeded(work);
            }
            StreamEnd::CallerDisconnected => {}
            StreamEnd::NoMemory => {
                view.metrics.count_outcome("memory", "stream ended");
                log::info!(
                    target: "entry", work:% = work, reserved = view.memory.reserved().get(),
                    limit = view.memory.limit().get(), outcome = "no memory";
                    "stream ended"
                );
            }
            StreamEnd::TooLong => {
                record_failure(&view, slot.target(), TargetFailure::Broken);
            }
            StreamEnd::Broken => {
                record_failure(&view, slot.target(), TargetFailure::Broken);
                record_disconnect(&view, slot.target(), work);
                view.suspects().caller_unanswered(work);
                view.suspects_changed();
            }
        }
    });
    response
}

/// Reads the rest of a refusal, so that its connection can be used again.
async fn drain_refusal(view: &NodeView, refusal: TargetResponse) {
    let rest = refusal.reusable_after(reuse_policy(view)).read_full(MAX_REFUSAL_BYTES);
    // Without the rest the connection closes.
    let _drained = time::timeout(REFUSAL_TIMEOUT, rest).await;
}

/// How forwarding a response body ended.
enum StreamEnd {
    Complete,
    CallerDisconnected,
    /// A chunk did not fit into the memory budget.
    NoMemory,
    /// The target sent more bytes than a response may have.
    TooLong,
    Broken,
}

/// Forwards a body until it ends. Stops early if the caller disconnects; dropping the response then
/// closes the target's connection.
async fn copy_chunks(
    mut target_response: TargetResponse,
    mut chunks: Sender<Bytes, StreamBroken>,
    memory: &Arc<MemoryBudget>,
) -> StreamEnd {
    loop {
        match target_response.next().await {
            Ok(Some(chunk)) => {
                let held = memory.reserve_response(ByteCount::new(chunk.len()));
                let Ok(held) = time::timeout(CHUNK_MEMORY_TIMEOUT, held).await else {
                    chunks.abort(StreamBroken);
                    return StreamEnd::NoMemory;
                };
                if chunks.send_data(held.attach(chunk)).await.is_err() {
                    return StreamEnd::CallerDisconnected;
                }
            }
            Ok(None) => {
                target_response.reuse();
                return StreamEnd::Complete;
            }
            Err(error) => {
                chunks.abort(StreamBroken);
                return match error {
                    SendError::TooLong(_) => StreamEnd::TooLong,
                    _ => StreamEnd::Broken,
                };
            }
        }
    }
}
