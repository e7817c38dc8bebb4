//! Steps as a trainer uses them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use api::{
    AdvanceBody, CloseBody, ErrorBody, ErrorKind, OpenBody, PullBody, PullResponse, StepState,
};
use ids::{ModelVersion, PoolName, TrainerId, whole_millis};
use ledger::{Sample, StepReceiver, StepSpec};
use reqwest::Method;
use serde::Serialize;
use tokio::time::Instant;

use crate::{ClientError, EntryClient};

/// Longest wait of one pull; short enough that a lost keeper is noticed soon.
const PULL_WAIT: Duration = Duration::from_secs(1);
/// Cause of a wait that ended without any keeper's answer.
const NO_KEEPER: &str = "no_keeper";
/// Most samples of one pull.
const MOST_SAMPLES: u32 = 256;

/// Opens steps for one trainer.
#[derive(Debug, Clone)]
pub struct TrainerClient {
    entry: Arc<EntryClient>,
    pool: PoolName,
    trainer: TrainerId,
}

/// Time a trainer waited for samples, by cause.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct IdleReport {
    /// Milliseconds by the cause's short name.
    pub by_cause_ms: BTreeMap<String, u64>,
    /// Samples that came twice and were dropped.
    pub doubled: usize,
    /// Samples that had become too old on the way and were dropped.
    pub stale: usize,
    /// Times the step was opened again at another keeper.
    pub reopened: usize,
    /// Longest time without a new sample, in milliseconds.
    pub longest_gap_ms: u64,
}

/// A step that is open.
#[derive(Debug)]
pub struct OpenStep {
    client: TrainerClient,
    intake: StepReceiver,
    state: StepState,
    idle: IdleReport,
    last_sample: Instant,
}

impl TrainerClient {
    /// A client for `trainer` of `pool`.
    pub const fn new(entry: Arc<EntryClient>, pool: PoolName, trainer: TrainerId) -> Self {
        Self { entry, pool, trainer }
    }

    /// Opens a step; the same step may be opened again after a restart.
    pub async fn open(&self, spec: StepSpec) -> Result<OpenStep, ClientError> {
        let intake = StepReceiver::new(spec);
        let state = self.send_open(&intake).await?;
        Ok(OpenStep {
            client: self.clone(),
            intake,
            state,
            idle: IdleReport::default(),
            last_sample: Instant::now(),
        })
    }

    async fn send_open(&self, intake: &StepReceiver) -> Result<StepState, ClientError> {
        let spec = intake.spec();
        let body = OpenBody {
            version: spec.version,
            groups: spec.groups.clone(),
            held: intake.held().clone(),
            seen: intake.seen(),
        };
        self.post(intake, "open", &body, Duration::ZERO).await
    }

    async fn post<B: Serialize + Sync, T: serde::de::DeserializeOwned>(
        &self,
        intake: &StepReceiver,
        verb: &str,
        body: &B,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let step = intake.spec().step;
        let path = format!("/v1/pools/{}/trainers/{}/steps/{step}/{verb}", self.pool, self.trainer);
        self.entry.repeat(&Method::POST, &path, Some(body), wait).await
    }
}

impl OpenStep {
    /// The trainer's record of the step.
    pub const fn intake(&self) -> &StepReceiver {
        &self.intake
    }

    /// The step as its keeper last told it.
    pub const fn state(&self) -> &StepState {
        &self.state
    }

    /// What the trainer waited for so far.
    pub const fn idle(&self) -> &IdleReport {
        &self.idle
    }

    /// The next samples, each given once; `None` when every slot is held.
    pub async fn next(&mut self) -> Result<Option<Vec<Sample>>, ClientError> {
        while !self.intake.is_complete() {
            let started = Instant::now();
            let pulled = self.pull().await;
            let cause = if pulled.is_ok() { self.state.progress.cause.name() } else { NO_KEEPER };
            self.account(cause, started);
            let samples = pulled?;
            if !samples.is_empty() {
                let gap = whole_millis(self.last_sample.elapsed());
                self.idle.longest_gap_ms = self.idle.longest_gap_ms.max(gap);
                self.last_sample = Instant::now();
                return Ok(Some(samples));
            }
        }
        Ok(None)
    }

    /// Names a newer version; older samples than the bound allows are made again.
    pub async fn advance(&mut self, version: ModelVersion) -> Result<(), ClientError> {
        self.intake.advance(version);
        let body = AdvanceBody { version, seen: self.intake.seen() };
        match self.client.post(&self.intake, "advance", &body, Duration::ZERO).await {
            Ok(state) => self.state = state,
            Err(error) if not_open(&error) => self.reopen().await?,
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Closes the step.
    pub async fn close(self) -> Result<IdleReport, ClientError> {
        let body = CloseBody { held: self.intake.held().clone(), seen: self.intake.seen() };
        let closed: Result<serde_json::Value, ClientError> =
            self.client.post(&self.intake, "close", &body, Duration::ZERO).await;
        match closed {
            // A keeper that does not know the step has nothing to close.
            Err(error) if !not_open(&error) => Err(error),
            _ => Ok(self.idle),
        }
    }

    async fn pull(&mut self) -> Result<Vec<Sample>, ClientError> {
        let body = PullBody {
            held: self.intake.held().clone(),
            seen: self.intake.seen(),
            most: MOST_SAMPLES,
            wait_ms: whole_millis(PULL_WAIT),
        };
        let pulled = self.client.post(&self.intake, "pull", &body, PULL_WAIT).await;
        let answer: PullResponse = match pulled {
            Ok(answer) => answer,
            Err(error) if not_open(&error) => {
                self.reopen().await?;
                return Ok(Vec::new());
            }
            Err(error) => return Err(error),
        };
        let state = answer.state;
        let taken = self.intake.accept(state.token, state.rule, answer.samples);
        // An answer under an older token came from a keeper that has been replaced: pull again.
        let Ok(intake) = taken else { return Ok(Vec::new()) };
        self.state = state;
        self.idle.doubled += intake.duplicates;
        self.idle.stale += intake.stale;
        Ok(intake.accepted)
    }

    /// The keeper changed and the new one does not know the step.
    async fn reopen(&mut self) -> Result<(), ClientError> {
        self.state = self.client.send_open(&self.intake).await?;
        self.idle.reopened += 1;
        Ok(())
    }

    fn account(&mut self, cause: &str, since: Instant) {
        let waited = whole_millis(since.elapsed());
        *self.idle.by_cause_ms.entry(cause.to_owned()).or_default() += waited;
    }
}

fn not_open(error: &ClientError) -> bool {
    matches!(error, ClientError::Refused(ErrorBody { kind: ErrorKind::NotOpen, .. }))
}
