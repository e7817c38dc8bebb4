//! Trainers' calls: jobs handed in, read and ended, at whichever box serves the job's shard.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Response, StatusCode};
use ids::{CustomerName, ShardIndex};
use joblog::{EpochId, StorageBox, shard_of_job};
use jobs::{reason, unpack_text};
use links::{CallError, LinkPool};
use node::NodeView;
use platform::calls::{self, JobCall, JobSender};
use rand::seq::SliceRandom;
use tokio::time;
use wire::peer::{
    ItemBodyRead, JobEnd, JobRead, JobSubmit, RefusedKind, ServedQuery, ShardResponse,
    response_item, shard_request, shard_response,
};

use crate::answer::{self, FrontBody};
use crate::isolation::ReachDoubt;
use crate::search::{JobPlaces, JobSearch, ShardFault};

/// Longest time for a job to be on all copies of its log. The sender comes again elsewhere when
/// it hears nothing, so this only bounds what is held here.
const SUBMIT_TIME: Duration = Duration::from_secs(3);
/// Longest time for a call that waits for nothing.
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Longest time to find the shard that holds a job: its server answers from memory, and where that takes
/// longer, the call itself is made at all shards.
const LOCATE_TIME: Duration = Duration::from_millis(300);
/// Room for an answer beyond the wait that the caller asked for.
const READ_SLACK: Duration = Duration::from_millis(800);
/// Longest wait that a read may ask for.
const MOST_WAIT: Duration = Duration::from_secs(1);
/// Changes of server that one call follows.
const MOST_SERVERS: u32 = 2;
/// Most bytes of texts in one page; the rest of the megabyte is for ids and JSON escapes.
const PAGE_BYTES: u32 = 600_000;

/// The way to the shards.
#[derive(Debug, Clone)]
pub struct ShardClient {
    view: Arc<NodeView>,
    links: LinkPool,
    doubt: Arc<ReachDoubt>,
    /// Where jobs are held of which this box has heard lately.
    places: Arc<Mutex<JobPlaces>>,
}

impl ShardClient {
    /// A client over these links.
    pub fn new(view: Arc<NodeView>, links: LinkPool) -> Self {
        Self { view, links, doubt: Arc::default(), places: Arc::default() }
    }

    /// Doubts that failed calls have raised.
    pub fn doubt(&self) -> &ReachDoubt {
        &self.doubt
    }

    /// Asks the shard's server. When another box begins to serve the shard meanwhile, that one is asked
    /// at once: whatever the call does, it does once for its id.
    async fn ask(
        &self,
        shard: ShardIndex,
        id: &str,
        time: Duration,
        body: &shard_request::Body,
    ) -> Result<shard_response::Body, ShardFault> {
        if self.view.is_isolated() {
            return Err(ShardFault::NotServed);
        }
        let mut left = false;
        for _ in 0..MOST_SERVERS {
            let epoch = self.epoch(shard);
            tokio::select! {
                asked = self.ask_copies(shard, id, time, body) => return after_change(left, body, asked),
                () = self.other_server(shard, epoch) => left = true,
            }
        }
        after_change(left, body, self.ask_copies(shard, id, time, body).await)
    }

