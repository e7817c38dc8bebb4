//! Requests for a target, at its home.
//!
//! A box of the target's domain that is not the home passes the request on, once. The home
//! admits it, sends it to the target once, and passes the answer back piece by piece.

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

use crate::context::{BoxContext, Place, wire_millis};
use crate::home::{
    AskPlace, BeginOrder, EndOrder, EndPlace, HomeActor, HomeHandle, PlaceAnswer, QueryHome,
    StampContradicted, reading,
};
use crate::peer::Served;
use crate::refuse::{
    wire_bad_request, wire_call_error, wire_not_run, wire_refusal, wire_target_error,
};
use crate::route::home_place;

/// Longest silence of a home that a passed-on request waits for.
const PASS_SILENCE: Duration = Duration::from_secs(8);
/// What a caller is told to wait when a target is not known here.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);

type Answer<T> = Result<T, Refused>;

/// A place at a target, given back when dropped.
struct HeldPlace {
    home: ActorRef<HomeActor>,
    ticket: TicketId,
    tokens: u32,
    /// Where the word is sent from; a drop may come outside of any runtime.
    traffic: Handle,
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let end = EndPlace { ticket: self.ticket, tokens: TokenCount::new(self.tokens) };
        let home = self.home.clone();
        // A full mailbox must not lose the place, so the word may have to wait for room.
        self.traffic.spawn(async move { home.tell(end).await.ok() });
    }
}

/// The target's record, if this box may serve it.
fn record(ctx: &BoxContext, target: &str) -> Answer<TargetRecord> {
    let id: TargetId = parse_id(target).map_err(|error| wire_bad_request(error.to_string()))?;
    let record = ctx.documents.borrow().target(&id).cloned();
    let record = record.ok_or_else(|| wire_not_run(NotRun::Unknown, UNKNOWN_RETRY))?;
    if record.domain != ctx.me.domain {
        // Only boxes of the target's own domain reach it.
        return Err(wire_not_run(NotRun::Unreachable, UNKNOWN_RETRY));
    }
    Ok(record)
}

/// Where the request must be passed on to, unless this box is the home or it was passed once.
fn elsewhere(ctx: &BoxContext, record: &TargetRecord, forwarded: bool) -> Option<Place> {
    if forwarded {
        return None;
    }
    home_place(ctx, record).filter(|place| *place != Place::Here)
}

