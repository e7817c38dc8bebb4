//! Trainers' calls: submits, reads and ends jobs at the box that serves the job's shard.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Response, StatusCode};
use ids::{CustomerName, ShardIndex};
use joblog::{EpochId, StorageBox};
use jobs::{reason, unpack_text};
use links::{CallError, LinkPool};
use node::{NodeView, job_scope};
use platform::calls::{self, JobCall, JobSender};
use rand::seq::SliceRandom;
use routing::{RegionMap, RegionScope, RouteTable};
use tokio::time;
use wire::peer::{
    ItemBodyRead, Job, JobEnd, JobRead, JobSubmit, RefusedKind, ServedQuery, ShardResponse,
    response_item, shard_request, shard_response,
};

use crate::isolation::ReachabilityAlarm;
use crate::response::{self, FrontBody};
use crate::search::{JobLocations, JobSearch, ShardFault};

/// Timeout for writing a job to all copies of its log. The trainer retries at another box if it
/// gets no response, so this only limits the resources used here.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for a call that does not wait for results.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for locating the shard that holds a job. The servers respond from memory; if none has
/// the job, the call itself is sent to all shards.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time added to the caller's wait for the response to arrive.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Maximum wait that a read may request.
const MAX_READ_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of server changes that one call follows.
const MAX_EPOCH_CHANGES: u32 = 2;
/// Maximum size of the texts in one page, in bytes. It leaves room for ids and JSON escapes within
/// a page of one megabyte.
const MAX_PAGE_BYTES: u32 = 600_000;
/// Reason and outcome of a job for which no shard is within the allowed regions.
const OUTSIDE_REGIONS: &str = "outside the allowed regions";

/// Sends calls to the servers of the job shards.
#[derive(Debug, Clone)]
pub struct ShardClient {
    view: Arc<NodeView>,
    links: LinkPool,
    alarm: Arc<ReachabilityAlarm>,
    /// Cached locations of recently used jobs.
    locations: Arc<Mutex<JobLocations>>,
}

impl ShardClient {
    /// Creates a client that uses `links`.
    pub fn new(view: Arc<NodeView>, links: LinkPool) -> Self {
        Self { view, links, alarm: Arc::default(), locations: Arc::default() }
    }

    /// The alarm that failed calls raise.
    pub fn alarm(&self) -> &ReachabilityAlarm {
        &self.alarm
    }

    /// Calls the shard's server. If another box takes over the shard meanwhile, the call is
    /// repeated there immediately. This is safe because calls are idempotent by their id.
    async fn call(
        &self,
        shard: ShardIndex,
        id: &str,
        time: Duration,
        body: &shard_request::Body,
    ) -> Result<shard_response::Body, ShardFault> {
        if self.view.is_isolated() {
            return Err(ShardFault::NotServed);
        }
        let mut is_retry = false;
        for _ in 0..MAX_EPOCH_CHANGES {
            let epoch = self.epoch(shard);
            tokio::select! {
                result = self.call_copies(shard, id, time, body) => return after_retry(is_retry, body, result),
                () = self.epoch_changed(shard, epoch) => is_retry = true,
            }
        }
        after_retry(is_retry, body, self.call_copies(shard, id, time, body).await)
    }

