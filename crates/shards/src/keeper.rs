//! State of one shard on this box: its job table, and the epoch under which it is served here.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ids::{FencingToken, JobId, Moment, RecordLocation, ShardIndex};
use joblog::{EpochId, LoadedLog};
use jobs::JobTable;
use node::wall_time;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use wire::peer::LogRecord;

use crate::context::ShardContext;
use crate::log::copies::on_disk;
use crate::log::copying::Relocation;
use crate::log::epoch_change::NewEpoch;
use crate::log::log_writer::{EpochLog, LogWork};

/// How long a confirmation is valid. Without a newer one another box may serve the shard, so reads
/// are refused and no items are started.
const CONFIRMATION_TTL: Duration = Duration::from_secs(1);

/// The epoch under which this box serves the shard.
#[derive(Debug, Clone)]
pub struct ServedEpoch {
    /// The epoch.
    pub epoch: EpochId,
    /// Queue of records to append.
    pub log: mpsc::Sender<LogWork>,
    /// Cancelled when the epoch ends.
    pub ended: CancellationToken,
}

/// The log ended before all copies acknowledged the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the log ended before all copies acknowledged the record; the outcome is unknown")]
pub struct NotLogged;

/// State of one shard on this box.
#[derive(Debug)]
pub struct ShardKeeper {
    shard: ShardIndex,
    ctx: Arc<ShardContext>,
    jobs: Mutex<JobTable>,
    serving: Mutex<Option<ServedEpoch>>,
    /// When all copies last acknowledged an append (possibly empty) of the served epoch.
    confirmed_at: Mutex<Option<Moment>>,
    /// Incremented when records were applied or an item may start.
    changed: watch::Sender<u64>,
    /// Cancellation tokens of running items, by job.
    runs: Mutex<HashMap<JobId, CancellationToken>>,
    /// Set when the shard's server requests that this box take over.
    takeover_requested: Mutex<bool>,
    /// The log that the job table contains.
    log: Mutex<Option<KeptLog>>,
    /// Set while this box reads the log for a new epoch or writes copies of the new segment.
    taking_over: AtomicBool,
}

/// The log that a job table contains.
#[derive(Debug, Clone)]
struct KeptLog {
    loaded: LoadedLog,
    /// Epochs of the segments that hold the records of the table.
    segments: Vec<EpochId>,
}

/// Ends the report of a takeover when dropped, also if the takeover is cancelled.
#[derive(Debug)]
pub struct TakeoverReport<'a>(&'a ShardKeeper);

