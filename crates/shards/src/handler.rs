//! Answers other boxes: entry boxes about jobs, keeping boxes about logs.

use std::sync::Arc;
use std::time::Duration;

use ids::{JobId, RecordLocation, ShardIndex};
use joblog::{CopyError, EpochId};
use jobs::{ResultsPage, reason};
use links::{PeerHandler, ResponseEnd, ResponseSink};
use node::feed::serve_feed;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use wire::peer::{
    BoxHeartbeat, ItemBody, ItemBodyRead, Job, JobAccepted, JobEnd, JobEnded, JobPage, JobRead,
    ListedResult, LogAppend, LogCopy, LogRecord, LogSynced, Refused, RefusedKind, Request,
    ResponseItem, ShardHandOver, ShardResponse, WeightLoad, log_record, request, response_item,
    shard_request, shard_response,
};

use crate::account::log_account;
use crate::context::ShardContext;
use crate::keeper::ShardKeeper;
use crate::keepers::KeeperSet;
use crate::loads::hear_loads;
use crate::peers::{own_beat, take_beat};

/// Longest wait for the log when a call changes something.
const LOG_TIME: Duration = Duration::from_millis(2_500);
/// Bytes of text in one piece of a page.
const PIECE_BYTES: usize = 32 << 10;
/// Longest wait of a read.
const MOST_WAIT: Duration = Duration::from_secs(1);

/// Answers other boxes.
#[derive(Debug, Clone)]
pub struct ShardHandler {
    ctx: Arc<ShardContext>,
    keepers: Arc<KeeperSet>,
}

type Answered = Result<shard_response::Body, Refused>;

impl PeerHandler for ShardHandler {
    async fn request(&self, request: Request, mut sink: ResponseSink, cancel: CancellationToken) {
        let Some(request::Body::Shard(asked)) = request.body else {
            return sink.refuse(wrong("this box keeps shards of jobs: ask an entry box")).await;
        };
        let Some(body) = asked.body else {
            return sink.refuse(wrong("the request is empty: send one of its kinds")).await;
        };
        let answered = tokio::select! {
            answered = self.answer(body) => answered,
            () = cancel.cancelled() => return,
        };
        match answered {
            Ok(shard_response::Body::Page(page)) => {
                for piece in page_pieces(page) {
                    let body = shard_response::Body::Page(piece);
                    if !sink.item(shard_item(body)).await {
                        return;
                    }
                }
                sink.end(ResponseEnd::default()).await;
            }
            Ok(body) => {
                if sink.item(shard_item(body)).await {
                    sink.end(ResponseEnd::default()).await;
                }
            }
            Err(refused) => sink.refuse(refused).await,
        }
    }

    async fn handle_heartbeat(&self, _beat: BoxHeartbeat) {}
}

fn shard_item(body: shard_response::Body) -> ResponseItem {
    ResponseItem { body: Some(response_item::Body::Shard(ShardResponse { body: Some(body) })) }
}

/// A page in pieces of some [`PIECE_BYTES`], the first one even if it holds no result: a
/// connection's buffers stay as large as the largest frame that it has passed.
fn page_pieces(page: JobPage) -> Vec<JobPage> {
    let total = page.total;
    let mut pieces = vec![JobPage { total, results: Vec::new() }];
    let mut bytes = 0;
    for result in page.results {
        if bytes >= PIECE_BYTES {
            pieces.push(JobPage { total, results: Vec::new() });
            bytes = 0;
        }
        bytes += result.packed_text.len();
        if let Some(piece) = pieces.last_mut() {
            piece.results.push(result);
        }
    }
    pieces
}

fn refused(kind: RefusedKind, reason: &str, message: &str) -> Refused {
    Refused {
        kind: kind.into(),
        message: message.to_owned(),
        reason: reason.to_owned(),
        ..Refused::default()
    }
}

fn wrong(message: &str) -> Refused {
    refused(RefusedKind::BadRequest, "", message)
}

fn not_kept() -> Refused {
    refused(RefusedKind::NotKept, "", "this box does not serve the shard: ask the one that does")
}

fn not_known() -> Refused {
    refused(RefusedKind::BadRequest, reason::NO_JOB, "no such job is held: check its id")
}

/// Whether a shard holds a job, by what is in memory.
fn holds(keeper: &ShardKeeper, job: &str) -> bool {
    job.parse().is_ok_and(|id| keeper.book().contains(&id))
}

/// The answer to a job that is held under `id`, perhaps as another customer's.
fn accepted(keeper: &ShardKeeper, id: &JobId, customer: &str, known: bool) -> Answered {
    if !keeper.book().belongs_to_other_customer(id, customer) {
        return Ok(shard_response::Body::Accepted(JobAccepted { known }));
    }
    log::warn!(target: "jobs", job:% = id, customer = customer, outcome = "id taken"; "job refused");
    let message = "the id is in use: send the job under an id of its own";
    Err(refused(RefusedKind::Conflict, reason::TAKEN, message))
}

