//! Membership as seen by one box: which boxes are live, suspected or leaving.
//!
//! Within a failure domain every box sends a heartbeat to every other box once a second. Every
//! fifth heartbeat includes the sender's full record. Between domains only delegates (the two
//! highest-ranked boxes of a domain) and leaving boxes send heartbeats, to a few domains in turn. A
//! box therefore tracks all members of its own domain and a few contacts in each other domain, for
//! any fleet size.
//!
//! The platform's list only seeds the table. A leaving box stays leaving until it has a newer
//! incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{BoxId, DomainId, Generation, Incarnation, Moment};

use crate::rendezvous;

/// Time between a box's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which a box is suspected. One heartbeat may be lost.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a heartbeat after which a box counts as dead.
pub const DEAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Time without a heartbeat after which a dead box is removed from the table.
const REMOVE_TIMEOUT: Duration = Duration::from_mins(2);
/// Time without a heartbeat after which a contact in another domain counts as dead. Heartbeats
/// between domains are less frequent.
const CONTACT_DEAD_TIMEOUT: Duration = Duration::from_secs(45);
/// Number of heartbeats per full heartbeat, which includes the sender's record.
const FULL_INTERVAL: u64 = 5;
/// Delegates per domain.
const DELEGATES: usize = 2;
/// Maximum number of contacts kept per other domain.
const MAX_CONTACTS: usize = 4;
/// Maximum number of records relayed in one full heartbeat.
const MAX_RELAYED: usize = 4;
/// Other domains that a delegate sends to per heartbeat interval.
const DOMAINS_PER_HEARTBEAT: usize = 3;

/// A box's record of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Id of the box.
    pub id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Incarnation of the box that wrote the record.
    pub incarnation: Incarnation,
    /// Address at which peers reach it.
    pub address: String,
    /// Whether the box is stopping and accepts no new assignments.
    pub leaving: bool,
}

/// A record that another box relayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedRecord {
    /// The record.
    pub record: MemberRecord,
    /// Time since the box's last heartbeat that the relaying box has received or learned of.
    pub age: Duration,
}

/// One heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub from: BoxId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Configuration generation in force at the sender.
    pub generation: Generation,
    /// The sender's record, in full heartbeats.
    pub record: Option<MemberRecord>,
    /// Records of other boxes, in full heartbeats.
    pub relayed: Vec<RelayedRecord>,
}

/// A heartbeat and its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingHeartbeat {
    /// The receiver's address.
    pub to: String,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// Liveness of a box, as seen by another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Sends heartbeats.
    Live,
    /// Has missed heartbeats; gets no new assignments.
    Suspect,
    /// Stopping, according to the box or to the platform's list.
    Leaving,
    /// Has sent no heartbeat for a long time.
    Dead,
}

#[derive(Debug, Clone)]
struct Entry {
    record: MemberRecord,
    last_seen: Moment,
    /// Whether this box has sent it a full heartbeat. Until then it may not have this box's record.
    introduced: bool,
}

/// One box's table of members.
#[derive(Debug, Clone)]
pub struct MemberTable {
    me: MemberRecord,
    entries: BTreeMap<BoxId, Entry>,
    /// Number of rounds of heartbeats sent.
    rounds: u64,
    next_heartbeat_at: Moment,
}

impl MemberTable {
    /// Creates a table that contains only the box itself.
    pub const fn new(me: MemberRecord) -> Self {
        Self { me, entries: BTreeMap::new(), rounds: 0, next_heartbeat_at: Moment::START }
    }

    /// Returns the box's own record.
    pub const fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Marks the box itself as leaving; the next heartbeat is due immediately.
    pub const fn leave(&mut self) {
        self.me.leaving = true;
        self.next_heartbeat_at = Moment::START;
        // Sends a full heartbeat, for boxes that do not have the record yet.
        self.rounds = 0;
    }

    /// Returns when the next heartbeats are due.
    pub const fn next_heartbeat_at(&self) -> Moment {
        self.next_heartbeat_at
    }

