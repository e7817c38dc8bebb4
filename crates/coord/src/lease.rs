//! A lease with a fencing token, held through conditional updates of one object.
//!
//! Safety depends on three rules, none of which compares wall clocks:
//!
//! 1. The holder measures its term from *before* it sent the write, and stops acting a margin
//!    before the term ends.
//! 2. A new holder must have observed the object unchanged for a full term, unless the lease was
//!    released or an earlier incarnation of the same box holds it.
//! 3. Each change of holder raises the token, so receivers can reject an earlier holder.
//!
//! If the response to a write is lost, the claim reads the object back and compares the number of
//! the write.

use std::time::Duration;

use ids::{BoxId, FencingToken, Incarnation, Moment, ObjectVersion, whole_millis};
use serde::{Deserialize, Serialize};

/// The holder stops acting `1 / MARGIN_DIVISOR` of the term before the term ends.
const MARGIN_DIVISOR: u32 = 5;
/// The holder renews after `1 / RENEWAL_DIVISOR` of the term, which leaves time for two retries.
const RENEWAL_DIVISOR: u32 = 3;
/// Time before the end of the gap at which a lease is acquired. Covers a read and a write in a
/// slow store.
const ACQUIRE_LEAD: Duration = Duration::from_millis(500);
/// Number of times per term that a waiting claim reads the object.
const READS_PER_TERM: u32 = 4;

/// The stored record of one lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The box that holds the lease.
    pub holder: BoxId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Fencing token; increases with each change of holder.
    pub token: FencingToken,
    /// Address at which other boxes reach the holder.
    pub address: String,
    /// Length of the term, in milliseconds.
    pub term_ms: u64,
    /// Number of the write within the incarnation. Distinguishes a lost response from a lost write.
    pub write: u64,
    /// Whether the holder released the lease; another box may acquire it immediately.
    pub released: bool,
    /// Remaining quiet period after the previous holder at the time of this write, in milliseconds.
    #[serde(default)]
    pub quiet_ms: u64,
}

/// A record as read, with the version for a conditional update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedLease {
    /// Version of the object.
    pub version: ObjectVersion,
    /// The record.
    pub record: LeaseRecord,
}

/// An action to perform for a claim; at most one is outstanding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the object, then call [`LeaseClaim::read_done`].
    Read,
    /// Write conditionally, then call [`LeaseClaim::write_done`].
    Write {
        /// Required version of the object; zero means that the object must be absent.
        expect: ObjectVersion,
        /// The record to write.
        record: LeaseRecord,
    },
}

/// A holder's report of its own last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseReport {
    /// The holder.
    pub holder: BoxId,
    /// The token of its lease.
    pub token: FencingToken,
    /// Number of its last applied write.
    pub write: u64,
    /// When the report was first received; the write is older.
    pub received_at: Moment,
}

impl LeaseReport {
    fn matches(&self, record: &LeaseRecord) -> bool {
        (&self.holder, self.token, self.write) == (&record.holder, record.token, record.write)
    }
}

/// Outcome of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The current object.
    Found(VersionedLease),
    /// The object does not exist.
    Absent,
    /// The store responded with an object that is not a lease record. It is never overwritten: an
    /// operator has to fix or delete it.
    Unreadable,
    /// The store did not respond.
    NoAnswer,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied; the object has this version.
    Applied(ObjectVersion),
    /// The object has another version than required.
    Conflict,
    /// The write was not applied because the store was not reached.
    NotApplied,
    /// The write may have been applied.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    token: FencingToken,
    version: ObjectVersion,
    term_start: Moment,
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
/// The caller polls the claim, performs the returned actions and reports their outcomes:
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
/// let Some(LeaseAction::Write { expect, .. }) = claim.poll(now) else { panic!("no write") };
/// assert_eq!(expect, ObjectVersion::default());
/// claim.write_done(now, WriteOutcome::Applied(ObjectVersion::new(1)));
///
/// // It may act under its token until 20% of the term before the end.
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
    /// Token, number and send time of a write with an unknown outcome.
    uncertain_write: Option<(FencingToken, u64, Moment)>,
    /// Version and token for acquiring the lease at the next poll.
    acquirable: Option<(ObjectVersion, FencingToken)>,
    /// Highest token observed in use, in the object or elsewhere.
    highest_seen: FencingToken,
    report: Option<LeaseReport>,
    /// Minimum time between the last action of one holder and the first of the next.
    gap: Duration,
    /// End of the quiet period after the previous holder; this holder must not act before.
    quiet_until: Moment,
    next_at: Moment,
    pending: Pending,
}