fn unsure() -> Refused {
    let message = "the log has ended meanwhile, it may be kept: ask again under the same id";
    refused(RefusedKind::Unknown, "", message)
}

impl ShardHandler {
    /// A handler for the shards of this box.
    pub const fn new(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) -> Self {
        Self { ctx, keepers }
    }

    fn keeper(&self, shard: u32) -> Result<&Arc<ShardKeeper>, Refused> {
        if self.keepers.all().is_empty() {
            // It has not heard yet how many there are.
            return Err(not_kept());
        }
        let message = "there is no such shard: give all boxes the same number of shards";
        self.keepers.get(ShardIndex::new(shard)).ok_or_else(|| wrong(message))
    }

    fn served(&self, shard: u32) -> Result<&Arc<ShardKeeper>, Refused> {
        let keeper = self.keeper(shard)?;
        if keeper.is_proven() { Ok(keeper) } else { Err(not_kept()) }
    }

    async fn answer(&self, body: shard_request::Body) -> Answered {
        match body {
            shard_request::Body::Submit(submit) => match submit.job {
                Some(job) => self.submit(submit.shard, job).await,
                None => Err(wrong("the job is missing: send it")),
            },
            shard_request::Body::Read(read) => self.read(read).await,
            shard_request::Body::ItemBodyRead(asked) => self.item_body(&asked).await,
            shard_request::Body::End(end) => self.end(&end).await,
            shard_request::Body::Append(append) => self.append(append).await,
            shard_request::Body::Copy(copy) => self.copy(copy).await,
            shard_request::Body::Heartbeat(beat) => {
                take_beat(&self.ctx, &beat);
                self.hear_loads(&beat.loads);
                Ok(shard_response::Body::Heartbeat(own_beat(&self.ctx, self.keepers.all())))
            }
            shard_request::Body::HandOver(hand_over) => self.hand_over(&hand_over),
            shard_request::Body::Served(asked) => {
                let keeper = self.served(asked.shard)?;
                if !asked.job.is_empty() && !holds(keeper, &asked.job) {
                    return Err(not_known());
                }
                Ok(shard_response::Body::Synced(LogSynced::default()))
            }
            shard_request::Body::Feed(read) => {
                Ok(shard_response::Body::Feed(serve_feed(&self.ctx.view, &read).await))
            }
        }
    }

    fn hear_loads(&self, loads: &[WeightLoad]) {
        if loads.is_empty() {
            return;
        }
        let view = &self.ctx.view;
        hear_loads(&mut view.target_table(), view.now(), loads);
        // Items may be waiting for these engines.
        view.wake();
    }

    async fn submit(&self, shard: u32, job: Job) -> Answered {
        let keeper = self.served(shard)?;
        let id: JobId = job.id.parse().map_err(|_fault| wrong("the job's id is not an id"))?;
        if keeper.book().contains(&id) {
            return accepted(keeper, &id, &job.customer, true);
        }
        let bytes: usize = job.items.iter().map(|item| item.body.len()).sum();
        // One limit for all shards: any box may come to serve each of them.
        let held: usize = self.keepers.all().iter().map(|keeper| keeper.book().bytes()).sum();
        if held + bytes > self.ctx.settings.job_bytes {
            let message = "the shard holds as much as it may: send the job later";
            return Err(refused(RefusedKind::NotRun, reason::FULL, message));
        }
        let (items, min_version, customer) =
            (job.items.len(), job.min_version, job.customer.clone());
        let record = LogRecord { body: Some(log_record::Body::Accepted(job)) };
        let logged = log_in_time(keeper, vec![record]).await;
        log::info!(
            target: "jobs", job:% = id, shard = shard, items = items, min_version = min_version,
            outcome = if logged.is_ok() { "accepted" } else { "unknown" };
            "job taken"
        );
        logged?;
        accepted(keeper, &id, &customer, false)
    }

    async fn read(&self, read: JobRead) -> Answered {
        let keeper = self.served(read.shard)?;
        let id: JobId = read.job.parse().map_err(|_fault| not_known())?;
        let wait = Duration::from_millis(u64::from(read.wait_ms)).min(MOST_WAIT);
        let until = Instant::now() + wait;
        let most = usize::try_from(read.max_bytes).unwrap_or(usize::MAX);
        let mut changes = keeper.changes();
        loop {
            if !keeper.book().may_ask(&id, &read.customer) {
                return Err(self.surely_unknown(keeper).await);
            }
            let page = keeper.book().page(&id, read.from, most);
            let Some(ResultsPage { page, on_disk }) = page else {
                return Err(self.surely_unknown(keeper).await);
            };
            let whole = u32::try_from(page.results.len()).unwrap_or(u32::MAX);
            let more = read.from.saturating_add(whole) < page.total;
            if !page.results.is_empty() || !more || Instant::now() >= until {
                let answered = Self::page(keeper, page, on_disk).await;
                if answered.is_ok() {
                    let until = read.from.saturating_add(whole);
                    keeper.book().record_read(self.ctx.view.now(), &id, until);
                }
                return answered;
            }
            // Whether it changed or the time is over, the page is looked at once more.
            let _elapsed = time::timeout_at(until, changes.changed()).await;
        }
    }

