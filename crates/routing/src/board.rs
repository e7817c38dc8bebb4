//! What this box knows of the targets, and its choice among them.
//!
//! The platform's list says which targets live and leave; it lags. What this box itself has sent
//! is exact; what others send shows in the load that answers tell, which is believed for a short
//! while. A target that fails rests, longer after each further failure, and a target that is
//! slow gets less, since a request there holds its slot longer.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ids::{DomainId, InstanceId, ModelName, ModelVersion, Moment, ServiceName};
use rand::Rng;

use crate::cold::ColdLimit;
use crate::index::TargetIndex;
use crate::target::{
    ChosenTarget, HeldModel, NoTargetReason, TargetFailure, TargetLoad, TargetRecord,
    TargetRequirements,
};
use crate::view::{ServiceRules, TargetView};

/// How long a target rests after its first failure; doubles with each further one.
const FIRST_REST: Duration = Duration::from_millis(200);
/// Longest rest, so that a target that is well again is found within seconds.
const MOST_REST: Duration = Duration::from_secs(2);
/// How long a target rests after it was full or loaded weights; doubles with each refusal in a
/// row. A load takes about a second.
const FULL_REST: Duration = Duration::from_millis(60);
/// Longest rest of a full target.
const MOST_FULL_REST: Duration = Duration::from_millis(500);
/// A rest is doubled at most so many times.
const MOST_DOUBLINGS: u32 = 8;
/// Weight of the newest reading in a target's pace.
const PACE_PART: f64 = 0.2;
/// Requests that a target of another failure domain must have fewer, as a share of its slots,
/// to be chosen over one of the own domain: bytes between domains cost more than a short wait.
const DOMAIN_PREFERENCE: f64 = 0.34;
/// Weight of a target's load beside its pace where a fast one is wanted: a full batch slows each of its requests
/// by less than engines of one service differ.
const FAST_SHARE: f64 = 0.1;

/// What a connection that has to be opened adds to the cost of one of thousands of targets: it takes a moment of a slot
/// there, and less than a request that runs. A small service's targets have connections open anyway.
const OPEN_COST: f64 = 0.1;

/// The targets as this box knows them.
#[derive(Debug)]
pub struct TargetTable {
    domain: DomainId,
    views: HashMap<InstanceId, TargetView>,
    index: TargetIndex,
    /// Limits of cold targets, for the services that have any.
    cold: HashMap<ServiceName, ColdLimit>,
    /// Failure domains that are to be emptied.
    evacuated: HashSet<DomainId>,
    /// Changes whenever a target comes, leaves or goes, or a failure domain is emptied.
    generation: u64,
}

