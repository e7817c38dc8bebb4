//! Relays store updates from one box of a failure domain to the others.
//!
//! Calls to the store are costly, and many boxes watch the same objects. One storage box per domain
//! watches the store and serves the updates ([`serve_feed`]); the other boxes poll it
//! ([`follow_feed`]) and query the store only while no source serves them. A source also reports
//! how long ago it last confirmed that the kinds that affect callers were current. If that is too
//! long, the followers apply the updates and also query the store themselves, before they could
//! miss a change.
//!
//! Only a response about a kind proves that kind. A box that can no longer reach the store may
//! still receive responses to watches of other kinds that began earlier. If those proved the
//! configuration, its followers would keep outdated settings.

mod cache;
mod client;
mod freshness;
mod listing;
mod serve;
mod times;

pub use cache::{KindCache, KindUpdate, ServiceFilter, encode_object};
pub(crate) use client::FeedUpdate;
pub use client::{KindSubscription, follow_feed};
pub use freshness::{FeedFreshness, FreshnessProof, SourceSearch};
pub use listing::PartialListings;
pub use serve::serve_feed;
pub use times::FeedTimes;

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ids::{Moment, ServiceName};
use platform::{Changes, Kind, Listing};
use tokio::sync::watch;

/// Maximum time a feed request waits for updates; also how often a follower learns that there are
/// none.
const MAX_POLL_WAIT: Duration = Duration::from_millis(400);

/// Whether a kind affects how callers are served. Its changes must take effect within the
/// propagation bound, so a source must prove it by its own watch.
pub(crate) const fn affects_callers(kind: Kind) -> bool {
    matches!(kind, Kind::Configuration | Kind::Targets)
}

/// The kinds that the feed carries, with their wire numbers.
const KINDS: [(u32, Kind); 6] = [
    (1, Kind::Configuration),
    (2, Kind::Targets),
    (3, Kind::ModelVersions),
    (4, Kind::ClusterState),
    (5, Kind::Retirements),
    (6, Kind::Evacuations),
];

fn kind_of(number: u32) -> Option<Kind> {
    KINDS.iter().find(|(wire_number, _)| *wire_number == number).map(|(_, kind)| *kind)
}

/// Returns the wire number of a kind, or `None` if the feed does not carry it.
pub fn number_of(kind: Kind) -> Option<u32> {
    KINDS.iter().find(|(_, entry_kind)| *entry_kind == kind).map(|(number, _)| *number)
}

/// The updates a box caches for others, and the state of its own feed.
#[derive(Debug)]
pub struct FeedState {
    caches: Mutex<HashMap<Kind, KindCache>>,
    /// When the store last responded to this box about each kind.
    proven_at: Mutex<HashMap<Kind, Moment>>,
    /// State of the feed that serves this box.
    freshness: FeedFreshness,
    times: FeedTimes,
    /// Counts changes of `caches`, to wake waiting feed requests.
    changed: watch::Sender<u64>,
    /// Whether this box serves no feed.
    receive_only: AtomicBool,
    /// The services whose targets this box receives; `None` for all.
    received_services: Mutex<Option<BTreeSet<ServiceName>>>,
    /// Counts requests for targets of further services.
    service_requests: watch::Sender<u64>,
}

impl FeedState {
    /// Creates an empty state.
    pub fn new(times: FeedTimes) -> Self {
        Self {
            caches: Mutex::default(),
            proven_at: Mutex::default(),
            freshness: FeedFreshness::new(times.max_proof_age),
            times,
            changed: watch::Sender::new(0),
            receive_only: AtomicBool::new(false),
            received_services: Mutex::default(),
            service_requests: watch::Sender::new(0),
        }
    }

    /// Age limits for updates.
    pub const fn times(&self) -> FeedTimes {
        self.times
    }

    fn caches(&self) -> MutexGuard<'_, HashMap<Kind, KindCache>> {
        self.caches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Disables caching and limits the received targets to those that this box sends to, which
    /// saves memory.
    pub fn set_receive_only(&self) {
        self.receive_only.store(true, Ordering::Relaxed);
        self.set_received_services(Some(BTreeSet::new()));
    }

    /// Whether this box only receives.
    pub fn is_receive_only(&self) -> bool {
        self.receive_only.load(Ordering::Relaxed)
    }

    /// Sets the services whose targets have been received; `None` for all.
    pub(crate) fn set_received_services(&self, services: Option<BTreeSet<ServiceName>>) {
        *self.received_services.lock().unwrap_or_else(PoisonError::into_inner) = services;
    }

    /// Whether targets of some `wanted` services have not been received.
    pub(crate) fn lacks_services(&self, wanted: Option<&BTreeSet<ServiceName>>) -> bool {
        let received = self.received_services.lock().unwrap_or_else(PoisonError::into_inner);
        match (&*received, wanted) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(received), Some(wanted)) => !wanted.is_subset(received),
        }
    }

    /// Signals that targets of further services are needed.
    pub(crate) fn request_services(&self) {
        self.service_requests.send_modify(|count| *count += 1);
    }

    /// Subscribes to signals that further targets are needed.
    pub(crate) fn service_requests(&self) -> watch::Receiver<u64> {
        self.service_requests.subscribe()
    }

    /// Caches a listing of a kind for the boxes that this one serves.
    pub fn listed(&self, kind: Kind, listing: &Listing) {
        if self.is_receive_only() {
            return;
        }
        self.caches().entry(kind).or_insert_with(|| KindCache::new(kind)).apply_listing(listing);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Caches changes of a kind for the boxes that this one serves.
    pub fn changed(&self, kind: Kind, changes: &Changes) {
        if self.is_receive_only() {
            return;
        }
        self.caches().entry(kind).or_insert_with(|| KindCache::new(kind)).apply_changes(changes);
        if !changes.changes.is_empty() {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Records that the store has responded to this box about `kind`.
    pub fn record_proof(&self, kind: Kind, now: Moment) {
        self.proofs().insert(kind, now);
    }

    /// Time since the store last responded to this box about `kind`; `None` if it never has.
    pub fn age(&self, kind: Kind, now: Moment) -> Option<Duration> {
        self.proofs().get(&kind).map(|at| now.since(*at))
    }

    fn proofs(&self) -> MutexGuard<'_, HashMap<Kind, Moment>> {
        self.proven_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a kind is current, by a response of the store or by a freshness proof of the feed.
    pub fn is_current(&self, kind: Kind, now: Moment) -> bool {
        self.age(kind, now).is_some_and(|age| age < self.times.max_proof_age)
            || self.freshness.is_proven()
    }

    /// Freshness of the feed that serves this box.
    pub const fn freshness(&self) -> &FeedFreshness {
        &self.freshness
    }
}
