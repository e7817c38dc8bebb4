//! State that this box tracks for one target.

use std::collections::HashSet;
use std::time::Duration;

use ids::{DomainId, ModelName, ModelVersion, Moment};

use crate::cold::{ColdLimit, SendWindow};
use crate::regions::{RegionMap, RegionScope};
use crate::speed::SpeedEstimate;
use crate::target::{TargetRecord, TargetRequirements};

/// How long a load reported in a response is used.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(500);
/// Slots assumed for a target that lists none.
const DEFAULT_SLOTS: u32 = 4;
/// How long after its last success a target is assumed to have an open connection.
const CONNECTION_OPEN_WINDOW: Duration = Duration::from_secs(6);

/// The state of one target.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub record: TargetRecord,
    /// Requests of this box in flight at the target.
    pub local_in_flight: u32,
    /// Requests of other boxes, from the last load report.
    pub remote_load: u32,
    pub remote_load_at: Moment,
    /// Smoothed time per unit of work, in milliseconds; zero before the first measurement.
    pub unit_time_ms: f64,
    /// Used instead of `unit_time_ms` in services whose targets report their slowdown.
    pub speed: SpeedEstimate,
    pub failures: u32,
    /// Whether the last failure was that no connection could be opened.
    pub unreachable: bool,
    /// Refusals for lack of capacity since the last success.
    pub refusals: u32,
    pub backoff_until: Moment,
    /// The target loads weights until then and gets no new work.
    pub loading_until: Moment,
    /// A response showed that this incarnation is gone; the listing may lag behind.
    pub gone: bool,
    /// When a request of this box last succeeded.
    pub last_success: Option<Moment>,
    /// The target is cold until then.
    pub cold_until: Moment,
    /// Recorded only if the service limits its cold targets.
    pub recent_sends: SendWindow,
}

/// Rules that apply to all targets of a service at `now`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceRules<'a> {
    pub now: Moment,
    pub cold: Option<&'a ColdLimit>,
    pub evacuated: &'a HashSet<DomainId>,
    pub regions: &'a RegionMap,
}

impl TargetState {
    /// Creates the state of a newly listed target.
    pub fn new(now: Moment, record: TargetRecord) -> Self {
        Self {
            cold_until: now + record.cold_left,
            recent_sends: SendWindow::default(),
            last_success: None,
            record,
            local_in_flight: 0,
            remote_load: 0,
            remote_load_at: Moment::START,
            unit_time_ms: 0.0,
            speed: SpeedEstimate::default(),
            failures: 0,
            unreachable: false,
            refusals: 0,
            backoff_until: Moment::START,
            loading_until: Moment::START,
            gone: false,
        }
    }

    /// Requests that the target runs at a time.
    pub fn slots(&self) -> u32 {
        if self.record.slots == 0 { DEFAULT_SLOTS } else { self.record.slots }
    }

    /// Requests at the target: those of this box plus the reported load of others.
    pub fn load(&self, now: Moment) -> u32 {
        let remote_load =
            if now.since(self.remote_load_at) < LOAD_REPORT_TTL { self.remote_load } else { 0 };
        self.local_in_flight + remote_load
    }

    /// The version of `model` that the target holds.
    pub fn version(&self, model: &ModelName) -> Option<ModelVersion> {
        let held = self.record.models.iter().find(|held| held.model == *model)?;
        Some(held.version)
    }

    /// Whether a request may be sent to the target now.
    pub fn fits(&self, rules: &ServiceRules<'_>, requirements: &TargetRequirements<'_>) -> bool {
        let now = rules.now;
        if now < self.loading_until
            || !self.is_eligible(requirements)
            || self.is_excluded(rules, requirements)
        {
            return false;
        }
        let is_restricted = requirements.regions.is_some_and(RegionScope::is_restricted);
        let skips_backed_off = requirements.skip_backed_off || (is_restricted && self.unreachable);
        if skips_backed_off && now < self.backoff_until {
            return false;
        }
        // Work that can be deferred needs a free slot at a target that is not backed off.
        !requirements.free_slot || (now >= self.backoff_until && self.load(now) < self.slots())
    }

    /// Whether the target must get no request now, even with free slots.
    pub fn is_excluded(
        &self,
        rules: &ServiceRules<'_>,
        requirements: &TargetRequirements<'_>,
    ) -> bool {
        !self.is_in_scope(rules, requirements)
            || rules.evacuated.contains(&self.record.domain)
            || self.is_over_cold_limit(rules, requirements)
    }

    /// Whether the target is in a region in which the request may be handled.
    pub fn is_in_scope(
        &self,
        rules: &ServiceRules<'_>,
        requirements: &TargetRequirements<'_>,
    ) -> bool {
        let scope = requirements.regions;
        scope.is_none_or(|scope| scope.allows_domain(rules.regions, &self.record.domain))
    }

    /// Whether the target is cold and this sender has used up its quota there.
    pub fn is_over_cold_limit(
        &self,
        rules: &ServiceRules<'_>,
        requirements: &TargetRequirements<'_>,
    ) -> bool {
        let Some(limit) = rules.cold.filter(|_| rules.now < self.cold_until) else { return false };
        let quota =
            requirements.sender.map_or(0, |sender| limit.quota(&self.record.instance, sender));
        self.recent_sends.count(rules.now) >= quota
    }

    /// Whether an idle connection to the target is probably open.
    pub fn is_connected(&self, now: Moment) -> bool {
        self.local_in_flight == 0
            && self.last_success.is_some_and(|at| now.since(at) < CONNECTION_OPEN_WINDOW)
    }

    /// Extends the cold period to `until`.
    pub fn mark_cold(&mut self, until: Moment) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Whether the target could serve the request once it has capacity.
    pub fn is_eligible(&self, requirements: &TargetRequirements<'_>) -> bool {
        if self.gone || self.record.leaving || requirements.avoid.contains(&self.record.instance) {
            return false;
        }
        let Some((model, floor)) = requirements.model else { return true };
        self.version(model).is_some_and(|version| version >= floor)
    }
}
