//! A lease held through conditional updates of one object, with a fencing token.
//!
//! Safety rests on three rules, none of which compares wall clocks:
//!
//! 1. The holder counts its term from *before* it sent the write, and stops acting a margin
//!    before the term ends.
//! 2. A taker must itself have watched the object stay unchanged for a full term.
//! 3. Each change of holder raises the token, so receivers can refuse an earlier holder.
//!
//! An answer lost after the write took effect is resolved by reading the object back and
//! looking for the write's own number.

use std::time::Duration;

use ids::{BoxId, FencingToken, Incarnation, Moment, ObjectVersion, whole_millis};
use serde::{Deserialize, Serialize};

/// Share of the term kept as a margin: the holder stops acting one part in this many early.
const MARGIN_PARTS: u32 = 5;
/// The holder renews after one part in this many of the term, leaving two tries to spare.
const RENEW_PARTS: u32 = 3;
/// A lease is taken this long before the gap after its last holder is over: the time that a read
/// and a write take in a store that is slow.
const TAKE_LEAD: Duration = Duration::from_millis(500);
/// A waiting claim reads the object this many times in a term.
const READS_PER_TERM: u32 = 4;

/// What the platform holds for one lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds the lease.
    pub holder: BoxId,
    /// Which life of the holder took it.
    pub incarnation: Incarnation,
    /// Grows with each change of holder.
    pub token: FencingToken,
    /// Where other boxes reach the holder.
    pub address: String,
    /// Length of the term, in milliseconds.
    pub term_ms: u64,
    /// Number of the write within the holder's life; tells a lost answer from a lost write.
    pub write: u64,
    /// Whether the holder gave the lease up; a released lease may be taken at once.
    pub released: bool,
    /// How long after this write the holder still keeps quiet because of the one before it.
    #[serde(default)]
    pub quiet_ms: u64,
}

/// A record as read, with the version a conditional update must name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedLease {
    /// The object's version.
    pub version: ObjectVersion,
    /// The record.
    pub record: LeaseRecord,
}

/// What the claim wants done; at most one action is outstanding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the object, then call [`LeaseClaim::read_done`].
    Read,
    /// Write conditionally, then call [`LeaseClaim::write_done`].
    Write {
        /// The version the write is conditional on; zero means the object must be absent.
        expect: ObjectVersion,
        /// The record to write.
        record: LeaseRecord,
    },
}

/// A write of another holder, heard from itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseReport {
    /// The holder.
    pub holder: BoxId,
    /// The token it holds the lease under.
    pub token: FencingToken,
    /// Number of its last write that took effect.
    pub write: u64,
    /// When this was first heard; the write is older.
    pub heard_at: Moment,
}

impl LeaseReport {
    fn is_of(&self, record: &LeaseRecord) -> bool {
        (&self.holder, self.token, self.write) == (&record.holder, record.token, record.write)
    }
}

/// How a read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The object as it is.
    Found(VersionedLease),
    /// There is no such object.
    Absent,
    /// Nobody answered.
    NoAnswer,
}

/// How a conditional write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Applied(ObjectVersion),
    /// Somebody else changed the object first.
    Conflict,
    /// It did not take effect; the store was not reached.
    NotApplied,
    /// It may have taken effect.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    token: FencingToken,
    version: ObjectVersion,
    counted_from: Moment,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Watched {
    version: ObjectVersion,
    unchanged_since: Moment,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    Nothing,
    Read,
    Release,
    Write { token: FencingToken, write: u64, sent_at: Moment },
}

/// One box's claim on one lease.
///
/// Whoever runs it polls it, carries the actions out and reports how they ended:
///
/// ```
/// use std::time::Duration;
///
/// use coord::lease::{LeaseAction, LeaseClaim, ReadOutcome, WriteOutcome};
/// use ids::{FencingToken, Incarnation, Moment, ObjectVersion};
///
/// let me = "box-1".parse()?;
/// let term = Duration::from_secs(3);
/// let mut claim = LeaseClaim::new(me, Incarnation::new(1), "10.0.0.1:8090".into(), term);
///
/// let now = Moment::START;
/// assert_eq!(claim.poll(now), Some(LeaseAction::Read));
/// claim.read_done(now, ReadOutcome::Absent);
/// let Some(LeaseAction::Write { expect, .. }) = claim.poll(now) else { panic!("it writes") };
/// assert_eq!(expect, ObjectVersion::default());
/// claim.write_done(now, WriteOutcome::Applied(ObjectVersion::new(1)));
///
/// // It may act under its token until a fifth of the term before the end.
/// assert_eq!(claim.held(now + term / 2), Some(FencingToken::new(1)));
/// assert_eq!(claim.held(now + term), None);
/// # Ok::<(), ids::IdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct LeaseClaim {
    me: BoxId,
    incarnation: Incarnation,
    address: String,
    term: Duration,
    writes: u64,
    applied_write: u64,
    held: Option<Held>,
    watched: Option<Watched>,
    other: Option<LeaseRecord>,
    lost_write: Option<(FencingToken, u64, Moment)>,
    takeable: Option<(ObjectVersion, FencingToken)>,
    /// Tokens up to this one have been seen in use, whatever the object says.
    seen: FencingToken,
    note: Option<LeaseReport>,
    /// Least time between the last act of one holder and the first of another.
    gap: Duration,
    /// Before this moment a holder keeps quiet because of the one before it.
    quiet_until: Moment,
    next_at: Moment,
    pending: Pending,
}

