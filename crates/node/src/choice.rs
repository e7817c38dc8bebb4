//! Chooses a target for a request. Keeps suspected work apart and rejects quarantined work.

use std::sync::Arc;
use std::time::Duration;

use ids::{CustomerName, InstanceId, ServiceName, WorkDigest, whole_millis};
use rand::Rng;
use routing::{ChosenTarget, RegionScope, Route, TargetRequirements};
use tokio::time::{self, Instant};

use crate::admission::{PermitResult, request_permit};
use crate::regions::request_scope;
use crate::{AdmissionRefusal, NodeView, ParentRequest, SlotGuard, WorkAdmission, record_choice};

/// Goal of routes without one.
pub(crate) const DEFAULT_GOAL: Duration = Duration::from_millis(500);
/// Interval at which isolated work looks for a target while it waits.
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Requirements of a request on its target.
#[derive(Debug)]
pub struct WorkRequirements<'a> {
    /// Id of the request, for logs.
    pub request_id: &'a str,
    /// The customer, if the caller is identified.
    pub customer: Option<&'a CustomerName>,
    /// Digest of the work.
    pub work: WorkDigest,
    /// Targets that were tried already.
    pub tried: &'a [InstanceId],
    /// Whether a tried target may be chosen if there is no other.
    pub allow_tried: bool,
    /// Whether the work is owed: a reward call, for which no caller waits.
    pub is_owed: bool,
    /// When the request arrived; its goal counts from then.
    pub received: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The request on whose behalf an internal call is made.
    pub parent: Option<ParentRequest<'a>>,
}

impl WorkRequirements<'_> {
    /// Regions in which the request may be handled, by the configuration in force.
    fn scope(&self, view: &NodeView, route: &Route) -> RegionScope {
        request_scope(view, route, self.customer, self.parent)
    }
}

/// Result of [`choose_target`].
#[derive(Debug)]
pub enum TargetChoice {
    /// This target, with a slot acquired.
    Target(SlotGuard),
    /// No target is available now.
    None,
    /// The request is restricted to regions, and none of their targets can serve it now.
    NoneInRegions,
    /// The work is owed, and not to run before this time has passed: targets have just crashed under
    /// it.
    Delayed(Duration),
    /// The work is quarantined because it crashes targets.
    Quarantined,
    /// The service is short of slots, and the work would not be served in time.
    Refused(AdmissionRefusal),
}

/// Chooses a target of the route's service.
///
/// Work one crash before quarantine must run at a target without other suspects, and not while its
/// targets are failing. It waits as long as its caller has time for the run, since a refusal would
/// neither serve the caller nor show which suspect crashes targets.
pub async fn choose_target(
    view: &Arc<NodeView>,
    route: &Route,
    requirements: &WorkRequirements<'_>,
) -> TargetChoice {
    let goal = route.goal.unwrap_or(DEFAULT_GOAL);
    let service = route.service(rand::rng().random());
    if let Some(service) = service
        && let Some(choice) = choose_by_permit(view, route, service, goal, requirements).await
    {
        return choice;
    }
    let time_left = requirements.deadline.saturating_duration_since(Instant::now());
    let wait_until = Instant::now() + time_left.saturating_sub(goal);
    let mut has_waited = false;
    loop {
        let can_wait = Instant::now() < wait_until;
        // Looked up each time, since the configuration may change while the work waits.
        let scope = requirements.scope(view, route);
        match choose_now(view, service, &scope, requirements, can_wait) {
            Some(TargetChoice::None) if scope.is_restricted() => {
                return choose_other_service(view, route, service, &scope, requirements);
            }
            Some(choice) => return choice,
            None => {}
        }
        if !has_waited {
            has_waited = true;
            log_wait(view, route, requirements.work, wait_until);
        }
        let next_poll = Instant::now() + ISOLATION_POLL_INTERVAL;
        time::sleep_until(next_poll.min(wait_until)).await;
    }
}

/// Chooses the target that the service's admission home grants; `None` if the service is not short
/// of slots, or the granted target is not in use here.
async fn choose_by_permit(
    view: &Arc<NodeView>,
    route: &Route,
    service: &ServiceName,
    goal: Duration,
    requirements: &WorkRequirements<'_>,
) -> Option<TargetChoice> {
    let scope = requirements.scope(view, route);
    let permit = match request_permit(view, route, service, &scope, goal, requirements).await {
        PermitResult::Granted(permit) => permit,
        PermitResult::Refused(refusal) => return Some(TargetChoice::Refused(refusal)),
        PermitResult::NotNeeded => return None,
    };
    // The work may have become suspect while it waited.
    if view.suspects().crash_count(requirements.work) > 0 {
        return None;
    }
    // The configuration may have changed while the request waited.
    let scope = requirements.scope(view, route);
    // Bound to a variable, since the lock of the table must not be held below.
    let target = view.target_table().acquire(view.now(), &permit.target, &scope);
    let target = target?;
    view.pool.limit_idle(target.address, permit.max_idle);
    Some(TargetChoice::Target(SlotGuard::new(view, requirements.work, target).with_permit(permit)))
}

