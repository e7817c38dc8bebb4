//! Work under which targets have ended, as one box knows it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ids::{InstanceId, Moment, ServiceName, SoftwareVersion, TargetIncarnation, WorkDigest};

use crate::verdict::{OWN_ENDS, SETTLE_TIME, condemned};
use crate::{MAX_CRASHES, QUARANTINE_CRASHES, SuspectRecord, TargetCrash};

/// Ends from which on work runs only where no other suspect does: where several lethal requests come at once, all that
/// run beside them would reach a verdict with them.
const ALONE_ENDS: usize = QUARANTINE_CRASHES - 1;
/// Pieces of work that are remembered, some 400 bytes each. With more, those with the fewest and oldest ends go.
const MOST_SUSPECTS: usize = 512;
/// Breaks of one piece of work that wait for the word whether their targets have ended.
const MOST_BREAKS: usize = 16;
/// How long a break may wait for the word that the target has ended: an entry lapses after some 4 s.
const BREAK_TIME: Duration = Duration::from_secs(6);
/// After this long an entry in the list that still names a life says that it has not ended: it would have lapsed.
const LAPSE_TIME: Duration = Duration::from_secs(6);
/// How long ends are remembered that condemn nobody.
const SUSPECT_TIME: Duration = Duration::from_mins(10);
/// How long those are that do.
const VERDICT_TIME: Duration = Duration::from_hours(24);
/// How long after the last end, or the last trial, condemned work is let through once: the reason may have gone, as when
/// targets ended because something they need was away. Each trial may cost a target, so there are three.
const TRIAL_AFTER: [Duration; 3] =
    [Duration::from_mins(3), Duration::from_mins(10), Duration::from_mins(45)];
/// By how much a box that clears away what others have left behind, and one that only forgets, are later.
const CLEAR_LATER: Duration = Duration::from_mins(1);

/// A write to the store that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectWrite {
    /// Tell of a piece of work, in place of what was told at this revision, if anything was.
    Publish {
        /// The work.
        work: WorkDigest,
        /// What is known of it.
        record: SuspectRecord,
        /// Revision of what is told now.
        revision: Option<u64>,
    },
    /// Take back what was told.
    Clear {
        /// The work.
        work: WorkDigest,
        /// Revision of what is told now.
        revision: u64,
    },
}

/// Where work had better not run, since other work under suspicion runs there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AntiAffinity {
    /// These targets.
    pub targets: Vec<InstanceId>,
    /// It must not run there: with one more end it would be condemned, and who runs beside it as well.
    pub required: bool,
}

/// Whether condemned work may run once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trial {
    None,
    /// It came when a trial was due: the store must hear of it first, so that one box alone makes it.
    Wanted,
    /// This box makes the trial.
    Granted,
}

/// What the store holds of a piece of work.
#[derive(Debug, Clone, Copy)]
struct Told {
    revision: u64,
    ends: usize,
}

#[derive(Debug)]
struct Suspect {
    service: ServiceName,
    /// Ends that this box has seen, and those that it was told of.
    seen: Vec<TargetCrash>,
    heard: Vec<TargetCrash>,
    /// Targets that broke it off, and may have ended.
    breaks: Vec<(TargetCrash, Moment)>,
    /// When the last end became known, and when there were enough for a verdict.
    last_at: Moment,
    enough_at: Option<Moment>,
    /// They were told with all that the store holds, so nothing that explains them better is on its way.
    settled: bool,
    /// Its caller was given up, and may come again at another box.
    given_up: bool,
    told: Option<Told>,
    trial: Trial,
    trials: u32,
    trial_at: Moment,
    /// Where it runs now, from this box.
    places: Vec<InstanceId>,
}

impl Suspect {
    fn new(now: Moment, service: ServiceName) -> Self {
        Self {
            service,
            seen: Vec::new(),
            heard: Vec::new(),
            breaks: Vec::new(),
            last_at: now,
            enough_at: None,
            settled: false,
            given_up: false,
            told: None,
            trial: Trial::None,
            trials: 0,
            trial_at: now,
            places: Vec::new(),
        }
    }

    fn ends(&self) -> Vec<TargetCrash> {
        let unheard = self.seen.iter().filter(|end| !self.heard.contains(end));
        self.heard.iter().chain(unheard).take(MAX_CRASHES).cloned().collect()
    }

    /// Lives that ended under it, or may have.
    fn lives(&self) -> impl Iterator<Item = &TargetIncarnation> {
        let ends = self.seen.iter().chain(&self.heard);
        ends.chain(self.breaks.iter().map(|(end, _)| end)).map(|end| &end.life)
    }

