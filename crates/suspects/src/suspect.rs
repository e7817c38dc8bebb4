//! What one box knows of one piece of work under which targets crashed.

use std::time::Duration;

use ids::{InstanceId, Moment, ServiceName, TargetIncarnation};

use crate::verdict::UNEXPLAINED_CRASHES;
use crate::{MAX_CRASHES, QUARANTINE_CRASHES, SuspectRecord, TargetCrash};

/// How long crashes are kept for work below the quarantine threshold.
const SUSPECT_TTL: Duration = Duration::from_mins(10);
/// How long crashes are kept for work at or above the quarantine threshold.
const QUARANTINE_TTL: Duration = Duration::from_hours(24);
/// Delays after the last crash or trial before quarantined work may run once more, in case the
/// cause (such as an unavailable dependency) is gone. The number of trials is limited, since each
/// may crash a target.
const TRIAL_DELAYS: [Duration; 3] =
    [Duration::from_mins(3), Duration::from_mins(10), Duration::from_mins(45)];

/// State of a trial run of quarantined work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trial {
    None,
    /// Due, but not yet confirmed by the store. The conditional write ensures that only one box
    /// runs it.
    Requested,
    /// This box may run the trial.
    Granted,
}

/// Summary of the stored record of a work digest.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoredRecord {
    pub(crate) revision: u64,
    pub(crate) crashes: usize,
}

#[derive(Debug)]
pub(crate) struct Suspect {
    pub(crate) service: ServiceName,
    /// Crashes that this box observed.
    pub(crate) local_crashes: Vec<TargetCrash>,
    /// Crashes in the stored record.
    pub(crate) stored_crashes: Vec<TargetCrash>,
    /// Disconnects whose target may have crashed.
    pub(crate) disconnects: Vec<(TargetCrash, Moment)>,
    pub(crate) last_crash_at: Moment,
    /// When the quarantine threshold was reached.
    pub(crate) threshold_at: Option<Moment>,
    /// A full listing of the store, which includes the reports of other boxes, contained enough
    /// crashes for quarantine.
    pub(crate) settled: bool,
    /// The caller got no response and may retry at another box.
    pub(crate) caller_unanswered: bool,
    pub(crate) stored: Option<StoredRecord>,
    pub(crate) trial: Trial,
    pub(crate) trials: u32,
    pub(crate) last_trial_at: Moment,
    /// Since when this box has run the work although its crashes would quarantine it: it is owed.
    pub(crate) spaced_since: Option<Moment>,
    /// Targets at which this box currently runs the work.
    pub(crate) running_at: Vec<InstanceId>,
}

impl Suspect {
    pub(crate) fn new(now: Moment, service: ServiceName) -> Self {
        Self {
            service,
            local_crashes: Vec::new(),
            stored_crashes: Vec::new(),
            disconnects: Vec::new(),
            last_crash_at: now,
            threshold_at: None,
            settled: false,
            caller_unanswered: false,
            stored: None,
            trial: Trial::None,
            trials: 0,
            last_trial_at: now,
            spaced_since: None,
            running_at: Vec::new(),
        }
    }

    pub(crate) fn crashes(&self) -> Vec<TargetCrash> {
        let unstored =
            self.local_crashes.iter().filter(|crash| !self.stored_crashes.contains(crash));
        self.stored_crashes.iter().chain(unstored).take(MAX_CRASHES).cloned().collect()
    }

    /// Incarnations that crashed, or may have crashed, while running this work.
    pub(crate) fn incarnations(&self) -> impl Iterator<Item = &TargetIncarnation> {
        let crashes = self.local_crashes.iter().chain(&self.stored_crashes);
        crashes.chain(self.disconnects.iter().map(|(crash, _)| crash)).map(|crash| &crash.life)
    }

    pub(crate) fn has_crash_of(&self, incarnation: &TargetIncarnation) -> bool {
        self.local_crashes
            .iter()
            .chain(&self.stored_crashes)
            .any(|crash| crash.life == *incarnation)
    }

    /// Whether this work, rather than `other` with the given crashes, may have caused their common
    /// crashes. This holds if it has at least as many crashes, or enough for quarantine with
    /// `UNEXPLAINED_CRASHES` not shared with `other`. The second rule clears work that ran beside
    /// two poison requests in turn and so has as many crashes as either.
    pub(crate) fn explains(&self, other: &Self, crashes: &[TargetCrash]) -> bool {
        let unshared = || {
            let own = self.crashes();
            own.iter().filter(|crash| crashes.iter().all(|other| other.life != crash.life)).count()
        };
        let count = self.count();
        count >= other.count() || (count >= QUARANTINE_CRASHES && unshared() >= UNEXPLAINED_CRASHES)
    }

    pub(crate) fn count(&self) -> usize {
        let unstored =
            self.local_crashes.iter().filter(|crash| !self.stored_crashes.contains(crash));
        self.stored_crashes.len() + unstored.count()
    }

    /// Updates the timestamps after a crash was added.
    pub(crate) fn crash_added(&mut self, now: Moment) {
        self.last_crash_at = now;
        if self.count() >= QUARANTINE_CRASHES {
            self.threshold_at.get_or_insert(now);
        }
    }

    pub(crate) fn trial_due(&self, now: Moment) -> bool {
        let delay = TRIAL_DELAYS.get(self.trials as usize);
        delay.is_some_and(|delay| now.since(self.last_crash_at.max(self.last_trial_at)) >= *delay)
    }

    pub(crate) fn record(&self) -> SuspectRecord {
        let requested = u32::from(self.trial == Trial::Requested);
        let trials = self.trials + requested;
        SuspectRecord { service: self.service.clone(), ends: self.crashes(), trials }
    }

    pub(crate) fn ttl(&self) -> Duration {
        if self.count() >= QUARANTINE_CRASHES { QUARANTINE_TTL } else { SUSPECT_TTL }
    }

    /// Whether the record should be published: after a second crash, after the first if the caller
    /// may retry at any box, or to request a trial.
    pub(crate) fn needs_publish(&self) -> bool {
        let count = self.count().min(MAX_CRASHES);
        let worth_publishing = count >= 2 || (count == 1 && self.caller_unanswered);
        let changed = self.stored.is_none_or(|stored| stored.crashes < count);
        (worth_publishing && changed) || self.trial == Trial::Requested
    }
}
