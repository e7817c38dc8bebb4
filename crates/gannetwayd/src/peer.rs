//! Answers requests from other boxes, and from this one.

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
use crate::documents::{DocumentActor, HeardGenerations};
use crate::members::{HeardBeat, MemberActor};
use crate::refuse::{wire_bad_request, wire_not_run};
use crate::serve::{step, target};

/// Serves one box's peers.
#[derive(Debug, Clone)]
pub struct BoxHandler {
    /// The box.
    pub ctx: BoxContext,
    /// Its members.
    pub members: ActorRef<MemberActor>,
    /// Its documents.
    pub documents: ActorRef<DocumentActor>,
}

/// One request with what its answer needs.
#[derive(Debug)]
pub struct Served<'a> {
    /// The box.
    pub ctx: &'a BoxContext,
    /// The request's id, the same on every hop.
    pub request_id: String,
    /// The trace context for further hops.
    pub traceparent: String,
    /// Time left when the request came in.
    pub time_left: Duration,
    /// Ends when the caller goes away.
    pub cancel: CancellationToken,
}

impl PeerHandler for BoxHandler {
    async fn request(&self, request: Request, sink: ResponseSink, cancel: CancellationToken) {
        let Some(body) = request.body else {
            return sink
                .refuse(wire_bad_request("the request is empty: send one of its kinds"))
                .await;
        };
        if request.time_left_ms == 0 {
            return sink.refuse(wire_not_run(NotRun::Expired, Duration::ZERO)).await;
        }
        let span = self.ctx.tracer.hop(hop_name(&body), SpanKind::Server, &request.traceparent);
        span.note("request_id", request.request_id.clone());
        let served = Served {
            ctx: &self.ctx,
            request_id: request.request_id,
            traceparent: span.traceparent().to_owned(),
            time_left: Duration::from_millis(request.time_left_ms),
            cancel,
        };
        match body {
            request::Body::OpenStep(open) => step::open(&served, open, sink).await,
            request::Body::PullStep(pull) => step::pull(&served, pull, sink).await,
            request::Body::AdvanceStep(advance) => step::advance(&served, advance, sink).await,
            request::Body::CloseStep(close) => step::close(&served, close, sink).await,
            request::Body::StepStatus(status) => step::status(&served, status, sink).await,
            request::Body::TakeOver(take) => step::take_over(&served, take, sink).await,
            request::Body::Generate(generate) => target::generate(&served, generate, sink).await,
            request::Body::PlainCall(call) => target::plain(&served, call, sink).await,
            request::Body::Score(score) => target::score(&served, score, sink).await,
            request::Body::SwapOrder(order) => target::order(&served, order, sink).await,
            request::Body::ReadReplica(read) => target::read(&served, read, sink).await,
            request::Body::FetchDocuments(fetch) => self.documents(&fetch, sink).await,
            request::Body::Shard(_) => {
                let why = "this box keeps no shards of jobs: ask a box that has a disk";
                sink.refuse(wire_bad_request(why)).await;
            }
        }
    }

    async fn handle_heartbeat(&self, beat: BoxHeartbeat) {
        let generations = parse_id(&beat.box_id).map(|peer| HeardGenerations {
            peer,
            config: ids::Generation::new(beat.config_generation),
            targets: ids::Generation::new(beat.targets_revision),
        });
        let beat = match heartbeat_from_wire(beat) {
            Ok(beat) => beat,
            Err(error) => {
                log::warn!(target: "members", error:% = error; "beat skipped");
                return;
            }
        };
        // Both actors are gone only when the box stops.
        let _stopped = self.members.tell(HeardBeat(beat)).await;
        if let Ok(generations) = generations
            && self.is_behind(&generations)
        {
            let _stopped = self.documents.tell(generations).await;
        }
    }
}

impl BoxHandler {
    fn is_behind(&self, heard: &HeardGenerations) -> bool {
        let documents = self.ctx.documents.borrow();
        heard.config > documents.config.generation
            || heard.targets > documents.targets.list().revision
    }

    async fn documents(&self, fetch: &FetchDocuments, mut sink: ResponseSink) {
        let documents = self.ctx.documents.borrow().clone();
        let newer_config = documents.config.generation.get() > fetch.config_generation;
        let newer_targets = documents.targets.list().revision.get() > fetch.targets_revision;
        // What the peer holds already is left out; a configuration changes often, and only a
        // pool at a time.
        let base = ids::Generation::new(fetch.config_generation);
        let config = encode_if(newer_config, &documents.config.since(base));
        let targets = encode_if(newer_targets, documents.targets.list());
        let body = response_item::Body::Documents(WireDocuments { config, targets });
        sink.item(ResponseItem { body: Some(body) }).await;
        sink.end(ResponseEnd::default()).await;
    }
}

/// JSON of the document, or nothing when the peer has it already.
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

/// Answers requests that the box makes to itself, each as a task of its own.
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