    /// Applies a heartbeat from a peer.
    pub fn receive_heartbeat(&mut self, now: Moment, heartbeat: Heartbeat) {
        for relayed in heartbeat.relayed {
            self.merge_relayed(now, relayed);
        }
        if let Some(record) = heartbeat.record {
            self.merge(now, record);
        }
        let Some(entry) = self.entries.get_mut(&heartbeat.from) else {
            return;
        };
        if heartbeat.incarnation < entry.record.incarnation {
            return;
        }
        if heartbeat.incarnation > entry.record.incarnation {
            entry.record.incarnation = heartbeat.incarnation;
            entry.record.leaving = false;
            entry.introduced = false;
        }
        entry.record.leaving |= heartbeat.leaving;
        entry.last_seen = entry.last_seen.max(now);
    }

    /// Merges a record from the platform's list or relayed by a peer.
    pub fn merge_relayed(&mut self, now: Moment, relayed: RelayedRecord) {
        self.merge(now - relayed.age, relayed.record);
    }

    /// Returns the liveness of `id`, or `None` if it is not in the table.
    pub fn liveness(&self, now: Moment, id: &BoxId) -> Option<Liveness> {
        if *id == self.me.id {
            return Some(if self.me.leaving { Liveness::Leaving } else { Liveness::Live });
        }
        self.entries.get(id).map(|entry| self.entry_liveness(now, entry))
    }

    /// Returns the live boxes of `domain`, including this box.
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

    /// Returns the live box of `domain` that `key` belongs to.
    pub fn owner_in(&self, now: Moment, domain: &DomainId, key: &str) -> Option<&MemberRecord> {
        let live = self.live_in(now, domain);
        let owner = rendezvous::owner(key, live.iter().map(|record| &record.id))?;
        live.iter().find(|record| record.id == *owner).copied()
    }

    /// Returns the `count` live boxes of this domain ranked highest for `key`, including this box.
    pub fn ranked_in_own_domain(&self, now: Moment, key: &str, count: usize) -> Vec<BoxId> {
        let live = self.live_in(now, &self.me.domain);
        let ids = live.iter().map(|record| &record.id);
        rendezvous::ranked(key, ids, count).into_iter().cloned().collect()
    }

    /// Returns all boxes in the table with their liveness, this box first.
    pub fn all(&self, now: Moment) -> Vec<(&MemberRecord, Liveness)> {
        let own = if self.me.leaving { Liveness::Leaving } else { Liveness::Live };
        let others =
            self.entries.values().map(|entry| (&entry.record, self.entry_liveness(now, entry)));
        std::iter::once((&self.me, own)).chain(others).collect()
    }

    /// Returns all failure domains in the table, including this box's, sorted.
    pub fn domains(&self) -> Vec<DomainId> {
        let mut all: Vec<DomainId> =
            self.entries.values().map(|entry| entry.record.domain.clone()).collect();
        all.push(self.me.domain.clone());
        all.sort();
        all.dedup();
        all
    }

    /// Returns the heartbeats due at `now`.
    pub fn poll(&mut self, now: Moment, generation: Generation) -> Vec<OutgoingHeartbeat> {
        if now < self.next_heartbeat_at {
            return Vec::new();
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        let full = self.rounds.is_multiple_of(FULL_INTERVAL);
        let mut out: Vec<OutgoingHeartbeat> = self
            .domain_peers()
            .map(|entry| OutgoingHeartbeat {
                to: entry.record.address.clone(),
                heartbeat: self.heartbeat(now, generation, full || !entry.introduced),
            })
            .collect();
        for entry in self.entries.values_mut() {
            entry.introduced |= entry.record.domain == self.me.domain;
        }
        out.extend(self.delegate_heartbeats(now, generation));
        self.rounds += 1;
        self.entries.retain(|_, entry| now.since(entry.last_seen) < REMOVE_TIMEOUT);
        out
    }

    fn domain_peers(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.record.domain == self.me.domain)
    }

    fn heartbeat(&self, now: Moment, generation: Generation, full: bool) -> Heartbeat {
        Heartbeat {
            from: self.me.id.clone(),
            incarnation: self.me.incarnation,
            leaving: self.me.leaving,
            generation,
            record: full.then(|| self.me.clone()),
            relayed: if full { self.records_to_relay(now) } else { Vec::new() },
        }
    }