/// Passes a request on to the home and its answer back.
async fn pass_on(served: &Served<'_>, place: &Place, body: request::Body, mut sink: ResponseSink) {
    let request = Request {
        request_id: served.request_id.clone(),
        traceparent: served.traceparent.clone(),
        time_left_ms: wire_millis(served.time_left),
        body: Some(body),
    };
    let mut stream = match served.ctx.call(place, request).await {
        Ok(stream) => stream,
        Err(error) => return sink.refuse(wire_call_error(error)).await,
    };
    loop {
        let next = tokio::select! {
            () = served.cancel.cancelled() => return,
            next = stream.next(PASS_SILENCE.max(served.time_left)) => next,
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

/// Waits for a place at the target.
async fn place_at(
    served: &Served<'_>,
    home: &HomeHandle,
    ask: AdmissionRequest,
) -> Answer<HeldPlace> {
    let answer = home.actor.ask(AskPlace(ask)).await;
    let held = |ticket| {
        let traffic = served.ctx.traffic.clone();
        HeldPlace { home: home.actor.clone(), ticket, tokens: 0, traffic }
    };
    let refusal = match answer {
        Ok(PlaceAnswer::Go(ticket)) => return Ok(held(ticket)),
        Ok(PlaceAnswer::Refused(refusal)) => refusal,
        Ok(PlaceAnswer::Wait(ticket, word)) => {
            // Held already while waiting, so that a caller who goes away leaves the queue.
            let place = held(ticket);
            tokio::select! {
                () = served.cancel.cancelled() => Refusal::not_run(NotRun::Expired, Duration::ZERO),
                word = word => match word {
                    Ok(Ok(())) => return Ok(place),
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

fn deadline(served: &Served<'_>) -> Moment {
    served.ctx.clock.now() + served.time_left
}

/// Generates one sample.
pub async fn generate(served: &Served<'_>, generate: peer::Generate, mut sink: ResponseSink) {
    let record = match record(served.ctx, &generate.target) {
        Ok(record) => record,
        Err(refused) => return sink.refuse(refused).await,
    };
    if let Some(place) = elsewhere(served.ctx, &record, generate.forwarded) {
        let body = request::Body::Generate(peer::Generate { forwarded: true, ..generate });
        return pass_on(served, &place, body, sink).await;
    }
    match generate_here(served, &record, generate, &mut sink).await {
        Ok(end) => sink.end(end).await,
        Err(refused) => sink.refuse(refused).await,
    }
}

async fn generate_here(
    served: &Served<'_>,
    record: &TargetRecord,
    generate: peer::Generate,
    sink: &mut ResponseSink,
) -> Answer<ResponseEnd> {
    let bad = |error: ConvertError| wire_bad_request(error.to_string());
    let request_id: RequestId = parse_id(&served.request_id).map_err(bad)?;
    let trainer = parse_id(&generate.trainer).map_err(bad)?;
    let home = served.ctx.homes.home(served.ctx, record);
    let ask = AdmissionRequest {
        trainer: Some(trainer),
        window: Some(VersionWindow {
            floor: ids::ModelVersion::new(generate.floor),
            named: ids::ModelVersion::new(generate.named),
        }),
        deadline: deadline(served),
    };
    let mut place = place_at(served, &home, ask).await?;
    if let Some(load) = load_of(&home).await {
        sink.item(ResponseItem { body: Some(response_item::Body::Load(load)) }).await;
    }
    let engine = EngineClient::new(&record.address, served.ctx.traffic_http.clone());
    let order = GenerateRequest {
        request_id: request_id.clone(),
        prompt: generate.prompt,
        max_tokens: TokenCount::new(generate.max_tokens),
        seed: generate.seed,
    };
    let started = engine.generate(&order, &served.traceparent).await;
    let mut stream = started.map_err(|error| wire_target_error(&error))?;
    loop {
        let line = tokio::select! {
            () = served.cancel.cancelled() => {
                // An engine that cannot be told works in vain for a while; nothing breaks.
                let _untold = engine.cancel(&request_id).await;
                return Err(wire_refusal(&Refusal::Unknown, None));
            }
            line = stream.next() => line.map_err(|error| wire_target_error(&error))?,
        };
        match line {
            EngineLine::Chunk { index, tokens, version, incarnation, text } => {
                place.tokens += tokens.get();
                note_contradiction(&home, version);
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

/// A stamp other than the version believed in puts the replica in doubt until it is read.
fn note_contradiction(home: &HomeHandle, stamp: Option<ids::ModelVersion>) {
    let believed = *home.status.borrow();
    let ReplicaStatus::Serving(version) = believed else { return };
    if stamp == Some(version) {
        return;
    }
    // A full mailbox holds a reading already, which settles the doubt as well.
    let _busy = home.actor.tell(StampContradicted).try_send();
}

/// Sends a plain request, once.
pub async fn plain(served: &Served<'_>, call: peer::PlainCall, mut sink: ResponseSink) {
    let record = match record(served.ctx, &call.target) {
        Ok(record) => record,
        Err(refused) => return sink.refuse(refused).await,
    };
    if let Some(place) = elsewhere(served.ctx, &record, call.forwarded) {
        let body = request::Body::PlainCall(peer::PlainCall { forwarded: true, ..call });
        return pass_on(served, &place, body, sink).await;
    }
    match plain_here(served, &record, call).await {
        Ok(part) => {
            sink.item(ResponseItem { body: Some(response_item::Body::PlainPart(part)) }).await;
            sink.end(ResponseEnd::default()).await;
        }
        Err(refused) => sink.refuse(refused).await,
    }
}

async fn plain_here(
    served: &Served<'_>,
    record: &TargetRecord,
    call: peer::PlainCall,
) -> Answer<PlainPart> {
    let request_id: RequestId =
        parse_id(&served.request_id).map_err(|error| wire_bad_request(error.to_string()))?;
    let home = served.ctx.homes.home(served.ctx, record);
    let ask = AdmissionRequest { trainer: None, window: None, deadline: deadline(served) };
    let _place = place_at(served, &home, ask).await?;
    let client = PlainClient::new(&record.address, served.ctx.traffic_http.clone());
    let request = PlainRequest {
        request_id,
        method: call.method,
        path: call.path,
        body: call.body,
        timeout: served.time_left,
    };
    let answer = client.call(&request, &served.traceparent).await;
    let answer = answer.map_err(|error| wire_target_error(&error))?;
    Ok(PlainPart {
        status: u32::from(answer.status),
        content_type: answer.content_type,
        body: answer.body,
    })
}

/// Has a sample judged.
pub async fn score(served: &Served<'_>, score: peer::Score, mut sink: ResponseSink) {
    let record = match record(served.ctx, &score.target) {
        Ok(record) => record,
        Err(refused) => return sink.refuse(refused).await,
    };
    if let Some(place) = elsewhere(served.ctx, &record, score.forwarded) {
        let body = request::Body::Score(peer::Score { forwarded: true, ..score });
        return pass_on(served, &place, body, sink).await;
    }
    let home = served.ctx.homes.home(served.ctx, &record);
    let ask = AdmissionRequest { trainer: None, window: None, deadline: deadline(served) };
    let _place = match place_at(served, &home, ask).await {
        Ok(place) => place,
        Err(refused) => return sink.refuse(refused).await,
    };
    let client = PlainClient::new(&record.address, served.ctx.traffic_http.clone());
    let request = ScoreRequest { prompt: score.prompt, text: score.text };
    match client.score(&request).await {
        Ok(answer) => {
            let scored = Scored { score: answer.score };
            sink.item(ResponseItem { body: Some(response_item::Body::Scored(scored)) }).await;
            sink.end(ResponseEnd::default()).await;
        }
        Err(error) => sink.refuse(wire_target_error(&error)).await,
    }
}

/// Orders the engine to load a version, and notes at the home that it may change.
pub async fn order(served: &Served<'_>, order: peer::SwapOrder, mut sink: ResponseSink) {
    let record = match record(served.ctx, &order.target) {
        Ok(record) => record,
        Err(refused) => return sink.refuse(refused).await,
    };
    let home = served.ctx.homes.home(served.ctx, &record);
    let version = ids::ModelVersion::new(order.version);
    let life = Duration::from_millis(order.life_ms).min(served.time_left);
    let begin = BeginOrder { version, deadline: served.ctx.clock.now() + life };
    if home.actor.ask(begin).await.is_err() {
        return sink.refuse(wire_not_run(NotRun::Stopping, UNKNOWN_RETRY)).await;
    }
    let engine = EngineClient::new(&record.address, served.ctx.control_http.clone());
    let request =
        OrderRequest { version, token: FencingToken::new(order.token), life_ms: wire_millis(life) };
    let outcome = order_outcome(engine.order(&request).await);
    // The actor is gone only when the box stops.
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

fn order_outcome(answer: Result<OrderResponse, TargetError>) -> OrderOutcome {
    match answer {
        Ok(OrderResponse::Done) => OrderOutcome::Done,
        Ok(OrderResponse::Refused { .. }) => OrderOutcome::Refused,
        Err(error) if error.definitely_not_run() => OrderOutcome::Refused,
        Err(_) => OrderOutcome::Unknown,
    }
}

/// Reads the engine's state now.
pub async fn read(served: &Served<'_>, read: peer::ReadReplica, mut sink: ResponseSink) {
    let record = match record(served.ctx, &read.target) {
        Ok(record) => record,
        Err(refused) => return sink.refuse(refused).await,
    };
    let engine = EngineClient::new(&record.address, served.ctx.control_http.clone());
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
