//! What this box knows of one target.

use std::collections::HashSet;
use std::time::Duration;

use ids::{DomainId, ModelName, ModelVersion, Moment};

use crate::cold::{ColdLimit, SendWindow};
use crate::target::{TargetRecord, TargetRequirements};

/// How long a load told by an answer is believed.
const LOAD_TRUST: Duration = Duration::from_millis(500);
/// Slots assumed of a target that tells none.
const DEFAULT_SLOTS: u32 = 4;
/// How long after its last work a target is taken to have a connection open.
const OPEN_TIME: Duration = Duration::from_secs(6);

/// What this box knows of one target.
#[derive(Debug)]
pub(crate) struct TargetView {
    pub record: TargetRecord,
    /// Requests of this box that run there.
    pub mine: u32,
    pub others: u32,
    pub others_at: Moment,
    /// Smoothed time of a unit of work, in milliseconds; zero before the first.
    pub pace: f64,
    pub failures: u32,
    /// Refusals for want of room since the last good work.
    pub refusals: u32,
    pub rest_until: Moment,
    /// Loads weights: gets no new work until then, unless told otherwise earlier.
    pub busy_until: Moment,
    /// Said to be another life by an answer; the list lags.
    pub gone: bool,
    /// When it did work last for this box.
    pub worked_at: Option<Moment>,
    /// Cold until then.
    pub cold_until: Moment,
    /// Kept only where cold targets have a limit.
    pub sent: SendWindow,
}

/// What holds for all targets of a service at one moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceRules<'a> {
    pub now: Moment,
    pub cold: Option<&'a ColdLimit>,
    pub evacuated: &'a HashSet<DomainId>,
}

impl TargetView {
    /// A target of which only its entry is known.
    pub fn new(now: Moment, record: TargetRecord) -> Self {
        Self {
            cold_until: now + record.cold_left,
            sent: SendWindow::default(),
            worked_at: None,
            record,
            mine: 0,
            others: 0,
            others_at: Moment::START,
            pace: 0.0,
            failures: 0,
            refusals: 0,
            rest_until: Moment::START,
            busy_until: Moment::START,
            gone: false,
        }
    }

    pub fn slots(&self) -> u32 {
        if self.record.slots == 0 { DEFAULT_SLOTS } else { self.record.slots }
    }

    pub fn load(&self, now: Moment) -> u32 {
        let others = if now.since(self.others_at) < LOAD_TRUST { self.others } else { 0 };
        self.mine + others
    }

    pub fn version(&self, model: &ModelName) -> Option<ModelVersion> {
        let held = self.record.models.iter().find(|held| held.model == *model)?;
        Some(held.version)
    }

    pub fn fits(&self, rules: &ServiceRules<'_>, need: &TargetRequirements<'_>) -> bool {
        let now = rules.now;
        if now < self.busy_until || !self.is_able(need) || self.is_barred(rules, need) {
            return false;
        }
        // Work that may wait does not go where it was turned away a moment ago.
        !need.free_slot || (now >= self.rest_until && self.load(now) < self.slots())
    }

    /// Whether it gets nothing now, however free it is.
    pub fn is_barred(&self, rules: &ServiceRules<'_>, need: &TargetRequirements<'_>) -> bool {
        rules.evacuated.contains(&self.record.domain) || self.is_chilled(rules, need)
    }

    /// Whether it is cold, and has got this sender's part of what it bears.
    pub fn is_chilled(&self, rules: &ServiceRules<'_>, need: &TargetRequirements<'_>) -> bool {
        let Some(limit) = rules.cold.filter(|_| rules.now < self.cold_until) else { return false };
        let part = need.sender.map_or(0, |sender| limit.part(&self.record.instance, sender));
        self.sent.count(rules.now) >= part
    }

    /// Whether a connection to it is most likely open and free.
    pub fn is_connected(&self, now: Moment) -> bool {
        self.mine == 0 && self.worked_at.is_some_and(|at| now.since(at) < OPEN_TIME)
    }

    pub fn chill(&mut self, until: Moment) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Whether it could serve the need at another time.
    pub fn is_able(&self, need: &TargetRequirements<'_>) -> bool {
        if self.gone || self.record.leaving || need.avoid.contains(&self.record.instance) {
            return false;
        }
        let Some((model, floor)) = need.model else { return true };
        self.version(model).is_some_and(|version| version >= floor)
    }
}
