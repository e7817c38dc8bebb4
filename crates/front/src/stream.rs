//! Requests whose answer is a stream: passed on as it comes, sent to one target only.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::channel::{Channel, Sender};
use http_body_util::{Either, Full};
use ids::{InstanceId, WorkDigest};
use node::{
    NodeView, SlotGuard, TargetChoice, WorkRequirements, choose_target, record_disconnect,
    request_work,
};
use platform::headers;
use routing::{ChosenTarget, Route, TargetFailure};
use tokio::time::{self, Instant};
use upstream::{SendError, TargetResponse};

use crate::admission::AdmittedRequest;
use crate::answer::{self, FrontBody, StreamBroken};
use crate::plain::deadline;

/// Targets that may turn a stream away before it is refused.
const TRIES: u32 = 4;
/// Pieces that wait for a caller who reads slowly.
const PIECES: usize = 16;

/// Serves a stream on its route.
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
    for _ in 0..TRIES {
        let need =
            WorkRequirements { work, tried: &tried, allow_tried: false, is_background: false };
        let slot = match choose_target(view, route, &need) {
            TargetChoice::Target(slot) => slot,
            TargetChoice::None => break,
            TargetChoice::Quarantined => return condemned(view, route, &id, work),
        };
        let place = slot.slot();
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        *request.headers_mut() = sent_headers.clone();
        let left = deadline.saturating_duration_since(Instant::now());
        headers::set_time_left(request.headers_mut(), left);
        headers::set_instance(request.headers_mut(), &place.instance);
        let sent = time::timeout_at(deadline, view.pool.send(place.address, request)).await;
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent(_))) => {
                note_failure(view, place, TargetFailure::Broken);
                tried.push(place.instance.clone());
                continue;
            }
            Ok(Err(SendError::LimitReached)) => break,
            Ok(Err(SendError::Broken(_))) => {
                note_failure(view, place, TargetFailure::Broken);
                record_disconnect(view, place, work);
                return unknown(view, &id, work);
            }
            Err(_elapsed) => {
                note_failure(view, place, TargetFailure::Broken);
                return unknown(view, &id, work);
            }
        };
        let facts = headers::response_info(answer.headers());
        if facts.request_id.as_deref().is_some_and(|other| other != id) {
            note_failure(view, place, TargetFailure::Broken);
            return unknown(view, &id, work);
        }
        if answer.status() == StatusCode::MISDIRECTED_REQUEST {
            note_failure(view, place, TargetFailure::Gone);
            view.suspects().instance_gone(view.now(), &place.instance);
            tried.push(place.instance.clone());
            continue;
        }
        if facts.not_run {
            note_failure(view, place, TargetFailure::Full);
            tried.push(place.instance.clone());
            continue;
        }
        view.metrics.count_outcome("stream", "begun");
        if let Some(customer) = admitted.caller.customer() {
            view.usage.count(view.now(), customer);
        }
        return pass_stream(view, slot, answer, work);
    }
    view.metrics.count_outcome("stream", "not run");
    log::info!(target: "entry", request = id.as_str(), route:% = route.name, outcome = "not run"; "request ended");
    answer::not_run("no target free", Some(&id))
}

fn condemned(view: &NodeView, route: &Route, id: &str, work: WorkDigest) -> Response<FrontBody> {
    view.metrics.count_outcome("stream", "condemned");
    view.metrics.count_outcome("work", "condemned");
    log::info!(
        target: "entry", request = id, route:% = route.name, work:% = work,
        ends = view.suspects().crash_count(work), outcome = "condemned";
        "request ended"
    );
    answer::condemned(id)
}

fn unknown(view: &NodeView, id: &str, work: WorkDigest) -> Response<FrontBody> {
    view.suspects().caller_unanswered(work);
    view.suspects_changed();
    view.metrics.count_outcome("stream", "unknown");
    log::info!(target: "entry", request = id, work:% = work, outcome = "unknown"; "request ended");
    answer::refuse(
        StatusCode::BAD_GATEWAY,
        "target broke off",
        "it may have run: send it again only if it may be repeated",
        Some(id),
    )
}

fn note_failure(view: &NodeView, slot: &ChosenTarget, failure: TargetFailure) {
    view.target_table().failed(view.now(), &slot.instance, failure);
}

fn pass_stream(
    view: &Arc<NodeView>,
    slot: SlotGuard,
    answer: TargetResponse,
    work: WorkDigest,
) -> Response<FrontBody> {
    let (pieces, body) = Channel::new(PIECES);
    let mut response = Response::new(Either::Right(body));
    *response.status_mut() = answer.status();
    *response.headers_mut() = answer.headers().clone();
    answer::clean(response.headers_mut());
    let view = Arc::clone(view);
    tokio::spawn(async move {
        match copy_pieces(answer, pieces).await {
            StreamEnd::Complete => view.suspects().succeeded(work),
            StreamEnd::CallerLeft => {}
            StreamEnd::Broken => {
                note_failure(&view, slot.slot(), TargetFailure::Broken);
                record_disconnect(&view, slot.slot(), work);
                view.suspects().caller_unanswered(work);
                view.suspects_changed();
            }
        }
    });
    response
}

/// How the body of a stream ended.
enum StreamEnd {
    Complete,
    CallerLeft,
    Broken,
}

/// Copies a body; ends early when the caller is gone, which closes the target's connection.
async fn copy_pieces(
    mut answer: TargetResponse,
    mut pieces: Sender<Bytes, StreamBroken>,
) -> StreamEnd {
    loop {
        match answer.next().await {
            Ok(Some(piece)) => {
                if pieces.send_data(piece).await.is_err() {
                    return StreamEnd::CallerLeft;
                }
            }
            Ok(None) => {
                answer.reuse();
                return StreamEnd::Complete;
            }
            Err(_broken) => {
                pieces.abort(StreamBroken);
                return StreamEnd::Broken;
            }
        }
    }
}
