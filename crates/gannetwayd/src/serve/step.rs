//! Requests about steps, at the box that keeps them.

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
    AdoptSteps, AdvanceStep, CloseStep, KeeperActor, KeeperHandle, KeeperKey, OpenStep, PullStep,
    Pulled, StepStateQuery,
};
use crate::peer::Served;
use crate::refuse::{wire_bad_request, wire_keeper_refusal, wire_not_run};

/// Most samples in one answer; keeps answers under a few MiB.
const MOST_SAMPLES: usize = 512;
/// Kept back from a pull's time for its answer to travel.
const ANSWER_TIME: Duration = Duration::from_millis(100);

type Answer<T> = Result<T, Refused>;

/// Says at once that the request is here; what follows may wait for a lease or for samples.
async fn say_heard(served: &Served<'_>, sink: &mut ResponseSink) {
    let by = served.ctx.me.id.to_string();
    sink.item(ResponseItem { body: Some(response_item::Body::Ack(RequestAck { by })) }).await;
}

/// Opens a step.
pub async fn open(served: &Served<'_>, open: peer::OpenStep, mut sink: ResponseSink) {
    say_heard(served, &mut sink).await;
    let answered = async {
        let (handle, step, seen) = keeper(served, open.step.as_ref())?;
        let spec = StepSpec {
            step,
            version: ModelVersion::new(open.version),
            groups: open.groups.into_iter().map(group).collect::<Answer<Vec<GroupSpec>>>()?,
        };
        let held = SlotSet::from_bytes(open.held);
        ask_until_kept(served, &handle, || OpenStep {
            spec: spec.clone(),
            held: held.clone(),
            seen,
        })
        .await
    };
    answer_state(served, answered.await, sink).await;
}

/// Pulls samples, waiting for the first.
pub async fn pull(served: &Served<'_>, pull: peer::PullStep, mut sink: ResponseSink) {
    say_heard(served, &mut sink).await;
    match pull_when_ready(served, pull).await {
        Ok(pulled) => send_pulled(served, &pulled, sink).await,
        Err(refused) => sink.refuse(refused).await,
    }
}

/// Names a newer version.
pub async fn advance(served: &Served<'_>, advance: peer::AdvanceStep, mut sink: ResponseSink) {
    say_heard(served, &mut sink).await;
    let answered = async {
        let (handle, step, seen) = keeper(served, advance.step.as_ref())?;
        let version = ModelVersion::new(advance.version);
        ask_until_kept(served, &handle, || AdvanceStep { step, version, seen }).await
    };
    answer_state(served, answered.await, sink).await;
}

/// Closes a step.
pub async fn close(served: &Served<'_>, close: peer::CloseStep, mut sink: ResponseSink) {
    say_heard(served, &mut sink).await;
    let answered = async {
        let (handle, step, seen) = keeper(served, close.step.as_ref())?;
        ask_until_kept(served, &handle, || CloseStep { step, seen }).await
    };
    match answered.await {
        Ok(()) => sink.end(ResponseEnd::default()).await,
        Err(refused) => sink.refuse(refused).await,
    }
}

/// Tells a step's state.
pub async fn status(served: &Served<'_>, status: peer::StepStatus, mut sink: ResponseSink) {
    say_heard(served, &mut sink).await;
    let answered = async {
        let (handle, step, _) = keeper(served, status.step.as_ref())?;
        ask_until_kept(served, &handle, || StepStateQuery(step)).await
    };
    answer_state(served, answered.await, sink).await;
}

/// Takes the steps of a box that stops.
pub async fn take_over(served: &Served<'_>, take: TakeOver, sink: ResponseSink) {
    let taken = async {
        if served.ctx.is_leaving() {
            return Err(wire_not_run(NotRun::Stopping, Duration::ZERO));
        }
        let key = key_of(&take.pool, &take.trainer)?;
        let snapshots: Result<Vec<_>, _> =
            take.snapshots.iter().map(|bytes| serde_json::from_slice(bytes)).collect();
        let snapshots = snapshots.map_err(|error| wire_bad_request(error.to_string()))?;
        let handle = served.ctx.keepers.get_or_start(served.ctx, &key);
        let adopt = AdoptSteps { snapshots, token: FencingToken::new(take.token) };
        handle.actor.tell(adopt).await.map_err(|_stopped| stopping())
    };
    match taken.await {
        Ok(()) => sink.end(ResponseEnd::default()).await,
        Err(refused) => sink.refuse(refused).await,
    }
}

fn stopping() -> Refused {
    wire_not_run(NotRun::Stopping, Duration::ZERO)
}

fn key_of(pool: &str, trainer: &str) -> Answer<KeeperKey> {
    let pool = parse_id(pool).map_err(|error| wire_bad_request(error.to_string()))?;
    let trainer = parse_id(trainer).map_err(|error| wire_bad_request(error.to_string()))?;
    Ok(KeeperKey { pool, trainer })
}