impl Drop for TakeoverReport<'_> {
    fn drop(&mut self) {
        self.0.set_taking_over(false);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn new_table(ctx: &ShardContext) -> JobTable {
    let mut jobs = JobTable::new(ctx.settings.retention);
    jobs.set_wall_time(ctx.view.now(), wall_time().millis());
    jobs
}

impl ShardKeeper {
    /// Creates a shard that is not served here.
    pub fn new(ctx: Arc<ShardContext>, shard: ShardIndex) -> Self {
        let jobs = new_table(&ctx);
        Self {
            shard,
            ctx,
            jobs: Mutex::new(jobs),
            serving: Mutex::default(),
            confirmed_at: Mutex::default(),
            changed: watch::Sender::new(0),
            runs: Mutex::default(),
            takeover_requested: Mutex::new(false),
            log: Mutex::default(),
            taking_over: AtomicBool::new(false),
        }
    }

    /// The shard's index.
    pub const fn shard(&self) -> ShardIndex {
        self.shard
    }

    /// Locks the job table. Don't hold the guard across I/O.
    pub fn jobs(&self) -> MutexGuard<'_, JobTable> {
        lock(&self.jobs)
    }

    /// Drops all jobs and cancels their runs.
    pub fn reset(&self) {
        self.cancel_all_runs();
        *self.jobs() = new_table(&self.ctx);
        *lock(&self.log) = None;
    }

    /// The log that the job table contains.
    pub fn loaded(&self) -> Option<LoadedLog> {
        lock(&self.log).as_ref().map(|log| log.loaded.clone())
    }

    /// Sets the log that the job table contains, and the epochs of its segments.
    pub fn set_log(&self, loaded: LoadedLog, segments: Vec<EpochId>) {
        *lock(&self.log) = Some(KeptLog { loaded, segments });
    }

    /// Returns whether this box reads the log for a new epoch or writes copies of its segment.
    pub fn is_taking_over(&self) -> bool {
        self.taking_over.load(Ordering::Relaxed)
    }

    /// Reports that this box is taking over, until the guard is dropped.
    pub fn report_takeover(&self) -> TakeoverReport<'_> {
        self.set_taking_over(true);
        TakeoverReport(self)
    }

    fn set_taking_over(&self, taking_over: bool) {
        self.taking_over.store(taking_over, Ordering::Relaxed);
        // Other boxes skip their own takeover once they learn of this one.
        self.ctx.heartbeat_due.notify_one();
    }

    /// Starts to serve an epoch. Returns its log.
    pub fn start_serving(
        &self,
        new: NewEpoch,
        log: mpsc::Sender<LogWork>,
        ended: CancellationToken,
    ) -> EpochLog {
        *lock(&self.confirmed_at) = new.confirmed_at;
        let served = ServedEpoch { epoch: new.log.epoch.clone(), log, ended };
        let log = self.install_epoch(new);
        self.jobs().resume_appends();
        *lock(&self.serving) = Some(served);
        self.wake();
        log
    }

    /// Continues to serve the shard under a new epoch. Returns its log.
    pub fn continue_serving(&self, new: NewEpoch) -> EpochLog {
        if new.confirmed_at.is_some() {
            *lock(&self.confirmed_at) = new.confirmed_at;
        }
        let log = self.install_epoch(new);
        if let Some(served) = lock(&self.serving).as_mut() {
            served.epoch = log.epoch.clone();
        }
        log
    }

    /// Sets the log of a new epoch, updates the locations of moved records, and starts to delete the
    /// files that the new plan excludes.
    fn install_epoch(&self, new: NewEpoch) -> EpochLog {
        let mut jobs = self.jobs();
        match &new.moved {
            Relocation::None => {}
            Relocation::Tail { of, from, to } => jobs.relocate_tail(*of, *from, *to),
            Relocation::Snapshot(moved) => jobs.relocate(moved),
        }
        self.set_log(new.loaded, new.plan.segments());
        drop(jobs);
        // Service does not wait for the deletion.
        let (copies, shard) = (self.ctx.copies.clone(), self.shard);
        tokio::spawn(async move { copies.clean(shard, new.plan).await });
        new.log
    }

    /// Stops serving. Returns whether the shard was served.
    pub fn stop_serving(&self) -> bool {
        let served = lock(&self.serving).take();
        if let Some(served) = &served {
            served.ended.cancel();
            self.jobs().suspend_appends();
        }
        self.wake();
        served.is_some()
    }

    /// Returns the epoch under which the shard is served here.
    pub fn served(&self) -> Option<ServedEpoch> {
        lock(&self.serving).clone()
    }

    /// Returns the token of the served epoch if it was confirmed recently.
    pub fn served_token(&self) -> Option<FencingToken> {
        let token = self.served()?.epoch.token;
        let confirmed_at = (*lock(&self.confirmed_at))?;
        (self.ctx.view.now().since(confirmed_at) < CONFIRMATION_TTL).then_some(token)
    }

    /// Returns whether the served epoch was confirmed recently, so that responses are
    /// authoritative.
    pub fn is_confirmed(&self) -> bool {
        self.served_token().is_some()
    }

    /// Applies records that all copies acknowledged, with their locations on this box's disk. `len`
    /// is the length of the open segment with them.
    pub fn apply(&self, records: Vec<(LogRecord, RecordLocation)>, len: u64) {
        let now = self.ctx.view.now();
        let first = lock(&self.confirmed_at).replace(now).is_none();
        if first {
            self.wake();
        }
        if records.is_empty() {
            return;
        }
        let mut jobs = self.jobs();
        if let Some(log) = lock(&self.log).as_mut() {
            (log.loaded.committed, log.loaded.len) = (len, len);
        }
        for (record, location) in records {
            jobs.apply_at(now, record, Some(location));
        }
        let counts = jobs.counts();
        drop(jobs);
        self.ctx.view.metrics.jobs(counts.jobs, counts.waiting, counts.bytes);
        self.wake();
    }

    /// Reads full records from this box's disk; `None` when they can't be read.
    pub async fn load(&self, locations: Vec<RecordLocation>) -> Option<Vec<LogRecord>> {
        if locations.is_empty() {
            return Some(Vec::new());
        }
        let (folder, shard) = (self.ctx.copies.folder().clone(), self.shard);
        let segments = lock(&self.log).as_ref().map(|log| log.segments.clone())?;
        on_disk(shard, "read results", move || folder.load(shard, &segments, &locations)).await
    }

    /// Queues records for the log without waiting. Drops them while the shard is not served; the
    /// next epoch starts without them.
    pub fn append(&self, records: Vec<LogRecord>) {
        if records.is_empty() {
            return;
        }
        let Some(served) = self.served() else { return };
        let work = LogWork { records, done: None };
        if served.log.try_send(work).is_err() {
            // The log is stuck or has ended: end the epoch. The next epoch lists these items again.
            log::error!(target: "shard", shard = self.shard.get(); "log queue is full or closed; ending the epoch");
            served.ended.cancel();
        }
    }

    /// Appends records and waits until all copies acknowledge them. An empty list only requests a
    /// confirmation.
    pub async fn append_and_wait(&self, records: Vec<LogRecord>) -> Result<(), NotLogged> {
        let served = self.served().ok_or(NotLogged)?;
        let (done, waiter) = oneshot::channel();
        let work = LogWork { records, done: Some(done) };
        served.log.send(work).await.map_err(|_ended| NotLogged)?;
        waiter.await.map_err(|_ended| NotLogged)
    }

    /// Wakes tasks that wait for results or for items to start.
    pub fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the cancellation token of a job's runs.
    pub fn run_token(&self, job: &JobId) -> CancellationToken {
        lock(&self.runs).entry(job.clone()).or_default().clone()
    }

    /// Cancels the runs of an ended job.
    pub fn cancel_runs(&self, job: &JobId) {
        if let Some(token) = lock(&self.runs).remove(job) {
            token.cancel();
        }
    }

    /// Cancels the runs of all jobs.
    pub fn cancel_all_runs(&self) {
        let runs: Vec<_> = lock(&self.runs).drain().collect();
        if !runs.is_empty() {
            log::info!(target: "shard", shard = self.shard.get(), jobs = runs.len(); "runs cancelled");
        }
        for (_, token) in runs {
            token.cancel();
        }
    }

    /// Records a request of the shard's server that this box take over.
    pub fn request_takeover(&self) {
        *lock(&self.takeover_requested) = true;
        self.wake();
    }

    /// Returns whether a takeover request is pending.
    pub fn is_takeover_requested(&self) -> bool {
        *lock(&self.takeover_requested)
    }

    /// Returns and clears the pending takeover request.
    pub fn take_takeover_request(&self) -> bool {
        std::mem::take(&mut *lock(&self.takeover_requested))
    }
}