    /// Waits until the shard's epoch differs from `epoch`.
    async fn epoch_changed(&self, shard: ShardIndex, epoch: Option<EpochId>) {
        let mut changes = self.view.changes();
        while self.epoch(shard) == epoch {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn epoch(&self, shard: ShardIndex) -> Option<EpochId> {
        self.view.assignments().plan(shard).map(|observed| observed.plan.epoch.clone())
    }

    /// Calls the boxes that hold copies of the shard, the server first. Tries the next box only if
    /// the call was not executed, or if it is a read.
    async fn call_copies(
        &self,
        shard: ShardIndex,
        id: &str,
        time: Duration,
        body: &shard_request::Body,
    ) -> Result<shard_response::Body, ShardFault> {
        let mut fault = ShardFault::NotServed;
        for address in self.copy_addresses(shard) {
            match self.call_with_retry(&address, id, time, body.clone()).await {
                Ok(response) => return Ok(response),
                Err(ShardFault::NotServed) => {}
                // Reads can be repeated; the outcome of other calls is unknown.
                Err(ShardFault::Unknown) if is_read(body) => fault = ShardFault::Unknown,
                Err(other) => return Err(other),
            }
        }
        Err(fault)
    }

    /// Calls one box. If the connection is lost during the call, repeats it once on a new
    /// connection. This is safe because calls are idempotent by their id.
    async fn call_with_retry(
        &self,
        address: &str,
        id: &str,
        time: Duration,
        body: shard_request::Body,
    ) -> Result<shard_response::Body, ShardFault> {
        let error = match self.call_once(address, id, time, body.clone()).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        if matches!(error, CallError::LinkLost | CallError::NotSent { .. }) {
            self.alarm.raise();
        }
        if error != CallError::LinkLost {
            return Err(fault_of(&error));
        }
        log::info!(target: "entry", request = id, peer = address, outcome = "asked again"; "connection lost");
        let retried = self.call_once(address, id, time, body.clone()).await;
        after_retry(true, &body, retried.map_err(|error| fault_of(&error)))
    }

    async fn call_once(
        &self,
        address: &str,
        id: &str,
        time: Duration,
        body: shard_request::Body,
    ) -> Result<shard_response::Body, CallError> {
        let unexpected = CallError::Broken { why: "unexpected kind of response" };
        let mut stream = self.links.call_shard(address, id, time, body).await?;
        let mut combined = None;
        while let Some(item) = stream.next(time).await? {
            let Some(response_item::Body::Shard(ShardResponse { body: Some(response) })) =
                item.body
            else {
                return Err(unexpected);
            };
            combined = match (combined, response) {
                (None, response) => Some(response),
                (Some(shard_response::Body::Page(mut page)), shard_response::Body::Page(more)) => {
                    page.results.extend(more.results);
                    Some(shard_response::Body::Page(page))
                }
                (Some(_), _) => return Err(unexpected),
            };
        }
        combined.ok_or(unexpected)
    }

    /// Whether a storage box of another failure domain responds within `time`, with any response.
    /// Boxes of this domain are probed only if there is no other domain.
    pub async fn can_reach_other_domains(&self, time: Duration) -> bool {
        let addresses = self.storage_boxes_to_probe();
        let probes = addresses.iter().map(|address| async move {
            let body = shard_request::Body::Served(ServedQuery::default());
            match self.links.call_shard_unary(address, time, body).await {
                Ok(_) | Err(CallError::Refused(_)) => true,
                Err(error) => {
                    log::debug!(
                        target: "entry", peer = address.as_str(), error:% = error;
                        "storage box not reachable"
                    );
                    false
                }
            }
        });
        let probes: FuturesUnordered<_> = probes.collect();
        let reached = probes.any(|reached| async move { reached });
        time::timeout(time, reached).await.unwrap_or(false)
    }

    /// Addresses of randomly chosen storage boxes: one per other failure domain, or one of this
    /// domain if there is no other.
    fn storage_boxes_to_probe(&self) -> Vec<String> {
        let assignments = self.view.assignments();
        let own_domain = &self.view.settings.domain;
        let mut boxes: Vec<&StorageBox> = assignments.boxes().collect();
        if boxes.iter().any(|copy| copy.domain != *own_domain) {
            boxes.retain(|copy| copy.domain != *own_domain);
        }
        boxes.shuffle(&mut rand::rng());
        let mut domains = HashSet::new();
        boxes.retain(|copy| domains.insert(&copy.domain));
        boxes.into_iter().map(|copy| copy.address.clone()).collect()
    }

    /// Returns the shard of a submitted job: a general one if the job may be handled in every region,
    /// otherwise that of one of the allowed regions. The choice depends only on the agreed layout,
    /// the regions of the settings and the job, so it is the same at every box.
    fn shard_for(
        &self,
        host: &str,
        model: &str,
        scope: &RegionScope,
    ) -> Result<ShardIndex, ShardFault> {
        // `None` until the boxes have agreed on the shards.
        let layout = self.view.layout().ok_or(ShardFault::NotServed)?;
        let shard = if scope_covers(scope, self.view.regions()) {
            Some(layout.general_shard(host, model))
        } else {
            layout.bound_shard(host, model, |region| scope.allows(region))
        };
        shard
            .filter(|shard| self.has_copies_within(*shard, scope))
            .ok_or(ShardFault::OutsideRegions)
    }

    /// Returns whether a shard other than `shard` holds this customer's job, because it accepted the
    /// job under an earlier scope. A submission to `shard` would then run the job twice. Queries the
    /// shards only if some are bound to regions.
    async fn is_held_elsewhere(&self, id: &str, customer: &str, shard: Option<ShardIndex>) -> bool {
        let general = self.view.shards().unwrap_or_default();
        if self.view.job_shards().iter().all(|shard| shard.get() < general) {
            return false;
        }
        let Some(holder) = self.locate(id).await.filter(|holder| Some(*holder) != shard) else {
            return false;
        };
        let read = shard_request::Body::Read(JobRead {
            shard: holder.get(),
            job: id.to_owned(),
            customer: customer.to_owned(),
            ..JobRead::default()
        });
        self.call(holder, id, CALL_TIMEOUT, &read).await.is_ok()
    }

    /// Returns whether all copies of a shard are in allowed regions. The settings of the boxes may
    /// differ, and a domain may be missing in them.
    fn has_copies_within(&self, shard: ShardIndex, scope: &RegionScope) -> bool {
        let assignments = self.view.assignments();
        let copies = assignments.plan(shard).map(|observed| &observed.plan.copies);
        let mut copies = copies.into_iter().flatten();
        copies.all(|copy| scope.allows_domain(self.view.regions(), &copy.domain))
    }

    fn copy_addresses(&self, shard: ShardIndex) -> Vec<String> {
        let assignments = self.view.assignments();
        let copies = assignments.plan(shard).map(|observed| observed.plan.copies.clone());
        copies.unwrap_or_default().into_iter().map(|copy| copy.address).collect()
    }

    /// Calls the shard that holds a job. `body` builds the request for a shard; it must have no
    /// effect at shards that don't hold the job.
    async fn call_for_job(
        &self,
        job: &str,
        time: Duration,
        body: impl Fn(ShardIndex) -> shard_request::Body,
    ) -> Result<shard_response::Body, ShardFault> {
        if self.view.is_isolated() {
            // No shard is reachable: refuse the call without waiting for a timeout.
            return Err(ShardFault::NotServed);
        }
        if let Some(shard) = self.locate(job).await {
            match self.call(shard, job, time, &body(shard)).await {
                Err(ShardFault::NoJob) if self.view.job_shards().len() != 1 => {
                    self.locations().forget(job);
                }
                ended => return ended,
            }
        }
        self.search(job, time, body).await
    }

    /// Returns the shard that holds a job, from the cache or by querying the servers.
    async fn locate(&self, job: &str) -> Option<ShardIndex> {
        let shards = self.view.job_shards();
        if let [only] = shards[..] {
            // Don't query the only server: it would delay first calls while the server is down.
            return Some(only);
        }
        if let Some(shard) = self.locations().shard(job) {
            return Some(shard);
        }
        let queries = shards.into_iter().map(|shard| async move {
            let address = self.copy_addresses(shard).into_iter().next()?;
            let body = ServedQuery { shard: shard.get(), job: job.to_owned() };
            let reply = self.links.call_shard_unary(
                &address,
                LOCATE_TIMEOUT,
                shard_request::Body::Served(body),
            );
            reply.await.ok().map(|_response| shard)
        });
        let queries: FuturesUnordered<_> = queries.collect();
        let shard = std::pin::pin!(queries.filter_map(std::future::ready)).next().await;
        self.view
            .metrics
            .count_outcome("job_search", if shard.is_some() { "found" } else { "not found" });
        let shard = shard?;
        log::debug!(target: "entry", job = job, shard = shard.get(); "job located");
        self.locations().put(job, shard);
        Some(shard)
    }

    fn locations(&self) -> MutexGuard<'_, JobLocations> {
        self.locations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the call to all shards, if the job could not be located.
    async fn search(
        &self,
        id: &str,
        time: Duration,
        body: impl Fn(ShardIndex) -> shard_request::Body,
    ) -> Result<shard_response::Body, ShardFault> {
        let calls = self.view.job_shards().into_iter().map(|shard| {
            let body = body(shard);
            async move { self.call(shard, id, time, &body).await }
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        let mut search = JobSearch::default();
        while let Some(result) = calls.next().await {
            match result {
                Ok(response) => return Ok(response),
                Err(fault) if search.failed(fault) => break,
                Err(_) => {}
            }
        }
        Err(search.combined_fault())
    }
}

/// Adjusts the result of a call that was repeated at another server or on another connection. The
/// first attempt may have been executed, so a result that promises otherwise becomes `Unknown`.
/// Reads keep their result, since they can be repeated.
fn after_retry(
    is_retry: bool,
    body: &shard_request::Body,
    result: Result<shard_response::Body, ShardFault>,
) -> Result<shard_response::Body, ShardFault> {
    let reported_not_run = matches!(
        result,
        Err(ShardFault::NotServed | ShardFault::Full | ShardFault::OutsideRegions)
    );
    if is_retry && reported_not_run && !is_read(body) { Err(ShardFault::Unknown) } else { result }
}

const fn is_read(body: &shard_request::Body) -> bool {
    matches!(body, shard_request::Body::Read(_) | shard_request::Body::ItemBodyRead(_))
}

fn fault_of(error: &CallError) -> ShardFault {
    match error {
        CallError::NotSent { .. } => ShardFault::NotServed,
        CallError::Broken { .. } | CallError::LinkLost => ShardFault::Unknown,
        CallError::Refused(refused) => match (refused.kind(), refused.reason.as_str()) {
            (RefusedKind::BadRequest, reason::NO_JOB) => ShardFault::NoJob,
            (RefusedKind::BadRequest, reason::NO_ITEM) => ShardFault::NoItem,
            (RefusedKind::NotRun, reason::FULL) => ShardFault::Full,
            (RefusedKind::NotRun, reason::OUTSIDE_REGIONS) => ShardFault::OutsideRegions,
            (RefusedKind::Conflict, reason::TAKEN) => ShardFault::Taken,
            (RefusedKind::Unknown, _) => ShardFault::Unknown,
            _ => ShardFault::NotServed,
        },
    }
}

/// Submits a job to its shard.
pub async fn submit(
    client: &ShardClient,
    sender: JobSender<'_>,
    id: &str,
    body: &Bytes,
) -> Response<FrontBody> {
    let job = match calls::read_job(id, sender, body) {
        Ok(job) => job,
        Err(error) => {
            log::warn!(target: "entry", request = id, error:% = error; "job refused");
            let remedy = "send the job as the interface says";
            return response::refuse(StatusCode::BAD_REQUEST, "bad_job", remedy, Some(id));
        }
    };
    let items = job.items.len();
    let scope = submit_scope(&client.view.table(), sender, &job);
    let searched_for = client.shard_for(sender.host, &job.model, &scope).ok();
    // Checked before any refusal: a job that another shard holds may have run.
    if client.is_held_elsewhere(id, &job.customer, searched_for).await {
        log::info!(target: "entry", job = id, outcome = "held under an earlier scope"; "job submitted");
        return accepted();
    }
    // The configuration may have changed during the search.
    let scope = submit_scope(&client.view.table(), sender, &job);
    let shard = match client.shard_for(sender.host, &job.model, &scope) {
        Ok(shard) if Some(shard) == searched_for => shard,
        Err(ShardFault::OutsideRegions) => return refuse_for_regions(client, id, items, &scope),
        Ok(_) | Err(_) => return response::not_run("shard not served", Some(id)),
    };
    let call = shard_request::Body::Submit(JobSubmit { shard: shard.get(), job: Some(job) });
    let result = client.call(shard, id, SUBMIT_TIMEOUT, &call).await;
    if result.is_ok() {
        client.locations().put(id, shard);
    }
    let outcome = match &result {
        Ok(_) => "accepted",
        Err(ShardFault::OutsideRegions) => OUTSIDE_REGIONS,
        Err(ShardFault::NotServed) => "not served",
        Err(ShardFault::Full) => "full",
        Err(ShardFault::Taken) => "id taken",
        Err(_) => "unknown",
    };
    client.view.metrics.count_outcome("job", outcome);
    log::info!(
        target: "entry", job = id, shard = shard.get(), items = items,
        customer = sender.customer.map_or("", CustomerName::as_str), outcome = outcome;
        "job submitted"
    );
    match result {
        Ok(_) => accepted(),
        Err(ShardFault::NotServed) => response::not_run("shard not served", Some(id)),
        Err(ShardFault::Full) => response::not_run("shard full", Some(id)),
        Err(ShardFault::OutsideRegions) => response::not_run(OUTSIDE_REGIONS, Some(id)),
        Err(ShardFault::Taken) => {
            let remedy = "it was not taken: send it under an id of its own";
            response::refuse(StatusCode::CONFLICT, "id taken", remedy, Some(id))
        }
        Err(_) => unknown_outcome(Some(id)),
    }
}

fn accepted() -> Response<FrontBody> {
    response::full(StatusCode::ACCEPTED, "application/json", Bytes::from_static(b"{}"))
}

/// Returns the regions that the configuration in force allows for a submitted job: those of the
/// route and customer of its submission and of all requests in it.
fn submit_scope(table: &RouteTable, sender: JobSender<'_>, job: &Job) -> RegionScope {
    let submission = table.region_scope(&sender.route.name, sender.customer);
    submission.intersect(&job_scope(table, job))
}

/// Returns whether a scope allows every region of the deployment. Without known regions, only an
/// unrestricted scope does.
fn scope_covers(scope: &RegionScope, map: &RegionMap) -> bool {
    let allows_all = || map.regions().into_iter().all(|region| scope.allows(region));
    !scope.is_restricted() || (!map.is_empty() && allows_all())
}

/// Refuses a job because no shard is within its regions.
fn refuse_for_regions(
    client: &ShardClient,
    id: &str,
    items: usize,
    scope: &RegionScope,
) -> Response<FrontBody> {
    client.view.metrics.count_outcome("job", OUTSIDE_REGIONS);
    log::info!(
        target: "entry", job = id, items = items, regions:% = scope, outcome = OUTSIDE_REGIONS;
        "job refused"
    );
    response::not_run(OUTSIDE_REGIONS, Some(id))
}

fn unknown_outcome(id: Option<&str>) -> Response<FrontBody> {
    let remedy = "it may be kept: send it again under the same id";
    response::refuse(StatusCode::BAD_GATEWAY, "outcome unknown", remedy, id)
}

/// The shards hold no job with this id for the customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownJob;

/// Creates the response to a call about a job or an item that does not exist.
pub fn not_found() -> Response<FrontBody> {
    response::refuse(
        StatusCode::NOT_FOUND,
        "not found",
        "check the ids: nothing is held under them",
        None,
    )
}

/// Serves a call about a job on behalf of `customer`.
pub async fn serve_call(
    client: &ShardClient,
    call: JobCall,
    customer: Option<&CustomerName>,
    wait: Option<Duration>,
) -> Result<Response<FrontBody>, UnknownJob> {
    let customer = customer.map_or("", CustomerName::as_str);
    match call {
        JobCall::Read { job, from } => read(client, customer, &job, from, wait).await,
        JobCall::Body { job, item } => item_body(client, customer, &job, &item).await,
        JobCall::End { job } => end_job(client, customer, &job).await,
    }
}

async fn read(
    client: &ShardClient,
    customer: &str,
    job: &str,
    from: u32,
    wait: Option<Duration>,
) -> Result<Response<FrontBody>, UnknownJob> {
    let wait = wait.unwrap_or_default().min(MAX_READ_WAIT);
    let body = |shard: ShardIndex| {
        shard_request::Body::Read(JobRead {
            shard: shard.get(),
            job: job.to_owned(),
            from,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            max_bytes: MAX_PAGE_BYTES,
            customer: customer.to_owned(),
        })
    };
    match client.call_for_job(job, wait + READ_TIMEOUT_MARGIN, body).await {
        Ok(shard_response::Body::Page(page)) => {
            let results = page.results.len();
            let texts = page.results.iter().map(|result| unpack_text(&result.packed_text));
            let texts: Vec<Vec<u8>> = match texts.collect() {
                Ok(texts) => texts,
                Err(error) => {
                    log::error!(
                        target: "entry", job = job, error:% = error;
                        "results page could not be unpacked"
                    );
                    return failed_call(client, "read", job, ShardFault::Unknown);
                }
            };
            let page = calls::write_page(&page, &texts, from);
            log::debug!(
                target: "entry", job = job, from = from, results = results, bytes = page.len();
                "page read"
            );
            Ok(response::full(StatusCode::OK, "application/json", Bytes::from(page)))
        }
        Ok(_) => failed_call(client, "read", job, ShardFault::Unknown),
        Err(fault) => failed_call(client, "read", job, fault),
    }
}

async fn item_body(
    client: &ShardClient,
    customer: &str,
    job: &str,
    item: &str,
) -> Result<Response<FrontBody>, UnknownJob> {
    let body = |shard: ShardIndex| {
        let (job, item, customer) = (job.to_owned(), item.to_owned(), customer.to_owned());
        shard_request::Body::ItemBodyRead(ItemBodyRead { shard: shard.get(), job, item, customer })
    };
    match client.call_for_job(job, CALL_TIMEOUT, body).await {
        Ok(shard_response::Body::Bytes(bytes)) => {
            Ok(response::full(StatusCode::OK, "application/octet-stream", Bytes::from(bytes.body)))
        }
        Ok(_) => failed_call(client, "body", job, ShardFault::Unknown),
        Err(fault) => failed_call(client, "body", job, fault),
    }
}

async fn end_job(
    client: &ShardClient,
    customer: &str,
    job: &str,
) -> Result<Response<FrontBody>, UnknownJob> {
    let body = |shard: ShardIndex| {
        let (job, customer) = (job.to_owned(), customer.to_owned());
        shard_request::Body::End(JobEnd { shard: shard.get(), job, customer })
    };
    match client.call_for_job(job, CALL_TIMEOUT, body).await {
        Ok(_) => {
            log::info!(target: "entry", job = job, outcome = "ended"; "job end requested");
            Ok(response::full(StatusCode::OK, "application/json", Bytes::from_static(b"{}")))
        }
        Err(fault) => failed_call(client, "end", job, fault),
    }
}

/// Creates the response to a call that failed at the shards.
fn failed_call(
    client: &ShardClient,
    operation: &'static str,
    job: &str,
    fault: ShardFault,
) -> Result<Response<FrontBody>, UnknownJob> {
    client.view.metrics.count_outcome("job_call", operation);
    log::info!(target: "entry", job = job, call = operation, fault:? = fault; "job call failed");
    match fault {
        ShardFault::NoJob => Err(UnknownJob),
        ShardFault::NoItem => Ok(not_found()),
        ShardFault::Unknown if operation == "end" => Ok(unknown_outcome(None)),
        _ => Ok(response::not_run("shard not served", None)),
    }
}
