//! Opens, pulls, advances and closes steps.

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

/// Maximum wait of one pull; bounds the time until a lost keeper is noticed.
const PULL_WAIT: Duration = Duration::from_secs(1);
/// Cause of a wait that ended without a keeper's response.
const NO_KEEPER: &str = "no_keeper";
/// Maximum number of samples per pull.
const MAX_SAMPLES: u32 = 256;

/// Opens the steps of one trainer.
#[derive(Debug, Clone)]
pub struct TrainerClient {
    entry: Arc<EntryClient>,
    pool: PoolName,
    trainer: TrainerId,
}

/// Time that a trainer waited for samples, and the events that affected it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct IdleReport {
    /// Waiting time by name of the cause, in milliseconds.
    pub by_cause_ms: BTreeMap<String, u64>,
    /// Number of duplicate samples that were dropped.
    pub doubled: usize,
    /// Number of samples that were dropped because they were too old when they arrived.
    pub stale: usize,
    /// Number of times that the step was reopened, after a change of keeper.
    pub reopened: usize,
    /// Longest time without a new sample, in milliseconds.
    pub longest_gap_ms: u64,
}

/// An open step.
#[derive(Debug)]
pub struct OpenStep {
    client: TrainerClient,
    receiver: StepReceiver,
    state: StepState,
    idle: IdleReport,
    last_sample: Instant,
}

impl TrainerClient {
    /// Creates a client for `trainer` of `pool`.
    pub const fn new(entry: Arc<EntryClient>, pool: PoolName, trainer: TrainerId) -> Self {
        Self { entry, pool, trainer }
    }

    /// Opens a step. After a restart of the trainer, the same step may be opened again.
    pub async fn open(&self, spec: StepSpec) -> Result<OpenStep, ClientError> {
        let receiver = StepReceiver::new(spec);
        let state = self.send_open(&receiver).await?;
        Ok(OpenStep {
            client: self.clone(),
            receiver,
            state,
            idle: IdleReport::default(),
            last_sample: Instant::now(),
        })
    }

    async fn send_open(&self, receiver: &StepReceiver) -> Result<StepState, ClientError> {
        let spec = receiver.spec();
        let body = OpenBody {
            version: spec.version,
            groups: spec.groups.clone(),
            held: receiver.held().clone(),
            seen: receiver.seen(),
        };
        self.post(receiver, "open", &body, Duration::ZERO).await
    }

    async fn post<B: Serialize + Sync, T: serde::de::DeserializeOwned>(
        &self,
        receiver: &StepReceiver,
        verb: &str,
        body: &B,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let step = receiver.spec().step;
        let path = format!("/v1/pools/{}/trainers/{}/steps/{step}/{verb}", self.pool, self.trainer);
        self.entry.send_with_retries(&Method::POST, &path, Some(body), wait).await
    }
}

impl OpenStep {
    /// Returns the receiver, which tracks the accepted samples.
    pub const fn receiver(&self) -> &StepReceiver {
        &self.receiver
    }

    /// Returns the state that the keeper last reported.
    pub const fn state(&self) -> &StepState {
        &self.state
    }

    /// Returns the waiting times so far.
    pub const fn idle(&self) -> &IdleReport {
        &self.idle
    }

    /// Returns the next new samples, or `None` when every slot has one.
    pub async fn next(&mut self) -> Result<Option<Vec<Sample>>, ClientError> {
        while !self.receiver.is_complete() {
            let started = Instant::now();
            let pulled = self.pull().await;
            let cause = if pulled.is_ok() { self.state.progress.cause.name() } else { NO_KEEPER };
            self.record_wait(cause, started);
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

    /// Names a newer version; samples that the staleness bound no longer allows are
    /// generated again.
    pub async fn advance(&mut self, version: ModelVersion) -> Result<(), ClientError> {
        self.receiver.advance(version);
        let body = AdvanceBody { version, seen: self.receiver.seen() };
        match self.client.post(&self.receiver, "advance", &body, Duration::ZERO).await {
            Ok(state) => self.state = state,
            Err(error) if not_open(&error) => self.reopen().await?,
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Closes the step and returns the waiting times.
    pub async fn close(self) -> Result<IdleReport, ClientError> {
        let body = CloseBody { held: self.receiver.held().clone(), seen: self.receiver.seen() };
        let closed: Result<serde_json::Value, ClientError> =
            self.client.post(&self.receiver, "close", &body, Duration::ZERO).await;
        match closed {
            // A keeper that does not have the step open has nothing to close.
            Err(error) if !not_open(&error) => Err(error),
            _ => Ok(self.idle),
        }
    }

    async fn pull(&mut self) -> Result<Vec<Sample>, ClientError> {
        let body = PullBody {
            held: self.receiver.held().clone(),
            seen: self.receiver.seen(),
            most: MAX_SAMPLES,
            wait_ms: whole_millis(PULL_WAIT),
        };
        let pulled = self.client.post(&self.receiver, "pull", &body, PULL_WAIT).await;
        let response: PullResponse = match pulled {
            Ok(response) => response,
            Err(error) if not_open(&error) => {
                self.reopen().await?;
                return Ok(Vec::new());
            }
            Err(error) => return Err(error),
        };
        let state = response.state;
        let accepted = self.receiver.accept(state.token, state.rule, response.samples);
        // A response with an older token is from a replaced keeper; ignore it and pull again.
        let Ok(batch) = accepted else { return Ok(Vec::new()) };
        self.state = state;
        self.idle.doubled += batch.duplicates;
        self.idle.stale += batch.stale;
        Ok(batch.accepted)
    }

    /// Opens the step again, after its keeper reported that it is not open.
    async fn reopen(&mut self) -> Result<(), ClientError> {
        self.state = self.client.send_open(&self.receiver).await?;
        self.idle.reopened += 1;
        Ok(())
    }

    fn record_wait(&mut self, cause: &str, since: Instant) {
        let waited = whole_millis(since.elapsed());
        *self.idle.by_cause_ms.entry(cause.to_owned()).or_default() += waited;
    }
}

fn not_open(error: &ClientError) -> bool {
    matches!(error, ClientError::Refused(ErrorBody { kind: ErrorKind::NotOpen, .. }))
}
