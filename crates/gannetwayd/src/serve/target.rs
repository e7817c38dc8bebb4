//! Handles requests for a target at its home.
//!
//! A box of the target's domain that is not the home forwards samples, plain requests and scores,
//! at most once. The home admits them, sends them to the target once, and streams the response
//! back. Swap orders and state reads are sent to the engine by the box that receives them.

use std::time::Duration;

use ids::{FencingToken, Moment, RequestId, TargetId, TokenCount, VersionWindow};
use kameo::actor::ActorRef;
use links::{ResponseEnd, ResponseSink};
use placement::{AdmissionRequest, NotRun, OrderOutcome, Refusal, ReplicaStatus, TicketId};
use pools::TargetRecord;
use targets::{
    EngineClient, EngineLine, GenerateRequest, OrderRequest, OrderResponse, PlainClient,
    PlainRequest, ScoreRequest, TargetError,
};
use tokio::runtime::Handle;
use wire::peer::{
    self, Chunk, OrderEnded, PlainPart, Refused, Replica, Request, ResponseItem, Scored,
    TargetLoad, request, response_item,
};
use wire::{ConvertError, parse_id};

use crate::context::{BoxContext, BoxLocation, wire_millis};
use crate::home::{
    BeginOrder, EndOrder, HomeActor, HomeHandle, PermitResponse, QueryHome, ReleasePermit,
    RequestPermit, StampContradicted, reading,
};
use crate::peer::IncomingRequest;
use crate::refuse::{
    wire_bad_request, wire_call_error, wire_not_run, wire_refusal, wire_target_error,
};
use crate::route::home_location;

/// Minimum idle timeout for the response to a forwarded request.
const FORWARD_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Retry delay reported to callers when this box does not serve the target.
const NOT_SERVED_RETRY_DELAY: Duration = Duration::from_secs(1);

type ServeResult<T> = Result<T, Refused>;

/// A permit to run at a target, released when dropped.
struct TargetPermit {
    home: ActorRef<HomeActor>,
    ticket: TicketId,
    tokens: u32,
    /// Runtime that sends the release message, since a drop may happen outside of any runtime.
    traffic: Handle,
}

impl Drop for TargetPermit {
    fn drop(&mut self) {
        let release = ReleasePermit { ticket: self.ticket, tokens: TokenCount::new(self.tokens) };
        let home = self.home.clone();
        // Wait for mailbox capacity in a task, so that the permit is always released.
        self.traffic.spawn(async move { home.tell(release).await.ok() });
    }
}

/// Returns the target's record if the target is in this box's domain.
fn find_record(ctx: &BoxContext, target: &str) -> ServeResult<TargetRecord> {
    let id: TargetId = parse_id(target).map_err(|error| wire_bad_request(error.to_string()))?;
    let record = ctx.documents.borrow().target(&id).cloned();
    let record = record.ok_or_else(|| wire_not_run(NotRun::Unknown, NOT_SERVED_RETRY_DELAY))?;
    if record.domain != ctx.me.domain {
        // Targets are reachable only from boxes of their own domain.
        return Err(wire_not_run(NotRun::Unreachable, NOT_SERVED_RETRY_DELAY));
    }
    Ok(record)
}

/// Returns the box to forward the request to, unless this box is the home or the request was
/// already forwarded.
fn forward_location(
    ctx: &BoxContext,
    record: &TargetRecord,
    forwarded: bool,
) -> Option<BoxLocation> {
    if forwarded {
        return None;
    }
    home_location(ctx, record).filter(|location| *location != BoxLocation::Here)
}

/// Forwards a request to the home and streams the response back.
async fn forward(
    incoming: &IncomingRequest<'_>,
    location: &BoxLocation,
    body: request::Body,
    mut sink: ResponseSink,
) {
    let request = Request {
        request_id: incoming.request_id.clone(),
        traceparent: incoming.traceparent.clone(),
        time_left_ms: wire_millis(incoming.time_left),
        body: Some(body),
    };
    let mut stream = match incoming.ctx.call(location, request).await {
        Ok(stream) => stream,
        Err(error) => return sink.refuse(wire_call_error(error)).await,
    };
    loop {
        let next = tokio::select! {
            () = incoming.cancel.cancelled() => return,
            next = stream.next(FORWARD_IDLE_TIMEOUT.max(incoming.time_left)) => next,
        };
        match next {
            Ok(Some(item)) => {
                if !sink.item(item).await {
                    return;
                }
            }
            Ok(None) => return sink.end(stream.end().unwrap_or_default()).await,
            Err(error) => return sink.refuse(wire_call_error(error)).await,
        }
    }
}

