//! Requests whose answer is a stream: passed on as it comes, sent to one target only.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::channel::{Channel, Sender};
use http_body_util::{Either, Full};
use ids::{InstanceId, WorkDigest};
use node::{NodeView, look_for_end, request_work};
use platform::headers;
use rand::Rng;
use routing::{ChoiceNeed, Route, TargetFailure, TargetSlot};
use tokio::time::{self, Instant};
use upstream::{SendError, TargetAnswer};

use crate::answer::{self, FrontBody, StreamBroken};
use crate::plain::deadline;

/// Targets that may turn a stream away before it is refused.
const TRIES: u32 = 4;
/// Pieces that wait for a caller who reads slowly.
const PIECES: usize = 16;

/// Serves a stream on its route.
pub async fn serve_stream(
    view: &Arc<NodeView>,
    route: &Route,
    head: Parts,
    body: Bytes,
    received: Instant,
) -> Response<FrontBody> {
    let deadline = deadline(&head, route, received);
    let id = headers::request_id(&head.headers).unwrap_or_default().to_owned();
    let mut sent_headers = head.headers.clone();
    headers::strip_connection(&mut sent_headers);
    let work = request_work(&head.method, &head.headers, &head.uri, &body);
    let mut tried: Vec<InstanceId> = Vec::new();
    for _ in 0..TRIES {
        let Some(slot) = choose(view, route, &tried) else { break };
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        *request.headers_mut() = sent_headers.clone();
        let left = deadline.saturating_duration_since(Instant::now());
        headers::set_time_left(request.headers_mut(), left);
        headers::set_instance(request.headers_mut(), &slot.instance);
        let sent = time::timeout_at(deadline, view.pool.send(slot.address, request)).await;
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent(_))) => {
                end_at(view, &slot, Some(TargetFailure::Broken));
                tried.push(slot.instance);
                continue;
            }
            Ok(Err(SendError::NoRoom)) => {
                end_at(view, &slot, None);
                break;
            }
            Ok(Err(SendError::Broken(_))) => {
                look_for_end(view, slot.address, &slot.instance, work);
                end_at(view, &slot, Some(TargetFailure::Broken));
                return unknown(view, &id);
            }
            Err(_elapsed) => {
                end_at(view, &slot, Some(TargetFailure::Broken));
                return unknown(view, &id);
            }
        };
        let facts = headers::answer_facts(answer.headers());
        if facts.request_id.as_deref().is_some_and(|other| other != id) {
            end_at(view, &slot, Some(TargetFailure::Broken));
            return unknown(view, &id);
        }
        if facts.not_run || answer.status() == StatusCode::MISDIRECTED_REQUEST {
            let gone = answer.status() == StatusCode::MISDIRECTED_REQUEST;
            end_at(view, &slot, Some(if gone { TargetFailure::Gone } else { TargetFailure::Full }));
            tried.push(slot.instance);
            continue;
        }
        view.metrics.ended("stream", "begun");
        return pass_stream(view, slot, answer, work);
    }
    view.metrics.ended("stream", "not run");
    log::info!(target: "entry", request = id.as_str(), route:% = route.name, outcome = "not run"; "request ended");
    answer::not_run("no target free", Some(&id))
}

fn unknown(view: &NodeView, id: &str) -> Response<FrontBody> {
    view.metrics.ended("stream", "unknown");
    log::info!(target: "entry", request = id, outcome = "unknown"; "request ended");
    answer::refuse(
        StatusCode::BAD_GATEWAY,
        "target broke off",
        "it may have run: send it again only if it may be repeated",
        Some(id),
    )
}

fn choose(view: &NodeView, route: &Route, tried: &[InstanceId]) -> Option<TargetSlot> {
    let mut rng = rand::rng();
    let service = route.service(rng.random())?;
    let need = ChoiceNeed { avoid: tried, ..ChoiceNeed::default() };
    view.board().choose(view.now(), service, &need, &mut rng)
}

fn end_at(view: &NodeView, slot: &TargetSlot, failure: Option<TargetFailure>) {
    let mut board = view.board();
    board.ended(&slot.instance);
    if let Some(failure) = failure {
        board.failed(view.now(), &slot.instance, failure);
    }
}

fn pass_stream(
    view: &Arc<NodeView>,
    slot: TargetSlot,
    answer: TargetAnswer,
    work: WorkDigest,
) -> Response<FrontBody> {
    let (pieces, body) = Channel::new(PIECES);
    let mut response = Response::new(Either::Right(body));
    *response.status_mut() = answer.status();
    *response.headers_mut() = answer.headers().clone();
    answer::clean(response.headers_mut());
    let view = Arc::clone(view);
    tokio::spawn(async move {
        let failure = copy_pieces(answer, pieces).await;
        if failure.is_some() {
            look_for_end(&view, slot.address, &slot.instance, work);
        }
        end_at(&view, &slot, failure);
    });
    response
}

/// Copies a body; ends early when the caller is gone, which closes the target's connection.
async fn copy_pieces(
    mut answer: TargetAnswer,
    mut pieces: Sender<Bytes, StreamBroken>,
) -> Option<TargetFailure> {
    loop {
        match answer.next().await {
            Ok(Some(piece)) => {
                if pieces.send_data(piece).await.is_err() {
                    return None;
                }
            }
            Ok(None) => {
                answer.reuse();
                return None;
            }
            Err(_broken) => {
                pieces.abort(StreamBroken);
                return Some(TargetFailure::Broken);
            }
        }
    }
}