/// Chooses a target of another service of the route for a restricted request for which the service
/// drawn by weight has none: a service with a small weight may be the only one in the allowed
/// regions. Logs the refusal if no service has a target there that can serve a request now.
fn choose_other_service(
    view: &Arc<NodeView>,
    route: &Route,
    drawn: Option<&ServiceName>,
    scope: &RegionScope,
    requirements: &WorkRequirements<'_>,
) -> TargetChoice {
    let weighted = route.backends.iter().filter(|backend| backend.weight > 0);
    let services: Vec<&ServiceName> = weighted.map(|backend| &backend.service).collect();
    for other in services.iter().filter(|service| Some(**service) != drawn) {
        let choice = choose_now(view, Some(other), scope, requirements, false);
        if let Some(choice @ (TargetChoice::Target(_) | TargetChoice::Quarantined)) = choice {
            return choice;
        }
    }
    if services.into_iter().chain(drawn).any(|service| has_target_in_regions(view, service, scope))
    {
        return TargetChoice::None;
    }
    log_none_in_regions(view, route, drawn, scope, requirements);
    TargetChoice::NoneInRegions
}

/// Whether a target in the allowed regions could serve a request now, if it had not been tried or
/// run suspected work.
fn has_target_in_regions(view: &NodeView, service: &ServiceName, scope: &RegionScope) -> bool {
    let requirements = TargetRequirements { regions: Some(scope), ..TargetRequirements::default() };
    view.target_table().has_fitting(view.now(), service, &requirements, &mut rand::rng())
}

fn log_none_in_regions(
    view: &NodeView,
    route: &Route,
    service: Option<&ServiceName>,
    scope: &RegionScope,
    requirements: &WorkRequirements<'_>,
) {
    let target_requirements =
        TargetRequirements { regions: Some(scope), ..TargetRequirements::default() };
    let reason = service.map_or("no service", |service| {
        let targets = view.target_table();
        let rng = &mut rand::rng();
        targets.no_target_reason(view.now(), service, &target_requirements, rng).as_str()
    });
    view.metrics.count_outcome("regions", reason);
    log::info!(
        target: "targets", request = requirements.request_id, work:% = requirements.work,
        route:% = route.name, service = service.map_or("none", ServiceName::as_str),
        customer = requirements.customer.map_or("none", CustomerName::as_str),
        regions:% = scope, outcome = reason, config = view.table().version.get();
        "no target in the allowed regions"
    );
}

fn log_wait(view: &NodeView, route: &Route, work: WorkDigest, wait_until: Instant) {
    let suspects = view.suspects();
    let (crashes, anti_affinity) =
        (suspects.crash_count(work), suspects.anti_affinity(view.now(), work));
    drop(suspects);
    log::info!(
        target: "targets", work:% = work, route:% = route.name, ends = crashes,
        occupied = anti_affinity.targets.len(), held = anti_affinity.held,
        wait_ms = whole_millis(wait_until.saturating_duration_since(Instant::now()));
        "suspect work waits"
    );
}

/// Chooses a target now. Returns `None` if `can_wait` is set and the work is held, or is isolated
/// and each of its targets is backed off or runs other suspects.
fn choose_now(
    view: &Arc<NodeView>,
    service: Option<&ServiceName>,
    scope: &RegionScope,
    requirements: &WorkRequirements<'_>,
    can_wait: bool,
) -> Option<TargetChoice> {
    let mut rng = rand::rng();
    let Some(service) = service else { return Some(TargetChoice::None) };
    let admission = if requirements.is_owed {
        view.admit_owed(requirements.work, service)
    } else {
        view.admit_work(requirements.work, service)
    };
    let excluded = match admission {
        WorkAdmission::Open(excluded) => excluded,
        WorkAdmission::Delayed(delay) => return Some(TargetChoice::Delayed(delay)),
        WorkAdmission::Quarantined => return Some(TargetChoice::Quarantined),
    };
    let anti_affinity = view.suspects().anti_affinity(view.now(), requirements.work);
    if anti_affinity.held {
        return (!can_wait).then_some(TargetChoice::None);
    }
    // A target that has just failed is probably down, so a try there would be wasted.
    let skip_backed_off = anti_affinity.required && can_wait;
    let now = view.now();
    let mut targets = view.target_table();
    let mut choose = |avoid: &[InstanceId]| -> Option<ChosenTarget> {
        let target_requirements = TargetRequirements {
            avoid,
            skip_backed_off,
            regions: Some(scope),
            ..TargetRequirements::default()
        };
        targets.choose(now, service, &target_requirements, &mut rng)
    };
    // Prefers untried targets without other suspected work, then other untried ones, then tried
    // ones. Isolation is mandatory only for work that may be quarantined.
    let is_isolated = anti_affinity.required && !requirements.is_owed;
    let excluded_or_suspect = [&excluded, anti_affinity.targets.as_slice()].concat();
    let mut chosen = choose(&[requirements.tried, &excluded_or_suspect].concat());
    if !is_isolated {
        chosen = chosen.or_else(|| choose(&[requirements.tried, &excluded].concat()));
    }
    if requirements.allow_tried {
        let avoid = if is_isolated { &excluded_or_suspect } else { &excluded };
        chosen = chosen.or_else(|| choose(avoid));
    }
    if let Some(target) = chosen {
        let speed = targets.speed(now, &target.instance);
        drop(targets);
        record_choice(view, requirements.work, &target, None, speed);
        return Some(TargetChoice::Target(SlotGuard::new(view, requirements.work, target)));
    }
    // Without any such target nothing indicates that one will be free in time.
    let may_become_free = targets.of_service(service).any(|record| {
        let instance = &record.instance;
        !excluded.contains(instance)
            && scope.allows_domain(view.regions(), &record.domain)
            && (requirements.allow_tried || !requirements.tried.contains(instance))
    });
    let waits = skip_backed_off && may_become_free;
    (!waits).then_some(TargetChoice::None)
}
