//! Permits for requests to services that are short of slots.
//!
//! While a plain service is short, this box asks the service's admission home for a permit before
//! each request to its targets. The home, a storage box, orders the requests of all boxes; a single
//! box sees too few of them to know how busy the targets are. Otherwise, and while no home
//! responds, the box chooses targets by itself.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use admission::{
    CellLayout, PermitOutcome, RejectReason, ReportBuffer, ReportedLoad, ShortageDetector,
    TargetReport,
};
use coord::rendezvous;
use coord::retry::RetryBudget;
use ids::{
    BoxId, CustomerName, InstanceId, Moment, RegionId, RouteName, ServiceName, whole_millis,
};
use joblog::StorageBox;
use links::{CallError, LinkPool, ResponseStream};
use rand::Rng;
use routing::{ChosenTarget, DEFAULT_PRIORITY, RegionScope, Route, TargetLoad};
use tokio::time::{self, Instant};
use wire::peer::{
    self, AdmissionAsk, AdmissionReply, PermitReport, ServedQuery, ShardResponse, admission_reply,
    response_item, shard_request, shard_response,
};

use crate::{LiveSettings, NodeView, WorkRequirements};

/// How long the cells of a service are used before they are computed again. Computing them sorts
/// all targets of the service, which is too much work for each request.
const CELLS_TTL: Duration = Duration::from_millis(50);
/// Minimum wait for the first reply. Covers a short pause of a home whose CPU quota is used up.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// The wait for the first reply, as a divisor of the route's goal.
const REPLY_TIMEOUT_DIVISOR: u32 = 4;
/// A home that did not reply this many times in a row is avoided.
const MAX_MISSED_REPLIES: u32 = 2;
/// A request that still waits is refused this long before its deadline; afterwards its caller is gone.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Timeout for connecting to a home that did not reply in time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a home that does not reply is avoided.
const HOME_BACKOFF: Duration = Duration::from_secs(1);
/// Number of storage boxes that may become the home of a service in turn.
const HOME_CANDIDATES: usize = 3;
/// Further tries per thousand requests.
const RETRIES_PER_THOUSAND: u64 = 100;
/// Maximum number of further tries in a burst, such as after the loss of a target.
const MAX_RETRY_BURST: u64 = 10;
/// Bounds of the time to return that this box chooses by itself. It is random, so that callers don't
/// return together.
const LOCAL_RETRY_AFTER: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(600)];

/// Reason with which a box ends its call to the home after the target has served the request.
pub const PERMIT_SERVED: &str = "served";

/// Whether requests to services that are short of slots need permits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Each box chooses targets by itself.
    #[default]
    Off,
    /// The boxes share one queue for each service that is short.
    Shared,
}

/// A text is not an admission mode.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not an admission mode: use `off` or `shared`")]
pub struct AdmissionModeError(String);

impl FromStr for AdmissionMode {
    type Err = AdmissionModeError;

    fn from_str(text: &str) -> Result<Self, AdmissionModeError> {
        match text {
            "" | "off" => Ok(Self::Off),
            "shared" => Ok(Self::Shared),
            _ => Err(AdmissionModeError(text.to_owned())),
        }
    }
}

impl fmt::Display for AdmissionMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Off => "off",
            Self::Shared => "shared",
        })
    }
}

/// A refusal by the home. No target has run the request, and none will.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// How long the caller should wait before it returns.
    pub retry_after: Duration,
}

/// Permission to send one request to a target. Dropping it releases it.
#[derive(Debug)]
pub struct Permit {
    /// Dropped to release the permit.
    call: Box<ResponseStream>,
    /// The target that the home chose.
    pub target: InstanceId,
    /// Number of idle connections to the target that this box may keep.
    pub max_idle: usize,
}

impl Permit {
    /// Records that the target has served the request.
    pub(crate) const fn mark_served(&mut self) {
        self.call.set_cancel_reason(PERMIT_SERVED);
    }
}

