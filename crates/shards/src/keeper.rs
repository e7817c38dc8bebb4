//! One shard on this box: the book of jobs, and whether it is served here.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ids::{FencingToken, JobId, Moment, RecordLocation, ShardIndex};
use joblog::EpochId;
use jobs::JobTable;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use wire::peer::LogRecord;

use crate::context::ShardContext;
use crate::copies::on_disk;
use crate::log_writer::LogWork;

/// After this long without a proof that all copies still take appends, another box may serve
/// the shard: reads are turned away and nothing new is started.
const PROOF_TRUST: Duration = Duration::from_secs(1);

/// The epoch under which this box serves the shard.
#[derive(Debug, Clone)]
pub struct ServedEpoch {
    /// The epoch.
    pub epoch: EpochId,
    /// Work for the log.
    pub log: mpsc::Sender<LogWork>,
    /// Ends when the log can take no more.
    pub ended: CancellationToken,
}

/// Why a record is not on all copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the shard's log has ended before the record was on all copies: it may be kept or not")]
pub struct NotLogged;

/// One shard on this box.
#[derive(Debug)]
pub struct ShardKeeper {
    shard: ShardIndex,
    ctx: Arc<ShardContext>,
    book: Mutex<JobTable>,
    serving: Mutex<Option<ServedEpoch>>,
    /// When all copies last took an append, or a proof, under the epoch served.
    proven_at: Mutex<Option<Moment>>,
    /// Changes whenever records were applied or an item may start.
    changed: watch::Sender<u64>,
    /// One for each job whose items run; cancelled when the job ends.
    runs: Mutex<HashMap<JobId, CancellationToken>>,
    /// Set when the shard's server asks this box to go on in its place.
    asked: Mutex<bool>,
    /// The epoch whose acknowledged records the book holds.
    book_epoch: Mutex<Option<EpochId>>,
    /// Set while new copies are made.
    forming: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ShardKeeper {
    /// A shard that is not served here.
    pub fn new(ctx: Arc<ShardContext>, shard: ShardIndex) -> Self {
        let book = JobTable::new(ctx.settings.retention);
        Self {
            shard,
            ctx,
            book: Mutex::new(book),
            serving: Mutex::default(),
            proven_at: Mutex::default(),
            changed: watch::Sender::new(0),
            runs: Mutex::default(),
            asked: Mutex::new(false),
            book_epoch: Mutex::default(),
            forming: AtomicBool::new(false),
        }
    }

    /// Which shard it is.
    pub const fn shard(&self) -> ShardIndex {
        self.shard
    }

    /// The jobs; held only for a moment.
    pub fn book(&self) -> MutexGuard<'_, JobTable> {
        lock(&self.book)
    }

    /// Forgets all jobs and breaks their runs off.
    pub fn reset(&self) {
        self.cancel_all_runs();
        *self.book() = JobTable::new(self.ctx.settings.retention);
        self.set_book_epoch(None);
    }

    /// The epoch whose acknowledged records the book holds.
    pub fn book_epoch(&self) -> Option<EpochId> {
        lock(&self.book_epoch).clone()
    }

    /// Notes the epoch whose acknowledged records the book holds.
    pub fn set_book_epoch(&self, epoch: Option<EpochId>) {
        *lock(&self.book_epoch) = epoch;
    }

    /// Whether new copies are being made, to serve the shard.
    pub fn is_forming(&self) -> bool {
        self.forming.load(Ordering::Relaxed)
    }

    /// Notes that new copies are being made, or no more.
    pub fn set_forming(&self, forming: bool) {
        self.forming.store(forming, Ordering::Relaxed);
        // Other boxes need not try as well.
        self.ctx.news.notify_one();
    }

    /// Begins to serve under an epoch, with the places of results in its copy.
    pub fn begin(&self, served: ServedEpoch, places: &[(JobId, u32, RecordLocation)]) {
        *lock(&self.proven_at) = None;
        self.set_book_epoch(Some(served.epoch.clone()));
        let mut book = self.book();
        book.relocate(places);
        book.resume_appends();
        drop(book);
        *lock(&self.serving) = Some(served);
        self.wake();
    }