impl LeaseClaim {
    /// Creates a claim that starts by reading the object.
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
            uncertain_write: None,
            acquirable: None,
            highest_seen: FencingToken::default(),
            report: None,
            gap: Duration::ZERO,
            quiet_until: Moment::START,
            next_at: Moment::START,
            pending: Pending::Nothing,
        }
    }

    /// Returns the token under which this box may act at `now`, or `None` if it must not act.
    pub fn held(&self, now: Moment) -> Option<FencingToken> {
        let held = self.held?;
        let margin = self.term / MARGIN_DIVISOR;
        let acts_until = held.term_start + self.term.saturating_sub(margin);
        (now < acts_until).then_some(held.token)
    }

    /// Returns whether an earlier incarnation of this box held the lease when it was last read.
    pub fn held_by_earlier_incarnation(&self) -> bool {
        self.other.as_ref().is_some_and(|record| record.holder == self.me)
    }

    /// Returns whether this box believes it holds the lease. It may be too close to the end of the
    /// term to act; see [`Self::held`].
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the record of the other holder last read, while this box does not hold the lease.
    pub fn other_holder(&self) -> Option<&LeaseRecord> {
        self.other.as_ref()
    }

    /// Returns the number of the last applied write, while this box holds the lease.
    pub fn held_write(&self) -> Option<u64> {
        self.held.map(|_| self.applied_write)
    }

    /// Sets the minimum time between the last action of one holder and the first of the next.
    #[must_use]
    pub const fn with_gap(mut self, gap: Duration) -> Self {
        self.gap = gap;
        self
    }

    /// Returns when this holder may start to act: the gap after the previous holder is over.
    pub const fn quiet_until(&self) -> Moment {
        self.quiet_until
    }

    /// Records a holder's report of its last write. If the object contains the same write when it
    /// is read, it has not changed since the report, which shortens the wait for the term.
    pub fn record_report(&mut self, report: LeaseReport) {
        if self
            .report
            .as_ref()
            .is_some_and(|last| last.write == report.write && last.token == report.token)
        {
            return;
        }
        self.report = Some(report);
    }

    /// Records a token observed in use; the next token of this claim is higher. A holder with a
    /// lower token acquires its own lease again under a higher one.
    pub fn observe_token(&mut self, now: Moment, token: FencingToken) {
        self.highest_seen = self.highest_seen.max(token);
        let Some(held) = self.held.filter(|held| held.token < self.highest_seen) else {
            return;
        };
        if self.pending == Pending::Nothing {
            self.held = None;
            self.acquire_soon(now, held.version, self.highest_seen.next());
        }
    }

    /// Makes the next read due at `now`, unless this box holds the lease.
    pub fn expedite(&mut self, now: Moment) {
        if self.held.is_none() {
            self.next_at = self.next_at.min(now);
        }
    }

    /// Takes the lease from a holder that still renews it. Safe only for work that tolerates two
    /// holders, because the previous holder does not learn of it before its next renewal.
    pub fn force_takeover(&mut self, now: Moment) {
        let Some(record) = &self.other else { return };
        let Some(watched) = self.watched else { return };
        if self.held.is_none() && self.pending == Pending::Nothing {
            let token = record.token.next();
            self.acquire_soon(now, watched.version, token);
        }
    }

    /// Returns when [`Self::poll`] next has an action.
    pub fn next_at(&self) -> Moment {
        if self.pending == Pending::Nothing { self.next_at } else { Moment::NEVER }
    }

    /// Returns the next action, if one is due.
    pub fn poll(&mut self, now: Moment) -> Option<LeaseAction> {
        if self.pending != Pending::Nothing || now < self.next_at {
            return None;
        }
        if self.uncertain_write.is_some() {
            return Some(self.start_read());
        }
        if let Some(held) = self.held {
            return Some(self.start_write(now, held.version, held.token, false));
        }
        if let Some((version, token)) = self.acquirable.take() {
            let token = token.max(self.highest_seen.next());
            return Some(self.start_write(now, version, token, false));
        }
        Some(self.start_read())
    }

    /// Applies the outcome of a read.
    pub fn read_done(&mut self, now: Moment, outcome: ReadOutcome) {
        self.pending = Pending::Nothing;
        let lease = match outcome {
            ReadOutcome::Found(lease) => lease,
            ReadOutcome::Absent => {
                self.uncertain_write = None;
                self.held = None;
                self.acquire_soon(now, ObjectVersion::default(), FencingToken::new(1));
                return;
            }
            ReadOutcome::Unreadable | ReadOutcome::NoAnswer => {
                self.next_at = now + self.term / READS_PER_TERM;
                return;
            }
        };
        let uncertain = self.uncertain_write.take();
        if self.is_own(&lease.record) {
            self.adopt(now, &lease, uncertain);
            return;
        }
        self.held = None;
        self.watch(now, lease);
    }

    /// Applies the outcome of a conditional write.
    pub fn write_done(&mut self, now: Moment, outcome: WriteOutcome) {
        if self.pending == Pending::Release {
            // If the release was not applied, the lease expires by itself.
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
                // The conflict may be with an earlier write of this claim whose response was lost.
                // A read resolves this.
                self.uncertain_write = Some((token, write, sent_at));
                self.next_at = now;
            }
            WriteOutcome::Unknown => {
                self.uncertain_write = Some((token, write, sent_at));
                self.next_at = now + self.term / (READS_PER_TERM * MARGIN_DIVISOR);
            }
            WriteOutcome::NotApplied => self.next_at = now + self.term / READS_PER_TERM,
        }
    }

    /// Releases the lease. The returned action, if any, marks the object as released. Polling the
    /// claim again acquires the lease again.
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

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.me && record.incarnation == self.incarnation && !record.released
    }

    fn hold(&mut self, token: FencingToken, version: ObjectVersion, term_start: Moment) {
        self.held = Some(Held { token, version, term_start });
        self.watched = None;
        self.other = None;
        self.next_at = term_start + self.term / RENEWAL_DIVISOR;
    }

    fn adopt(
        &mut self,
        now: Moment,
        lease: &VersionedLease,
        uncertain: Option<(FencingToken, u64, Moment)>,
    ) {
        let token = lease.record.token;
        if let Some((_, write, sent_at)) = uncertain
            && write == lease.record.write
        {
            self.applied_write = write;
            self.hold(token, lease.version, sent_at);
            return;
        }
        self.applied_write = lease.record.write;
        // An earlier write of this claim: keep the start of the term and renew immediately.
        let term_start = self.held.map_or(Moment::START, |held| held.term_start);
        self.hold(token, lease.version, term_start);
        self.next_at = now;
    }

    fn watch(&mut self, now: Moment, lease: VersionedLease) {
        let unchanged_since = match self.watched {
            Some(watched) if watched.version == lease.version => watched.unchanged_since,
            _ => now,
        };
        let matching = self.report.as_ref().filter(|report| report.matches(&lease.record));
        let unchanged_since =
            matching.map_or(unchanged_since, |report| report.received_at.min(unchanged_since));
        self.watched = Some(Watched { version: lease.version, unchanged_since });
        let term = Duration::from_millis(lease.record.term_ms);
        let token = lease.record.token.next();
        // A box runs one process at a time, so an earlier incarnation no longer acts.
        let earlier_incarnation = lease.record.holder == self.me;
        let free = lease.record.released || earlier_incarnation;
        let acted_until = unchanged_since + term.saturating_sub(term / MARGIN_DIVISOR);
        // A new holder cannot act before the gap is over, while the previous one could resume
        // immediately. The lease is therefore acquired only shortly before the end of the gap.
        let acquire_at = acted_until + self.gap.saturating_sub(ACQUIRE_LEAD);
        let due = acquire_at.max(unchanged_since + term);
        if free || now >= due {
            self.quiet_until = if earlier_incarnation {
                now + Duration::from_millis(lease.record.quiet_ms)
            } else if lease.record.released {
                now + self.gap
            } else {
                acted_until + self.gap
            };
            self.acquire_soon(now, lease.version, token);
        } else {
            self.next_at = due.min(now + term / READS_PER_TERM);
        }
        self.other = Some(lease.record);
    }

    fn acquire_soon(&mut self, now: Moment, version: ObjectVersion, token: FencingToken) {
        self.acquirable = Some((version, token));
        self.next_at = now;
    }
}