/// Waits for a permit to run at the target.
async fn acquire_permit(
    incoming: &IncomingRequest<'_>,
    home: &HomeHandle,
    admission: AdmissionRequest,
) -> ServeResult<TargetPermit> {
    let response = home.actor.ask(RequestPermit(admission)).await;
    let new_permit = |ticket| {
        let traffic = incoming.ctx.traffic.clone();
        TargetPermit { home: home.actor.clone(), ticket, tokens: 0, traffic }
    };
    let refusal = match response {
        Ok(PermitResponse::Admitted(ticket)) => return Ok(new_permit(ticket)),
        Ok(PermitResponse::Refused(refusal)) => refusal,
        Ok(PermitResponse::Queued(ticket, outcome)) => {
            // Create the guard before waiting, so that a cancelled request leaves the queue.
            let permit = new_permit(ticket);
            tokio::select! {
                () = incoming.cancel.cancelled() => Refusal::not_run(NotRun::Expired, Duration::ZERO),
                outcome = outcome => match outcome {
                    Ok(Ok(())) => return Ok(permit),
                    Ok(Err(refusal)) => refusal,
                    Err(_stopped) => Refusal::not_run(NotRun::Stopping, Duration::ZERO),
                },
            }
        }
        Err(_stopped) => Refusal::not_run(NotRun::Stopping, Duration::ZERO),
    };
    Err(wire_refusal(&refusal, load_of(home).await))
}

async fn load_of(home: &HomeHandle) -> Option<TargetLoad> {
    let hint = home.actor.ask(QueryHome).await.ok()?.hint;
    Some(TargetLoad {
        running: hint.running,
        waiting: hint.waiting,
        limit: hint.limit,
        version: hint.version.map(ids::ModelVersion::get),
    })
}

fn deadline(incoming: &IncomingRequest<'_>) -> Moment {
    incoming.ctx.clock.now() + incoming.time_left
}

/// Generates one sample.
pub async fn generate(
    incoming: &IncomingRequest<'_>,
    generate: peer::Generate,
    mut sink: ResponseSink,
) {
    let record = match find_record(incoming.ctx, &generate.target) {
        Ok(record) => record,
        Err(refused) => return sink.refuse(refused).await,
    };
    if let Some(location) = forward_location(incoming.ctx, &record, generate.forwarded) {
        let body = request::Body::Generate(peer::Generate { forwarded: true, ..generate });
        return forward(incoming, &location, body, sink).await;
    }
    match generate_here(incoming, &record, generate, &mut sink).await {
        Ok(end) => sink.end(end).await,
        Err(refused) => sink.refuse(refused).await,
    }
}

