//! Work under which targets crashed, as observed by one box.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ids::{InstanceId, Moment, ServiceName, SoftwareVersion, TargetIncarnation, WorkDigest};

use crate::owed::RecentCrash;
use crate::suspect::{StoredRecord, Suspect, Trial};
use crate::verdict::{SETTLE_WINDOW, versions_to_quarantine};
use crate::{MAX_CRASHES, QUARANTINE_CRASHES, SuspectRecord, TargetCrash};

/// Number of crashes from which work runs only at targets without other suspects. Otherwise several
/// poison requests that arrive together would put their neighbors in quarantine too.
const ISOLATION_CRASHES: usize = QUARANTINE_CRASHES - 1;
/// Maximum number of tracked work digests. Beyond it, the entry with the fewest and oldest crashes
/// is evicted.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of unresolved disconnects per work digest.
const MAX_DISCONNECTS: usize = 16;
/// How long a disconnect waits for confirmation of a crash. The list entry of a crashed target
/// expires after about 4 s.
const DISCONNECT_TTL: Duration = Duration::from_secs(6);
/// An incarnation that is still listed this long after it refused a connection has not crashed: its
/// entry would have expired.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(6);
/// Extra delay before a storage box clears records that other boxes published. Boxes that only drop
/// their local entry wait twice as long.
const CLEAR_DELAY: Duration = Duration::from_mins(1);

/// A pending write to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectWrite {
    /// Publishes a record, replacing the given revision if there is one.
    Publish {
        /// Digest of the work.
        work: WorkDigest,
        /// The record to write.
        record: SuspectRecord,
        /// Revision of the stored record; `None` if nothing is stored.
        revision: Option<u64>,
    },
    /// Deletes a published record.
    Clear {
        /// Digest of the work.
        work: WorkDigest,
        /// Revision of the stored record.
        revision: u64,
    },
}

/// Targets that work should avoid because other suspects run there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AntiAffinity {
    /// The targets to avoid.
    pub targets: Vec<InstanceId>,
    /// Whether avoiding them is mandatory: one more crash would quarantine this work and its
    /// neighbors.
    pub required: bool,
    /// Whether the work must not start now: it may be one crash before quarantine, and the targets
    /// that it ran at have just failed. Others may be failing at the same moment for another cause.
    pub held: bool,
}

/// Table of the work under which targets crashed, as observed by one box.
#[derive(Debug, Default)]
pub struct SuspectTable {
    pub(crate) suspects: HashMap<WorkDigest, Suspect>,
    /// Cleared work whose stored record is yet to be deleted, with its revision.
    cleared: HashMap<WorkDigest, u64>,
    /// Incarnations that disconnected and whose probe has not ended.
    probing: HashSet<TargetIncarnation>,
    /// Incarnations that refused connections after a disconnect, and when. A network partition may
    /// look the same.
    refused: HashMap<TargetIncarnation, Moment>,
    /// Crashes observed within the last seconds.
    pub(crate) recent_crashes: HashMap<TargetIncarnation, RecentCrash>,
}

impl SuspectTable {
    /// Whether no work is tracked.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether no work is tracked and nothing is left to expire or write.
    pub fn is_idle(&self) -> bool {
        self.suspects.is_empty() && self.cleared.is_empty() && self.refused.is_empty()
    }

    /// Number of tracked work digests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Number of target crashes recorded for `work`.
    pub fn crash_count(&self, work: WorkDigest) -> usize {
        self.suspects.get(&work).map_or(0, Suspect::count)
    }

    /// Records that a target disconnected while it ran `work`; `crash` is counted once it is
    /// confirmed that the target crashed. Returns `true` if the incarnation should be probed,
    /// because no earlier disconnect involves it.
    pub fn record_disconnect(
        &mut self,
        now: Moment,
        work: WorkDigest,
        service: &ServiceName,
        crash: TargetCrash,
    ) -> bool {
        let incarnation = crash.life.clone();
        let involves =
            |suspect: &Suspect| suspect.incarnations().any(|other| *other == incarnation);
        let already_probed = self.suspects.values().any(involves);
        self.evict_if_full(&work);
        let suspect =
            self.suspects.entry(work).or_insert_with(|| Suspect::new(now, service.clone()));
        if !involves(suspect) && suspect.disconnects.len() < MAX_DISCONNECTS {
            suspect.disconnects.push((crash, now));
        }
        if self.refused.contains_key(&incarnation) {
            self.confirm_crash(now, &incarnation);
        }
        if !already_probed {
            self.probing.insert(incarnation);
        }
        !already_probed
    }

