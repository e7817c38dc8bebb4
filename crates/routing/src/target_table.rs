//! Tracks the targets and chooses one for each request.
//!
//! The platform's listing names the targets and marks those that are leaving; it may lag behind.
//! This box counts its own requests exactly; the requests of other boxes are estimated from the
//! load that targets report in responses, which is used for a short time only. A failed target is
//! backed off exponentially. Slow targets get fewer requests, because each occupies a slot longer.
//!
//! If targets of a service report their slowdown, their long-term speed and their current slowdown
//! are estimated separately, and [`SpeedComparison`] determines the costs.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ids::{DomainId, InstanceId, ModelName, ModelVersion, Moment, RegionId, ServiceName};
use rand::Rng;

use crate::cold::ColdLimit;
use crate::regional_index::RegionalIndex;
use crate::regions::{RegionMap, RegionScope};
use crate::speed::duration_of_ms;
use crate::target::{
    ChosenTarget, EngineChoice, HeldModel, MoveEstimate, NoTargetReason, RunProgress,
    TargetFailure, TargetLoad, TargetRecord, TargetRequirements, TargetSpeed,
};
use crate::target_state::{ServiceRules, TargetState};
use crate::uneven::SpeedComparison;

/// Backoff after the first failure; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff after failures; bounds how late a recovered target is noticed.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Backoff after a target refused a request for now ([`TargetFailure::Full`]); doubles with each
/// consecutive refusal.
const INITIAL_FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum backoff after such refusals.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of doublings of a backoff; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 8;
/// Weight of the newest measurement in the moving average of a target's unit time.
const UNIT_TIME_SMOOTHING: f64 = 0.2;
/// Cost added to targets of other failure domains, in units of the load ratio. Traffic between
/// domains costs more than a short wait.
const REMOTE_DOMAIN_COST: f64 = 0.34;
/// Cost added instead to targets of other regions, in the same units. Traffic between regions is
/// slower, shares a link and is priced by the byte. At this cost an idle target of another region is
/// chosen once the near targets have a request for each of their slots.
const REMOTE_REGION_COST: f64 = 1.0;
/// Weight of the load relative to the unit time for requests that prefer a fast target. Low,
/// because a full batch slows its requests down less than a slow engine does.
const FAST_LOAD_WEIGHT: f64 = 0.1;
/// Cost added in large services to targets without an idle connection. Opening one occupies a slot
/// there for a moment, less than a running request. Targets of small services usually have one.
const CONNECT_COST: f64 = 0.1;

/// The listed targets, with their load, failures and backoff as seen by this box.
#[derive(Debug)]
pub struct TargetTable {
    domain: DomainId,
    targets: HashMap<InstanceId, TargetState>,
    regions: RegionMap,
    /// Region of this box.
    region: Option<RegionId>,
    index: RegionalIndex,
    /// Limits for cold targets, by service; services without a limit are missing.
    cold: HashMap<ServiceName, ColdLimit>,
    /// Failure domains that get no requests.
    evacuated: HashSet<DomainId>,
    /// Number of targets that have reported a slowdown, by service.
    reporting: HashMap<ServiceName, usize>,
    engine_choice: EngineChoice,
    /// See [`Self::generation`].
    generation: u64,
}

