//! Admission home: grants permits for services that are short of slots.
//!
//! Any storage box may be the home of a service; asking boxes select the same one by rendezvous
//! hashing. The queues live in memory only. If they are lost, or two boxes act as home at once, the
//! targets' own queues take the excess, and their reported loads lower the limits here.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use admission::{
    Admission, AdmissionQueue, AdmissionRequest, CellLayout, Grant, PermitOutcome, QueueEvent,
    RefusedWork, Rejection, ReportedLoad, TargetReport, TicketId,
};
use ids::{BoxId, Generation, InstanceId, Moment, Priority, ServiceName, WorkDigest, whole_millis};
use links::{ResponseEnd, ResponseSink};
use node::{NodeView, PERMIT_SERVED};
use routing::RegionScope;
use tokio::sync::{Notify, oneshot};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use wire::peer::{
    self, AdmissionAsk, AdmissionGranted, AdmissionQueued, AdmissionRefused, AdmissionReply,
    PermitReport, ResponseItem, ShardResponse, admission_reply, response_item, shard_response,
};

/// Interval at which waiting requests are checked if nothing else happens.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the targets in use are read again.
const TARGETS_INTERVAL: Duration = Duration::from_millis(50);
/// A box that asked within this time may hold connections to the targets.
const ASKER_TTL: Duration = Duration::from_secs(10);
/// A queue is dropped if no box asked for this long.
const QUEUE_TTL: Duration = Duration::from_mins(1);
/// Share of a target's connections that boxes may keep idle, as a divisor. The rest is for requests
/// in flight and for boxes that have not asked yet.
const IDLE_SHARE_DIVISOR: usize = 2;
/// Idle connections per box and target if the service has no limit.
const DEFAULT_MAX_IDLE: usize = 16;

/// A part of a service's targets, with its own queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CellKey {
    service: ServiceName,
    cell: u32,
    cells: u32,
    /// Regions of the targets. Requests of another scope have other targets, so they have a queue
    /// of their own.
    scope: RegionScope,
}

impl CellKey {
    /// Keeps the targets of the cell.
    fn retain_targets(&self, view: &NodeView, targets: &mut Vec<(InstanceId, u32)>) {
        let table = view.target_table();
        let in_scope = table
            .of_service(&self.service)
            .filter(|record| self.scope.allows_domain(view.regions(), &record.domain));
        let layout = CellLayout::with_count(in_scope.map(|record| &record.instance), self.cells);
        drop(table);
        targets.retain(|(target, _)| layout.cell_of(target) == Some(self.cell));
    }
}

/// Outcome of an ask.
type Outcome = Result<Grant, Rejection>;

/// Work of an ask, and when a caller sent it first.
#[derive(Debug, Clone, Copy)]
struct AskedWork {
    digest: WorkDigest,
    first_arrival: Moment,
}

/// A waiting ask.
#[derive(Debug)]
struct Waiter {
    work: AskedWork,
    outcome: oneshot::Sender<Outcome>,
}

#[derive(Debug, Default)]
struct CellState {
    queue: AdmissionQueue,
    waiters: HashMap<TicketId, Waiter>,
    refused: RefusedWork,
    /// When each box last asked.
    askers: HashMap<BoxId, Moment>,
    asked_at: Moment,
    targets_read_at: Option<Moment>,
    config_version: Generation,
}

impl CellState {
    /// Delivers the outcomes of waiting requests.
    fn poll(&mut self, now: Moment) {
        for event in self.queue.poll(now, &mut rand::rng()) {
            let (ticket, outcome) = match event {
                QueueEvent::Granted(grant) => (grant.ticket, Ok(grant)),
                QueueEvent::Rejected(ticket, rejection) => (ticket, Err(rejection)),
            };
            let Some(waiter) = self.waiters.remove(&ticket) else { continue };
            if outcome.is_err() {
                self.refused.record(now, waiter.work.digest, waiter.work.first_arrival);
            }
            // A waiter that is gone releases its ticket itself.
            let _gone = waiter.outcome.send(outcome);
        }
    }

    fn release(&mut self, now: Moment, ticket: TicketId, is_served: bool) {
        self.waiters.remove(&ticket);
        if is_served {
            self.queue.release(now, ticket);
        } else {
            self.queue.withdraw(now, ticket);
        }
        self.poll(now);
    }
}

/// The admission queues on this box.
#[derive(Debug, Default)]
pub struct AdmissionHome {
    cells: Mutex<HashMap<CellKey, CellState>>,
    /// Notified after each ask, when there may be requests or permits to check.
    asked: Notify,
}

/// A permit in use.
struct HeldPermit {
    ticket: TicketId,
    deadline: Instant,
}

/// First result of an ask.
enum FirstReply {
    Granted(Grant),
    Queued(TicketId, Duration, oneshot::Receiver<Outcome>),
    Rejected(Rejection),
}

