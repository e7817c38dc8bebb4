//! What boxes of one failure domain hear of the store from one of their own.
//!
//! Each call to the store has its price, and many boxes that all watch it ask the same. So a box
//! that keeps data watches for itself and tells the others of its domain ([`serve_feed`]); these
//! follow it ([`follow_feed`]) and ask the store only while nobody tells them. Whoever tells also
//! says how long ago it last knew the kinds that bind callers to be current: where that is too long,
//! the followers take the news and ask for themselves as well, before a change could be missed in
//! time.
//!
//! Only an answer about a kind proves that kind. A box whose questions no longer reach the store
//! may still be answered for a while, by watches of other kinds that began before; had these
//! proven the configuration, the listeners would keep to settings that nobody renews.

mod cache;
mod client;
mod serve;
mod times;
mod trust;

pub use cache::{KindCache, KindNews, ServiceFilter, write_object};
pub(crate) use client::FedNews;
pub use client::{FedKind, follow_feed};
pub use serve::serve_feed;
pub use times::FeedTimes;
pub use trust::{FeedFreshness, FreshnessProof};

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ids::{Moment, ServiceName};
use platform::{Changes, Kind, Listing};
use tokio::sync::watch;

/// How long a question waits for news; also how often a follower learns that there are none.
const FEED_WAIT: Duration = Duration::from_millis(400);

/// Whether a kind binds how callers are served: its changes must be heeded two seconds after the
/// store has acknowledged them, so whoever tells must prove it by its own watch.
pub(crate) const fn binds_callers(kind: Kind) -> bool {
    matches!(kind, Kind::Configuration | Kind::Targets)
}

/// The kinds that are told, by their number between boxes.
const KINDS: [(u32, Kind); 6] = [
    (1, Kind::Configuration),
    (2, Kind::Targets),
    (3, Kind::ModelVersions),
    (4, Kind::ClusterState),
    (5, Kind::Retirements),
    (6, Kind::Evacuations),
];

fn kind_of(number: u32) -> Option<Kind> {
    KINDS.iter().find(|(known, _)| *known == number).map(|(_, kind)| *kind)
}

/// The number of a kind between boxes; `None` for one that is not told.
pub fn number_of(kind: Kind) -> Option<u32> {
    KINDS.iter().find(|(_, known)| *known == kind).map(|(number, _)| *number)
}

/// What a box holds to tell others, and whether it is told itself.
#[derive(Debug)]
pub struct FeedState {
    caches: Mutex<HashMap<Kind, KindCache>>,
    /// When the store last answered this box itself about a kind.
    proven_at: Mutex<HashMap<Kind, Moment>>,
    /// Whether another box tells this one.
    trust: FeedFreshness,
    times: FeedTimes,
    changed: watch::Sender<u64>,
    /// This box tells nobody.
    only_listens: AtomicBool,
    /// The services whose targets this box knows; `None` for all.
    known_services: Mutex<Option<BTreeSet<ServiceName>>>,
    /// Changes when targets of further services are wanted.
    wanted: watch::Sender<u64>,
}

impl FeedState {
    /// A board that has heard nothing.
    pub fn new(times: FeedTimes) -> Self {
        Self {
            caches: Mutex::default(),
            proven_at: Mutex::default(),
            trust: FeedFreshness::new(times.max_proof_age),
            times,
            changed: watch::Sender::new(0),
            only_listens: AtomicBool::new(false),
            known_services: Mutex::default(),
            wanted: watch::Sender::new(0),
        }
    }

    /// How old news may be.
    pub const fn times(&self) -> FeedTimes {
        self.times
    }

    fn caches(&self) -> MutexGuard<'_, HashMap<Kind, KindCache>> {
        self.caches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Holds nothing from here on, and hears only of targets that this box sends to: it only listens, and its memory
    /// is small.
    pub fn set_receive_only(&self) {
        self.only_listens.store(true, Ordering::Relaxed);
        self.know_services(Some(BTreeSet::new()));
    }

    /// Whether this box only listens.
    pub fn is_listener(&self) -> bool {
        self.only_listens.load(Ordering::Relaxed)
    }

    /// Notes the services whose targets have been told; `None` for all.
    pub(crate) fn know_services(&self, services: Option<BTreeSet<ServiceName>>) {
        *self.known_services.lock().unwrap_or_else(PoisonError::into_inner) = services;
    }

    /// Whether some of these services' targets were left out of all that was told.
    pub(crate) fn lacks_services(&self, wanted: Option<&BTreeSet<ServiceName>>) -> bool {
        let known = self.known_services.lock().unwrap_or_else(PoisonError::into_inner);
        match (&*known, wanted) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(known), Some(wanted)) => !wanted.is_subset(known),
        }
    }

    /// Notes that targets of further services are wanted.
    pub(crate) fn want_more(&self) {
        self.wanted.send_modify(|count| *count += 1);
    }

    /// Tells when targets of further services are wanted.
    pub(crate) fn wants(&self) -> watch::Receiver<u64> {
        self.wanted.subscribe()
    }

    /// Takes all objects of a kind, as the store has told them.
    pub fn listed(&self, kind: Kind, listing: &Listing) {
        if self.is_listener() {
            return;
        }
        self.caches().entry(kind).or_insert_with(|| KindCache::new(kind)).listed(listing);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Takes changes of a kind.
    pub fn changed(&self, kind: Kind, changes: &Changes) {
        if self.is_listener() {
            return;
        }
        self.caches().entry(kind).or_insert_with(|| KindCache::new(kind)).changed(changes);
        if !changes.changes.is_empty() {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Notes that the store has answered this box about `kind`.
    pub fn record_proof(&self, kind: Kind, now: Moment) {
        self.proofs().insert(kind, now);
    }

    /// How long ago the store last answered this box itself about `kind`; `None` for never.
    pub fn age(&self, kind: Kind, now: Moment) -> Option<Duration> {
        self.proofs().get(&kind).map(|at| now.since(*at))
    }

    fn proofs(&self) -> MutexGuard<'_, HashMap<Kind, Moment>> {
        self.proven_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a kind is known as it was a moment ago: by an answer of the store, or by another box's word of one.
    pub fn knows(&self, kind: Kind, now: Moment) -> bool {
        self.age(kind, now).is_some_and(|age| age < self.times.max_proof_age)
            || self.trust.is_proven()
    }

    /// Whether another box tells this one, so that its own watches rest.
    pub const fn freshness(&self) -> &FeedFreshness {
        &self.trust
    }
}
