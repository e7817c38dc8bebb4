//! Which boxes live, are suspected or are leaving, as one box sees it.
//!
//! Within a failure domain every box beats to every other once a second: a compact beat, with
//! its whole record on every fifth. Between domains only delegates beat (the two boxes of a
//! domain ranked highest), to a few domains in turn. A box therefore knows all members of its
//! own domain and a handful of contacts in each other one, whatever the fleet's size.
//!
//! The platform's list only seeds the table. Leaving wins over live until a newer incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{BoxId, DomainId, Generation, Incarnation, Moment};

use crate::rendezvous;

/// Time between a box's beats.
pub const BEAT_EVERY: Duration = Duration::from_secs(1);
/// Silence after which a box is suspected: two beats lost, and a half for jitter.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);
/// Silence after which a box counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(6);
/// Silence after which a dead box is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(2);
/// Silence after which a contact in another domain counts as dead; beats there are rarer.
const CONTACT_DEAD_AFTER: Duration = Duration::from_secs(45);
/// Every how many beats the whole record goes along.
const FULL_EVERY: u64 = 5;
/// Delegates of a domain.
const DELEGATES: usize = 2;
/// Contacts remembered in each other domain.
const CONTACTS_KEPT: usize = 4;
/// Contacts told about in one full beat.
const CONTACTS_TOLD: usize = 4;
/// Other domains that a delegate beats to at each beat.
const DOMAINS_PER_BEAT: usize = 3;

/// What a box says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// The box.
    pub id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Which life of the box speaks.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub address: String,
    /// Whether it takes no new duties because it is stopping.
    pub leaving: bool,
}

/// A record heard of at second hand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedRecord {
    /// The record.
    pub record: MemberRecord,
    /// How long before the telling the box was last heard, by whoever heard it.
    pub age: Duration,
}

/// One beat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub from: BoxId,
    /// Which life of the sender.
    pub incarnation: Incarnation,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Configuration generation in force at the sender.
    pub generation: Generation,
    /// The sender's whole record, on full beats.
    pub record: Option<MemberRecord>,
    /// Others the sender has heard, on full beats.
    pub relayed: Vec<RelayedRecord>,
}

/// A beat and where it goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingHeartbeat {
    /// The receiver's address.
    pub to: String,
    /// The beat.
    pub beat: Heartbeat,
}

/// What a box is taken to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Heard lately.
    Live,
    /// Silent for a while; gets no new duties.
    Suspect,
    /// Said that it is stopping, or the platform's list said so.
    Leaving,
    /// Silent for long.
    Dead,
}

#[derive(Debug, Clone)]
struct Entry {
    record: MemberRecord,
    heard_at: Moment,
    /// Whether this box has sent it a full beat; without one it does not know this box.
    introduced: bool,
}

/// One box's table of members.
#[derive(Debug, Clone)]
pub struct MemberTable {
    me: MemberRecord,
    entries: BTreeMap<BoxId, Entry>,
    beats: u64,
    next_heartbeat_at: Moment,
}

impl MemberTable {
    /// A table that knows only the box itself.
    pub const fn new(me: MemberRecord) -> Self {
        Self { me, entries: BTreeMap::new(), beats: 0, next_heartbeat_at: Moment::START }
    }

    /// The box's own record.
    pub const fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Marks the box itself as leaving; the next beat goes out at once.
    pub const fn leave(&mut self) {
        self.me.leaving = true;
        self.next_heartbeat_at = Moment::START;
        // A full beat, so that boxes which missed the record learn it too.
        self.beats = 0;
    }

    /// When the next beats are due.
    pub const fn next_heartbeat_at(&self) -> Moment {
        self.next_heartbeat_at
    }

    /// Takes a beat from a peer.
    pub fn receive_heartbeat(&mut self, now: Moment, beat: Heartbeat) {
        for told in beat.relayed {
            self.merge_relayed(now, told);
        }
        if let Some(record) = beat.record {
            self.merge(now, record);
        }
        let Some(entry) = self.entries.get_mut(&beat.from) else {
            return;
        };
        if beat.incarnation < entry.record.incarnation {
            return;
        }
        if beat.incarnation > entry.record.incarnation {
            entry.record.incarnation = beat.incarnation;
            entry.record.leaving = false;
            entry.introduced = false;
        }
        entry.record.leaving |= beat.leaving;
        entry.heard_at = entry.heard_at.max(now);
    }