    /// Returns once another epoch of the shard is in force.
    async fn other_server(&self, shard: ShardIndex, epoch: Option<EpochId>) {
        let mut changes = self.view.changes();
        while self.epoch(shard) == epoch {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn epoch(&self, shard: ShardIndex) -> Option<EpochId> {
        self.view.assignments().plan(shard).map(|sighting| sighting.plan.epoch.clone())
    }

    /// Asks the boxes with copies, the server first. Another one is asked only after an answer which
    /// says that nothing was done.
    async fn ask_copies(
        &self,
        shard: ShardIndex,
        id: &str,
        time: Duration,
        body: &shard_request::Body,
    ) -> Result<shard_response::Body, ShardFault> {
        let mut fault = ShardFault::NotServed;
        for address in self.addresses(shard) {
            match self.ask_at(&address, id, time, body.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(ShardFault::NotServed) => {}
                // A read does no harm twice; whatever changes something must not be guessed.
                Err(ShardFault::Unknown) if is_read(body) => fault = ShardFault::Unknown,
                Err(other) => return Err(other),
            }
        }
        Err(fault)
    }

    /// Asks one box. When the connection is lost under the call, it is made again on a new one:
    /// whatever it does, it does once for its id.
    async fn ask_at(
        &self,
        address: &str,
        id: &str,
        time: Duration,
        body: shard_request::Body,
    ) -> Result<shard_response::Body, ShardFault> {
        let error = match self.ask_once(address, id, time, body.clone()).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        if matches!(error, CallError::LinkLost | CallError::NotSent { .. }) {
            self.doubt.raise();
        }
        if error != CallError::LinkLost {
            return Err(fault_of(&error));
        }
        log::info!(target: "entry", request = id, peer = address, outcome = "asked again"; "connection lost");
        let again = self.ask_once(address, id, time, body.clone()).await;
        after_change(true, &body, again.map_err(|error| fault_of(&error)))
    }

    async fn ask_once(
        &self,
        address: &str,
        id: &str,
        time: Duration,
        body: shard_request::Body,
    ) -> Result<shard_response::Body, CallError> {
        let odd = CallError::Broken { why: "an answer of another kind" };
        let mut stream = self.links.call_shard(address, id, time, body).await?;
        let mut whole = None;
        while let Some(item) = stream.next(time).await? {
            let Some(response_item::Body::Shard(ShardResponse { body: Some(answer) })) = item.body
            else {
                return Err(odd);
            };
            whole = match (whole, answer) {
                (None, answer) => Some(answer),
                (Some(shard_response::Body::Page(mut page)), shard_response::Body::Page(more)) => {
                    page.results.extend(more.results);
                    Some(shard_response::Body::Page(page))
                }
                (Some(_), _) => return Err(odd),
            };
        }
        whole.ok_or(odd)
    }

    /// Whether a box that keeps data answers from another failure domain; from this one, if there is no
    /// other. What it answers does not matter.
    pub async fn reaches_others(&self, time: Duration) -> bool {
        let addresses = self.other_keepers();
        let asked = addresses.iter().map(|address| async move {
            let body = shard_request::Body::Served(ServedQuery::default());
            match self.links.call_shard_unary(address, time, body).await {
                Ok(_) | Err(CallError::Refused(_)) => true,
                Err(error) => {
                    log::debug!(target: "entry", peer = address.as_str(), error:% = error; "not reached");
                    false
                }
            }
        });
        let asked: FuturesUnordered<_> = asked.collect();
        let reached = asked.any(|reached| async move { reached });
        time::timeout(time, reached).await.unwrap_or(false)
    }

    /// Addresses of keeping boxes, one of each other failure domain, and another each time.
    fn other_keepers(&self) -> Vec<String> {
        let duties = self.view.assignments();
        let own = &self.view.settings.domain;
        let mut boxes: Vec<&StorageBox> = duties.boxes().collect();
        if boxes.iter().any(|copy| copy.domain != *own) {
            boxes.retain(|copy| copy.domain != *own);
        }
        boxes.shuffle(&mut rand::rng());
        let mut domains = HashSet::new();
        boxes.retain(|copy| domains.insert(&copy.domain));
        boxes.into_iter().map(|copy| copy.address.clone()).collect()
    }

    fn addresses(&self, shard: ShardIndex) -> Vec<String> {
        let duties = self.view.assignments();
        let copies = duties.plan(shard).map(|sighting| sighting.plan.copies.clone());
        copies.unwrap_or_default().into_iter().map(|copy| copy.address).collect()
    }

    /// Asks the shard that holds a job; what `body` makes for a shard does nothing where the job is not held.
    async fn ask_job(
        &self,
        job: &str,
        time: Duration,
        body: impl Fn(ShardIndex) -> shard_request::Body,
    ) -> Result<shard_response::Body, ShardFault> {
        if self.view.is_isolated() {
            // Nobody is reached: the caller is turned away at once.
            return Err(ShardFault::NotServed);
        }
        if let Some(shard) = self.locate(job).await {
            match self.ask(shard, job, time, &body(shard)).await {
                Err(ShardFault::NoJob) if self.view.shards() != Some(1) => {
                    self.places().forget(job);
                }
                ended => return ended,
            }
        }
        self.search(job, time, body).await
    }

    /// The shard that holds a job, if it is known or its server says so.
    async fn locate(&self, job: &str) -> Option<ShardIndex> {
        let shards = self.view.shards()?;
        if shards == 1 {
            // To ask where it is would hold up each first call while the one server is lost.
            return Some(ShardIndex::default());
        }
        if let Some(shard) = self.places().shard(job) {
            return Some(shard);
        }
        let asked = (0..shards).map(ShardIndex::new).map(|shard| async move {
            let address = self.addresses(shard).into_iter().next()?;
            let body = ServedQuery { shard: shard.get(), job: job.to_owned() };
            let asked = self.links.call_shard_unary(
                &address,
                LOCATE_TIME,
                shard_request::Body::Served(body),
            );
            asked.await.ok().map(|_holds| shard)
        });
        let asked: FuturesUnordered<_> = asked.collect();
        let shard = std::pin::pin!(asked.filter_map(std::future::ready)).next().await;
        self.view
            .metrics
            .count_outcome("job_search", if shard.is_some() { "found" } else { "not found" });
        let shard = shard?;
        log::debug!(target: "entry", job = job, shard = shard.get(); "job found");
        self.places().put(job, shard);
        Some(shard)
    }

    fn places(&self) -> MutexGuard<'_, JobPlaces> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks all shards in full, when none has said that it holds the job.
    async fn search(
        &self,
        id: &str,
        time: Duration,
        body: impl Fn(ShardIndex) -> shard_request::Body,
    ) -> Result<shard_response::Body, ShardFault> {
        let shards = self.view.shards().unwrap_or_default();
        let asked = (0..shards).map(|number| {
            let shard = ShardIndex::new(number);
            let body = body(shard);
            async move { self.ask(shard, id, time, &body).await }
        });
        let mut asked: FuturesUnordered<_> = asked.collect();
        let mut search = JobSearch::default();
        while let Some(ended) = asked.next().await {
            match ended {
                Ok(answer) => return Ok(answer),
                Err(fault) if search.failed(fault) => break,
                Err(_) => {}
            }
        }
        Err(search.end())
    }
}

/// What an answer is worth after an earlier server, or an earlier connection, was left while the call was
/// under way: it may have been done there, so no later answer can say that nothing was done.
fn after_change(
    left: bool,
    body: &shard_request::Body,
    asked: Result<shard_response::Body, ShardFault>,
) -> Result<shard_response::Body, ShardFault> {
    let unsure = matches!(asked, Err(ShardFault::NotServed | ShardFault::Full));
    if left && unsure && !is_read(body) { Err(ShardFault::Unknown) } else { asked }
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
            (RefusedKind::Conflict, reason::TAKEN) => ShardFault::Taken,
            (RefusedKind::Unknown, _) => ShardFault::Unknown,
            _ => ShardFault::NotServed,
        },
    }
}

