//! Owed work: items and reward calls of accepted jobs.
//!
//! Owed work is never a request that crashes targets by itself, and must be completed. The evidence
//! that quarantines other work only spaces its runs. Quarantine has a second effect, which remains:
//! the crashes of quarantined work go on to explain those of work beside it. Therefore the crashes
//! of spaced work are kept as they were when the quarantine would have begun, also after it has
//! succeeded, and its later crashes count neither for nor against other work.

use std::time::Duration;

use ids::{Moment, ServiceName, TargetIncarnation, WorkDigest};

use crate::SuspectTable;
use crate::suspect::Suspect;
use crate::verdict::SETTLE_WINDOW;

/// Time between a crash and the next run of spaced work. A result counts as lost if its item waits
/// for five seconds while targets are free.
const CRASH_SPACING: Duration = Duration::from_millis(4_500);
/// Crashes of a service within this time have one cause.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// A crash that was observed a short time ago.
#[derive(Debug)]
pub(crate) struct RecentCrash {
    at: Moment,
    service: ServiceName,
    /// Work that the target ran.
    works: Vec<WorkDigest>,
}

impl SuspectTable {
    /// Returns how long owed work must wait before its next run; zero if it may run now.
    pub fn space_owed(&mut self, now: Moment, work: WorkDigest, service: &ServiceName) -> Duration {
        let is_spaced = !self.suspected_versions(work, service).is_empty();
        let Some(suspect) = self.suspects.get_mut(&work) else { return Duration::ZERO };
        suspect.spaced_since = is_spaced.then(|| suspect.spaced_since.unwrap_or(now));
        let Some(spaced_since) = suspect.spaced_since else { return Duration::ZERO };
        let mut last_crash_at = suspect.last_crash_at;
        if suspect.local_crashes.is_empty() {
            // Another box ran the work. It may have seen a crash that it could not publish.
            last_crash_at = last_crash_at.max(spaced_since);
        }
        let spacing = if self.crashed_in_burst(work) { SETTLE_WINDOW } else { CRASH_SPACING };
        spacing.saturating_sub(now.since(last_crash_at))
    }

    /// Whether targets that did not run this work crashed at the time of its last crash.
    fn crashed_in_burst(&self, work: WorkDigest) -> bool {
        let Some(suspect) = self.suspects.get(&work) else { return false };
        let last_crash_at = suspect.last_crash_at;
        self.recent_crashes.values().any(|crash| {
            let apart = crash.at.since(last_crash_at).max(last_crash_at.since(crash.at));
            crash.service == suspect.service
                && apart <= BURST_WINDOW
                && !crash.works.contains(&work)
        })
    }

    /// Records that an incarnation crashed while it ran `work`.
    pub(crate) fn record_recent_crash(
        &mut self,
        now: Moment,
        incarnation: &TargetIncarnation,
        work: WorkDigest,
        service: ServiceName,
    ) {
        let crash = self.recent_crashes.entry(incarnation.clone());
        let crash = crash.or_insert_with(|| RecentCrash { at: now, service, works: Vec::new() });
        crash.works.push(work);
    }

    /// Drops crashes that no longer affect spacing.
    pub(crate) fn expire_recent_crashes(&mut self, now: Moment) {
        self.recent_crashes.retain(|_, crash| now.since(crash.at) < CRASH_SPACING + BURST_WINDOW);
    }
}

impl Suspect {
    /// Whether the work runs although its crashes would quarantine it.
    pub(crate) const fn is_spaced(&self) -> bool {
        self.spaced_since.is_some()
    }
}
