//! Handles requests of other boxes: of entry boxes about jobs, of storage boxes about logs.

use std::sync::Arc;
use std::time::Duration;

use ids::{JobId, RecordLocation, ShardIndex};
use joblog::{CopyError, EpochId};
use jobs::{ResultsPage, reason};
use links::{PeerHandler, ResponseEnd, ResponseSink};
use node::feed::serve_feed;
use node::{job_scope, wall_time};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use wire::peer::{
    BoxHeartbeat, ItemBody, ItemBodyRead, Job, JobAccepted, JobEnd, JobEnded, JobPage, JobRead,
    ListedResult, LogAppend, LogCopy, LogRecord, LogSynced, Refused, RefusedKind, Request,
    ResponseItem, SegmentRead, ShardHandOver, ShardResponse, WeightLoad, log_record, request,
    response_item, shard_request, shard_response,
};

use crate::context::ShardContext;
use crate::hosts::ShardHosts;
use crate::keeper::ShardKeeper;
use crate::keepers::KeeperSet;
use crate::loads::apply_loads;
use crate::log::segment_read::read_piece;
use crate::peers::{handle_peer_heartbeat, local_heartbeat};
use crate::timings::log_timings;

/// Timeout for appending a change to the log.
const LOG_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Target size of one piece of a page, in bytes of text.
const PIECE_BYTES: usize = 32 << 10;
/// Maximum wait of a read.
const MAX_READ_WAIT: Duration = Duration::from_secs(1);

/// Handles requests of other boxes.
#[derive(Debug, Clone)]
pub struct ShardHandler {
    ctx: Arc<ShardContext>,
    keepers: Arc<KeeperSet>,
}

type HandlerResult = Result<shard_response::Body, Refused>;