/// Takes a job that is handed in.
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
            return answer::refuse(StatusCode::BAD_REQUEST, "bad_job", remedy, Some(id));
        }
    };
    let items = job.items.len();
    // None while the boxes have not agreed on the number of shards.
    let Some(shards) = client.view.shards() else {
        return answer::not_run("shard not served", Some(id));
    };
    let shard = shard_of_job(sender.host, &job.model, shards);
    let call = shard_request::Body::Submit(JobSubmit { shard: shard.get(), job: Some(job) });
    let end = client.ask(shard, id, SUBMIT_TIME, &call).await;
    if end.is_ok() {
        client.places().put(id, shard);
    }
    let outcome = match &end {
        Ok(_) => "accepted",
        Err(ShardFault::NotServed) => "not served",
        Err(ShardFault::Full) => "full",
        Err(ShardFault::Taken) => "id taken",
        Err(_) => "unknown",
    };
    client.view.metrics.count_outcome("job", outcome);
    log::info!(
        target: "entry", job = id, shard = shard.get(), items = items,
        customer = sender.customer.map_or("", CustomerName::as_str), outcome = outcome;
        "job handed in"
    );
    match end {
        Ok(_) => answer::whole(StatusCode::ACCEPTED, "application/json", Bytes::from_static(b"{}")),
        Err(ShardFault::NotServed) => answer::not_run("shard not served", Some(id)),
        Err(ShardFault::Full) => answer::not_run("shard full", Some(id)),
        Err(ShardFault::Taken) => {
            let remedy = "it was not taken: send it under an id of its own";
            answer::refuse(StatusCode::CONFLICT, "id taken", remedy, Some(id))
        }
        Err(_) => unknown(Some(id)),
    }
}

