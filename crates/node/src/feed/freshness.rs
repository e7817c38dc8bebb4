//! Tracks whether the feed from another box is fresh enough to replace this box's own watches.
//!
//! Freshness expires by the clock. The feed client may be blocked by an unanswered request or by a
//! task that accepts no updates; settings must not count as fresh during that time.

use std::time::Duration;

use ids::BoxId;
use tokio::sync::watch;
use tokio::time::{self, Instant};

/// How long a source counts as responding after its last response. Longer than a request to it may
/// stay unanswered.
const RESPONSE_WINDOW: Duration = Duration::from_secs(1);

/// How long a source that is starting, or has sent a part of a listing, is expected to continue.
/// Longer than several requests to it may stay unanswered while it processes its own listing.
const PROGRESS_WINDOW: Duration = Duration::from_secs(3);

/// Result of the search for a feed source of a starting box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceSearch {
    /// No source was found yet.
    Ongoing,
    /// Sources are registered, but none responds.
    NoneResponds,
    /// There is no source, for example because this box is the one of its domain.
    NoneExists,
}

/// Evidence that a feed source had current data from the store.
#[derive(Debug, Clone)]
pub struct FreshnessProof {
    /// The feed source.
    pub source: BoxId,
    /// When the source last confirmed that the kinds that affect callers were current.
    pub proven_at: Instant,
}

/// Whether the feed serves this box, in which case its own watches pause.
#[derive(Debug)]
pub struct FeedFreshness {
    /// Maximum age of a valid proof.
    max_proof_age: Duration,
    last_proof: watch::Sender<Option<FreshnessProof>>,
    served: watch::Sender<bool>,
    search: watch::Sender<SourceSearch>,
    /// When a source last reported that it is starting, or sent a part of a listing.
    progress_at: watch::Sender<Option<Instant>>,
    /// When a source last responded, with fresh or stale updates.
    responded_at: watch::Sender<Option<Instant>>,
}

impl FeedFreshness {
    /// Creates a state without a proof. Proofs are valid for `max_proof_age`.
    pub fn new(max_proof_age: Duration) -> Self {
        Self {
            max_proof_age,
            last_proof: watch::Sender::new(None),
            served: watch::Sender::new(false),
            search: watch::Sender::new(SourceSearch::Ongoing),
            progress_at: watch::Sender::new(None),
            responded_at: watch::Sender::new(None),
        }
    }

    /// Whether a proof is recent enough to do without the store.
    pub fn is_fresh(&self, proof: &FreshnessProof) -> bool {
        proof.proven_at.elapsed() < self.max_proof_age
    }

    /// Records a proof. Returns `true` if the feed did not serve the box before.
    pub fn accept_proof(&self, proof: FreshnessProof) -> bool {
        // Set first: the new proof wakes `expire`, which only acts while this flag is set.
        let is_new = self.set_served(true);
        self.last_proof.send_replace(Some(proof));
        is_new
    }

    /// Records a response of a source, with fresh or stale updates.
    pub fn record_response(&self) {
        self.responded_at.send_replace(Some(Instant::now()));
    }

    /// Whether a source responds and so will report the store's recovery.
    pub fn is_source_responding(&self) -> bool {
        self.responded_at.borrow().is_some_and(|at| at.elapsed() < RESPONSE_WINDOW)
    }

    /// Records that a source will soon serve this box.
    pub fn record_progress(&self) {
        self.progress_at.send_replace(Some(Instant::now()));
    }

    /// Records the result of the search for a source.
    pub fn set_search(&self, search: SourceSearch) {
        self.search.send_replace(search);
    }

    /// Waits until no source responds, for at most `timeout`.
    pub async fn wait_for_no_source(&self, timeout: Duration) {
        let mut search = self.search.subscribe();
        let found_none = search.wait_for(|search| *search != SourceSearch::Ongoing);
        // The caller continues without a source in either case.
        let _elapsed = time::timeout(timeout, found_none).await;
    }

    /// Waits until no source exists or can be expected to serve this box. `timeout` is the maximum
    /// wait for the first sign of a source.
    pub async fn wait_for_no_progress(&self, timeout: Duration) {
        let mut search = self.search.subscribe();
        tokio::select! {
            // Cannot fail: `self` owns the sender.
            _none_exists = search.wait_for(|search| *search == SourceSearch::NoneExists) => {}
            () = self.wait_for_stall(Instant::now() + timeout) => {}
        }
    }

    async fn wait_for_stall(&self, first_by: Instant) {
        let mut progress = self.progress_at.subscribe();
        loop {
            let last = *progress.borrow_and_update();
            let stalls_at = last.map_or(first_by, |at| at + PROGRESS_WINDOW);
            if time::timeout_at(stalls_at, progress.changed()).await.is_err() {
                return;
            }
        }
    }

    /// Whether the feed serves this box.
    pub fn is_served_by_feed(&self) -> bool {
        *self.served.borrow()
    }

    /// Whether the last proof is recent enough to do without the store.
    pub fn is_proven(&self) -> bool {
        self.last_proof.borrow().as_ref().is_some_and(|proof| self.is_fresh(proof))
    }

    /// Subscribes to changes of [`Self::is_served_by_feed`].
    pub fn served_states(&self) -> watch::Receiver<bool> {
        self.served.subscribe()
    }

    /// Expires freshness whenever the last proof becomes too old, and calls `on_lost` each time.
    pub async fn expire(&self, on_lost: impl Fn(&FreshnessProof)) {
        let mut proofs = self.last_proof.subscribe();
        loop {
            let proof = proofs.borrow_and_update().clone();
            if let Some(proof) = proof.filter(|_| self.is_served_by_feed()) {
                let stale_at = proof.proven_at + self.max_proof_age;
                let renewal = time::timeout_at(stale_at, proofs.changed()).await;
                if renewal.is_err() && self.set_served(false) {
                    on_lost(&proof);
                }
                continue;
            }
            // Cannot fail: `self` owns the sender.
            let _changed = proofs.changed().await;
        }
    }

    fn set_served(&self, served: bool) -> bool {
        self.served.send_if_modified(|state| std::mem::replace(state, served) != served)
    }
}