impl AdmissionHome {
    fn cells(&self) -> MutexGuard<'_, HashMap<CellKey, CellState>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles an ask: replies until the permit is granted or refused, then holds the permit until
    /// `cancel` or the request's deadline.
    pub async fn serve(
        &self,
        view: &NodeView,
        ask: AdmissionAsk,
        mut sink: ResponseSink,
        cancel: CancellationToken,
    ) {
        let Ok(service) = ask.service.parse::<ServiceName>() else { return };
        let scope = decode_scope(ask.scope.as_ref());
        let key = CellKey { service, cell: ask.cell, cells: ask.cells.max(1), scope };
        let deadline = Instant::now() + Duration::from_millis(u64::from(ask.time_left_ms));
        if cancel.is_cancelled() {
            return;
        }
        let Some(first) = self.apply_ask(view, &key, &ask) else { return };
        let (ticket, receiver) = match first {
            FirstReply::Granted(grant) => {
                let ticket = grant.ticket;
                self.reply(view, &key, &mut sink, Ok(grant)).await;
                let held = HeldPermit { ticket, deadline };
                return self.hold(view, &key, held, &cancel, &sink).await;
            }
            FirstReply::Rejected(rejection) => {
                self.reply(view, &key, &mut sink, Err(rejection)).await;
                return sink.end(ResponseEnd::default()).await;
            }
            FirstReply::Queued(ticket, expected_wait, receiver) => {
                let queued = AdmissionQueued { expected_wait_ms: millis(expected_wait) };
                let body = admission_reply::Body::Queued(queued);
                sink.item(reply_item(AdmissionReply { body: Some(body), short: true })).await;
                (ticket, receiver)
            }
        };
        let outcome = tokio::select! {
            outcome = receiver => outcome.ok(),
            () = cancel.cancelled() => None,
        };
        match outcome {
            Some(Ok(grant)) => {
                self.reply(view, &key, &mut sink, Ok(grant)).await;
                let held = HeldPermit { ticket, deadline };
                self.hold(view, &key, held, &cancel, &sink).await;
            }
            Some(Err(rejection)) => {
                self.reply(view, &key, &mut sink, Err(rejection)).await;
                sink.end(ResponseEnd::default()).await;
            }
            None => self.release(view, &key, ticket, false),
        }
    }

    /// Checks waiting requests until `stop` is cancelled.
    pub async fn run(&self, view: Arc<NodeView>, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = self.asked.notified() => {}
                () = stop.cancelled() => return,
            }
            while self.poll_all(&view) {
                time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Checks all queues. Returns whether any request waits or holds a permit.
    fn poll_all(&self, view: &NodeView) -> bool {
        let now = view.now();
        let mut cells = self.cells();
        // Tickets are unique within a queue, so one with permits in use must not be replaced.
        cells.retain(|_, cell| {
            now.since(cell.asked_at) < QUEUE_TTL || cell.queue.waiting() + cell.queue.in_use() > 0
        });
        for (key, cell) in cells.iter_mut() {
            cell.refresh(view, key, now);
            cell.poll(now);
        }
        let waiting = cells.values().map(|cell| cell.queue.waiting()).sum();
        let permits = cells.values().map(|cell| cell.queue.in_use()).sum();
        drop(cells);
        view.metrics.admission(waiting, permits);
        waiting + permits > 0
    }

    /// Applies an ask to its queue; `None` if it is malformed.
    fn apply_ask(&self, view: &NodeView, key: &CellKey, ask: &AdmissionAsk) -> Option<FirstReply> {
        let now = view.now();
        let mut cells = self.cells();
        let cell = cells.entry(key.clone()).or_default();
        cell.asked_at = now;
        if let Ok(box_id) = ask.box_id.parse() {
            cell.askers.insert(box_id, now);
        }
        cell.refresh(view, key, now);
        for report in ask.reports.iter().filter_map(decode_report) {
            cell.queue.report(now, &report);
        }
        // Customers may send equal requests.
        let digest = WorkDigest::of(&[ask.work.as_bytes(), ask.customer.as_bytes()]);
        let work = AskedWork { digest, first_arrival: cell.refused.first_arrival(now, digest) };
        let request = admission_request(view, now, work.first_arrival, ask)?;
        let admission = cell.queue.request(now, request, &mut rand::rng());
        let first = match admission {
            Admission::Granted(grant) => FirstReply::Granted(grant),
            Admission::Rejected(rejection) => {
                cell.refused.record(now, work.digest, work.first_arrival);
                FirstReply::Rejected(rejection)
            }
            Admission::Queued { ticket, expected_wait } => {
                let (outcome, receiver) = oneshot::channel();
                cell.waiters.insert(ticket, Waiter { work, outcome });
                FirstReply::Queued(ticket, expected_wait, receiver)
            }
        };
        // Reports may have made room, and the request may have displaced others.
        cell.poll(now);
        drop(cells);
        self.asked.notify_one();
        Some(first)
    }

    async fn reply(
        &self,
        view: &NodeView,
        key: &CellKey,
        sink: &mut ResponseSink,
        outcome: Outcome,
    ) {
        let (is_short, max_idle) = {
            let cells = self.cells();
            let cell = cells.get(key);
            let is_short = cell.is_some_and(|cell| cell.queue.is_short(view.now()));
            (is_short, cell.map_or(1, |cell| cell.max_idle(view, key)))
        };
        let body = match outcome {
            Ok(grant) => admission_reply::Body::Granted(AdmissionGranted {
                target: grant.target.to_string(),
                max_idle: u32::try_from(max_idle).unwrap_or(u32::MAX),
            }),
            Err(rejection) => {
                view.metrics.count_outcome("admission home", rejection.reason.as_str());
                admission_reply::Body::Refused(AdmissionRefused {
                    reason: rejection.reason.to_string(),
                    retry_after_ms: millis(rejection.retry_after),
                    waiting: u32::try_from(rejection.waiting).unwrap_or(u32::MAX),
                    expected_wait_ms: millis(rejection.expected_wait),
                })
            }
        };
        sink.item(reply_item(AdmissionReply { body: Some(body), short: is_short })).await;
    }

    /// Holds a permit until the asking box releases it or its request must have ended.
    async fn hold(
        &self,
        view: &NodeView,
        key: &CellKey,
        held: HeldPermit,
        cancel: &CancellationToken,
        sink: &ResponseSink,
    ) {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = time::sleep_until(held.deadline) => {}
        }
        let is_served = sink.cancel_reason() == Some(PERMIT_SERVED);
        self.release(view, key, held.ticket, is_served);
    }