impl TargetTable {
    /// A board without targets, for a box of `domain`.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            views: HashMap::new(),
            index: TargetIndex::default(),
            cold: HashMap::new(),
            evacuated: HashSet::new(),
            generation: 0,
        }
    }

    /// Puts limits of cold targets in force, in place of those before.
    pub fn limit_cold(&mut self, limits: HashMap<ServiceName, ColdLimit>) {
        self.cold = limits;
    }

    /// Empties a failure domain, or takes it into use again; `false` when that was known. Its targets may have
    /// turned cold meanwhile, which the list may tell later.
    pub fn evacuate(&mut self, now: Moment, domain: &DomainId, evacuated: bool) -> bool {
        let is_news = if evacuated {
            self.evacuated.insert(domain.clone())
        } else {
            self.evacuated.remove(domain)
        };
        if !is_news || evacuated {
            self.generation += u64::from(is_news);
            return is_news;
        }
        self.generation += 1;
        for view in self.views.values_mut().filter(|view| view.record.domain == *domain) {
            if let Some(limit) = self.cold.get(&view.record.service) {
                view.chill(now + limit.time);
            }
        }
        true
    }

    /// Failure domains that are to be emptied.
    pub const fn evacuated(&self) -> &HashSet<DomainId> {
        &self.evacuated
    }

    /// Changes whenever a target comes, leaves or goes, or a failure domain is emptied.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    fn rules(&self, now: Moment, service: &ServiceName) -> ServiceRules<'_> {
        ServiceRules { now, cold: self.cold.get(service), evacuated: &self.evacuated }
    }

    /// Takes a target as the platform lists it now.
    pub fn put(&mut self, now: Moment, record: TargetRecord) {
        let instance = record.instance.clone();
        let known = self.views.get(&instance).filter(|view| view.record.born == record.born);
        if let Some(models) = known.map(|view| merge_models(&view.record.models, &record.models)) {
            self.update(now, TargetRecord { models, ..record });
            return;
        }
        // A new life under an old id holds nothing, and is blamed for nothing, of the one before.
        self.remove(&instance);
        self.index.insert(&record.service, &instance, &record.models);
        self.generation += 1;
        let view = TargetView::new(now, record);
        self.views.insert(instance, view);
    }

    /// Takes news of a life that is known.
    fn update(&mut self, now: Moment, record: TargetRecord) {
        let Some(view) = self.views.get_mut(&record.instance) else { return };
        let known = &view.record;
        if known.models != record.models || known.service != record.service {
            self.index.remove(&known.service, &record.instance, &known.models);
            self.index.insert(&record.service, &record.instance, &record.models);
        }
        self.generation += u64::from(view.record.leaving != record.leaving);
        view.chill(now + record.cold_left);
        view.record = record;
    }

    /// Takes a target off; requests that run there go on.
    pub fn remove(&mut self, instance: &InstanceId) {
        let Some(view) = self.views.remove(instance) else { return };
        self.index.remove(&view.record.service, instance, &view.record.models);
        self.generation += 1;
    }

    /// All targets.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.views.keys()
    }

    /// The targets of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &TargetRecord> {
        let instances = self.index.of_service(service);
        instances.filter_map(|instance| self.views.get(instance)).map(|view| &view.record)
    }

    /// One target.
    pub fn record(&self, instance: &InstanceId) -> Option<&TargetRecord> {
        self.views.get(instance).map(|view| &view.record)
    }

    /// Whether a target is listed and neither leaves nor is known to be gone.
    pub fn stays(&self, instance: &InstanceId) -> bool {
        self.views.get(instance).is_some_and(|view| !view.gone && !view.record.leaving)
    }

    /// Requests of this box that run at a target.
    pub fn local_in_flight(&self, instance: &InstanceId) -> u32 {
        self.views.get(instance).map_or(0, |view| view.mine)
    }

    /// Chooses a target and counts the request there; [`Self::ended`] must follow.
    ///
    /// The least of (requests + 1) x pace a slot wins; ties are broken by chance. Resting
    /// targets are taken only when no other is left. Of a large service some targets are looked at.
    pub fn choose(
        &mut self,
        now: Moment,
        service: &ServiceName,
        need: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> Option<ChosenTarget> {
        let views = self.looked(service, need, rng);
        let fastest = fastest(&views);
        let rules = self.rules(now, service);
        let opens = if self.index.is_large(service) { OPEN_COST } else { 0.0 };
        let mut best: Option<(bool, f64, &TargetView)> = None;
        for view in views {
            if !view.fits(&rules, need) {
                continue;
            }
            let resting = now < view.rest_until;
            let opening = if view.is_connected(now) { 0.0 } else { opens };
            let cost = self.cost(now, view, fastest, need.fast) + opening;
            let cost = cost + rng.random::<f64>() * 0.01;
            let better = match best {
                None => true,
                Some((best_resting, best_cost, _)) => (resting, cost) < (best_resting, best_cost),
            };
            if better {
                best = Some((resting, cost, view));
            }
        }
        let chosen = best.map(|(_, _, view)| view.record.instance.clone())?;
        let view = self.views.get_mut(&chosen)?;
        view.mine += 1;
        if self.cold.contains_key(service) {
            view.sent.note(now);
        }
        Some(ChosenTarget {
            instance: chosen,
            born: view.record.born,
            software: view.record.software.clone(),
            address: view.record.address,
            service: view.record.service.clone(),
        })
    }

    /// Why [`Self::choose`] has found none: what holds up the target that lacks the least.
    pub fn no_target_reason(
        &self,
        now: Moment,
        service: &ServiceName,
        need: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> NoTargetReason {
        let rules = self.rules(now, service);
        let mut able = self.looked(service, need, rng);
        able.retain(|view| view.is_able(need));
        if able.is_empty() {
            return NoTargetReason::OldVersion;
        }
        able.retain(|view| !rules.evacuated.contains(&view.record.domain));
        if able.is_empty() {
            return NoTargetReason::Evacuated;
        }
        able.retain(|view| now >= view.busy_until);
        if able.is_empty() {
            return NoTargetReason::Loading;
        }
        able.retain(|view| now >= view.rest_until);
        if able.is_empty() {
            return NoTargetReason::BackedOff;
        }
        if able.iter().all(|view| view.is_chilled(&rules, need)) {
            NoTargetReason::Cold
        } else {
            NoTargetReason::Full
        }
    }

    /// What is known of the targets that a choice looks at.
    fn looked(
        &self,
        service: &ServiceName,
        need: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> Vec<&TargetView> {
        let instances = self.index.looked(service, need, rng).into_iter();
        instances.filter_map(|instance| self.views.get(instance)).collect()
    }

    fn cost(&self, now: Moment, view: &TargetView, fastest: f64, fast: bool) -> f64 {
        let slowness =
            if view.pace > 0.0 && fastest.is_finite() { view.pace / fastest } else { 1.0 };
        let share = f64::from(view.load(now) + 1) / f64::from(view.slots());
        if fast {
            return slowness + FAST_SHARE * share;
        }
        let away = if view.record.domain == self.domain { 0.0 } else { DOMAIN_PREFERENCE };
        share * slowness + away
    }

    /// Whether a request that runs at `instance` had better go on elsewhere: another target that
    /// fits has a free slot, and takes less than `pace` for a unit of work.
    pub fn has_faster(
        &self,
        now: Moment,
        instance: &InstanceId,
        pace: Duration,
        need: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(here) = self.views.get(instance) else { return false };
        let service = &here.record.service;
        let rules = self.rules(now, service);
        let millis = pace.as_secs_f64() * 1_000.0;
        let others = self.looked(service, need, rng).into_iter();
        others.filter(|view| view.record.instance != *instance).any(|view| {
            let known = view.pace > 0.0 && view.pace < millis;
            known && now >= view.rest_until && view.fits(&rules, need)
        })
    }

    /// Notes that a chosen request has ended there, well or not.
    pub fn ended(&mut self, instance: &InstanceId) {
        if let Some(view) = self.views.get_mut(instance) {
            view.mine = view.mine.saturating_sub(1);
        }
    }

    /// Takes the load that an answer told; requests of this box are taken off it.
    pub fn record_load(&mut self, now: Moment, instance: &InstanceId, load: TargetLoad) {
        if let Some(view) = self.views.get_mut(instance) {
            view.others = (load.running + load.waiting).saturating_sub(view.mine);
            view.others_at = now;
        }
    }

    /// Takes the time that a unit of work took there.
    pub fn record_unit_time(&mut self, instance: &InstanceId, unit: Duration) {
        let Some(view) = self.views.get_mut(instance) else { return };
        let millis = unit.as_secs_f64() * 1_000.0;
        view.pace =
            if view.pace == 0.0 { millis } else { view.pace + PACE_PART * (millis - view.pace) };
    }

    /// Notes good work.
    pub fn succeeded(&mut self, now: Moment, instance: &InstanceId) {
        let Some(view) = self.views.get_mut(instance) else { return };
        view.failures = 0;
        view.refusals = 0;
        view.rest_until = Moment::START;
        view.worked_at = Some(now);
        self.index.worked(&view.record.service, instance);
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Moment, instance: &InstanceId, failure: TargetFailure) {
        let Some(view) = self.views.get_mut(instance) else { return };
        match failure {
            TargetFailure::Gone => view.gone = true,
            // Requests sent together are turned away together: one refusal is counted.
            TargetFailure::Full if now < view.rest_until => {}
            TargetFailure::Full => {
                let rest = FULL_REST.saturating_mul(1 << view.refusals.min(MOST_DOUBLINGS));
                view.rest_until = now + rest.min(MOST_FULL_REST);
                view.refusals = view.refusals.saturating_add(1);
            }
            TargetFailure::Broken => {
                // It may be another life that comes back, and cold, before the list tells.
                if let Some(limit) = self.cold.get(&view.record.service) {
                    view.chill(now + limit.time);
                }
                let rest = FIRST_REST.saturating_mul(1 << view.failures.min(MOST_DOUBLINGS));
                view.rest_until = now + rest.min(MOST_REST);
                view.failures = view.failures.saturating_add(1);
            }
        }
    }

    /// Notes that a target takes no new work until `until`, since it loads weights.
    pub fn loading(&mut self, instance: &InstanceId, until: Moment) {
        if let Some(view) = self.views.get_mut(instance) {
            view.busy_until = until;
        }
    }

    /// Whether a target rests after a failure or a refusal.
    pub fn is_backed_off(&self, now: Moment, instance: &InstanceId) -> bool {
        self.views.get(instance).is_some_and(|view| now < view.rest_until)
    }

    /// Takes a version that an answer or a report of the target told; versions only rise
    /// within one life.
    pub fn record_version(&mut self, instance: &InstanceId, model: &ModelName, told: ModelVersion) {
        let Some(view) = self.views.get_mut(instance) else { return };
        let held = [HeldModel { model: model.clone(), version: told }];
        let newer = merge_models(&view.record.models, &held);
        if newer == view.record.models {
            return;
        }
        let service = &view.record.service;
        self.index.remove(service, instance, &view.record.models);
        self.index.insert(service, instance, &newer);
        view.record.models = newer;
    }
}

/// The least pace that is known of any; infinite where none is.
fn fastest(views: &[&TargetView]) -> f64 {
    let paces = views.iter().map(|view| view.pace).filter(|pace| *pace > 0.0);
    paces.fold(f64::INFINITY, f64::min)
}

/// The newer of each model's two versions: the list lags behind what answers tell.
fn merge_models(known: &[HeldModel], listed: &[HeldModel]) -> Vec<HeldModel> {
    let mut merged = known.to_vec();
    for held in listed {
        match merged.iter_mut().find(|other| other.model == held.model) {
            Some(other) => other.version = other.version.max(held.version),
            None => merged.push(held.clone()),
        }
    }
    merged
}