impl PeerHandler for ShardHandler {
    async fn request(&self, request: Request, mut sink: ResponseSink, cancel: CancellationToken) {
        let Some(request::Body::Shard(query)) = request.body else {
            return sink
                .refuse(bad_request(
                    "this box stores shards of jobs: send the request to an entry box",
                ))
                .await;
        };
        let Some(body) = query.body else {
            return sink
                .refuse(bad_request(
                    "the request is empty or of an unknown kind: send a supported one",
                ))
                .await;
        };
        if let shard_request::Body::Admission(ask) = body {
            if self.ctx.is_leaving() {
                return sink.refuse(not_served()).await;
            }
            return self.ctx.admission.serve(&self.ctx.view, ask, sink, cancel).await;
        }
        let result = tokio::select! {
            result = self.handle(body) => result,
            () = cancel.cancelled() => return,
        };
        match result {
            Ok(shard_response::Body::Page(page)) => {
                for piece in split_page(page) {
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

    async fn handle_heartbeat(&self, _heartbeat: BoxHeartbeat) {}
}

fn shard_item(body: shard_response::Body) -> ResponseItem {
    ResponseItem { body: Some(response_item::Body::Shard(ShardResponse { body: Some(body) })) }
}

/// Splits a page into pieces of about [`PIECE_BYTES`]; the first one may be empty. Small frames
/// keep the buffers of a connection small.
fn split_page(page: JobPage) -> Vec<JobPage> {
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

fn bad_request(message: &str) -> Refused {
    refused(RefusedKind::BadRequest, "", message)
}

fn not_served() -> Refused {
    refused(
        RefusedKind::NotKept,
        "",
        "this box does not serve the shard: send the request to its server",
    )
}

fn job_not_found() -> Refused {
    refused(RefusedKind::BadRequest, reason::NO_JOB, "there is no such job: check its id")
}

/// Returns whether the in-memory job table of a shard contains a job.
fn has_job(keeper: &ShardKeeper, job: &str) -> bool {
    job.parse().is_ok_and(|id| keeper.jobs().contains(&id))
}

/// Returns the response to a submitted job whose id is present, possibly under another customer.
fn submit_response(keeper: &ShardKeeper, id: &JobId, customer: &str, known: bool) -> HandlerResult {
    if !keeper.jobs().belongs_to_other_customer(id, customer) {
        return Ok(shard_response::Body::Accepted(JobAccepted { known }));
    }
    log::warn!(target: "jobs", job:% = id, customer = customer, outcome = "id taken"; "job refused");
    let message = "the id is in use: send the job with another id";
    Err(refused(RefusedKind::Conflict, reason::TAKEN, message))
}

fn outcome_unknown() -> Refused {
    let message = "the outcome is unknown: repeat the request with the same id";
    refused(RefusedKind::Unknown, "", message)
}

impl ShardHandler {
    /// Creates a handler for the shards of this box.
    pub const fn new(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) -> Self {
        Self { ctx, keepers }
    }

    fn keeper(&self, shard: u32) -> Result<&Arc<ShardKeeper>, Refused> {
        if self.keepers.all().is_empty() {
            // The shard count is not agreed yet.
            return Err(not_served());
        }
        let message = "there is no such shard: configure the same shard count on all boxes";
        self.keepers.get(ShardIndex::new(shard)).ok_or_else(|| bad_request(message))
    }

    fn served(&self, shard: u32) -> Result<&Arc<ShardKeeper>, Refused> {
        let keeper = self.keeper(shard)?;
        if keeper.is_confirmed() { Ok(keeper) } else { Err(not_served()) }
    }

    async fn handle(&self, body: shard_request::Body) -> HandlerResult {
        match body {
            shard_request::Body::Submit(submit) => match submit.job {
                Some(job) => self.submit(submit.shard, job).await,
                None => Err(bad_request("the job is missing: send it")),
            },
            shard_request::Body::Read(read) => self.read(read).await,
            shard_request::Body::ItemBodyRead(query) => self.item_body(&query).await,
            shard_request::Body::End(end) => self.end(&end).await,
            shard_request::Body::Append(append) => self.append(append).await,
            shard_request::Body::Copy(copy) => self.copy(copy).await,
            shard_request::Body::SegmentRead(read) => self.read_segment(&read).await,
            shard_request::Body::Heartbeat(heartbeat) => {
                handle_peer_heartbeat(&self.ctx, &heartbeat);
                self.apply_loads(&heartbeat.loads);
                let own = local_heartbeat(&self.ctx, self.keepers.all());
                Ok(shard_response::Body::Heartbeat(Box::new(own)))
            }
            shard_request::Body::HandOver(hand_over) => self.hand_over(&hand_over),
            shard_request::Body::Served(query) => {
                let keeper = self.served(query.shard)?;
                if !query.job.is_empty() && !has_job(keeper, &query.job) {
                    return Err(job_not_found());
                }
                Ok(shard_response::Body::Synced(LogSynced::default()))
            }
            // Handled by the caller, since it holds its call open.
            shard_request::Body::Admission(_) => Err(not_served()),
            shard_request::Body::Feed(read) => {
                Ok(shard_response::Body::Feed(serve_feed(&self.ctx.view, &read).await))
            }
        }
    }

    fn apply_loads(&self, loads: &[WeightLoad]) {
        if loads.is_empty() {
            return;
        }
        let view = &self.ctx.view;
        apply_loads(&mut view.target_table(), view.now(), loads);
        // Items may be waiting for these engines.
        view.wake();
    }

    async fn submit(&self, shard: u32, mut job: Job) -> HandlerResult {
        let keeper = self.served(shard)?;
        let id: JobId =
            job.id.parse().map_err(|_error| bad_request("the job's id is invalid: check it"))?;
        if keeper.jobs().contains(&id) {
            return submit_response(keeper, &id, &job.customer, true);
        }
        self.check_regions(keeper.shard(), &job)?;
        let bytes: usize = job.items.iter().map(|item| item.body.len()).sum();
        // The limit covers all shards of the box, since it may come to serve any of them.
        let held: usize = self.keepers.all().iter().map(|keeper| keeper.jobs().bytes()).sum();
        if held + bytes > self.ctx.settings.job_bytes {
            let message = "this box has reached its limit for jobs: send the job later";
            return Err(refused(RefusedKind::NotRun, reason::FULL, message));
        }
        let (items, min_version, customer) =
            (job.items.len(), job.min_version, job.customer.clone());
        job.accepted_wall_ms = wall_time().millis();
        let record = LogRecord { body: Some(log_record::Body::Accepted(job)) };
        let logged = append_with_timeout(keeper, vec![record]).await;
        log::info!(
            target: "jobs", job:% = id, shard = shard, items = items, min_version = min_version,
            outcome = if logged.is_ok() { "accepted" } else { "unknown" };
            "job recorded"
        );
        logged?;
        submit_response(keeper, &id, &customer, false)
    }

    /// Refuses a job if a copy of the shard is outside of the regions that the configuration in
    /// force allows for it, or may be after a change of epoch. The entry box may have chosen the
    /// shard by an earlier configuration.
    fn check_regions(&self, shard: ShardIndex, job: &Job) -> Result<(), Refused> {
        let view = &self.ctx.view;
        let scope = job_scope(&view.table(), job);
        if !scope.is_restricted() {
            return Ok(());
        }
        let is_within = ShardHosts::new(view, shard).are_within(&scope);
        let assignments = view.assignments();
        let copies = assignments.plan(shard).map(|observed| &observed.plan.copies);
        let mut copies = copies.into_iter().flatten();
        if is_within && copies.all(|copy| scope.allows_domain(view.regions(), &copy.domain)) {
            return Ok(());
        }
        drop(assignments);
        log::warn!(
            target: "jobs", job = job.id.as_str(), shard = shard.get(), regions:% = scope,
            outcome = "outside regions"; "job refused"
        );
        let message = "copies of this shard are outside of the job's regions: send the job later";
        Err(refused(RefusedKind::NotRun, reason::OUTSIDE_REGIONS, message))
    }

    async fn read(&self, read: JobRead) -> HandlerResult {
        let keeper = self.served(read.shard)?;
        let id: JobId = read.job.parse().map_err(|_error| job_not_found())?;
        let wait = Duration::from_millis(u64::from(read.wait_ms)).min(MAX_READ_WAIT);
        let until = Instant::now() + wait;
        let max_bytes = usize::try_from(read.max_bytes).unwrap_or(usize::MAX);
        let mut changes = keeper.changes();
        loop {
            if !keeper.jobs().may_access(&id, &read.customer) {
                return Err(self.confirm_job_not_found(keeper).await);
            }
            let page = keeper.jobs().page(&id, read.from, max_bytes);
            let Some(ResultsPage { page, on_disk }) = page else {
                return Err(self.confirm_job_not_found(keeper).await);
            };
            let count = u32::try_from(page.results.len()).unwrap_or(u32::MAX);
            let more = read.from.saturating_add(count) < page.total;
            if !page.results.is_empty() || !more || Instant::now() >= until {
                let result = Self::complete_page(keeper, page, on_disk).await;
                if result.is_ok() {
                    let until = read.from.saturating_add(count);
                    keeper.jobs().record_read(self.ctx.view.now(), &id, until);
                }
                return result;
            }
            // Checks the page again after a change and after the timeout.
            let _elapsed = time::timeout_at(until, changes.changed()).await;
        }
    }

    /// Completes a page with texts read back from disk. The page is returned only if the shard is
    /// still confirmed afterwards.
    async fn complete_page(
        keeper: &ShardKeeper,
        mut page: JobPage,
        on_disk: Vec<(usize, RecordLocation)>,
    ) -> HandlerResult {
        let locations = on_disk.iter().map(|(_, location)| *location).collect();
        let Some(records) = keeper.load(locations).await else { return Err(not_served()) };
        for ((index, _), record) in on_disk.into_iter().zip(records) {
            match record.body {
                Some(log_record::Body::Listed(ListedResult { result: Some(result), .. }))
                    if result.item == page.results[index].item =>
                {
                    page.results[index] = result;
                }
                // The copy was replaced meanwhile; the caller has to query the shard's current
                // server.
                _ => return Err(not_served()),
            }
        }
        if keeper.is_confirmed() { Ok(shard_response::Body::Page(page)) } else { Err(not_served()) }
    }

    /// Returns the refusal for an unknown job, after a confirmation that this box still serves the
    /// shard.
    async fn confirm_job_not_found(&self, keeper: &ShardKeeper) -> Refused {
        match append_with_timeout(keeper, Vec::new()).await {
            Ok(()) => job_not_found(),
            Err(_unknown) => not_served(),
        }
    }

    async fn item_body(&self, query: &ItemBodyRead) -> HandlerResult {
        let keeper = self.served(query.shard)?;
        let id: JobId = query.job.parse().map_err(|_error| job_not_found())?;
        let (may_read, body) = {
            let jobs = keeper.jobs();
            let may_read = jobs.may_access(&id, &query.customer);
            (may_read, jobs.body(&id, &query.item).filter(|_| may_read))
        };
        match body {
            Some(body) => Ok(shard_response::Body::Bytes(ItemBody { body })),
            None if may_read => {
                let message = "the job has no such item: check its id";
                Err(refused(RefusedKind::BadRequest, reason::NO_ITEM, message))
            }
            None => Err(self.confirm_job_not_found(keeper).await),
        }
    }

    async fn end(&self, end: &JobEnd) -> HandlerResult {
        let keeper = self.served(end.shard)?;
        let id: JobId = end.job.parse().map_err(|_error| job_not_found())?;
        if !keeper.jobs().may_access(&id, &end.customer) {
            return Err(self.confirm_job_not_found(keeper).await);
        }
        let timings = keeper.jobs().finish_timings(self.ctx.view.now(), &id);
        let records = keeper.jobs().end(&id);
        keeper.cancel_runs(&id);
        if let Some(timings) = timings.filter(|_| records.is_some()) {
            log_timings(keeper, &id, &timings);
            if let Some(outcome) = timings.due_outcome() {
                self.ctx.view.metrics.count_outcome("job_due", outcome);
            }
        }
        // Without a record this waits for an append of the same end that is in flight.
        let logged = append_with_timeout(keeper, records.into_iter().collect()).await;
        log::info!(
            target: "jobs", job:% = id, shard = end.shard,
            outcome = if logged.is_ok() { "ended" } else { "unknown" };
            "job ended"
        );
        logged?;
        Ok(shard_response::Body::Ended(JobEnded {}))
    }

    async fn append(&self, append: LogAppend) -> HandlerResult {
        let epoch = parse_epoch(&append.epoch)?;
        let shard = ShardIndex::new(append.shard);
        let appended = self.ctx.copies.append(shard, &epoch, append.offset, append.records).await;
        synced_response(appended)
    }

    async fn copy(&self, copy: LogCopy) -> HandlerResult {
        let epoch = parse_epoch(&copy.epoch)?;
        let shard = ShardIndex::new(copy.shard);
        if !ShardHosts::new(&self.ctx.view, shard).includes(&self.ctx.me) {
            let message = "this box is outside of the shard's region: configure the same regions on all boxes";
            return Err(refused(RefusedKind::NotRun, reason::OUTSIDE_REGIONS, message));
        }
        if self.ctx.is_leaving() {
            return Err(refused(
                RefusedKind::NotRun,
                "leaving",
                "this box is leaving: choose another",
            ));
        }
        let received =
            self.ctx.copies.receive(shard, epoch, copy.first, copy.last, copy.records).await;
        synced_response(received)
    }

    async fn read_segment(&self, read: &SegmentRead) -> HandlerResult {
        let epoch = parse_epoch(&read.epoch)?;
        let piece = read_piece(self.ctx.copies.folder(), epoch, read).await;
        piece.map(shard_response::Body::SegmentPiece).ok_or_else(|| {
            let message = "this box does not have the segment: read it from another box";
            refused(RefusedKind::NotRun, "no segment", message)
        })
    }

    fn hand_over(&self, hand_over: &ShardHandOver) -> HandlerResult {
        let keeper = self.keeper(hand_over.shard)?;
        log::info!(target: "shard", shard = hand_over.shard, token = hand_over.token; "takeover requested");
        keeper.request_takeover();
        Ok(shard_response::Body::Synced(LogSynced::default()))
    }
}

fn parse_epoch(text: &str) -> Result<EpochId, Refused> {
    text.parse().map_err(|_error| {
        bad_request("the epoch id is invalid: check that all boxes run the same release")
    })
}

fn synced_response(done: Option<Result<u64, CopyError>>) -> HandlerResult {
    match done {
        Some(Ok(length)) => Ok(shard_response::Body::Synced(LogSynced { length })),
        Some(Err(error)) => Err(refused(RefusedKind::Unknown, "disk", &error.to_string())),
        None => {
            let message = "the epoch is not open on this box: start a new epoch";
            Err(refused(RefusedKind::NotKept, "closed", message))
        }
    }
}

async fn append_with_timeout(keeper: &ShardKeeper, records: Vec<LogRecord>) -> Result<(), Refused> {
    match time::timeout(LOG_TIMEOUT, keeper.append_and_wait(records)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(outcome_unknown()),
    }
}