    /// Stops serving. `true` when it was served.
    pub fn end(&self) -> bool {
        let served = lock(&self.serving).take();
        if let Some(served) = &served {
            served.ended.cancel();
            self.book().suspend_appends();
        }
        self.wake();
        served.is_some()
    }

    /// The epoch under which the shard is served here.
    pub fn served(&self) -> Option<ServedEpoch> {
        lock(&self.serving).clone()
    }

    /// The token under which the shard is served here, if that was proven a moment ago.
    pub fn served_token(&self) -> Option<FencingToken> {
        let token = self.served()?.epoch.token;
        let proven_at = (*lock(&self.proven_at))?;
        (self.ctx.view.now().since(proven_at) < PROOF_TRUST).then_some(token)
    }

    /// Whether answers from here are those of the shard's one server.
    pub fn is_proven(&self) -> bool {
        self.served_token().is_some()
    }

    /// Applies records that are on all copies, each with its place in this box's copy.
    pub fn apply(&self, records: Vec<(LogRecord, RecordLocation)>) {
        let now = self.ctx.view.now();
        let first = lock(&self.proven_at).replace(now).is_none();
        if first {
            self.wake();
        }
        if records.is_empty() {
            return;
        }
        let mut book = self.book();
        for (record, place) in records {
            book.apply_at(now, record, Some(place));
        }
        let counts = book.counts();
        drop(book);
        self.ctx.view.metrics.jobs(counts.jobs, counts.waiting, counts.bytes);
        self.wake();
    }

    /// Reads whole records back from this box's copy; `None` when they cannot be read.
    pub async fn load(&self, places: Vec<RecordLocation>) -> Option<Vec<LogRecord>> {
        if places.is_empty() {
            return Some(Vec::new());
        }
        let (folder, shard) = (self.ctx.copies.folder().clone(), self.shard);
        let epoch = self.book_epoch()?;
        on_disk(shard, "read results", move || folder.load(shard, &epoch, &places)).await
    }

    /// Sends records to the log without waiting. While the shard is not served they are
    /// forgotten, and the next epoch begins without them.
    pub fn log(&self, records: Vec<LogRecord>) {
        if records.is_empty() {
            return;
        }
        let Some(served) = self.served() else { return };
        let work = LogWork { records, done: None };
        if served.log.try_send(work).is_err() {
            // The queue is bounded far above what a shard's items can fill; if it is full all
            // the same, the log does not move, and a new epoch lists these items again.
            log::error!(target: "shard", shard = self.shard.get(); "log queue full, new epoch");
            served.ended.cancel();
        }
    }

    /// Writes records and waits until they are on all copies; none asks for the proof alone.
    pub async fn log_and_wait(&self, records: Vec<LogRecord>) -> Result<(), NotLogged> {
        let served = self.served().ok_or(NotLogged)?;
        let (done, waiter) = oneshot::channel();
        let work = LogWork { records, done: Some(done) };
        served.log.send(work).await.map_err(|_ended| NotLogged)?;
        waiter.await.map_err(|_ended| NotLogged)
    }

    /// Wakes whoever waits for results or for items to start.
    pub fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Tells each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The token of a job's runs.
    pub fn run_token(&self, job: &JobId) -> CancellationToken {
        lock(&self.runs).entry(job.clone()).or_default().clone()
    }

    /// Breaks off the runs of a job that has ended.
    pub fn cancel_runs(&self, job: &JobId) {
        if let Some(token) = lock(&self.runs).remove(job) {
            token.cancel();
        }
    }

    /// Breaks off the runs of all jobs.
    pub fn cancel_all_runs(&self) {
        let runs: Vec<_> = lock(&self.runs).drain().collect();
        if !runs.is_empty() {
            log::info!(target: "shard", shard = self.shard.get(), jobs = runs.len(); "runs broken off");
        }
        for (_, token) in runs {
            token.cancel();
        }
    }

    /// Notes that the shard's server asks this box to go on in its place.
    pub fn ask(&self) {
        *lock(&self.asked) = true;
        self.wake();
    }

    /// Whether it is asked, and has not looked yet.
    pub fn is_asked(&self) -> bool {
        *lock(&self.asked)
    }

    /// Whether it was asked, since the last call.
    pub fn take_asked(&self) -> bool {
        std::mem::take(&mut *lock(&self.asked))
    }
}