/// Result of an ask.
#[derive(Debug)]
pub(crate) enum PermitResult {
    Granted(Permit),
    Refused(AdmissionRefusal),
    /// No permit is needed, or no home responds: choose a target without one.
    NotNeeded,
}

#[derive(Debug)]
struct ServiceState {
    shortage: ShortageDetector,
    /// Whether the last request needed a permit.
    is_shared: bool,
    /// The cells by scope: that of unrestricted requests, and those of the restricted requests
    /// since the shortage began.
    divisions: HashMap<RegionScope, CellDivision>,
    retries: RetryBudget,
}

/// The cells of a service's targets in one scope, and the reports for their homes.
#[derive(Debug, Default)]
struct CellDivision {
    cells: CellLayout,
    /// When the cells were computed.
    computed_at: Option<Moment>,
    reports: ReportBuffer,
}

impl CellDivision {
    /// Computes the cells, unless that was done recently.
    fn refresh(
        &mut self,
        view: &NodeView,
        now: Moment,
        service: &ServiceName,
        scope: &RegionScope,
    ) {
        if self.computed_at.is_some_and(|at| now.since(at) < CELLS_TTL) {
            return;
        }
        let targets = view.target_table();
        let in_scope = targets
            .of_service(service)
            .filter(|record| scope.allows_domain(view.regions(), &record.domain));
        self.cells = CellLayout::new(in_scope.map(|record| &record.instance));
        self.computed_at = Some(now);
    }
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            shortage: ShortageDetector::default(),
            is_shared: false,
            divisions: HashMap::new(),
            retries: RetryBudget::new(RETRIES_PER_THOUSAND, MAX_RETRY_BURST),
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct HomeHealth {
    missed: u32,
    /// When the last missing reply was recorded.
    missed_at: Moment,
    avoid_until: Moment,
}

/// Asks for permits, and what this box knows about shortages and homes.
#[derive(Debug, Default)]
pub struct AdmissionClient {
    /// The mode at the start.
    initial_mode: AdmissionMode,
    live: Arc<LiveSettings>,
    links: OnceLock<LinkPool>,
    services: Mutex<HashMap<ServiceName, ServiceState>>,
    homes: Mutex<HashMap<BoxId, HomeHealth>>,
}

impl AdmissionClient {
    /// Creates a client that has seen no shortage.
    pub fn new(initial_mode: AdmissionMode, live: Arc<LiveSettings>) -> Self {
        Self { initial_mode, live, ..Self::default() }
    }

    /// Sets the links to other boxes, once. Without them no permit is requested.
    pub fn set_links(&self, links: LinkPool) {
        let _already_set = self.links.set(links);
    }

    /// Whether the boxes share queues for services that are short.
    pub fn is_shared(&self) -> bool {
        self.live.admission(self.initial_mode) == AdmissionMode::Shared
    }

    fn services(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceState>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn homes(&self) -> MutexGuard<'_, HashMap<BoxId, HomeHealth>> {
        self.homes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request, which earns a part of a further try.
    pub fn record_request(&self, service: &ServiceName) {
        if self.is_shared() {
            self.services().entry(service.clone()).or_default().retries.record_attempt();
        }
    }

    /// Whether a request may be tried again. Without a limit, tries that targets refuse multiply
    /// the load that they are refused for.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        !self.is_shared() || self.services().entry(service.clone()).or_default().retries.try_retry()
    }

    /// Time to return for a caller that this box refuses by itself; `None` for the default.
    pub fn local_retry_after(&self) -> Option<Duration> {
        let [min, max] = LOCAL_RETRY_AFTER;
        self.is_shared().then(|| min + max.saturating_sub(min).mul_f64(rand::rng().random()))
    }

