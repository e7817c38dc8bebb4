//! Tracks the configuration in force and its generation.
//!
//! A document is applied only if its generation is higher than the current one, so a stale read, a
//! replayed watch event or a lagging peer cannot revert the configuration. Generations in
//! heartbeats show that the box is behind and which peer to fetch from.

use ids::{BoxId, Generation};

/// Outcome of offering a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is newer and now in force.
    Applied,
    /// The document is not newer; nothing changed.
    NotNewer,
}

/// The configuration as seen by one box.
///
/// ```
/// use coord::follower::{ConfigFollower, OfferOutcome};
/// use ids::Generation;
///
/// let mut follower = ConfigFollower::default();
/// assert_eq!(follower.offer(Generation::new(5), "five"), OfferOutcome::Applied);
/// // A stale read is ignored.
/// assert_eq!(follower.offer(Generation::new(4), "four"), OfferOutcome::NotNewer);
/// assert_eq!(follower.document(), Some(&"five"));
/// ```
#[derive(Debug, Clone)]
pub struct ConfigFollower<C> {
    generation: Generation,
    document: Option<C>,
    /// Highest newer generation observed, and a peer that has it.
    ahead: Option<(Generation, BoxId)>,
    platform_read: bool,
}

impl<C> Default for ConfigFollower<C> {
    fn default() -> Self {
        Self {
            generation: Generation::default(),
            document: None,
            ahead: None,
            platform_read: false,
        }
    }
}

impl<C> ConfigFollower<C> {
    /// Returns the generation in force; zero before the first document.
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the document in force.
    pub const fn document(&self) -> Option<&C> {
        self.document.as_ref()
    }

    /// Offers a document read from the platform or a peer.
    pub fn offer(&mut self, generation: Generation, document: C) -> OfferOutcome {
        if generation <= self.generation {
            return OfferOutcome::NotNewer;
        }
        self.generation = generation;
        self.document = Some(document);
        if self.ahead.as_ref().is_some_and(|(ahead, _)| *ahead <= generation) {
            self.ahead = None;
        }
        OfferOutcome::Applied
    }

    /// Records that the platform responded, possibly without a document.
    pub const fn platform_responded(&mut self) {
        self.platform_read = true;
    }

    /// Records the generation that a peer reports.
    pub fn observe_generation(&mut self, generation: Generation, peer: &BoxId) {
        let highest = self.ahead.as_ref().map_or(self.generation, |(ahead, _)| *ahead);
        if generation > highest {
            self.ahead = Some((generation, peer.clone()));
        }
    }

    /// Returns the peer to fetch a newer document from, if any is ahead.
    pub fn fetch_from(&self) -> Option<&BoxId> {
        self.ahead.as_ref().map(|(_, peer)| peer)
    }

    /// Clears the peer after a failed fetch; a later heartbeat sets it again.
    pub fn fetch_failed(&mut self) {
        self.ahead = None;
    }

    /// Returns whether the box has a document, or the platform has responded.
    pub const fn is_ready(&self) -> bool {
        self.document.is_some() || self.platform_read
    }
}
