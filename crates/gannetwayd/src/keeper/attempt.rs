//! Runs one attempt at a sample: generation at the target's home, validation and scoring.

use std::time::Duration;

use ids::{ContentDigest, Incarnation, ModelVersion, TargetId, TokenCount, VersionWindow};
use keeping::{AttemptOutcome, Placement};
use ledger::{ChunkAssembler, ChunkStamp, Sample};
use links::{CallError, ResponseStream};
use opentelemetry::trace::SpanKind;
use placement::{NotRun, TargetHint};
use tokio::sync::watch;
use tokio::time;
use wire::peer::{Chunk, Generate, Request, Score, TargetLoad, request, response_item};

use crate::context::{BoxContext, new_request};
use crate::keeper::KeeperKey;
use crate::refuse::parse_not_run;
use crate::route::call_home;
use crate::trace::HopSpan;

/// Maximum queueing time at the target's home before the attempt is placed elsewhere.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for the first response item from the home.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(7);
/// Idle timeout within the stream; longer than the home's idle timeout for the engine's stream.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Timeout of one request to a scorer.
const SCORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of rounds over all scorers before the sample is discarded.
const MAX_SCORE_ROUNDS: u32 = 20;
/// Delay between rounds over the scorers.
const SCORE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Runs an attempt and returns its outcome with the latest load of the target, if known.
pub async fn run_attempt(
    ctx: &BoxContext,
    key: &KeeperKey,
    placement: &Placement,
    window: watch::Receiver<VersionWindow>,
) -> (AttemptOutcome, Option<TargetHint>) {
    let span = ctx.tracer.hop("attempt", SpanKind::Client, "");
    span.set_attribute("slot", i64::from(placement.assignment.slot.get()));
    span.set_attribute("target", placement.target.to_string());
    let mut run = AttemptRun { ctx, key, placement, window, hint: None, span };
    let outcome = match run.generate().await {
        Ok((spans, text)) => run.score_sample(spans, text).await,
        Err(outcome) => outcome,
    };
    (outcome, run.hint)
}

struct AttemptRun<'a> {
    ctx: &'a BoxContext,
    key: &'a KeeperKey,
    placement: &'a Placement,
    window: watch::Receiver<VersionWindow>,
    hint: Option<TargetHint>,
    span: HopSpan,
}

type Generated = (Vec<ledger::VersionSpan>, String);