async fn generate_here(
    incoming: &IncomingRequest<'_>,
    record: &TargetRecord,
    generate: peer::Generate,
    sink: &mut ResponseSink,
) -> ServeResult<ResponseEnd> {
    let bad = |error: ConvertError| wire_bad_request(error.to_string());
    let request_id: RequestId = parse_id(&incoming.request_id).map_err(bad)?;
    let trainer = parse_id(&generate.trainer).map_err(bad)?;
    let home = incoming.ctx.homes.home(incoming.ctx, record);
    let admission = AdmissionRequest {
        trainer: Some(trainer),
        window: Some(VersionWindow {
            floor: ids::ModelVersion::new(generate.floor),
            named: ids::ModelVersion::new(generate.named),
        }),
        deadline: deadline(incoming),
    };
    let mut permit = acquire_permit(incoming, &home, admission).await?;
    if let Some(load) = load_of(&home).await {
        sink.item(ResponseItem { body: Some(response_item::Body::Load(load)) }).await;
    }
    let engine = EngineClient::new(&record.address, incoming.ctx.traffic_http.clone());
    let request = GenerateRequest {
        request_id: request_id.clone(),
        prompt: generate.prompt,
        max_tokens: TokenCount::new(generate.max_tokens),
        seed: generate.seed,
    };
    let started = engine.generate(&request, &incoming.traceparent).await;
    let mut stream = started.map_err(|error| wire_target_error(&error))?;
    loop {
        let line = tokio::select! {
            () = incoming.cancel.cancelled() => {
                // Best effort: if this fails, the engine only does unneeded work.
                let _cancelled = engine.cancel(&request_id).await;
                return Err(wire_refusal(&Refusal::Unknown, None));
            }
            line = stream.next() => line.map_err(|error| wire_target_error(&error))?,
        };
        match line {
            EngineLine::Chunk { index, tokens, version, incarnation, text } => {
                permit.tokens += tokens.get();
                report_contradiction(&home, version);
                let chunk = Chunk {
                    index,
                    tokens: tokens.get(),
                    version: version.map(ids::ModelVersion::get),
                    incarnation: incarnation.get(),
                    text,
                };
                sink.item(ResponseItem { body: Some(response_item::Body::Chunk(chunk)) }).await;
            }
            EngineLine::End { tokens, digest } => {
                return Ok(ResponseEnd { tokens: tokens.get(), text_digest: digest.get() });
            }
        }
    }
}

/// Marks the replica as in doubt when a chunk's version differs from the expected version.
fn report_contradiction(home: &HomeHandle, stamp: Option<ids::ModelVersion>) {
    let expected = *home.status.borrow();
    let ReplicaStatus::Serving(version) = expected else { return };
    if stamp == Some(version) {
        return;
    }
    // If the mailbox is full, the report is lost; a later chunk or poll corrects the status.
    let _unsent = home.actor.tell(StampContradicted).try_send();
}

/// Sends a plain request, once.
pub async fn plain(incoming: &IncomingRequest<'_>, call: peer::PlainCall, mut sink: ResponseSink) {
    let record = match find_record(incoming.ctx, &call.target) {
        Ok(record) => record,
        Err(refused) => return sink.refuse(refused).await,
    };
    if let Some(location) = forward_location(incoming.ctx, &record, call.forwarded) {
        let body = request::Body::PlainCall(peer::PlainCall { forwarded: true, ..call });
        return forward(incoming, &location, body, sink).await;
    }
    match plain_here(incoming, &record, call).await {
        Ok(part) => {
            sink.item(ResponseItem { body: Some(response_item::Body::PlainPart(part)) }).await;
            sink.end(ResponseEnd::default()).await;
        }
        Err(refused) => sink.refuse(refused).await,
    }
}

async fn plain_here(
    incoming: &IncomingRequest<'_>,
    record: &TargetRecord,
    call: peer::PlainCall,
) -> ServeResult<PlainPart> {
    let request_id: RequestId =
        parse_id(&incoming.request_id).map_err(|error| wire_bad_request(error.to_string()))?;
    let home = incoming.ctx.homes.home(incoming.ctx, record);
    let admission = AdmissionRequest { trainer: None, window: None, deadline: deadline(incoming) };
    let _permit = acquire_permit(incoming, &home, admission).await?;
    let client = PlainClient::new(&record.address, incoming.ctx.traffic_http.clone());
    let request = PlainRequest {
        request_id,
        method: call.method,
        path: call.path,
        body: call.body,
        timeout: incoming.time_left,
    };
    let response = client.call(&request, &incoming.traceparent).await;
    let response = response.map_err(|error| wire_target_error(&error))?;
    Ok(PlainPart {
        status: u32::from(response.status),
        content_type: response.content_type,
        body: response.body,
    })
}