    fn has_ended(&self, life: &TargetIncarnation) -> bool {
        self.seen.iter().chain(&self.heard).any(|end| end.life == *life)
    }

    /// Whether it, rather than `other` work with these ends, may be what ended the targets at which both ran: it has as
    /// many ends, or enough without the other to be condemned for them. The second tells work that ran beside two
    /// lethal requests in turn, and so has as many ends as either, from both of them.
    fn explains(&self, other: &Self, ends: &[TargetCrash]) -> bool {
        let alone = || {
            let own = self.ends();
            own.iter().filter(|end| ends.iter().all(|others| others.life != end.life)).count()
        };
        let count = self.count();
        count >= other.count() || (count >= QUARANTINE_CRASHES && alone() >= OWN_ENDS)
    }

    fn count(&self) -> usize {
        let unheard = self.seen.iter().filter(|end| !self.heard.contains(end));
        self.heard.len() + unheard.count()
    }

    /// Notes that another end is known.
    fn note_end(&mut self, now: Moment) {
        self.last_at = now;
        if self.count() >= QUARANTINE_CRASHES {
            self.enough_at.get_or_insert(now);
        }
    }

    fn trial_due(&self, now: Moment) -> bool {
        let after = TRIAL_AFTER.get(self.trials as usize);
        after.is_some_and(|after| now.since(self.last_at.max(self.trial_at)) >= *after)
    }

    fn record(&self) -> SuspectRecord {
        let wanted = u32::from(self.trial == Trial::Wanted);
        let trials = self.trials + wanted;
        SuspectRecord { service: self.service.clone(), ends: self.ends(), trials }
    }

    fn kept_for(&self) -> Duration {
        if self.count() >= QUARANTINE_CRASHES { VERDICT_TIME } else { SUSPECT_TIME }
    }

    /// Whether others should know: a second end, or a caller who may come to any of them.
    fn is_due(&self) -> bool {
        let count = self.count().min(MAX_CRASHES);
        let worth = count >= 2 || (count == 1 && self.given_up);
        let news = self.told.is_none_or(|told| told.ends < count);
        (worth && news) || self.trial == Trial::Wanted
    }
}

/// Work under which targets have ended, as one box knows it.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<WorkDigest, Suspect>,
    /// Work that is free again, with the revision of what the store still tells of it.
    cleared: HashMap<WorkDigest, u64>,
    /// Lives that refused connections after a break, and when: a cut may look the same.
    refused: HashMap<TargetIncarnation, Moment>,
}

impl SuspectTable {
    /// Whether nothing is remembered, so that no work need be known again.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether there is nothing to forget or to tell either.
    pub fn is_idle(&self) -> bool {
        self.suspects.is_empty() && self.cleared.is_empty() && self.refused.is_empty()
    }

    /// How many pieces of work are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Ends of targets that are known under a piece of work.
    pub fn crash_count(&self, work: WorkDigest) -> usize {
        self.suspects.get(&work).map_or(0, Suspect::count)
    }

    /// Takes the word that a target broke `work` off. `true` when nobody looks yet whether that life has ended.
    pub fn record_break(
        &mut self,
        now: Moment,
        work: WorkDigest,
        service: &ServiceName,
        end: TargetCrash,
    ) -> bool {
        let life = end.life.clone();
        let is_known = |suspect: &Suspect| suspect.lives().any(|other| *other == life);
        let looked = self.suspects.values().any(is_known);
        self.make_room(&work);
        let suspect =
            self.suspects.entry(work).or_insert_with(|| Suspect::new(now, service.clone()));
        if !is_known(suspect) && suspect.breaks.len() < MOST_BREAKS {
            suspect.breaks.push((end, now));
        }
        if self.refused.contains_key(&life) {
            self.ended(now, &life);
        }
        !looked
    }

    /// Takes the word that nothing listens at a life that broke work off.
    pub fn connection_refused(&mut self, now: Moment, life: &TargetIncarnation) {
        self.refused.insert(life.clone(), now);
        self.ended(now, life);
    }

    /// Takes the word that a life is over: its entry is gone, or another life has its address.
    pub fn instance_gone(&mut self, now: Moment, instance: &InstanceId) {
        let lives = self.suspects.values().flat_map(|suspect| &suspect.breaks);
        let gone = lives.map(|(end, _)| &end.life).filter(|life| life.instance == *instance);
        let gone: HashSet<TargetIncarnation> = gone.cloned().collect();
        for life in gone {
            self.ended(now, &life);
        }
    }

    fn ended(&mut self, now: Moment, life: &TargetIncarnation) {
        for suspect in self.suspects.values_mut() {
            let Some(at) = suspect.breaks.iter().position(|(end, _)| end.life == *life) else {
                continue;
            };
            let (end, _) = suspect.breaks.swap_remove(at);
            if suspect.seen.len() < MAX_CRASHES {
                suspect.seen.push(end);
                suspect.note_end(now);
            }
        }
    }