    /// Selects the records to relay in rotation, so that a few full heartbeats cover all of them.
    fn records_to_relay(&self, now: Moment) -> Vec<RelayedRecord> {
        let all: Vec<&Entry> = self
            .entries
            .values()
            .filter(|entry| self.entry_liveness(now, entry) != Liveness::Dead)
            .collect();
        let turn = usize::try_from(self.rounds / FULL_INTERVAL).unwrap_or(0);
        let start = turn.wrapping_mul(MAX_RELAYED);
        (0..MAX_RELAYED.min(all.len()))
            .map(|offset| all[start.wrapping_add(offset) % all.len()])
            .map(|entry| RelayedRecord {
                record: entry.record.clone(),
                age: now.since(entry.last_seen),
            })
            .collect()
    }

    fn delegate_heartbeats(&self, now: Moment, generation: Generation) -> Vec<OutgoingHeartbeat> {
        let delegates = self.ranked_in_own_domain(now, self.me.domain.as_str(), DELEGATES);
        if !delegates.contains(&self.me.id) && !self.me.leaving {
            return Vec::new();
        }
        let others: Vec<DomainId> =
            self.domains().into_iter().filter(|domain| *domain != self.me.domain).collect();
        if others.is_empty() {
            return Vec::new();
        }
        let turn = usize::try_from(self.rounds).unwrap_or(0);
        (0..DOMAINS_PER_HEARTBEAT.min(others.len()))
            .map(|offset| {
                &others
                    [turn.wrapping_mul(DOMAINS_PER_HEARTBEAT).wrapping_add(offset) % others.len()]
            })
            .filter_map(|domain| self.contact_in(domain, turn))
            .map(|to| OutgoingHeartbeat { to, heartbeat: self.heartbeat(now, generation, true) })
            .collect()
    }

    fn contact_in(&self, domain: &DomainId, turn: usize) -> Option<String> {
        let contacts: Vec<&Entry> =
            self.entries.values().filter(|entry| entry.record.domain == *domain).collect();
        let chosen = contacts.get(turn.checked_rem(contacts.len())?)?;
        Some(chosen.record.address.clone())
    }

    fn merge(&mut self, last_seen: Moment, record: MemberRecord) {
        if record.id == self.me.id {
            return;
        }
        let foreign = record.domain != self.me.domain;
        if let Some(entry) = self.entries.get_mut(&record.id) {
            merge_entry(entry, last_seen, record);
            return;
        }
        let domain = record.domain.clone();
        self.entries.insert(record.id.clone(), Entry { record, last_seen, introduced: false });
        if foreign {
            self.drop_surplus_contact(&domain);
        }
    }

    /// Removes the least recently seen contact of another domain if there are too many.
    fn drop_surplus_contact(&mut self, domain: &DomainId) {
        let contacts = || self.entries.values().filter(|entry| entry.record.domain == *domain);
        if contacts().count() <= MAX_CONTACTS {
            return;
        }
        let oldest = contacts().min_by_key(|entry| entry.last_seen).map(|e| e.record.id.clone());
        if let Some(id) = oldest {
            self.entries.remove(&id);
        }
    }

    fn entry_liveness(&self, now: Moment, entry: &Entry) -> Liveness {
        let elapsed = now.since(entry.last_seen);
        let same_domain = entry.record.domain == self.me.domain;
        let dead_timeout = if same_domain { DEAD_TIMEOUT } else { CONTACT_DEAD_TIMEOUT };
        if elapsed >= dead_timeout {
            return Liveness::Dead;
        }
        if entry.record.leaving {
            return Liveness::Leaving;
        }
        if same_domain && elapsed >= SUSPECT_TIMEOUT {
            return Liveness::Suspect;
        }
        Liveness::Live
    }
}

fn merge_entry(entry: &mut Entry, last_seen: Moment, record: MemberRecord) {
    if record.incarnation < entry.record.incarnation {
        return;
    }
    if record.incarnation > entry.record.incarnation {
        // A new incarnation has an empty table.
        entry.introduced = false;
        entry.record = record;
    } else {
        entry.record.leaving |= record.leaving;
    }
    entry.last_seen = entry.last_seen.max(last_seen);
}