    /// Records the result of a request at a target. It is reported with the next ask.
    pub fn record_result(
        &self,
        view: &NodeView,
        target: &ChosenTarget,
        outcome: PermitOutcome,
        load: Option<TargetLoad>,
    ) {
        if !self.is_shared() {
            return;
        }
        let now = view.now();
        let load = load.map(|load| ReportedLoad { running: load.running, waiting: load.waiting });
        let slots = view.target_table().record(&target.instance).map_or(0, |listed| listed.slots);
        let mut services = self.services();
        let state = services.entry(target.service.clone()).or_default();
        if outcome == PermitOutcome::Refused {
            state.shortage.record_refusal(now);
        }
        if let Some(load) = load {
            state.shortage.record_load(now, load, slots);
        }
        if !state.shortage.is_short(now) {
            state.divisions.clear();
            return;
        }
        state.divisions.entry(RegionScope::Any).or_default();
        for (scope, division) in &mut state.divisions {
            division.refresh(view, now, &target.service, scope);
            let report = TargetReport { target: target.instance.clone(), outcome, load };
            division.reports.add(now, &division.cells, report);
        }
    }

    fn record_reply(&self, now: Moment, service: &ServiceName, home: &BoxId, is_short: bool) {
        let mut services = self.services();
        services.entry(service.clone()).or_default().shortage.record_reply(now, is_short);
        drop(services);
        self.homes().remove(home);
    }

    /// Records that a home did not reply as expected to an ask of `asked_at`. One that refused the
    /// ask or sent an invalid reply (`has_refused`) is avoided immediately.
    fn record_missed_reply(&self, now: Moment, asked_at: Moment, home: &BoxId, has_refused: bool) {
        let mut homes = self.homes();
        let health = homes.entry(home.clone()).or_default();
        if !has_refused && asked_at < health.missed_at {
            // Asked before the last miss: both are of the same pause of the home.
            return;
        }
        health.missed += 1;
        health.missed_at = now;
        if has_refused || health.missed >= MAX_MISSED_REPLIES {
            *health = HomeHealth { missed: 0, missed_at: now, avoid_until: now + HOME_BACKOFF };
            drop(homes);
            log::info!(target: "targets", peer:% = home, refused = has_refused; "admission home changed");
        }
    }

    /// Whether requests to the service need a permit now.
    fn needs_permit(&self, now: Moment, service: &ServiceName) -> bool {
        if !self.is_shared() {
            return false;
        }
        let mut services = self.services();
        let Some(state) = services.get_mut(service) else { return false };
        let is_short = state.shortage.is_short(now);
        if std::mem::replace(&mut state.is_shared, is_short) == is_short {
            return is_short;
        }
        if !is_short {
            state.divisions.clear();
        }
        drop(services);
        if is_short {
            log::info!(target: "targets", service:% = service; "admission shared");
        } else {
            log::info!(target: "targets", service:% = service; "admission local");
        }
        is_short
    }

    /// Picks a cell of the service's targets in `scope` at random.
    fn pick_cell<'a>(
        &self,
        view: &NodeView,
        service: &ServiceName,
        scope: &'a RegionScope,
    ) -> Cell<'a> {
        let mut services = self.services();
        let state = services.entry(service.clone()).or_default();
        let division = state.divisions.entry(scope.clone()).or_default();
        division.refresh(view, view.now(), service, scope);
        let count = division.cells.count();
        Cell { index: rand::rng().random_range(0..count), count, scope }
    }

    /// Removes and returns the reports for the home of a cell.
    fn take_reports(
        &self,
        now: Moment,
        service: &ServiceName,
        cell: &Cell<'_>,
    ) -> Vec<PermitReport> {
        let mut services = self.services();
        let division =
            services.get_mut(service).and_then(|state| state.divisions.get_mut(cell.scope));
        let Some(division) = division else { return Vec::new() };
        let reports = division.reports.take(now, &division.cells, cell.index);
        drop(services);
        reports.iter().map(encode_report).collect()
    }

    fn is_avoided(&self, now: Moment, home: &BoxId) -> bool {
        self.homes().get(home).is_some_and(|health| now < health.avoid_until)
    }
}

