//! Dispatches requests from other boxes and from this box itself.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use links::{PeerHandler, ResponseEnd, ResponseSink};
use opentelemetry::trace::SpanKind;
use placement::NotRun;
use tokio_util::sync::CancellationToken;
use wire::peer::{
    BoxHeartbeat, Documents as WireDocuments, FetchDocuments, Request, ResponseItem, request,
    response_item,
};
use wire::{heartbeat_from_wire, parse_id};

use crate::context::BoxContext;
use crate::documents::{DocumentActor, PeerGenerations};
use crate::members::{MemberActor, ReceivedHeartbeat};
use crate::refuse::{wire_bad_request, wire_not_run};
use crate::serve::{step, target};

/// Handles the requests and heartbeats of peers.
#[derive(Debug, Clone)]
pub struct BoxHandler {
    /// State shared by all parts of the box.
    pub ctx: BoxContext,
    /// The actor that owns the member table.
    pub members: ActorRef<MemberActor>,
    /// The actor that owns the documents.
    pub documents: ActorRef<DocumentActor>,
}

/// Context of a request being handled.
#[derive(Debug)]
pub struct IncomingRequest<'a> {
    /// State shared by all parts of the box.
    pub ctx: &'a BoxContext,
    /// Request id, the same on every hop.
    pub request_id: String,
    /// Trace context for outgoing calls (W3C traceparent).
    pub traceparent: String,
    /// Time left when the request arrived.
    pub time_left: Duration,
    /// Cancelled when the caller drops the call or disconnects.
    pub cancel: CancellationToken,
}

impl PeerHandler for BoxHandler {
    async fn request(&self, request: Request, sink: ResponseSink, cancel: CancellationToken) {
        let Some(body) = request.body else {
            return sink
                .refuse(wire_bad_request("the request has no body: set one of its variants"))
                .await;
        };
        if request.time_left_ms == 0 {
            return sink.refuse(wire_not_run(NotRun::Expired, Duration::ZERO)).await;
        }
        let span = self.ctx.tracer.hop(hop_name(&body), SpanKind::Server, &request.traceparent);
        span.set_attribute("request_id", request.request_id.clone());
        let incoming = IncomingRequest {
            ctx: &self.ctx,
            request_id: request.request_id,
            traceparent: span.traceparent().to_owned(),
            time_left: Duration::from_millis(request.time_left_ms),
            cancel,
        };
        match body {
            request::Body::OpenStep(open) => step::open(&incoming, open, sink).await,
            request::Body::PullStep(pull) => step::pull(&incoming, pull, sink).await,
            request::Body::AdvanceStep(advance) => step::advance(&incoming, advance, sink).await,
            request::Body::CloseStep(close) => step::close(&incoming, close, sink).await,
            request::Body::StepStatus(status) => step::status(&incoming, status, sink).await,
            request::Body::TakeOver(steps) => step::take_over(&incoming, steps, sink).await,
            request::Body::Generate(generate) => target::generate(&incoming, generate, sink).await,
            request::Body::PlainCall(call) => target::plain(&incoming, call, sink).await,
            request::Body::Score(score) => target::score(&incoming, score, sink).await,
            request::Body::SwapOrder(order) => target::order(&incoming, order, sink).await,
            request::Body::ReadReplica(read) => target::read(&incoming, read, sink).await,
            request::Body::FetchDocuments(fetch) => self.documents(&fetch, sink).await,
            request::Body::Shard(_) => {
                let why = "this box serves no job shards: send the request to a storage box";
                sink.refuse(wire_bad_request(why)).await;
            }
        }
    }

    async fn handle_heartbeat(&self, heartbeat: BoxHeartbeat) {
        let generations = parse_id(&heartbeat.box_id).map(|peer| PeerGenerations {
            peer,
            config: ids::Generation::new(heartbeat.config_generation),
            targets: ids::Generation::new(heartbeat.targets_revision),
        });
        let heartbeat = match heartbeat_from_wire(heartbeat) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::warn!(target: "members", error:% = error; "invalid heartbeat ignored");
                return;
            }
        };
        // Sending fails only when the box stops.
        let _stopped = self.members.tell(ReceivedHeartbeat(heartbeat)).await;
        if let Ok(generations) = generations
            && self.is_behind(&generations)
        {
            let _stopped = self.documents.tell(generations).await;
        }
    }
}

impl BoxHandler {
    fn is_behind(&self, reported: &PeerGenerations) -> bool {
        let documents = self.ctx.documents.borrow();
        reported.config > documents.config.generation
            || reported.targets > documents.targets.list().revision
    }

    async fn documents(&self, fetch: &FetchDocuments, mut sink: ResponseSink) {
        let documents = self.ctx.documents.borrow().clone();
        let newer_config = documents.config.generation.get() > fetch.config_generation;
        let newer_targets = documents.targets.list().revision.get() > fetch.targets_revision;
        // Send only the pools that the peer lacks, since most changes affect a single pool.
        let base = ids::Generation::new(fetch.config_generation);
        let config = encode_if(newer_config, &documents.config.since(base));
        let targets = encode_if(newer_targets, documents.targets.list());
        let body = response_item::Body::Documents(WireDocuments { config, targets });
        sink.item(ResponseItem { body: Some(body) }).await;
        sink.end(ResponseEnd::default()).await;
    }
}

/// Encodes the document as JSON, or returns an empty vector if it is not newer.
fn encode_if<T: serde::Serialize>(newer: bool, document: &T) -> Vec<u8> {
    if !newer {
        return Vec::new();
    }
    serde_json::to_vec(document).unwrap_or_default()
}

const fn hop_name(body: &request::Body) -> &'static str {
    match body {
        request::Body::OpenStep(_) => "step.open",
        request::Body::PullStep(_) => "step.pull",
        request::Body::AdvanceStep(_) => "step.advance",
        request::Body::CloseStep(_) => "step.close",
        request::Body::StepStatus(_) => "step.status",
        request::Body::TakeOver(_) => "step.take_over",
        request::Body::Generate(_) => "target.generate",
        request::Body::PlainCall(_) => "target.call",
        request::Body::Score(_) => "target.score",
        request::Body::SwapOrder(_) => "target.order",
        request::Body::ReadReplica(_) => "target.read",
        request::Body::FetchDocuments(_) => "documents.fetch",
        request::Body::Shard(_) => "shard",
    }
}

/// Handles the requests that the box sends to itself, each in its own task.
pub async fn serve_local(
    handler: BoxHandler,
    mut requests: tokio::sync::mpsc::UnboundedReceiver<crate::context::LocalRequest>,
) {
    while let Some(local) = requests.recv().await {
        let handler = handler.clone();
        let ctx = Arc::clone(&handler.ctx);
        ctx.traffic.spawn(async move {
            handler.request(local.request, local.sink, local.cancel).await;
        });
    }
}