    fn release(&self, view: &NodeView, key: &CellKey, ticket: TicketId, is_served: bool) {
        if let Some(cell) = self.cells().get_mut(key) {
            cell.release(view.now(), ticket, is_served);
        }
    }
}

impl CellState {
    /// Updates the targets in use, and the priorities of waiting requests after a change of the
    /// configuration.
    fn refresh(&mut self, view: &NodeView, key: &CellKey, now: Moment) {
        if self.targets_read_at.is_none_or(|at| now.since(at) >= TARGETS_INTERVAL) {
            self.targets_read_at = Some(now);
            let mut targets = view.target_table().available(now, &key.service, &key.scope);
            key.retain_targets(view, &mut targets);
            self.queue.set_targets(&targets);
            self.askers.retain(|_, at| now.since(*at) < ASKER_TTL);
        }
        let table = view.table();
        if self.config_version != table.version {
            self.config_version = table.version;
            self.queue.update_priorities(|route, customer| table.priority(route, customer));
        }
    }

    /// Number of idle connections that each box may keep to a target.
    fn max_idle(&self, view: &NodeView, key: &CellKey) -> usize {
        let table = view.table();
        let max_connections =
            table.service(&key.service).and_then(|service| service.max_connections);
        let Some(max_connections) = max_connections else { return DEFAULT_MAX_IDLE };
        let max_connections = usize::try_from(max_connections).unwrap_or(usize::MAX);
        let share = max_connections / IDLE_SHARE_DIVISOR / self.askers.len().max(1);
        share.clamp(1, DEFAULT_MAX_IDLE)
    }
}

fn admission_request(
    view: &NodeView,
    now: Moment,
    first_arrival: Moment,
    ask: &AdmissionAsk,
) -> Option<AdmissionRequest> {
    let route = ask.route.parse().ok()?;
    let customer = ask.customer.parse().ok();
    let priority = view.table().priority(&route, customer.as_ref());
    let sent_priority = Priority::new(u8::try_from(ask.priority).unwrap_or(u8::MAX));
    let after = |start: Moment, millis: u32| start + Duration::from_millis(u64::from(millis));
    Some(AdmissionRequest {
        route,
        customer,
        priority: priority.unwrap_or(sent_priority),
        goal: Duration::from_millis(u64::from(ask.goal_ms)),
        goal_by: after(first_arrival, ask.goal_left_ms),
        deadline: after(now, ask.time_left_ms),
        avoid: ask.avoid.iter().filter_map(|target| target.parse().ok()).collect(),
    })
}

/// Decodes a scope; a missing one allows all regions. A name that is not a valid id can't be that of
/// a region in the settings, so it counts as a region that contains nothing.
fn decode_scope(scope: Option<&peer::AdmissionScope>) -> RegionScope {
    let Some(scope) = scope else { return RegionScope::Any };
    RegionScope::Only(scope.regions.iter().filter_map(|name| name.parse().ok()).collect())
}

fn decode_report(report: &PermitReport) -> Option<TargetReport> {
    let outcome = match report.outcome() {
        peer::PermitOutcome::Served => PermitOutcome::Served,
        peer::PermitOutcome::Refused => PermitOutcome::Refused,
        peer::PermitOutcome::Broken => PermitOutcome::Broken,
        peer::PermitOutcome::Gone => PermitOutcome::Gone,
        peer::PermitOutcome::Failed => PermitOutcome::Failed,
    };
    let load = report.load.as_ref();
    let load = load.map(|load| ReportedLoad { running: load.running, waiting: load.waiting });
    Some(TargetReport { target: report.target.parse().ok()?, outcome, load })
}

fn reply_item(reply: AdmissionReply) -> ResponseItem {
    let body = Some(shard_response::Body::Admission(reply));
    ResponseItem { body: Some(response_item::Body::Shard(ShardResponse { body })) }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(whole_millis(time)).unwrap_or(u32::MAX)
}