    /// Lives that refused connections a while ago, and so must have lapsed by now; each is named once.
    pub fn drain_expired_refusals(&mut self, now: Moment) -> Vec<TargetIncarnation> {
        let due = self.refused.extract_if(|_, at| now.since(*at) >= LAPSE_TIME);
        due.map(|(life, _)| life).collect()
    }

    /// Takes the word that no work has ended a life: it lives behind a cut, or has left as planned.
    pub fn clear_incarnation(&mut self, life: &TargetIncarnation) {
        for suspect in self.suspects.values_mut() {
            let before = suspect.count();
            suspect.breaks.retain(|(end, _)| end.life != *life);
            suspect.seen.retain(|end| end.life != *life);
            suspect.heard.retain(|end| end.life != *life);
            if suspect.count() < before
                && let Some(told) = &mut suspect.told
            {
                // Told anew, without it.
                told.ends = 0;
            }
        }
        let free =
            self.suspects.extract_if(|_, suspect| suspect.count() == 0 && suspect.told.is_some());
        let free: Vec<_> =
            free.filter_map(|(work, known)| Some((work, known.told?.revision))).collect();
        self.cleared.extend(free);
    }

    /// Takes a good answer: whatever ended beside the work, it was not the cause.
    pub fn succeeded(&mut self, work: WorkDigest) {
        let told = self.suspects.remove(&work).and_then(|suspect| suspect.told);
        if let Some(told) = told {
            self.cleared.insert(work, told.revision);
        }
    }

    /// Notes that the work's caller got no answer, and may come again anywhere.
    pub fn caller_unanswered(&mut self, work: WorkDigest) {
        if let Some(suspect) = self.suspects.get_mut(&work) {
            suspect.given_up = true;
        }
    }

    /// Notes that the work begins to run at a target.
    pub fn work_started(&mut self, work: WorkDigest, target: &InstanceId) {
        if let Some(suspect) = self.suspects.get_mut(&work) {
            suspect.places.push(target.clone());
            suspect.trial = Trial::None;
        }
    }

    /// Notes that it does not run there any more.
    pub fn work_ended(&mut self, work: WorkDigest, target: &InstanceId) {
        if let Some(suspect) = self.suspects.get_mut(&work)
            && let Some(at) = suspect.places.iter().position(|place| place == target)
        {
            suspect.places.swap_remove(at);
        }
    }

    /// Where other suspects run now, from this box: beside them the next end tells nothing, and may hit innocent work.
    pub fn anti_affinity(&self, work: WorkDigest) -> AntiAffinity {
        let suspect = self.suspects.get(&work);
        let others = self.suspects.iter().filter(|(other, known)| {
            let shuns = match suspect {
                // What broke off elsewhere need not be told from this work.
                Some(suspect) => {
                    suspect.lives().any(|life| known.lives().any(|other| other == life))
                }
                // A single crash puts all that ran there under suspicion: that keeps nobody away.
                None => known.count() >= ALONE_ENDS,
            };
            **other != work && shuns
        });
        let targets = others.flat_map(|(_, known)| known.places.iter().cloned()).collect();
        AntiAffinity { targets, required: suspect.is_some_and(|known| known.count() >= ALONE_ENDS) }
    }

    /// Whether condemned work may run once, to see whether the reason has gone. Where a trial is due it is asked for; the
    /// work that comes after the store has taken that is let through, at one box.
    pub fn request_trial(&mut self, now: Moment, work: WorkDigest) -> bool {
        let Some(suspect) = self.suspects.get_mut(&work) else { return false };
        if suspect.trial == Trial::None && suspect.trial_due(now) {
            suspect.trial = Trial::Wanted;
        }
        suspect.trial == Trial::Granted
    }

    /// Takes the word that the store has taken what this box told of a piece of work.
    pub fn write_confirmed(
        &mut self,
        now: Moment,
        work: WorkDigest,
        revision: u64,
        record: SuspectRecord,
    ) {
        let asked = self.suspects.get(&work);
        let granted =
            asked.is_some_and(|known| known.trial == Trial::Wanted && record.trials > known.trials);
        self.apply_record(now, work, revision, record);
        if granted && let Some(suspect) = self.suspects.get_mut(&work) {
            suspect.trial = Trial::Granted;
        }
    }