    /// Records that the probe of an incarnation ended, after its result was recorded.
    pub fn probe_ended(&mut self, incarnation: &TargetIncarnation) {
        self.probing.remove(incarnation);
    }

    /// Records that an incarnation refuses connections. After a disconnect this counts as a crash.
    pub fn connection_refused(&mut self, now: Moment, incarnation: &TargetIncarnation) {
        self.refused.insert(incarnation.clone(), now);
        self.confirm_crash(now, incarnation);
    }

    /// Records that an instance is no longer listed, or that another incarnation replaced it.
    pub fn instance_gone(&mut self, now: Moment, instance: &InstanceId) {
        let disconnects = self.suspects.values().flat_map(|suspect| &suspect.disconnects);
        let gone = disconnects
            .map(|(crash, _)| &crash.life)
            .filter(|incarnation| incarnation.instance == *instance);
        let gone: HashSet<TargetIncarnation> = gone.cloned().collect();
        for incarnation in gone {
            self.confirm_crash(now, &incarnation);
        }
    }

    fn confirm_crash(&mut self, now: Moment, incarnation: &TargetIncarnation) {
        let mut crashed = Vec::new();
        for (work, suspect) in &mut self.suspects {
            let Some(at) =
                suspect.disconnects.iter().position(|(crash, _)| crash.life == *incarnation)
            else {
                continue;
            };
            let (crash, _) = suspect.disconnects.swap_remove(at);
            crashed.push((*work, suspect.service.clone()));
            if suspect.is_spaced() {
                suspect.last_crash_at = now;
            } else if suspect.local_crashes.len() < MAX_CRASHES {
                suspect.local_crashes.push(crash);
                suspect.crash_added(now);
            }
        }
        for (work, service) in crashed {
            self.record_recent_crash(now, incarnation, work, service);
        }
    }

    /// Removes and returns the incarnations whose refusal is older than `REFUSAL_TIMEOUT`.
    pub fn drain_expired_refusals(&mut self, now: Moment) -> Vec<TargetIncarnation> {
        let due = self.refused.extract_if(|_, at| now.since(*at) >= REFUSAL_TIMEOUT);
        due.map(|(incarnation, _)| incarnation).collect()
    }

    /// Removes crashes and disconnects of an incarnation that is still alive or left as planned.
    pub fn clear_incarnation(&mut self, incarnation: &TargetIncarnation) {
        for suspect in self.suspects.values_mut() {
            let before = suspect.count();
            suspect.disconnects.retain(|(crash, _)| crash.life != *incarnation);
            suspect.local_crashes.retain(|crash| crash.life != *incarnation);
            suspect.stored_crashes.retain(|crash| crash.life != *incarnation);
            if suspect.count() < before
                && let Some(stored) = &mut suspect.stored
            {
                // Makes the remaining crashes count as unpublished.
                stored.crashes = 0;
            }
        }
        let cleared =
            self.suspects.extract_if(|_, suspect| suspect.count() == 0 && suspect.stored.is_some());
        let cleared: Vec<_> =
            cleared.filter_map(|(work, entry)| Some((work, entry.stored?.revision))).collect();
        self.cleared.extend(cleared);
    }

    /// Clears work that completed successfully: it caused none of its crashes. The crashes of spaced
    /// work are kept, since they explain those of other work.
    pub fn succeeded(&mut self, work: WorkDigest) {
        if self.suspects.get(&work).is_some_and(Suspect::is_spaced) {
            return;
        }
        let stored = self.suspects.remove(&work).and_then(|suspect| suspect.stored);
        if let Some(stored) = stored {
            self.cleared.insert(work, stored.revision);
        }
    }

    /// Records that the caller got no response and may retry at any box.
    pub fn caller_unanswered(&mut self, work: WorkDigest) {
        if let Some(suspect) = self.suspects.get_mut(&work) {
            suspect.caller_unanswered = true;
        }
    }

    /// Records that this box starts the work at a target.
    pub fn work_started(&mut self, work: WorkDigest, target: &InstanceId) {
        if let Some(suspect) = self.suspects.get_mut(&work) {
            suspect.running_at.push(target.clone());
            suspect.trial = Trial::None;
        }
    }