fn unknown(id: Option<&str>) -> Response<FrontBody> {
    let remedy = "it may be kept: send it again under the same id";
    answer::refuse(StatusCode::BAD_GATEWAY, "outcome unknown", remedy, id)
}

/// Serves a call that concerns a job, as `customer` asks it.
pub async fn serve_call(
    client: &ShardClient,
    call: JobCall,
    customer: Option<&CustomerName>,
    wait: Option<Duration>,
) -> Response<FrontBody> {
    let customer = customer.map_or("", CustomerName::as_str);
    match call {
        JobCall::Read { job, from } => read(client, customer, &job, from, wait).await,
        JobCall::Body { job, item } => item_body(client, customer, &job, &item).await,
        JobCall::End { job } => end(client, customer, &job).await,
    }
}

async fn read(
    client: &ShardClient,
    customer: &str,
    job: &str,
    from: u32,
    wait: Option<Duration>,
) -> Response<FrontBody> {
    let wait = wait.unwrap_or_default().min(MOST_WAIT);
    let body = |shard: ShardIndex| {
        shard_request::Body::Read(JobRead {
            shard: shard.get(),
            job: job.to_owned(),
            from,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            max_bytes: PAGE_BYTES,
            customer: customer.to_owned(),
        })
    };
    match client.ask_job(job, wait + READ_SLACK, body).await {
        Ok(shard_response::Body::Page(page)) => {
            let results = page.results.len();
            let texts = page.results.iter().map(|result| unpack_text(&result.packed_text));
            let texts: Vec<Vec<u8>> = match texts.collect() {
                Ok(texts) => texts,
                Err(error) => {
                    log::error!(target: "entry", job = job, error:% = error; "page refused");
                    return uncertain(client, "read", job, ShardFault::Unknown);
                }
            };
            let page = calls::write_page(&page, &texts, from);
            log::debug!(
                target: "entry", job = job, from = from, results = results, bytes = page.len();
                "page read"
            );
            answer::whole(StatusCode::OK, "application/json", Bytes::from(page))
        }
        Ok(_) => uncertain(client, "read", job, ShardFault::Unknown),
        Err(fault) => uncertain(client, "read", job, fault),
    }
}

async fn item_body(
    client: &ShardClient,
    customer: &str,
    job: &str,
    item: &str,
) -> Response<FrontBody> {
    let body = |shard: ShardIndex| {
        let (job, item, customer) = (job.to_owned(), item.to_owned(), customer.to_owned());
        shard_request::Body::ItemBodyRead(ItemBodyRead { shard: shard.get(), job, item, customer })
    };
    match client.ask_job(job, CALL_TIME, body).await {
        Ok(shard_response::Body::Bytes(bytes)) => {
            answer::whole(StatusCode::OK, "application/octet-stream", Bytes::from(bytes.body))
        }
        Ok(_) => uncertain(client, "body", job, ShardFault::Unknown),
        Err(fault) => uncertain(client, "body", job, fault),
    }
}

async fn end(client: &ShardClient, customer: &str, job: &str) -> Response<FrontBody> {
    let body = |shard: ShardIndex| {
        let (job, customer) = (job.to_owned(), customer.to_owned());
        shard_request::Body::End(JobEnd { shard: shard.get(), job, customer })
    };
    match client.ask_job(job, CALL_TIME, body).await {
        Ok(_) => {
            log::info!(target: "entry", job = job, outcome = "ended"; "job end asked");
            answer::whole(StatusCode::OK, "application/json", Bytes::from_static(b"{}"))
        }
        Err(fault) => uncertain(client, "end", job, fault),
    }
}

/// The answer to a call that got none from the shard. Only the shard's server itself can be
/// sure that there is no such job.
fn uncertain(
    client: &ShardClient,
    what: &'static str,
    job: &str,
    fault: ShardFault,
) -> Response<FrontBody> {
    client.view.metrics.count_outcome("job_call", what);
    log::info!(target: "entry", job = job, call = what, fault:? = fault; "job call failed");
    match fault {
        ShardFault::NoJob | ShardFault::NoItem => answer::refuse(
            StatusCode::NOT_FOUND,
            "not found",
            "check the ids: nothing is held under them",
            None,
        ),
        ShardFault::Unknown if what == "end" => unknown(None),
        _ => answer::not_run("shard not served", None),
    }
}