fn encode_report(report: &TargetReport) -> PermitReport {
    let outcome = match report.outcome {
        PermitOutcome::Served => peer::PermitOutcome::Served,
        PermitOutcome::Refused => peer::PermitOutcome::Refused,
        PermitOutcome::Broken => peer::PermitOutcome::Broken,
        PermitOutcome::Gone => peer::PermitOutcome::Gone,
        PermitOutcome::Failed => peer::PermitOutcome::Failed,
    };
    let load = report.load.map(|load| peer::TargetLoad {
        running: load.running,
        waiting: load.waiting,
        ..peer::TargetLoad::default()
    });
    PermitReport { target: report.target.to_string(), outcome: outcome.into(), load }
}

/// One of the parts into which the targets of a large service are divided. Each scope has cells of
/// its own, which hold only the targets that it allows.
struct Cell<'a> {
    index: u32,
    count: u32,
    scope: &'a RegionScope,
}

/// Selects the home of a cell: the first storage box in rendezvous order that is in the allowed
/// regions and not avoided.
fn select_home(view: &NodeView, service: &ServiceName, cell: &Cell<'_>) -> Option<StorageBox> {
    let key = match cell.scope {
        RegionScope::Any => format!("{service}/{}", cell.index),
        scope @ RegionScope::Only(_) => format!("{service}/{}/{scope}", cell.index),
    };
    let assignments = view.assignments();
    let in_scope = assignments
        .boxes()
        .filter(|storage_box| cell.scope.allows_domain(view.regions(), &storage_box.domain));
    let in_scope = in_scope.map(|storage_box| &storage_box.box_id);
    let ranked = rendezvous::ranked(&key, in_scope, HOME_CANDIDATES);
    let home = ranked.into_iter().find(|home| !view.admission.is_avoided(view.now(), home))?;
    assignments.boxes().find(|storage_box| storage_box.box_id == *home).cloned()
}

/// Asks for a permit if the service is short of slots.
pub(crate) async fn request_permit(
    view: &NodeView,
    route: &Route,
    service: &ServiceName,
    scope: &RegionScope,
    goal: Duration,
    requirements: &WorkRequirements<'_>,
) -> PermitResult {
    let is_plain =
        view.table().service(service).is_none_or(|service_spec| service_spec.models.is_empty());
    if !is_plain || !view.admission.needs_permit(view.now(), service) || view.is_isolated() {
        return PermitResult::NotNeeded;
    }
    // Suspected work is placed by its own rules, which only this box's choice knows.
    if view.suspects().crash_count(requirements.work) > 0 {
        return PermitResult::NotNeeded;
    }
    // Without a target in the allowed regions, the choice of this box refuses the request at once
    // and logs the reason.
    if scope.is_restricted() && view.target_table().available(view.now(), service, scope).is_empty()
    {
        return PermitResult::NotNeeded;
    }
    let Some(links) = view.admission.links.get() else { return PermitResult::NotNeeded };
    let cell = view.admission.pick_cell(view, service, scope);
    let Some(home) = select_home(view, service, &cell) else {
        view.metrics.count_outcome("admission", "no home");
        return PermitResult::NotNeeded;
    };
    let ask = ask_message(view, route, service, &cell, goal, requirements);
    let route = &route.name;
    let priority = ask.priority;
    let home_call =
        HomeCall { view, route, priority, service, scope, home: &home, requirements, goal };
    home_call.request(links, ask).await
}