    /// Records that the work no longer runs at a target.
    pub fn work_ended(&mut self, work: WorkDigest, target: &InstanceId) {
        if let Some(suspect) = self.suspects.get_mut(&work)
            && let Some(at) = suspect.running_at.iter().position(|running| running == target)
        {
            suspect.running_at.swap_remove(at);
        }
    }

    /// Returns the targets at which this box runs conflicting suspects. A crash of a target that
    /// runs several suspects does not show which of them caused it.
    pub fn anti_affinity(&self, now: Moment, work: WorkDigest) -> AntiAffinity {
        let suspect = self.suspects.get(&work);
        let others = self.suspects.iter().filter(|(other, entry)| {
            let conflicts = match suspect {
                // Only suspects that share a crash need to be told apart.
                Some(suspect) => suspect
                    .incarnations()
                    .any(|incarnation| entry.incarnations().any(|other| other == incarnation)),
                // Suspects with fewer crashes are not avoided: one crash makes suspects of all work
                // at the target.
                None => entry.count() >= ISOLATION_CRASHES,
            };
            **other != work && conflicts
        });
        let targets = others.flat_map(|(_, entry)| entry.running_at.iter().cloned()).collect();
        AntiAffinity {
            targets,
            required: suspect.is_some_and(|entry| entry.count() >= ISOLATION_CRASHES),
            held: suspect.is_some_and(|entry| self.is_held(now, entry)),
        }
    }

    /// Whether a run that starts now may crash with targets that have just failed together.
    fn is_held(&self, now: Moment, suspect: &Suspect) -> bool {
        let is_probing = |(crash, _): &&(TargetCrash, Moment)| self.probing.contains(&crash.life);
        let unprobed = suspect.disconnects.iter().filter(is_probing).count();
        let has_just_crashed = now.since(suspect.last_crash_at) < SETTLE_WINDOW;
        suspect.count() + unprobed >= ISOLATION_CRASHES && (unprobed > 0 || has_just_crashed)
    }

    /// Whether this box may run quarantined work once as a trial. Requests a trial if one is due; it
    /// is granted to the box whose write the store confirms.
    pub fn request_trial(&mut self, now: Moment, work: WorkDigest) -> bool {
        let Some(suspect) = self.suspects.get_mut(&work) else { return false };
        if suspect.trial == Trial::None && suspect.trial_due(now) {
            suspect.trial = Trial::Requested;
        }
        suspect.trial == Trial::Granted
    }

    /// Records that the store accepted a record that this box published.
    pub fn write_confirmed(
        &mut self,
        now: Moment,
        work: WorkDigest,
        revision: u64,
        record: SuspectRecord,
    ) {
        let pending = self.suspects.get(&work);
        let granted = pending
            .is_some_and(|entry| entry.trial == Trial::Requested && record.trials > entry.trials);
        self.apply_record(now, work, revision, record);
        if granted && let Some(suspect) = self.suspects.get_mut(&work) {
            suspect.trial = Trial::Granted;
        }
    }

    /// Returns the software versions at whose targets the work must not run. Empty for work that is
    /// not quarantined, and while other boxes may still report a better explanation of its crashes.
    pub fn quarantined_versions(
        &self,
        now: Moment,
        work: WorkDigest,
        service: &ServiceName,
    ) -> Vec<Option<SoftwareVersion>> {
        let Some(suspect) = self.suspects.get(&work) else { return Vec::new() };
        let threshold_at = suspect.threshold_at.unwrap_or(now);
        if suspect.settled || now.since(threshold_at) >= SETTLE_WINDOW {
            self.suspected_versions(work, service)
        } else {
            Vec::new()
        }
    }

    /// Like [`Self::quarantined_versions`], without waiting for reports of other boxes.
    pub(crate) fn suspected_versions(
        &self,
        work: WorkDigest,
        service: &ServiceName,
    ) -> Vec<Option<SoftwareVersion>> {
        let Some(suspect) = self.suspects.get(&work).filter(|entry| entry.service == *service)
        else {
            return Vec::new();
        };
        let crashes = suspect.crashes();
        let others = self.suspects.iter().filter(|(other, _)| **other != work);
        let explaining = others.map(|(_, other)| other);
        let explaining = explaining.filter(|other| other.explains(suspect, &crashes));
        let explaining: Vec<&Suspect> = explaining.collect();
        versions_to_quarantine(&crashes, |crash| {
            explaining.iter().any(|other| other.has_crash_of(&crash.life))
        })
    }