    /// Takes a record from the platform's list or from a peer's telling.
    pub fn merge_relayed(&mut self, now: Moment, told: RelayedRecord) {
        self.merge(now - told.age, told.record);
    }

    /// What `id` is taken to be; `None` when it was never heard of.
    pub fn liveness(&self, now: Moment, id: &BoxId) -> Option<Liveness> {
        if *id == self.me.id {
            return Some(if self.me.leaving { Liveness::Leaving } else { Liveness::Live });
        }
        self.entries.get(id).map(|entry| self.entry_liveness(now, entry))
    }

    /// The boxes of `domain` that may be given duties, this box included.
    pub fn live_in(&self, now: Moment, domain: &DomainId) -> Vec<&MemberRecord> {
        let others = self
            .entries
            .values()
            .filter(|entry| entry.record.domain == *domain)
            .filter(|entry| self.entry_liveness(now, entry) == Liveness::Live)
            .map(|entry| &entry.record);
        let me = Some(&self.me).filter(|me| me.domain == *domain && !me.leaving);
        me.into_iter().chain(others).collect()
    }

    /// The box of `domain` that `key` belongs to.
    pub fn owner_in(&self, now: Moment, domain: &DomainId, key: &str) -> Option<&MemberRecord> {
        let live = self.live_in(now, domain);
        let owner = rendezvous::owner(key, live.iter().map(|record| &record.id))?;
        live.iter().find(|record| record.id == *owner).copied()
    }

    /// The boxes of this domain ranked highest for `duty`, this box included.
    pub fn ranked_in_own_domain(&self, now: Moment, duty: &str, count: usize) -> Vec<BoxId> {
        let live = self.live_in(now, &self.me.domain);
        let ids = live.iter().map(|record| &record.id);
        rendezvous::ranked(duty, ids, count).into_iter().cloned().collect()
    }

    /// All boxes known, with what they are taken to be; this box first.
    pub fn all(&self, now: Moment) -> Vec<(&MemberRecord, Liveness)> {
        let mine = if self.me.leaving { Liveness::Leaving } else { Liveness::Live };
        let others =
            self.entries.values().map(|entry| (&entry.record, self.entry_liveness(now, entry)));
        std::iter::once((&self.me, mine)).chain(others).collect()
    }

    /// Failure domains known, with this one.
    pub fn domains(&self) -> Vec<DomainId> {
        let mut all: Vec<DomainId> =
            self.entries.values().map(|entry| entry.record.domain.clone()).collect();
        all.push(self.me.domain.clone());
        all.sort();
        all.dedup();
        all
    }

    /// The beats due at `now`.
    pub fn poll(&mut self, now: Moment, generation: Generation) -> Vec<OutgoingHeartbeat> {
        if now < self.next_heartbeat_at {
            return Vec::new();
        }
        self.next_heartbeat_at = now + BEAT_EVERY;
        let full = self.beats.is_multiple_of(FULL_EVERY);
        let mut out: Vec<OutgoingHeartbeat> = self
            .neighbours()
            .map(|entry| OutgoingHeartbeat {
                to: entry.record.address.clone(),
                beat: self.beat(now, generation, full || !entry.introduced),
            })
            .collect();
        for entry in self.entries.values_mut() {
            entry.introduced |= entry.record.domain == self.me.domain;
        }
        out.extend(self.delegate_beats(now, generation));
        self.beats += 1;
        self.entries.retain(|_, entry| now.since(entry.heard_at) < FORGET_AFTER);
        out
    }