    /// Versions of the service's software at whose targets the work must not run; none for work that is free, or about
    /// which other boxes may still tell what explains its ends better.
    pub fn quarantined_versions(
        &self,
        now: Moment,
        work: WorkDigest,
        service: &ServiceName,
    ) -> Vec<Option<SoftwareVersion>> {
        let Some(suspect) = self.suspects.get(&work) else { return Vec::new() };
        let enough_at = suspect.enough_at.unwrap_or(now);
        if suspect.settled || now.since(enough_at) >= SETTLE_TIME {
            self.suspected_versions(work, service)
        } else {
            Vec::new()
        }
    }

    /// The same without the wait for other boxes' word: work that may as well wait does not run meanwhile.
    pub fn suspected_versions(
        &self,
        work: WorkDigest,
        service: &ServiceName,
    ) -> Vec<Option<SoftwareVersion>> {
        let Some(suspect) = self.suspects.get(&work).filter(|known| known.service == *service)
        else {
            return Vec::new();
        };
        let ends = suspect.ends();
        let others = self.suspects.iter().filter(|(other, _)| **other != work);
        let explaining = others.map(|(_, other)| other);
        let explaining = explaining.filter(|other| other.explains(suspect, &ends));
        let explaining: Vec<&Suspect> = explaining.collect();
        condemned(&ends, |end| explaining.iter().any(|other| other.has_ended(&end.life)))
    }

    /// Writes to the store that are due.
    pub fn due_writes(&self) -> Vec<SuspectWrite> {
        let due = self.suspects.iter().filter(|(_, suspect)| suspect.is_due());
        let tells = due.map(|(work, suspect)| SuspectWrite::Publish {
            work: *work,
            record: suspect.record(),
            revision: suspect.told.map(|told| told.revision),
        });
        let clears = self.cleared.iter();
        let clears =
            clears.map(|(work, revision)| SuspectWrite::Clear { work: *work, revision: *revision });
        tells.chain(clears).collect()
    }

    /// Takes what the store holds of a piece of work, written here or elsewhere.
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
        self.make_room(&work);
        let suspect =
            self.suspects.entry(work).or_insert_with(|| Suspect::new(now, record.service.clone()));
        if suspect.told.is_some_and(|told| told.revision > revision) {
            return;
        }
        let count = suspect.count();
        suspect.service = record.service;
        if record.trials > suspect.trials {
            suspect.trials = record.trials;
            suspect.trial_at = now;
            // Another box makes it.
            suspect.trial = Trial::None;
        }
        suspect.heard = record.ends;
        suspect.heard.truncate(MAX_CRASHES);
        suspect.told = Some(Told { revision, ends: suspect.heard.len() });
        if suspect.count() > count {
            suspect.note_end(now);
        }
    }

    /// Takes the word that the store holds nothing of a piece of work any more.
    pub fn apply_removal(&mut self, work: WorkDigest) {
        self.cleared.remove(&work);
        if self.suspects.get(&work).is_some_and(|suspect| suspect.told.is_some()) {
            self.suspects.remove(&work);
        }
    }

    /// Takes a whole listing, after what it tells of each: what it does not name is not told any more.
    pub fn apply_listing(&mut self, named: &HashSet<WorkDigest>) {
        for suspect in self.suspects.values_mut() {
            suspect.settled |= suspect.heard.len() >= QUARANTINE_CRASHES;
        }
        self.cleared.retain(|work, _| named.contains(work));
        self.suspects.retain(|work, suspect| suspect.told.is_none() || named.contains(work));
    }

    /// Forgets what is old. A box that keeps data clears away what those who told it have left behind.
    pub fn expire(&mut self, now: Moment, clears_others: bool) {
        let mut over = Vec::new();
        for (work, suspect) in &mut self.suspects {
            suspect.breaks.retain(|(_, at)| now.since(*at) < BREAK_TIME);
            let idle = suspect.breaks.is_empty() && suspect.places.is_empty();
            if suspect.count() == 0 && suspect.told.is_none() {
                if idle {
                    over.push((*work, None));
                }
                continue;
            }
            let later = match (suspect.seen.is_empty(), clears_others) {
                (false, _) => Duration::ZERO,
                (true, true) => CLEAR_LATER,
                (true, false) => CLEAR_LATER * 2,
            };
            if now.since(suspect.last_at) >= suspect.kept_for() + later {
                let clears = !suspect.seen.is_empty() || clears_others;
                over.push((*work, suspect.told.filter(|_| clears)));
            }
        }
        for (work, told) in over {
            self.suspects.remove(&work);
            if let Some(told) = told {
                self.cleared.insert(work, told.revision);
            }
        }
    }

    fn make_room(&mut self, work: &WorkDigest) {
        if self.suspects.contains_key(work) || self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, known)| (known.count(), known.last_at));
        if let Some(least) = least.map(|(work, _)| *work) {
            self.suspects.remove(&least);
        }
    }
}