    /// Returns the pending writes to the store.
    pub fn due_writes(&self) -> Vec<SuspectWrite> {
        let due = self.suspects.iter().filter(|(_, suspect)| suspect.needs_publish());
        let publishes = due.map(|(work, suspect)| SuspectWrite::Publish {
            work: *work,
            record: suspect.record(),
            revision: suspect.stored.map(|stored| stored.revision),
        });
        let clears = self.cleared.iter();
        let clears =
            clears.map(|(work, revision)| SuspectWrite::Clear { work: *work, revision: *revision });
        publishes.chain(clears).collect()
    }

    /// Applies a stored record, written by this box or another.
    pub fn apply_record(
        &mut self,
        now: Moment,
        work: WorkDigest,
        revision: u64,
        record: SuspectRecord,
    ) {
        if let Some(cleared) = self.cleared.get_mut(&work) {
            *cleared = revision.max(*cleared);
            return;
        }
        self.evict_if_full(&work);
        let suspect =
            self.suspects.entry(work).or_insert_with(|| Suspect::new(now, record.service.clone()));
        if suspect.stored.is_some_and(|stored| stored.revision > revision) {
            return;
        }
        let count = suspect.count();
        suspect.service = record.service;
        if record.trials > suspect.trials {
            suspect.trials = record.trials;
            suspect.last_trial_at = now;
            // Another box runs this trial.
            suspect.trial = Trial::None;
        }
        suspect.stored_crashes = record.ends;
        suspect.stored_crashes.truncate(MAX_CRASHES);
        suspect.stored = Some(StoredRecord { revision, crashes: suspect.stored_crashes.len() });
        if suspect.count() > count {
            suspect.crash_added(now);
        }
    }

    /// Applies the removal of a stored record.
    pub fn apply_removal(&mut self, work: WorkDigest) {
        self.cleared.remove(&work);
        if self.suspects.get(&work).is_some_and(|suspect| suspect.stored.is_some()) {
            self.suspects.remove(&work);
        }
    }

    /// Applies a full listing, after the records in it. Work that is not listed has no stored
    /// record.
    pub fn apply_listing(&mut self, listed: &HashSet<WorkDigest>) {
        for suspect in self.suspects.values_mut() {
            suspect.settled |= suspect.stored_crashes.len() >= QUARANTINE_CRASHES;
        }
        self.cleared.retain(|work, _| listed.contains(work));
        self.suspects.retain(|work, suspect| suspect.stored.is_none() || listed.contains(work));
    }

    /// Drops expired entries. With `clears_others` (a storage box), also deletes stored records
    /// whose publishers did not.
    pub fn expire(&mut self, now: Moment, clears_others: bool) {
        self.expire_recent_crashes(now);
        let mut expired = Vec::new();
        for (work, suspect) in &mut self.suspects {
            suspect.disconnects.retain(|(_, at)| now.since(*at) < DISCONNECT_TTL);
            let idle = suspect.disconnects.is_empty() && suspect.running_at.is_empty();
            if suspect.count() == 0 && suspect.stored.is_none() {
                if idle {
                    expired.push((*work, None));
                }
                continue;
            }
            let extra_delay = match (suspect.local_crashes.is_empty(), clears_others) {
                (false, _) => Duration::ZERO,
                (true, true) => CLEAR_DELAY,
                (true, false) => CLEAR_DELAY * 2,
            };
            if now.since(suspect.last_crash_at) >= suspect.ttl() + extra_delay {
                let clears = !suspect.local_crashes.is_empty() || clears_others;
                expired.push((*work, suspect.stored.filter(|_| clears)));
            }
        }
        for (work, stored) in expired {
            self.suspects.remove(&work);
            if let Some(stored) = stored {
                self.cleared.insert(work, stored.revision);
            }
        }
    }

    fn evict_if_full(&mut self, work: &WorkDigest) {
        if self.suspects.contains_key(work) || self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let evicted =
            self.suspects.iter().min_by_key(|(_, entry)| (entry.count(), entry.last_crash_at));
        if let Some(evicted) = evicted.map(|(work, _)| *work) {
            self.suspects.remove(&evicted);
        }
    }
}