/// Scores a sample.
pub async fn score(incoming: &IncomingRequest<'_>, score: peer::Score, mut sink: ResponseSink) {
    let record = match find_record(incoming.ctx, &score.target) {
        Ok(record) => record,
        Err(refused) => return sink.refuse(refused).await,
    };
    if let Some(location) = forward_location(incoming.ctx, &record, score.forwarded) {
        let body = request::Body::Score(peer::Score { forwarded: true, ..score });
        return forward(incoming, &location, body, sink).await;
    }
    let home = incoming.ctx.homes.home(incoming.ctx, &record);
    let admission = AdmissionRequest { trainer: None, window: None, deadline: deadline(incoming) };
    let _permit = match acquire_permit(incoming, &home, admission).await {
        Ok(permit) => permit,
        Err(refused) => return sink.refuse(refused).await,
    };
    let client = PlainClient::new(&record.address, incoming.ctx.traffic_http.clone());
    let request = ScoreRequest { prompt: score.prompt, text: score.text };
    match client.score(&request).await {
        Ok(response) => {
            let scored = Scored { score: response.score };
            sink.item(ResponseItem { body: Some(response_item::Body::Scored(scored)) }).await;
            sink.end(ResponseEnd::default()).await;
        }
        Err(error) => sink.refuse(wire_target_error(&error)).await,
    }
}

/// Orders the engine to load a version, and announces the order to the home.
pub async fn order(incoming: &IncomingRequest<'_>, order: peer::SwapOrder, mut sink: ResponseSink) {
    let record = match find_record(incoming.ctx, &order.target) {
        Ok(record) => record,
        Err(refused) => return sink.refuse(refused).await,
    };
    let home = incoming.ctx.homes.home(incoming.ctx, &record);
    let version = ids::ModelVersion::new(order.version);
    let lifetime = Duration::from_millis(order.ttl_ms).min(incoming.time_left);
    let begin = BeginOrder { version, deadline: incoming.ctx.clock.now() + lifetime };
    if home.actor.ask(begin).await.is_err() {
        return sink.refuse(wire_not_run(NotRun::Stopping, NOT_SERVED_RETRY_DELAY)).await;
    }
    let engine = EngineClient::new(&record.address, incoming.ctx.control_http.clone());
    let request = OrderRequest {
        version,
        token: FencingToken::new(order.token),
        life_ms: wire_millis(lifetime),
    };
    let outcome = order_outcome(engine.order(&request).await);
    // Sending fails only when the box stops.
    let _stopped = home.actor.ask(EndOrder { version, outcome }).await;
    let outcome = match outcome {
        OrderOutcome::Done => peer::OrderOutcome::Done,
        OrderOutcome::Refused => peer::OrderOutcome::Refused,
        OrderOutcome::Unknown => peer::OrderOutcome::Unknown,
    };
    let ended = OrderEnded { outcome: outcome.into() };
    sink.item(ResponseItem { body: Some(response_item::Body::OrderEnded(ended)) }).await;
    sink.end(ResponseEnd::default()).await;
}

fn order_outcome(response: Result<OrderResponse, TargetError>) -> OrderOutcome {
    match response {
        Ok(OrderResponse::Done) => OrderOutcome::Done,
        Ok(OrderResponse::Refused { .. }) => OrderOutcome::Refused,
        Err(error) if error.definitely_not_run() => OrderOutcome::Refused,
        Err(_) => OrderOutcome::Unknown,
    }
}

/// Reads the engine's current state.
pub async fn read(incoming: &IncomingRequest<'_>, read: peer::ReadReplica, mut sink: ResponseSink) {
    let record = match find_record(incoming.ctx, &read.target) {
        Ok(record) => record,
        Err(refused) => return sink.refuse(refused).await,
    };
    let engine = EngineClient::new(&record.address, incoming.ctx.control_http.clone());
    match engine.state().await {
        Ok(state) => {
            let reading = reading(&state);
            let replica = Replica {
                incarnation: reading.incarnation.get(),
                version: reading.version.map(ids::ModelVersion::get),
                loading: reading.loading,
                token: reading.token.get(),
                leaving: reading.leaving,
            };
            sink.item(ResponseItem { body: Some(response_item::Body::Replica(replica)) }).await;
            sink.end(ResponseEnd::default()).await;
        }
        Err(error) => sink.refuse(wire_target_error(&error)).await,
    }
}
