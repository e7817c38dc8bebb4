//! Handles requests about steps at the box that keeps them.

use std::sync::Arc;
use std::time::Duration;

use ids::{FencingToken, ModelVersion, StepNumber, TokenCount};
use kameo::error::SendError;
use kameo::message::Message;
use keeping::{KeeperRefusal, KeptState};
use ledger::{GroupSpec, Pull, Sample, SlotSet, StepSpec};
use links::{ResponseEnd, ResponseSink};
use placement::NotRun;
use tokio::time;
use wire::parse_id;
use wire::peer::{
    self, Refused, RequestAck, ResponseItem, SampleItem, Span, StepRef, StepState, TakeOver,
    response_item,
};

use crate::context::BoxContext;
use crate::keeper::{
    AdoptSteps, AdvanceStep, CloseStep, KeeperActor, KeeperHandle, KeeperKey, OpenStep, PullReply,
    PullStep, StepStateQuery,
};
use crate::peer::IncomingRequest;
use crate::refuse::{wire_bad_request, wire_keeper_refusal, wire_not_run};

/// Maximum number of samples in one response; bounds its size.
const MAX_SAMPLES: usize = 512;
/// Part of the time left that is reserved for delivering the response.
const RESPONSE_TIME_RESERVE: Duration = Duration::from_millis(100);

type ServeResult<T> = Result<T, Refused>;

/// Acknowledges receipt of the request. The response itself may have to wait for a lease or for
/// samples.
async fn send_ack(incoming: &IncomingRequest<'_>, sink: &mut ResponseSink) {
    let by = incoming.ctx.me.id.to_string();
    sink.item(ResponseItem { body: Some(response_item::Body::Ack(RequestAck { by })) }).await;
}

/// Opens a step.
pub async fn open(incoming: &IncomingRequest<'_>, open: peer::OpenStep, mut sink: ResponseSink) {
    send_ack(incoming, &mut sink).await;
    let result = async {
        let (handle, step, seen) = find_keeper(incoming, open.step.as_ref())?;
        let spec = StepSpec {
            step,
            version: ModelVersion::new(open.version),
            groups: open
                .groups
                .into_iter()
                .map(group_from_wire)
                .collect::<ServeResult<Vec<GroupSpec>>>()?,
        };
        let held = SlotSet::from_bytes(open.held);
        ask_keeper(incoming, &handle, || OpenStep { spec: spec.clone(), held: held.clone(), seen })
            .await
    };
    send_state(incoming, result.await, sink).await;
}

/// Pulls samples, waiting until the first one is available.
pub async fn pull(incoming: &IncomingRequest<'_>, pull: peer::PullStep, mut sink: ResponseSink) {
    send_ack(incoming, &mut sink).await;
    match pull_when_ready(incoming, pull).await {
        Ok(pulled) => send_pulled(incoming, &pulled, sink).await,
        Err(refused) => sink.refuse(refused).await,
    }
}

/// Sets a newer weight version for a step.
pub async fn advance(
    incoming: &IncomingRequest<'_>,
    advance: peer::AdvanceStep,
    mut sink: ResponseSink,
) {
    send_ack(incoming, &mut sink).await;
    let result = async {
        let (handle, step, seen) = find_keeper(incoming, advance.step.as_ref())?;
        let version = ModelVersion::new(advance.version);
        ask_keeper(incoming, &handle, || AdvanceStep { step, version, seen }).await
    };
    send_state(incoming, result.await, sink).await;
}

/// Closes a step.
pub async fn close(incoming: &IncomingRequest<'_>, close: peer::CloseStep, mut sink: ResponseSink) {
    send_ack(incoming, &mut sink).await;
    let result = async {
        let (handle, step, seen) = find_keeper(incoming, close.step.as_ref())?;
        ask_keeper(incoming, &handle, || CloseStep { step, seen }).await
    };
    match result.await {
        Ok(()) => sink.end(ResponseEnd::default()).await,
        Err(refused) => sink.refuse(refused).await,
    }
}

