//! Whether a box believes what another one tells it, and until when.
//!
//! Trust ends by the clock. Whoever hears may be held up, by a question that nobody answers or by
//! news for a task that takes none; settings must not count as fresh for that long.

use std::time::Duration;

use ids::BoxId;
use tokio::sync::watch;
use tokio::time::{self, Instant};

/// A box counts as answered by another one for so long: an unanswered question takes at most 0.7 s of it.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// What was heard of another box's reach to the store.
#[derive(Debug, Clone)]
pub struct FreshnessProof {
    /// Who told.
    pub teller: BoxId,
    /// When that box last knew to be current what binds callers.
    pub proven_at: Instant,
}

/// Whether a box is told by another one, so that its own watches rest.
#[derive(Debug)]
pub struct FeedFreshness {
    /// How old a proof may be.
    hear: Duration,
    heard: watch::Sender<Option<FreshnessProof>>,
    fed: watch::Sender<bool>,
    /// Whether it is known that nobody tells this box.
    nobody: watch::Sender<bool>,
    /// When another box last answered, with fresh news or old ones.
    answered_at: watch::Sender<Option<Instant>>,
}

impl FeedFreshness {
    /// No trust yet; a proof is good for `hear`.
    pub fn new(hear: Duration) -> Self {
        Self {
            hear,
            heard: watch::Sender::new(None),
            fed: watch::Sender::new(false),
            nobody: watch::Sender::new(false),
            answered_at: watch::Sender::new(None),
        }
    }

    /// Whether a proof is young enough to do without the store.
    pub fn is_fresh(&self, proof: &FreshnessProof) -> bool {
        proof.proven_at.elapsed() < self.hear
    }

    /// Takes a proof; `true` when the box was not told before.
    pub fn accept_proof(&self, proof: FreshnessProof) -> bool {
        // In this order: the proof wakes whoever ends the trust, and it must be there to be ended.
        let is_new = self.set(true);
        self.heard.send_replace(Some(proof));
        is_new
    }

    /// Notes that another box has answered, with fresh news or old ones.
    pub fn note_answer(&self) {
        self.answered_at.send_replace(Some(Instant::now()));
    }

    /// Whether another box answers this one: it will tell of the store's return.
    pub fn answers(&self) -> bool {
        self.answered_at.borrow().is_some_and(|at| at.elapsed() < ANSWER_TIME)
    }

    /// Notes that no box tells this one.
    pub fn tell_nobody(&self) {
        self.nobody.send_replace(true);
    }

    /// Returns once it is known that no box tells this one.
    pub async fn wait_for_nobody(&self) {
        // The sender lives as long as `self`.
        let mut nobody = self.nobody.subscribe();
        let _known = nobody.wait_for(|nobody| *nobody).await;
    }

    /// Whether another box tells this one.
    pub fn is_served_by_feed(&self) -> bool {
        *self.fed.borrow()
    }

    /// Whether the last proof that was heard is young enough to do without the store.
    pub fn is_proven(&self) -> bool {
        self.heard.borrow().as_ref().is_some_and(|proof| self.is_fresh(proof))
    }

    /// Tells when that changes.
    pub fn states(&self) -> watch::Receiver<bool> {
        self.fed.subscribe()
    }

    /// Ends the trust whenever the last proof gets too old; `lost` hears of each time.
    pub async fn expire(&self, lost: impl Fn(&FreshnessProof)) {
        let mut heard = self.heard.subscribe();
        loop {
            let proof = heard.borrow_and_update().clone();
            if let Some(proof) = proof.filter(|_| self.is_served_by_feed()) {
                let stale_at = proof.proven_at + self.hear;
                let renewed = time::timeout_at(stale_at, heard.changed()).await;
                if renewed.is_err() && self.set(false) {
                    lost(&proof);
                }
                continue;
            }
            // The sender lives as long as `self`.
            let _heard = heard.changed().await;
        }
    }

    fn set(&self, fed: bool) -> bool {
        self.fed.send_if_modified(|state| std::mem::replace(state, fed) != fed)
    }
}