impl LeaseClaim {
    /// A claim that starts by reading the object.
    pub fn new(me: BoxId, incarnation: Incarnation, address: String, term: Duration) -> Self {
        Self {
            me,
            incarnation,
            address,
            term,
            writes: 0,
            applied_write: 0,
            held: None,
            watched: None,
            other: None,
            lost_write: None,
            takeable: None,
            seen: FencingToken::default(),
            note: None,
            gap: Duration::ZERO,
            quiet_until: Moment::START,
            next_at: Moment::START,
            pending: Pending::Nothing,
        }
    }

    /// The token under which this box may act at `now`; `None` when it must not act.
    pub fn held(&self, now: Moment) -> Option<FencingToken> {
        let held = self.held?;
        let margin = self.term / MARGIN_PARTS;
        let acts_until = held.counted_from + self.term.saturating_sub(margin);
        (now < acts_until).then_some(held.token)
    }

    /// Whether the lease was last read in the hands of an earlier life of this box.
    pub fn held_by_earlier_incarnation(&self) -> bool {
        self.other.as_ref().is_some_and(|record| record.holder == self.me)
    }

    /// Whether this box holds the lease for all it knows, though perhaps not for long enough
    /// to act.
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// The other holder last read, while this box does not hold the lease.
    pub fn other_holder(&self) -> Option<&LeaseRecord> {
        self.other.as_ref()
    }

    /// Number of the last write that took effect, while this box holds the lease.
    pub fn held_write(&self) -> Option<u64> {
        self.held.map(|_| self.applied_write)
    }

    /// Sets the least time between the last act of one holder and the first of another.
    #[must_use]
    pub const fn with_gap(mut self, gap: Duration) -> Self {
        self.gap = gap;
        self
    }

    /// From when on a holder may act: the one before it has been quiet for the gap by then.
    pub const fn quiet_until(&self) -> Moment {
        self.quiet_until
    }

    /// Takes what a holder said of its own last write. If the object still holds that write when
    /// it is read, it has been unchanged since then, and the wait for the term is the shorter.
    pub fn record_report(&mut self, note: LeaseReport) {
        if self
            .note
            .as_ref()
            .is_some_and(|known| known.write == note.write && known.token == note.token)
        {
            return;
        }
        self.note = Some(note);
    }

    /// Notes a token seen in use; the next one taken is higher. A holder under a lower token
    /// takes its own lease anew, above the one seen.
    pub fn observe_token(&mut self, now: Moment, seen: FencingToken) {
        self.seen = self.seen.max(seen);
        let Some(held) = self.held.filter(|held| held.token < self.seen) else {
            return;
        };
        if self.pending == Pending::Nothing {
            self.held = None;
            self.take_soon(now, held.version, self.seen.next());
        }
    }

    /// Reads the object at the next poll instead of waiting for the next turn.
    pub fn expedite(&mut self, now: Moment) {
        if self.held.is_none() {
            self.next_at = self.next_at.min(now);
        }
    }

    /// Takes the lease from a holder that still renews it. Only for duties that stay safe
    /// under two holders; the earlier one learns of it at its next renewal.
    pub fn force_takeover(&mut self, now: Moment) {
        let Some(record) = &self.other else { return };
        let Some(watched) = self.watched else { return };
        if self.held.is_none() && self.pending == Pending::Nothing {
            let token = record.token.next();
            self.take_soon(now, watched.version, token);
        }
    }

    /// When [`Self::poll`] next has something to do.
    pub fn next_at(&self) -> Moment {
        if self.pending == Pending::Nothing { self.next_at } else { Moment::NEVER }
    }

    /// The next action, if one is due.
    pub fn poll(&mut self, now: Moment) -> Option<LeaseAction> {
        if self.pending != Pending::Nothing || now < self.next_at {
            return None;
        }
        if self.lost_write.is_some() {
            return Some(self.start_read());
        }
        if let Some(held) = self.held {
            return Some(self.start_write(now, held.version, held.token, false));
        }
        if let Some((version, token)) = self.takeable.take() {
            let token = token.max(self.seen.next());
            return Some(self.start_write(now, version, token, false));
        }
        Some(self.start_read())
    }

    /// Takes the answer to a read.
    pub fn read_done(&mut self, now: Moment, outcome: ReadOutcome) {
        self.pending = Pending::Nothing;
        let sighting = match outcome {
            ReadOutcome::Found(sighting) => sighting,
            ReadOutcome::Absent => {
                self.lost_write = None;
                self.held = None;
                self.take_soon(now, ObjectVersion::default(), FencingToken::new(1));
                return;
            }
            ReadOutcome::NoAnswer => {
                self.next_at = now + self.term / READS_PER_TERM;
                return;
            }
        };
        let lost = self.lost_write.take();
        if self.is_mine(&sighting.record) {
            self.adopt(now, &sighting, lost);
            return;
        }
        self.held = None;
        self.watch(now, sighting);
    }