/// Returns the state of a step.
pub async fn status(
    incoming: &IncomingRequest<'_>,
    status: peer::StepStatus,
    mut sink: ResponseSink,
) {
    send_ack(incoming, &mut sink).await;
    let result = async {
        let (handle, step, _) = find_keeper(incoming, status.step.as_ref())?;
        ask_keeper(incoming, &handle, || StepStateQuery(step)).await
    };
    send_state(incoming, result.await, sink).await;
}

/// Adopts the steps of a box that stops.
pub async fn take_over(incoming: &IncomingRequest<'_>, steps: TakeOver, sink: ResponseSink) {
    let result = async {
        if incoming.ctx.is_leaving() {
            return Err(wire_not_run(NotRun::Stopping, Duration::ZERO));
        }
        let key = key_of(&steps.pool, &steps.trainer)?;
        let snapshots: Result<Vec<_>, _> =
            steps.snapshots.iter().map(|bytes| serde_json::from_slice(bytes)).collect();
        let snapshots = snapshots.map_err(|error| wire_bad_request(error.to_string()))?;
        let handle = incoming.ctx.keepers.get_or_start(incoming.ctx, &key);
        let adopt = AdoptSteps { snapshots, token: FencingToken::new(steps.token) };
        handle.actor.tell(adopt).await.map_err(|_stopped| stopping_refusal())
    };
    match result.await {
        Ok(()) => sink.end(ResponseEnd::default()).await,
        Err(refused) => sink.refuse(refused).await,
    }
}

fn stopping_refusal() -> Refused {
    wire_not_run(NotRun::Stopping, Duration::ZERO)
}

fn key_of(pool: &str, trainer: &str) -> ServeResult<KeeperKey> {
    let pool = parse_id(pool).map_err(|error| wire_bad_request(error.to_string()))?;
    let trainer = parse_id(trainer).map_err(|error| wire_bad_request(error.to_string()))?;
    Ok(KeeperKey { pool, trainer })
}

fn group_from_wire(group: peer::Group) -> ServeResult<GroupSpec> {
    let samples = u16::try_from(group.samples)
        .map_err(|_large| wire_bad_request("a group requests more than 65535 samples: split it"))?;
    let max_tokens = TokenCount::new(group.max_tokens);
    Ok(GroupSpec { prompt: Arc::from(group.prompt), samples, max_tokens })
}

fn is_configured(ctx: &BoxContext, key: &KeeperKey) -> bool {
    let documents = ctx.documents.borrow();
    documents.config.pool(&key.pool).is_some_and(|pool| pool.trainers.contains(&key.trainer))
}

/// Returns the keeper on this box, the step's number and the highest token that the trainer has
/// seen. The keeper is started only if the sender asks this box to claim the lease.
fn find_keeper(
    incoming: &IncomingRequest<'_>,
    step: Option<&StepRef>,
) -> ServeResult<(KeeperHandle, StepNumber, FencingToken)> {
    let step = step.ok_or_else(|| wire_bad_request("the request names no step"))?;
    let key = key_of(&step.pool, &step.trainer)?;
    let ctx = incoming.ctx;
    let existing = ctx.keepers.get(&key);
    let handle = match existing {
        Some(handle) => handle,
        // Do not start an actor or claim a lease for a trainer that is not configured.
        None if !is_configured(ctx, &key) => {
            return Err(wire_keeper_refusal(&KeeperRefusal::NotInPool {
                pool: key.pool,
                trainer: key.trainer,
            }));
        }
        None if step.claim && !ctx.is_leaving() => ctx.keepers.get_or_start(ctx, &key),
        None => {
            return Err(wire_keeper_refusal(&KeeperRefusal::NotKeeping {
                pool: key.pool,
                trainer: key.trainer,
                holder: None,
                claiming: false,
            }));
        }
    };
    Ok((handle, StepNumber::new(step.step), FencingToken::new(step.seen)))
}