impl AttemptRun<'_> {
    async fn generate(&mut self) -> Result<Generated, AttemptOutcome> {
        let assignment = &self.placement.assignment;
        let body = request::Body::Generate(Generate {
            target: self.placement.target.to_string(),
            trainer: self.key.trainer.to_string(),
            prompt: assignment.prompt.to_string(),
            max_tokens: assignment.max_tokens.get(),
            seed: self.seed(),
            floor: assignment.window.floor.get(),
            named: assignment.window.named.get(),
            forwarded: false,
        });
        let request = self.request(body, QUEUE_TIMEOUT);
        let called = call_home(self.ctx, &self.placement.target, request).await;
        let mut stream = called.map_err(|error| self.call_failed(&error))?;
        self.collect_chunks(&mut stream).await
    }

    async fn collect_chunks(
        &mut self,
        stream: &mut ResponseStream,
    ) -> Result<Generated, AttemptOutcome> {
        let mut assembler = ChunkAssembler::default();
        let mut idle_timeout = ADMISSION_TIMEOUT;
        while let Some(item) =
            stream.next(idle_timeout).await.map_err(|error| self.call_failed(&error))?
        {
            idle_timeout = STREAM_IDLE_TIMEOUT;
            match item.body {
                Some(response_item::Body::Load(load)) => self.hint = Some(hint_of(&load)),
                Some(response_item::Body::Chunk(chunk)) => {
                    let accepted = assembler.chunk(stamp_of(&chunk), &chunk.text);
                    accepted.map_err(|error| self.unusable(&error))?;
                    let window = *self.window.borrow();
                    if assembler.oldest().is_some_and(|oldest| window.is_too_old(oldest)) {
                        return Err(AttemptOutcome::TooOld);
                    }
                }
                _ => return Err(AttemptOutcome::Unusable),
            }
        }
        let Some(end) = stream.end() else { return Err(AttemptOutcome::Unusable) };
        let finished =
            assembler.finish(TokenCount::new(end.tokens), ContentDigest::new(end.text_digest));
        finished.map_err(|error| self.unusable(&error))
    }

    async fn score_sample(&self, spans: Vec<ledger::VersionSpan>, text: String) -> AttemptOutcome {
        let scorers = {
            let documents = self.ctx.documents.borrow();
            documents.config.pool(&self.key.pool).map(|pool| pool.scorers.clone())
        };
        let scorers = scorers.unwrap_or_default();
        let score = if scorers.is_empty() { None } else { self.score(&scorers, &text).await };
        if score.is_none() && !scorers.is_empty() {
            log::warn!(target: "keeper", trainer:% = self.key; "no scorer responded; regenerating the sample");
            return AttemptOutcome::Unusable;
        }
        self.ctx.metrics.tokens.inc_by(spans.iter().map(|span| u64::from(span.tokens.get())).sum());
        AttemptOutcome::Completed(Sample {
            slot: self.placement.assignment.slot,
            spans,
            text,
            score,
            engine: self.placement.target.clone(),
        })
    }

    /// Tries the scorers in turn. Scoring is idempotent, so a request may be repeated.
    async fn score(&self, scorers: &[TargetId], text: &str) -> Option<f64> {
        for _ in 0..MAX_SCORE_ROUNDS {
            for scorer in scorers {
                match self.score_once(scorer, text).await {
                    Ok(score) => return Some(score),
                    Err(error) => {
                        log::debug!(target: "keeper", scorer:% = scorer, error:% = error; "scoring failed");
                    }
                }
            }
            time::sleep(SCORE_RETRY_DELAY).await;
        }
        None
    }

    async fn score_once(&self, scorer: &TargetId, text: &str) -> Result<f64, CallError> {
        let body = request::Body::Score(Score {
            target: scorer.to_string(),
            prompt: self.placement.assignment.prompt.to_string(),
            text: text.to_owned(),
            forwarded: false,
        });
        let stream = call_home(self.ctx, scorer, self.request(body, SCORE_TIMEOUT)).await?;
        match stream.single(SCORE_TIMEOUT).await?.body {
            Some(response_item::Body::Scored(result)) => Ok(result.score),
            _ => Err(CallError::Broken { why: "response is not a score" }),
        }
    }

    fn request(&self, body: request::Body, time_left: Duration) -> Request {
        new_request(body, self.span.traceparent(), time_left)
    }

    /// Returns a seed that is fixed for an attempt and differs between attempts.
    fn seed(&self) -> u64 {
        let assignment = &self.placement.assignment;
        let name = format!(
            "{}/{}/{}/{}",
            self.key, self.placement.step, assignment.slot, assignment.attempt
        );
        ContentDigest::of(name.as_bytes()).get()
    }

    fn unusable(&self, error: &ledger::ChunkError) -> AttemptOutcome {
        log::warn!(target: "keeper", trainer:% = self.key, at:% = self.placement.target, error:% = error; "sample unusable");
        AttemptOutcome::Unusable
    }

    fn call_failed(&mut self, error: &CallError) -> AttemptOutcome {
        log::debug!(target: "keeper", trainer:% = self.key, at:% = self.placement.target, error:% = error; "attempt failed");
        match error {
            CallError::NotSent { .. } => {
                AttemptOutcome::NotRun { reason: NotRun::Unreachable, retry_after: Duration::ZERO }
            }
            CallError::Broken { .. } | CallError::LinkLost => AttemptOutcome::Unusable,
            CallError::Refused(refused) => {
                self.hint = refused.load.as_ref().map(hint_of).or(self.hint);
                match parse_not_run(refused) {
                    Some((reason, retry_after)) => AttemptOutcome::NotRun { reason, retry_after },
                    None => AttemptOutcome::Unusable,
                }
            }
        }
    }
}

fn hint_of(load: &TargetLoad) -> TargetHint {
    TargetHint {
        running: load.running,
        waiting: load.waiting,
        limit: load.limit,
        version: load.version.map(ModelVersion::new),
    }
}

fn stamp_of(chunk: &Chunk) -> ChunkStamp {
    ChunkStamp {
        index: chunk.index,
        tokens: TokenCount::new(chunk.tokens),
        version: chunk.version.map(ModelVersion::new),
        incarnation: Incarnation::new(chunk.incarnation),
    }
}