fn ask_message(
    view: &NodeView,
    route: &Route,
    service: &ServiceName,
    cell: &Cell<'_>,
    goal: Duration,
    requirements: &WorkRequirements<'_>,
) -> AdmissionAsk {
    let millis = |time: Duration| u32::try_from(whole_millis(time)).unwrap_or(u32::MAX);
    let now = Instant::now();
    let priority = view.table().priority(&route.name, requirements.customer);
    AdmissionAsk {
        service: service.to_string(),
        cell: cell.index,
        cells: cell.count,
        route: route.name.to_string(),
        customer: requirements.customer.map(CustomerName::to_string).unwrap_or_default(),
        priority: u32::from(priority.unwrap_or(DEFAULT_PRIORITY).get()),
        time_left_ms: millis(requirements.deadline.saturating_duration_since(now)),
        goal_left_ms: millis((requirements.received + goal).saturating_duration_since(now)),
        avoid: targets_to_avoid(view, service, cell.scope, requirements),
        reports: view.admission.take_reports(view.now(), service, cell),
        box_id: view.settings.box_id.to_string(),
        work: requirements.work.to_string(),
        goal_ms: millis(goal),
        scope: encode_scope(cell.scope),
    }
}

/// Encodes a scope; `None` if it allows all regions.
fn encode_scope(scope: &RegionScope) -> Option<peer::AdmissionScope> {
    let RegionScope::Only(regions) = scope else { return None };
    Some(peer::AdmissionScope { regions: regions.iter().map(RegionId::to_string).collect() })
}

/// Targets that were tried already, unless all of them were and may be tried again.
fn targets_to_avoid(
    view: &NodeView,
    service: &ServiceName,
    scope: &RegionScope,
    requirements: &WorkRequirements<'_>,
) -> Vec<String> {
    let tried = requirements.tried;
    let targets = view.target_table();
    let mut others = targets.of_service(service).filter(|listed| {
        scope.allows_domain(view.regions(), &listed.domain) && !tried.contains(&listed.instance)
    });
    if requirements.allow_tried && others.next().is_none() {
        return Vec::new();
    }
    tried.iter().map(InstanceId::to_string).collect()
}

/// One ask at a home.
struct HomeCall<'a> {
    view: &'a NodeView,
    route: &'a RouteName,
    priority: u32,
    service: &'a ServiceName,
    scope: &'a RegionScope,
    home: &'a StorageBox,
    requirements: &'a WorkRequirements<'a>,
    goal: Duration,
}