/// Sends a message to the keeper, retrying on each change while it is claiming its lease.
async fn ask_keeper<M, T>(
    incoming: &IncomingRequest<'_>,
    handle: &KeeperHandle,
    message: impl Fn() -> M,
) -> ServeResult<T>
where
    M: Send + 'static,
    T: Send + 'static,
    KeeperActor: Message<M, Reply = Result<T, KeeperRefusal>>,
{
    let mut changes = handle.changes.clone();
    let deadline = time::Instant::now() + incoming.time_left.saturating_sub(RESPONSE_TIME_RESERVE);
    loop {
        changes.borrow_and_update();
        let refusal = match handle.actor.ask(message()).await {
            Ok(reply) => return Ok(reply),
            Err(SendError::HandlerError(refusal)) => refusal,
            Err(_) => return Err(stopping_refusal()),
        };
        let claiming =
            matches!(refusal, KeeperRefusal::NotKeeping { claiming: true, holder: None, .. });
        if !claiming {
            return Err(wire_keeper_refusal(&refusal));
        }
        let change = time::timeout_at(deadline, changes.changed()).await;
        if !matches!(change, Ok(Ok(()))) {
            return Err(wire_keeper_refusal(&refusal));
        }
    }
}

async fn pull_when_ready(
    incoming: &IncomingRequest<'_>,
    pull: peer::PullStep,
) -> ServeResult<PullReply> {
    let (handle, step, seen) = find_keeper(incoming, pull.step.as_ref())?;
    let limit = usize::try_from(pull.max_samples).unwrap_or(MAX_SAMPLES).clamp(1, MAX_SAMPLES);
    let pull_request = Pull { held: SlotSet::from_bytes(pull.held), seen, max_samples: limit };
    let mut changes = handle.changes.clone();
    let wait = Duration::from_millis(pull.wait_ms);
    let wait = wait.min(incoming.time_left.saturating_sub(RESPONSE_TIME_RESERVE));
    let started = time::Instant::now();
    // Report the cause that applied when the pull arrived.
    let mut first_cause = None;
    loop {
        changes.borrow_and_update();
        let pulled =
            ask_keeper(incoming, &handle, || PullStep { step, pull: pull_request.clone() });
        let mut pulled = pulled.await?;
        let cause = first_cause.get_or_insert(pulled.state.progress.cause);
        pulled.state.progress.cause = *cause;
        if pulled.respond_now {
            let waited = started.elapsed().as_secs_f64();
            incoming.ctx.metrics.pull_wait_seconds.observe(waited);
            return Ok(pulled);
        }
        let change = tokio::select! {
            () = incoming.cancel.cancelled() => return Ok(pulled),
            change = time::timeout_at(started + wait, changes.changed()) => change,
        };
        if !matches!(change, Ok(Ok(()))) {
            return Ok(pulled);
        }
    }
}

async fn send_pulled(incoming: &IncomingRequest<'_>, pulled: &PullReply, mut sink: ResponseSink) {
    for sample in &pulled.batch.samples {
        let body = response_item::Body::Sample(sample_item(sample));
        if !sink.item(ResponseItem { body: Some(body) }).await {
            return;
        }
    }
    let state = state_item(incoming, &pulled.state);
    sink.item(state).await;
    sink.end(ResponseEnd::default()).await;
}

async fn send_state(
    incoming: &IncomingRequest<'_>,
    result: ServeResult<KeptState>,
    mut sink: ResponseSink,
) {
    match result {
        Ok(state) => {
            sink.item(state_item(incoming, &state)).await;
            sink.end(ResponseEnd::default()).await;
        }
        Err(refused) => sink.refuse(refused).await,
    }
}

fn state_item(incoming: &IncomingRequest<'_>, state: &KeptState) -> ResponseItem {
    let progress = state.progress;
    let body = response_item::Body::StepState(StepState {
        token: state.token.get(),
        named: state.named.get(),
        bound: state.rule.bound,
        generation: state.rule.generation.get(),
        pool_version: state.rule.version.get(),
        slots: progress.slots as u64,
        held: progress.held as u64,
        ready: progress.ready as u64,
        running: progress.running as u64,
        wanted: progress.wanted as u64,
        discarded: progress.discarded,
        cause: progress.cause.name().to_owned(),
        keeper: incoming.ctx.me.id.to_string(),
    });
    ResponseItem { body: Some(body) }
}

fn sample_item(sample: &Sample) -> SampleItem {
    let spans = sample.spans.iter();
    SampleItem {
        slot: sample.slot.get(),
        spans: spans
            .map(|span| Span { version: span.version.get(), tokens: span.tokens.get() })
            .collect(),
        text: sample.text.clone(),
        score: sample.score,
        engine: sample.engine.to_string(),
    }
}