    fn neighbours(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.record.domain == self.me.domain)
    }

    fn beat(&self, now: Moment, generation: Generation, full: bool) -> Heartbeat {
        Heartbeat {
            from: self.me.id.clone(),
            incarnation: self.me.incarnation,
            leaving: self.me.leaving,
            generation,
            record: full.then(|| self.me.clone()),
            relayed: if full { self.contacts_to_tell(now) } else { Vec::new() },
        }
    }

    /// A few contacts in turn, so that all are told over a few full beats.
    fn contacts_to_tell(&self, now: Moment) -> Vec<RelayedRecord> {
        let all: Vec<&Entry> = self
            .entries
            .values()
            .filter(|entry| self.entry_liveness(now, entry) != Liveness::Dead)
            .collect();
        let turn = usize::try_from(self.beats / FULL_EVERY).unwrap_or(0);
        let start = turn.wrapping_mul(CONTACTS_TOLD);
        (0..CONTACTS_TOLD.min(all.len()))
            .map(|offset| all[start.wrapping_add(offset) % all.len()])
            .map(|entry| RelayedRecord {
                record: entry.record.clone(),
                age: now.since(entry.heard_at),
            })
            .collect()
    }

    fn delegate_beats(&self, now: Moment, generation: Generation) -> Vec<OutgoingHeartbeat> {
        let delegates = self.ranked_in_own_domain(now, self.me.domain.as_str(), DELEGATES);
        if !delegates.contains(&self.me.id) && !self.me.leaving {
            return Vec::new();
        }
        let others: Vec<DomainId> =
            self.domains().into_iter().filter(|domain| *domain != self.me.domain).collect();
        if others.is_empty() {
            return Vec::new();
        }
        let turn = usize::try_from(self.beats).unwrap_or(0);
        (0..DOMAINS_PER_BEAT.min(others.len()))
            .map(|offset| {
                &others[turn.wrapping_mul(DOMAINS_PER_BEAT).wrapping_add(offset) % others.len()]
            })
            .filter_map(|domain| self.contact_in(domain, turn))
            .map(|to| OutgoingHeartbeat { to, beat: self.beat(now, generation, true) })
            .collect()
    }

    fn contact_in(&self, domain: &DomainId, turn: usize) -> Option<String> {
        let contacts: Vec<&Entry> =
            self.entries.values().filter(|entry| entry.record.domain == *domain).collect();
        let chosen = contacts.get(turn.checked_rem(contacts.len())?)?;
        Some(chosen.record.address.clone())
    }

    fn merge(&mut self, heard_at: Moment, record: MemberRecord) {
        if record.id == self.me.id {
            return;
        }
        let foreign = record.domain != self.me.domain;
        if let Some(entry) = self.entries.get_mut(&record.id) {
            merge_entry(entry, heard_at, record);
            return;
        }
        let domain = record.domain.clone();
        self.entries.insert(record.id.clone(), Entry { record, heard_at, introduced: false });
        if foreign {
            self.drop_spare_contacts(&domain);
        }
    }

    /// Keeps the contacts of another domain bounded, dropping the one heard longest ago.
    fn drop_spare_contacts(&mut self, domain: &DomainId) {
        let contacts = || self.entries.values().filter(|entry| entry.record.domain == *domain);
        if contacts().count() <= CONTACTS_KEPT {
            return;
        }
        let oldest = contacts().min_by_key(|entry| entry.heard_at).map(|e| e.record.id.clone());
        if let Some(id) = oldest {
            self.entries.remove(&id);
        }
    }

    fn entry_liveness(&self, now: Moment, entry: &Entry) -> Liveness {
        let silence = now.since(entry.heard_at);
        let near = entry.record.domain == self.me.domain;
        let dead_after = if near { DEAD_AFTER } else { CONTACT_DEAD_AFTER };
        if silence >= dead_after {
            return Liveness::Dead;
        }
        if entry.record.leaving {
            return Liveness::Leaving;
        }
        if near && silence >= SUSPECT_AFTER {
            return Liveness::Suspect;
        }
        Liveness::Live
    }
}

fn merge_entry(entry: &mut Entry, heard_at: Moment, record: MemberRecord) {
    if record.incarnation < entry.record.incarnation {
        return;
    }
    if record.incarnation > entry.record.incarnation {
        // A new life knows nobody yet.
        entry.introduced = false;
        entry.record = record;
    } else {
        entry.record.leaving |= record.leaving;
    }
    entry.heard_at = entry.heard_at.max(heard_at);
}