impl HomeCall<'_> {
    async fn request(&self, links: &LinkPool, ask: AdmissionAsk) -> PermitResult {
        let started = Instant::now();
        let time_left = self.requirements.deadline.saturating_duration_since(started);
        let reply_timeout = (self.goal / REPLY_TIMEOUT_DIVISOR).max(MIN_REPLY_TIMEOUT);
        let body = shard_request::Body::Admission(ask);
        let first_reply = async {
            let id = self.requirements.request_id;
            let mut call = links.call_shard(&self.home.address, id, time_left, body).await?;
            let reply = next_reply(&mut call, reply_timeout).await?;
            Ok::<_, CallError>((call, reply))
        };
        let (mut call, mut reply) = match time::timeout(reply_timeout, first_reply).await {
            Ok(Ok(first)) => first,
            Ok(Err(error)) => {
                return self.no_reply(started, matches!(error, CallError::Refused(_)));
            }
            Err(_elapsed) => {
                self.connect_in_background(links);
                return self.no_reply(started, false);
            }
        };
        loop {
            let now = self.view.now();
            self.view.admission.record_reply(now, self.service, &self.home.box_id, reply.short);
            match reply.body {
                Some(admission_reply::Body::Queued(_)) => {}
                Some(admission_reply::Body::Granted(granted)) => {
                    let Ok(target) = granted.target.parse() else {
                        return self.no_reply(started, true);
                    };
                    self.record_wait(started);
                    let max_idle = usize::try_from(granted.max_idle).unwrap_or(usize::MAX);
                    return PermitResult::Granted(Permit {
                        call: Box::new(call),
                        target,
                        max_idle,
                    });
                }
                Some(admission_reply::Body::Refused(refused)) => {
                    if refused.reason == RejectReason::NoTarget.as_str() && self.has_targets() {
                        // The home has just started, or its list is older than this box's.
                        return self.no_reply(started, true);
                    }
                    return self.refused(started, &refused);
                }
                None => return self.no_reply(started, true),
            }
            let refuse_at = self.requirements.deadline - DEADLINE_MARGIN;
            reply = match time::timeout_at(refuse_at, next_reply(&mut call, time_left)).await {
                Ok(Ok(next)) => next,
                Ok(Err(_lost)) => return self.no_reply(started, false),
                // No target has got the request, so it can still be refused truthfully.
                Err(_elapsed) => return self.out_of_time(),
            };
        }
    }

    /// Whether this box lists a target that may get the request.
    fn has_targets(&self) -> bool {
        let now = self.view.now();
        !self.view.target_table().available(now, self.service, self.scope).is_empty()
    }

    /// Completes a connection to the home that the ask gave up, for later asks.
    fn connect_in_background(&self, links: &LinkPool) {
        let (links, address) = (links.clone(), self.home.address.clone());
        let body = shard_request::Body::Served(ServedQuery::default());
        tokio::spawn(async move {
            // The response does not matter.
            let _response = links.call_shard_unary(&address, CONNECT_TIMEOUT, body).await;
        });
    }

    fn out_of_time(&self) -> PermitResult {
        let view = self.view;
        view.metrics.count_outcome("admission", "out of time");
        log::info!(
            target: "targets", request = self.requirements.request_id, route:% = self.route,
            service:% = self.service,
            customer = self.requirements.customer.map_or("none", |customer| customer.as_str()),
            priority = self.priority, peer:% = self.home.box_id, outcome = "out of time";
            "admission refused"
        );
        let retry_after = view.admission.local_retry_after().unwrap_or_default();
        PermitResult::Refused(AdmissionRefusal { retry_after })
    }

    /// Records that the home did not reply as expected; the box chooses a target by itself.
    fn no_reply(&self, started: Instant, has_refused: bool) -> PermitResult {
        let view = self.view;
        let now = view.now();
        let asked_at = now - started.elapsed();
        view.metrics.count_outcome("admission", "no reply");
        view.admission.record_missed_reply(now, asked_at, &self.home.box_id, has_refused);
        PermitResult::NotNeeded
    }

    fn record_wait(&self, started: Instant) {
        let waited = started.elapsed();
        self.view.metrics.count_outcome("admission", "granted");
        self.view.metrics.observe_admission_wait(waited);
        let is_long = waited > self.goal / REPLY_TIMEOUT_DIVISOR;
        let level = if is_long { log::Level::Info } else { log::Level::Debug };
        log::log!(
            target: "targets", level, request = self.requirements.request_id,
            service:% = self.service, peer:% = self.home.box_id, waited_ms = whole_millis(waited);
            "admission granted"
        );
    }

    fn refused(&self, started: Instant, refused: &peer::AdmissionRefused) -> PermitResult {
        self.view.metrics.count_outcome("admission", "refused");
        log::info!(
            target: "targets", request = self.requirements.request_id, route:% = self.route,
            service:% = self.service,
            customer = self.requirements.customer.map_or("none", |customer| customer.as_str()),
            priority = self.priority, peer:% = self.home.box_id, outcome = refused.reason.as_str(),
            waited_ms = whole_millis(started.elapsed()), waiting = refused.waiting,
            expected_wait_ms = refused.expected_wait_ms, retry_after_ms = refused.retry_after_ms;
            "admission refused"
        );
        let retry_after = Duration::from_millis(u64::from(refused.retry_after_ms));
        PermitResult::Refused(AdmissionRefusal { retry_after })
    }
}

async fn next_reply(
    call: &mut ResponseStream,
    timeout: Duration,
) -> Result<AdmissionReply, CallError> {
    let unexpected = CallError::Broken { why: "unexpected kind of response" };
    let Some(item) = call.next(timeout).await? else { return Err(unexpected) };
    match item.body {
        Some(response_item::Body::Shard(ShardResponse {
            body: Some(shard_response::Body::Admission(reply)),
        })) => Ok(reply),
        _ => Err(unexpected),
    }
}