    /// A page may be shown only while this box surely serves the shard. Texts that are not held
    /// are read back.
    async fn page(
        keeper: &ShardKeeper,
        mut page: JobPage,
        on_disk: Vec<(usize, RecordLocation)>,
    ) -> Answered {
        let places = on_disk.iter().map(|(_, place)| *place).collect();
        let Some(records) = keeper.load(places).await else { return Err(not_kept()) };
        for ((index, _), record) in on_disk.into_iter().zip(records) {
            match record.body {
                Some(log_record::Body::Listed(ListedResult { result: Some(result), .. }))
                    if result.item == page.results[index].item =>
                {
                    page.results[index] = result;
                }
                // The copy was replaced meanwhile: whoever serves the shard now knows better.
                _ => return Err(not_kept()),
            }
        }
        if keeper.is_proven() { Ok(shard_response::Body::Page(page)) } else { Err(not_kept()) }
    }

    /// The refusal for a job that is not held, once it is certain that no other box has taken it.
    async fn surely_unknown(&self, keeper: &ShardKeeper) -> Refused {
        match log_in_time(keeper, Vec::new()).await {
            Ok(()) => not_known(),
            Err(_unsure) => not_kept(),
        }
    }

    async fn item_body(&self, asked: &ItemBodyRead) -> Answered {
        let keeper = self.served(asked.shard)?;
        let id: JobId = asked.job.parse().map_err(|_fault| not_known())?;
        let (known, body) = {
            let book = keeper.book();
            let known = book.may_ask(&id, &asked.customer);
            (known, book.body(&id, &asked.item).filter(|_| known))
        };
        match body {
            Some(body) => Ok(shard_response::Body::Bytes(ItemBody { body })),
            None if known => {
                let message = "the job has no such item: check its id";
                Err(refused(RefusedKind::BadRequest, reason::NO_ITEM, message))
            }
            None => Err(self.surely_unknown(keeper).await),
        }
    }

    async fn end(&self, end: &JobEnd) -> Answered {
        let keeper = self.served(end.shard)?;
        let id: JobId = end.job.parse().map_err(|_fault| not_known())?;
        if !keeper.book().may_ask(&id, &end.customer) {
            return Err(self.surely_unknown(keeper).await);
        }
        let account = keeper.book().finish_timings(self.ctx.view.now(), &id);
        let records = keeper.book().end(&id);
        keeper.cancel_runs(&id);
        if let Some(account) = account.filter(|_| records.is_some()) {
            log_account(keeper, &id, &account);
        }
        // Without a record this waits for an end that is under way.
        let logged = log_in_time(keeper, records.into_iter().collect()).await;
        log::info!(
            target: "jobs", job:% = id, shard = end.shard,
            outcome = if logged.is_ok() { "ended" } else { "unknown" };
            "job ended"
        );
        logged?;
        Ok(shard_response::Body::Ended(JobEnded {}))
    }

    async fn append(&self, append: LogAppend) -> Answered {
        let epoch = parse_epoch(&append.epoch)?;
        let shard = ShardIndex::new(append.shard);
        let appended = self.ctx.copies.append(shard, &epoch, append.offset, append.records).await;
        synced(appended)
    }

    async fn copy(&self, copy: LogCopy) -> Answered {
        let epoch = parse_epoch(&copy.epoch)?;
        let shard = ShardIndex::new(copy.shard);
        if self.ctx.is_leaving() {
            return Err(refused(RefusedKind::NotRun, "leaving", "this box leaves: choose another"));
        }
        let received =
            self.ctx.copies.receive(shard, epoch, copy.first, copy.last, copy.records).await;
        synced(received)
    }

    fn hand_over(&self, hand_over: &ShardHandOver) -> Answered {
        let keeper = self.keeper(hand_over.shard)?;
        log::info!(target: "shard", shard = hand_over.shard, token = hand_over.token; "asked to serve");
        keeper.ask();
        Ok(shard_response::Body::Synced(LogSynced::default()))
    }
}

fn parse_epoch(text: &str) -> Result<EpochId, Refused> {
    text.parse()
        .map_err(|_fault| wrong("the epoch cannot be read: check that all boxes run one release"))
}

fn synced(done: Option<Result<u64, CopyError>>) -> Answered {
    match done {
        Some(Ok(length)) => Ok(shard_response::Body::Synced(LogSynced { length })),
        Some(Err(error)) => Err(refused(RefusedKind::Unknown, "disk", &error.to_string())),
        None => {
            let message = "the epoch is not open here: form a new one";
            Err(refused(RefusedKind::NotKept, "closed", message))
        }
    }
}

async fn log_in_time(keeper: &ShardKeeper, records: Vec<LogRecord>) -> Result<(), Refused> {
    match time::timeout(LOG_TIME, keeper.log_and_wait(records)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(unsure()),
    }
}