impl TargetTable {
    /// Creates an empty table for a box in `domain`.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            targets: HashMap::new(),
            regions: RegionMap::default(),
            region: None,
            index: RegionalIndex::default(),
            cold: HashMap::new(),
            evacuated: HashSet::new(),
            reporting: HashMap::new(),
            engine_choice: EngineChoice::default(),
            generation: 0,
        }
    }

    /// Sets the regions of the failure domains, before any target is added.
    #[must_use]
    pub fn with_regions(mut self, regions: RegionMap) -> Self {
        self.region = regions.region_of(&self.domain).cloned();
        self.regions = regions;
        self
    }

    /// Replaces the limits for cold targets.
    pub fn limit_cold(&mut self, limits: HashMap<ServiceName, ColdLimit>) {
        self.cold = limits;
    }

    /// Starts or ends the evacuation of a failure domain; returns `false` if nothing changed.
    ///
    /// When the evacuation ends, the domain's targets count as cold: they may have cooled down
    /// without requests, before the listing shows it.
    pub fn evacuate(&mut self, now: Moment, domain: &DomainId, evacuated: bool) -> bool {
        let changed = if evacuated {
            self.evacuated.insert(domain.clone())
        } else {
            self.evacuated.remove(domain)
        };
        if !changed || evacuated {
            self.generation += u64::from(changed);
            return changed;
        }
        self.generation += 1;
        for state in self.targets.values_mut().filter(|state| state.record.domain == *domain) {
            if let Some(limit) = self.cold.get(&state.record.service) {
                state.mark_cold(now + limit.time);
            }
        }
        true
    }

    /// Failure domains that are being evacuated.
    pub const fn evacuated(&self) -> &HashSet<DomainId> {
        &self.evacuated
    }

    /// Counter that changes when a target is added or removed, when its leaving state changes,
    /// and when an evacuation starts or ends.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    fn rules(&self, now: Moment, service: &ServiceName) -> ServiceRules<'_> {
        ServiceRules {
            now,
            cold: self.cold.get(service),
            evacuated: &self.evacuated,
            regions: &self.regions,
        }
    }

    /// Adds or updates a target from the platform's listing.
    pub fn put(&mut self, now: Moment, record: TargetRecord) {
        let instance = record.instance.clone();
        let same_incarnation =
            self.targets.get(&instance).filter(|state| state.record.born == record.born);
        if let Some(models) =
            same_incarnation.map(|state| merge_models(&state.record.models, &record.models))
        {
            self.update(now, TargetRecord { models, ..record });
            return;
        }
        // A new incarnation inherits neither models nor failures of the previous one.
        self.remove(&instance);
        let region = self.regions.region_of(&record.domain);
        self.index.insert(region, &record.service, &instance, &record.models);
        self.generation += 1;
        let state = TargetState::new(now, record);
        self.targets.insert(instance, state);
    }

    /// Updates the record of an incarnation that is already in the table.
    fn update(&mut self, now: Moment, record: TargetRecord) {
        let Some(state) = self.targets.get_mut(&record.instance) else { return };
        let previous = &state.record;
        if previous.models != record.models
            || previous.service != record.service
            || previous.domain != record.domain
        {
            let region = self.regions.region_of(&previous.domain);
            self.index.remove(region, &previous.service, &record.instance, &previous.models);
            let region = self.regions.region_of(&record.domain);
            self.index.insert(region, &record.service, &record.instance, &record.models);
        }
        self.generation += u64::from(state.record.leaving != record.leaving);
        state.mark_cold(now + record.cold_left);
        let previous = std::mem::replace(&mut state.record, record);
        if state.speed.has_reported() && previous.service != state.record.service {
            let service = state.record.service.clone();
            self.stop_counting_reports(&previous.service);
            *self.reporting.entry(service).or_default() += 1;
        }
    }

    /// Removes a target; requests in flight there continue.
    pub fn remove(&mut self, instance: &InstanceId) {
        let Some(state) = self.targets.remove(instance) else { return };
        let region = self.regions.region_of(&state.record.domain);
        self.index.remove(region, &state.record.service, instance, &state.record.models);
        if state.speed.has_reported() {
            self.stop_counting_reports(&state.record.service);
        }
        self.generation += 1;
    }

    /// Removes a target from the number of those in a service that have reported a slowdown.
    fn stop_counting_reports(&mut self, service: &ServiceName) {
        if let Some(count) = self.reporting.get_mut(service) {
            *count -= 1;
            if *count == 0 {
                self.reporting.remove(service);
            }
        }
    }

    /// Whether a target of a service has reported a slowdown.
    pub fn reports_slowdown(&self, service: &ServiceName) -> bool {
        self.reporting.contains_key(service)
    }

    /// Sets how engines are chosen for texts.
    pub const fn set_engine_choice(&mut self, choice: EngineChoice) {
        self.engine_choice = choice;
    }

    /// Whether the service's engines are chosen by the expected times of texts.
    pub fn expects_times(&self, service: &ServiceName) -> bool {
        self.engine_choice == EngineChoice::ExpectedTime && self.reports_slowdown(service)
    }

    /// Speed estimates of a target; `None` if its service reports no slowdown.
    pub fn speed(&self, now: Moment, instance: &InstanceId) -> Option<TargetSpeed> {
        let state = self.targets.get(instance)?;
        self.reports_slowdown(&state.record.service).then(|| TargetSpeed {
            usual_unit_time: duration_of_ms(state.speed.usual_ms().unwrap_or_default()),
            slowdown: state.speed.slowdown(now),
        })
    }

    /// Ids of all targets.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.targets.keys()
    }

    /// Records of a service's targets.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &TargetRecord> {
        let instances = self.index.of_service(service);
        instances.filter_map(|instance| self.targets.get(instance)).map(|state| &state.record)
    }

    /// The record of a target.
    pub fn record(&self, instance: &InstanceId) -> Option<&TargetRecord> {
        self.targets.get(instance).map(|state| &state.record)
    }

    /// Whether a target is listed, is not leaving, and no response showed that it is gone.
    pub fn stays(&self, instance: &InstanceId) -> bool {
        self.targets.get(instance).is_some_and(|state| !state.gone && !state.record.leaving)
    }

    /// Number of requests of this box in flight at a target.
    pub fn local_in_flight(&self, instance: &InstanceId) -> u32 {
        self.targets.get(instance).map_or(0, |state| state.local_in_flight)
    }

    /// Chooses a target and counts the request as in flight; the caller must call [`Self::ended`].
    ///
    /// Picks the target with the lowest cost, with random tie-breaking: (requests + 1) * unit time /
    /// slots, plus a cost for another domain or a new connection. Requests that prefer a fast target
    /// weigh its unit time higher. Backed-off targets are chosen only if no other target fits. In
    /// large services only a sample of the targets is compared. If targets of the service report
    /// their slowdown, the costs are those of [`SpeedComparison`].
    pub fn choose(
        &mut self,
        now: Moment,
        service: &ServiceName,
        requirements: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> Option<ChosenTarget> {
        let targets = self.candidates(service, requirements, rng);
        let fastest_unit_time = fastest_unit_time(&targets);
        let compares_speeds = match requirements.work {
            Some(_) => self.expects_times(service),
            None => self.reports_slowdown(service),
        };
        let comparison = compares_speeds.then(|| SpeedComparison::new(now, &targets));
        let rules = self.rules(now, service);
        let connect_cost = if self.index.is_large(service) { CONNECT_COST } else { 0.0 };
        let mut best: Option<(bool, f64, &TargetState)> = None;
        let mut fitting = targets;
        fitting.retain(|state| state.fits(&rules, requirements));
        if let Some(comparison) = &comparison {
            fitting = comparison.preferred(fitting);
        }
        for state in fitting {
            let is_backed_off = now < state.backoff_until;
            let extra_cost = if state.is_connected(now) { 0.0 } else { connect_cost };
            let cost = match &comparison {
                None => self.cost(now, state, fastest_unit_time, requirements.fast),
                Some(comparison) => {
                    comparison.cost(state, requirements.work, self.domain_cost(state))
                }
            };
            let cost = cost + extra_cost + rng.random::<f64>() * 0.01;
            let better = match best {
                None => true,
                Some((best_is_backed_off, best_cost, _)) => {
                    (is_backed_off, cost) < (best_is_backed_off, best_cost)
                }
            };
            if better {
                best = Some((is_backed_off, cost, state));
            }
        }
        let chosen = best.map(|(_, _, state)| state.record.instance.clone())?;
        self.start(now, &chosen)
    }

    /// Counts a request to a target that another box chose, as [`Self::choose`] does. Returns
    /// `None` if the target must get no request now.
    pub fn acquire(
        &mut self,
        now: Moment,
        instance: &InstanceId,
        scope: &RegionScope,
    ) -> Option<ChosenTarget> {
        let state = self.targets.get(instance)?;
        let rules = self.rules(now, &state.record.service);
        let requirements =
            TargetRequirements { regions: Some(scope), ..TargetRequirements::default() };
        if !state.fits(&rules, &requirements) {
            return None;
        }
        self.start(now, instance)
    }

    /// Targets of a service that may get requests of this scope, with their slots.
    pub fn available(
        &self,
        now: Moment,
        service: &ServiceName,
        scope: &RegionScope,
    ) -> Vec<(InstanceId, u32)> {
        let rules = self.rules(now, service);
        let requirements =
            TargetRequirements { regions: Some(scope), ..TargetRequirements::default() };
        let states = self.index.of_service(service).filter_map(|id| self.targets.get(id));
        let available = states.filter(|state| state.fits(&rules, &requirements));
        available.map(|state| (state.record.instance.clone(), state.slots())).collect()
    }

    /// Counts a request to a target as in flight.
    fn start(&mut self, now: Moment, instance: &InstanceId) -> Option<ChosenTarget> {
        let state = self.targets.get_mut(instance)?;
        state.local_in_flight += 1;
        if self.cold.contains_key(&state.record.service) {
            state.recent_sends.record(now);
        }
        Some(ChosenTarget {
            instance: instance.clone(),
            born: state.record.born,
            software: state.record.software.clone(),
            address: state.record.address,
            service: state.record.service.clone(),
        })
    }

    /// Explains why [`Self::choose`] found no target, by the target closest to being available.
    pub fn no_target_reason(
        &self,
        now: Moment,
        service: &ServiceName,
        requirements: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> NoTargetReason {
        let rules = self.rules(now, service);
        let mut eligible = self.candidates(service, requirements, rng);
        eligible.retain(|state| state.is_eligible(requirements));
        if eligible.is_empty() {
            return self.no_eligible_reason(service, requirements, rng);
        }
        eligible.retain(|state| !rules.evacuated.contains(&state.record.domain));
        if eligible.is_empty() {
            return NoTargetReason::Evacuated;
        }
        eligible.retain(|state| now >= state.loading_until);
        if eligible.is_empty() {
            return NoTargetReason::Loading;
        }
        eligible.retain(|state| now >= state.backoff_until);
        if eligible.is_empty() {
            return NoTargetReason::BackedOff;
        }
        if eligible.iter().all(|state| state.is_over_cold_limit(&rules, requirements)) {
            NoTargetReason::Cold
        } else {
            NoTargetReason::Full
        }
    }

    /// Explains why no target is eligible. If targets outside of the allowed regions would be, the
    /// restriction is the reason.
    fn no_eligible_reason(
        &self,
        service: &ServiceName,
        requirements: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> NoTargetReason {
        let anywhere = TargetRequirements { regions: None, ..*requirements };
        let others = self.candidates(service, &anywhere, rng);
        let is_outside = requirements.regions.is_some_and(RegionScope::is_restricted)
            && others.iter().any(|state| state.is_eligible(&anywhere));
        if is_outside { NoTargetReason::OutsideRegions } else { NoTargetReason::OldVersion }
    }

    /// The states of the targets to compare for a request.
    fn candidates(
        &self,
        service: &ServiceName,
        requirements: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> Vec<&TargetState> {
        let instances = self.index.candidates(service, requirements, rng).into_iter();
        instances.filter_map(|instance| self.targets.get(instance)).collect()
    }

    /// The cost of sending one more request to a target; the lowest cost wins.
    fn cost(&self, now: Moment, state: &TargetState, fastest_unit_time: f64, fast: bool) -> f64 {
        let slowness = if state.unit_time_ms > 0.0 && fastest_unit_time.is_finite() {
            state.unit_time_ms / fastest_unit_time
        } else {
            1.0
        };
        let load_ratio = f64::from(state.load(now) + 1) / f64::from(state.slots());
        if fast {
            return slowness + FAST_LOAD_WEIGHT * (load_ratio + self.region_cost(state));
        }
        load_ratio * slowness + self.domain_cost(state)
    }

    /// The cost added to targets of other failure domains and regions.
    fn domain_cost(&self, state: &TargetState) -> f64 {
        let domain_cost = if state.record.domain == self.domain { 0.0 } else { REMOTE_DOMAIN_COST };
        domain_cost.max(self.region_cost(state))
    }

    /// The cost added to targets of other regions; zero if either region is not known.
    fn region_cost(&self, state: &TargetState) -> f64 {
        // Targets of this domain need no lookup.
        let own_region = self.region.as_ref().filter(|_| state.record.domain != self.domain);
        let other_region = own_region.and_then(|own_region| {
            self.regions.region_of(&state.record.domain).filter(|region| *region != own_region)
        });
        if other_region.is_some() { REMOTE_REGION_COST } else { 0.0 }
    }

    /// Whether a request running at `instance` should move: another target fits, is not backed off
    /// and needs less than `unit_time` per unit of work.
    pub fn has_faster(
        &self,
        now: Moment,
        instance: &InstanceId,
        unit_time: Duration,
        requirements: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(current) = self.targets.get(instance) else { return false };
        let service = &current.record.service;
        let rules = self.rules(now, service);
        let millis = unit_time.as_secs_f64() * 1_000.0;
        let others = self.candidates(service, requirements, rng).into_iter();
        others.filter(|state| state.record.instance != *instance).any(|state| {
            let is_faster = state.unit_time_ms > 0.0 && state.unit_time_ms < millis;
            is_faster && now >= state.backoff_until && state.fits(&rules, requirements)
        })
    }

    /// Whether a run at `instance` should move, in a service whose targets report their slowdown:
    /// another target that fits completes the rest of the text earlier, even though it must read
    /// the prompt again, and [`Self::choose`] prefers it for that rest.
    pub fn better_target(
        &self,
        now: Moment,
        instance: &InstanceId,
        run: &RunProgress,
        requirements: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> Option<MoveEstimate> {
        let here = self.targets.get(instance)?;
        let service = &here.record.service;
        if !self.expects_times(service) {
            return None;
        }
        let rules = self.rules(now, service);
        let targets = self.candidates(service, requirements, rng);
        let comparison = SpeedComparison::new(now, &targets);
        let others = targets.into_iter().filter(|state| {
            state.record.instance != *instance
                && now >= state.backoff_until
                && state.fits(&rules, requirements)
                && !comparison.is_outlier(state)
        });
        let estimates = others.filter_map(|state| comparison.compare_run(here, state, run));
        estimates.min_by_key(|estimate| estimate.elsewhere)
    }

    /// Whether a target fits a request now. Reserves nothing.
    pub fn has_fitting(
        &self,
        now: Moment,
        service: &ServiceName,
        requirements: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> bool {
        let rules = self.rules(now, service);
        let candidates = self.candidates(service, requirements, rng);
        candidates.iter().any(|state| state.fits(&rules, requirements))
    }

    /// Records that a request to a chosen target ended, successfully or not.
    pub fn ended(&mut self, instance: &InstanceId) {
        if let Some(state) = self.targets.get_mut(instance) {
            state.local_in_flight = state.local_in_flight.saturating_sub(1);
        }
    }

    /// Records a load reported in a response; the requests of this box are subtracted from it.
    pub fn record_load(&mut self, now: Moment, instance: &InstanceId, load: TargetLoad) {
        if let Some(state) = self.targets.get_mut(instance) {
            state.remote_load = (load.running + load.waiting).saturating_sub(state.local_in_flight);
            state.remote_load_at = now;
            if let Some(slowdown) = load.slowdown
                && state.speed.record_slowdown(now, slowdown)
            {
                *self.reporting.entry(state.record.service.clone()).or_default() += 1;
            }
        }
    }

    /// Records a measured time per unit of work.
    pub fn record_unit_time(&mut self, now: Moment, instance: &InstanceId, unit: Duration) {
        let Some(state) = self.targets.get_mut(instance) else { return };
        let millis = unit.as_secs_f64() * 1_000.0;
        state.speed.record_unit_time(now, millis);
        state.unit_time_ms = if state.unit_time_ms == 0.0 {
            millis
        } else {
            state.unit_time_ms + UNIT_TIME_SMOOTHING * (millis - state.unit_time_ms)
        };
    }

    /// Records a success, which ends any backoff.
    pub fn succeeded(&mut self, now: Moment, instance: &InstanceId) {
        let Some(state) = self.targets.get_mut(instance) else { return };
        state.failures = 0;
        state.unreachable = false;
        state.refusals = 0;
        state.backoff_until = Moment::START;
        state.last_success = Some(now);
        let region = self.regions.region_of(&state.record.domain);
        self.index.record_success(region, &state.record.service, instance);
    }

    /// Records a failure.
    pub fn failed(&mut self, now: Moment, instance: &InstanceId, failure: TargetFailure) {
        let Some(state) = self.targets.get_mut(instance) else { return };
        state.unreachable = failure == TargetFailure::Unreachable;
        match failure {
            TargetFailure::Gone => state.gone = true,
            // A burst of requests is refused together; it counts as one refusal.
            TargetFailure::Full if now < state.backoff_until => {}
            TargetFailure::Full => {
                let backoff =
                    INITIAL_FULL_BACKOFF.saturating_mul(1 << state.refusals.min(MAX_DOUBLINGS));
                state.backoff_until = now + backoff.min(MAX_FULL_BACKOFF);
                state.refusals = state.refusals.saturating_add(1);
            }
            TargetFailure::Broken | TargetFailure::Unreachable => {
                // The target may restart, and be cold, before the listing shows it.
                if let Some(limit) = self.cold.get(&state.record.service) {
                    state.mark_cold(now + limit.time);
                }
                let backoff =
                    INITIAL_BACKOFF.saturating_mul(1 << state.failures.min(MAX_DOUBLINGS));
                state.backoff_until = now + backoff.min(MAX_BACKOFF);
                state.failures = state.failures.saturating_add(1);
            }
        }
    }

    /// Records that a target loads weights and accepts no new work until `until`.
    pub fn loading(&mut self, instance: &InstanceId, until: Moment) {
        if let Some(state) = self.targets.get_mut(instance) {
            state.loading_until = until;
        }
    }

    /// Whether a target is backed off after a failure or a refusal.
    pub fn is_backed_off(&self, now: Moment, instance: &InstanceId) -> bool {
        self.targets.get(instance).is_some_and(|state| now < state.backoff_until)
    }

    /// Records a version that the target reported; versions never decrease within one incarnation.
    pub fn record_version(
        &mut self,
        instance: &InstanceId,
        model: &ModelName,
        version: ModelVersion,
    ) {
        let Some(state) = self.targets.get_mut(instance) else { return };
        let reported = [HeldModel { model: model.clone(), version }];
        let merged = merge_models(&state.record.models, &reported);
        if merged == state.record.models {
            return;
        }
        let service = &state.record.service;
        let region = self.regions.region_of(&state.record.domain);
        self.index.remove(region, service, instance, &state.record.models);
        self.index.insert(region, service, instance, &merged);
        state.record.models = merged;
    }
}

/// Returns the lowest measured unit time in milliseconds; infinite if there is none.
fn fastest_unit_time(targets: &[&TargetState]) -> f64 {
    let unit_times = targets.iter().map(|state| state.unit_time_ms).filter(|millis| *millis > 0.0);
    unit_times.fold(f64::INFINITY, f64::min)
}

/// Merges two model lists and keeps the newer version of each model, since the listing may lag
/// behind the versions that responses report.
fn merge_models(current: &[HeldModel], listed: &[HeldModel]) -> Vec<HeldModel> {
    let mut merged = current.to_vec();
    for held in listed {
        match merged.iter_mut().find(|other| other.model == held.model) {
            Some(other) => other.version = other.version.max(held.version),
            None => merged.push(held.clone()),
        }
    }
    merged
}