fn group(group: peer::Group) -> Answer<GroupSpec> {
    let samples = u16::try_from(group.samples)
        .map_err(|_large| wire_bad_request("a group asks for more than 65535 samples: split it"))?;
    let max_tokens = TokenCount::new(group.max_tokens);
    Ok(GroupSpec { prompt: Arc::from(group.prompt), samples, max_tokens })
}

fn is_configured(ctx: &BoxContext, key: &KeeperKey) -> bool {
    let documents = ctx.documents.borrow();
    documents.config.pool(&key.pool).is_some_and(|pool| pool.trainers.contains(&key.trainer))
}

/// The keeper on this box. It is started only when the sender found no other.
fn keeper(
    served: &Served<'_>,
    step: Option<&StepRef>,
) -> Answer<(KeeperHandle, StepNumber, FencingToken)> {
    let step = step.ok_or_else(|| wire_bad_request("the request names no step"))?;
    let key = key_of(&step.pool, &step.trainer)?;
    let ctx = served.ctx;
    let known = ctx.keepers.get(&key);
    let handle = match known {
        Some(handle) => handle,
        // No actor and no lease for a name that nobody configured.
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

/// Asks the keeper, and again on each change while it is still claiming its lease.
async fn ask_until_kept<M, T>(
    served: &Served<'_>,
    handle: &KeeperHandle,
    message: impl Fn() -> M,
) -> Answer<T>
where
    M: Send + 'static,
    T: Send + 'static,
    KeeperActor: Message<M, Reply = Result<T, KeeperRefusal>>,
{
    let mut changes = handle.changes.clone();
    let deadline = time::Instant::now() + served.time_left.saturating_sub(ANSWER_TIME);
    loop {
        changes.borrow_and_update();
        let refusal = match handle.actor.ask(message()).await {
            Ok(answer) => return Ok(answer),
            Err(SendError::HandlerError(refusal)) => refusal,
            Err(_) => return Err(stopping()),
        };
        let claiming =
            matches!(refusal, KeeperRefusal::NotKeeping { claiming: true, holder: None, .. });
        if !claiming {
            return Err(wire_keeper_refusal(&refusal));
        }
        let news = time::timeout_at(deadline, changes.changed()).await;
        if !matches!(news, Ok(Ok(()))) {
            return Err(wire_keeper_refusal(&refusal));
        }
    }
}

async fn pull_when_ready(served: &Served<'_>, pull: peer::PullStep) -> Answer<Pulled> {
    let (handle, step, seen) = keeper(served, pull.step.as_ref())?;
    let most = usize::try_from(pull.max_samples).unwrap_or(MOST_SAMPLES).clamp(1, MOST_SAMPLES);
    let pull_of = Pull { held: SlotSet::from_bytes(pull.held), seen, max_samples: most };
    let mut changes = handle.changes.clone();
    let wait = Duration::from_millis(pull.wait_ms);
    let wait = wait.min(served.time_left.saturating_sub(ANSWER_TIME));
    let started = time::Instant::now();
    // What the trainer waits for is what was missing when it asked.
    let mut asked_for = None;
    loop {
        changes.borrow_and_update();
        let pulled = ask_until_kept(served, &handle, || PullStep { step, pull: pull_of.clone() });
        let mut pulled = pulled.await?;
        let cause = asked_for.get_or_insert(pulled.state.progress.cause);
        pulled.state.progress.cause = *cause;
        if pulled.answer_now {
            let waited = started.elapsed().as_secs_f64();
            served.ctx.metrics.pull_wait_seconds.observe(waited);
            return Ok(pulled);
        }
        let news = tokio::select! {
            () = served.cancel.cancelled() => return Ok(pulled),
            news = time::timeout_at(started + wait, changes.changed()) => news,
        };
        if !matches!(news, Ok(Ok(()))) {
            return Ok(pulled);
        }
    }
}

async fn send_pulled(served: &Served<'_>, pulled: &Pulled, mut sink: ResponseSink) {
    for sample in &pulled.out.samples {
        let body = response_item::Body::Sample(sample_item(sample));
        if !sink.item(ResponseItem { body: Some(body) }).await {
            return;
        }
    }
    let state = state_item(served, &pulled.state);
    sink.item(state).await;
    sink.end(ResponseEnd::default()).await;
}

async fn answer_state(served: &Served<'_>, answered: Answer<KeptState>, mut sink: ResponseSink) {
    match answered {
        Ok(state) => {
            sink.item(state_item(served, &state)).await;
            sink.end(ResponseEnd::default()).await;
        }
        Err(refused) => sink.refuse(refused).await,
    }
}

fn state_item(served: &Served<'_>, state: &KeptState) -> ResponseItem {
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
        keeper: served.ctx.me.id.to_string(),
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