    /// Takes the outcome of a conditional write.
    pub fn write_done(&mut self, now: Moment, outcome: WriteOutcome) {
        if self.pending == Pending::Release {
            // Freed, or run out soon: either way not held any more.
            self.pending = Pending::Nothing;
            self.next_at = now;
            return;
        }
        let Pending::Write { token, write, sent_at } = self.pending else {
            return;
        };
        self.pending = Pending::Nothing;
        match outcome {
            WriteOutcome::Applied(version) => {
                self.applied_write = write;
                self.hold(token, version, sent_at);
            }
            WriteOutcome::Conflict => {
                // Perhaps an earlier write of ours, whose answer was lost: only a read tells.
                self.lost_write = Some((token, write, sent_at));
                self.next_at = now;
            }
            WriteOutcome::Unknown => {
                self.lost_write = Some((token, write, sent_at));
                self.next_at = now + self.term / (READS_PER_TERM * MARGIN_PARTS);
            }
            WriteOutcome::NotApplied => self.next_at = now + self.term / READS_PER_TERM,
        }
    }

    /// Gives the lease up; the action, if any, marks the object as free to take at once. A
    /// claim that is polled again claims again.
    pub fn release(&mut self, now: Moment) -> Option<LeaseAction> {
        let held = self.held.take()?;
        let action = self.start_write(now, held.version, held.token, true);
        self.pending = Pending::Release;
        Some(action)
    }

    fn start_read(&mut self) -> LeaseAction {
        self.pending = Pending::Read;
        LeaseAction::Read
    }

    fn start_write(
        &mut self,
        now: Moment,
        expect: ObjectVersion,
        token: FencingToken,
        released: bool,
    ) -> LeaseAction {
        self.writes += 1;
        self.pending = Pending::Write { token, write: self.writes, sent_at: now };
        let record = LeaseRecord {
            holder: self.me.clone(),
            incarnation: self.incarnation,
            token,
            address: self.address.clone(),
            term_ms: whole_millis(self.term),
            write: self.writes,
            released,
            quiet_ms: whole_millis(self.quiet_until.since(now)),
        };
        LeaseAction::Write { expect, record }
    }

    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record.holder == self.me && record.incarnation == self.incarnation && !record.released
    }

    fn hold(&mut self, token: FencingToken, version: ObjectVersion, counted_from: Moment) {
        self.held = Some(Held { token, version, counted_from });
        self.watched = None;
        self.other = None;
        self.next_at = counted_from + self.term / RENEW_PARTS;
    }

    fn adopt(
        &mut self,
        now: Moment,
        sighting: &VersionedLease,
        lost: Option<(FencingToken, u64, Moment)>,
    ) {
        let token = sighting.record.token;
        if let Some((_, write, sent_at)) = lost
            && write == sighting.record.write
        {
            self.applied_write = write;
            self.hold(token, sighting.version, sent_at);
            return;
        }
        self.applied_write = sighting.record.write;
        // Ours, but from an earlier write: keep the earlier count and renew at once.
        let counted_from = self.held.map_or(Moment::START, |held| held.counted_from);
        self.hold(token, sighting.version, counted_from);
        self.next_at = now;
    }

    fn watch(&mut self, now: Moment, sighting: VersionedLease) {
        let unchanged_since = match self.watched {
            Some(watched) if watched.version == sighting.version => watched.unchanged_since,
            _ => now,
        };
        let noted = self.note.as_ref().filter(|note| note.is_of(&sighting.record));
        let unchanged_since =
            noted.map_or(unchanged_since, |note| note.heard_at.min(unchanged_since));
        self.watched = Some(Watched { version: sighting.version, unchanged_since });
        let term = Duration::from_millis(sighting.record.term_ms);
        let token = sighting.record.token.next();
        // One box runs one process at a time: an earlier life of this box acts no more.
        let earlier_life = sighting.record.holder == self.me;
        let free = sighting.record.released || earlier_life;
        let acted_until = unchanged_since + term.saturating_sub(term / MARGIN_PARTS);
        // Before the gap is over a taker could not act anyway, while the holder, should it come
        // back, could at once: so it is left the lease until shortly before.
        let worth_taking = acted_until + self.gap.saturating_sub(TAKE_LEAD);
        let due = worth_taking.max(unchanged_since + term);
        if free || now >= due {
            self.quiet_until = if earlier_life {
                now + Duration::from_millis(sighting.record.quiet_ms)
            } else if sighting.record.released {
                now + self.gap
            } else {
                acted_until + self.gap
            };
            self.take_soon(now, sighting.version, token);
        } else {
            self.next_at = due.min(now + term / READS_PER_TERM);
        }
        self.other = Some(sighting.record);
    }

    fn take_soon(&mut self, now: Moment, version: ObjectVersion, token: FencingToken) {
        self.takeable = Some((version, token));
        self.next_at = now;
    }
}
