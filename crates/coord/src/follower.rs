//! Follows configuration generations, which only grow.
//!
//! A document is applied only when its generation is higher than any seen, so a stale read, a
//! replayed watch event or a peer that lags can never take the box back. Generations heard on
//! heartbeats tell the follower that it is behind, and who to ask.

use ids::{BoxId, Generation};

/// What became of an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is newer and now in force.
    Applied,
    /// It is not newer; nothing changed.
    NotNewer,
}

/// One box's view of the configuration.
///
/// ```
/// use coord::follower::{ConfigFollower, OfferOutcome};
/// use ids::Generation;
///
/// let mut follower = ConfigFollower::default();
/// assert_eq!(follower.offer(Generation::new(5), "five"), OfferOutcome::Applied);
/// // A stale read changes nothing.
/// assert_eq!(follower.offer(Generation::new(4), "four"), OfferOutcome::NotNewer);
/// assert_eq!(follower.document(), Some(&"five"));
/// ```
#[derive(Debug, Clone)]
pub struct ConfigFollower<C> {
    generation: Generation,
    document: Option<C>,
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
    /// Generation in force; zero before the first.
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Document in force.
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

    /// Notes that the platform answered, even when it held no document.
    pub const fn platform_answered(&mut self) {
        self.platform_read = true;
    }

    /// Notes the generation a peer says it has.
    pub fn observe_generation(&mut self, generation: Generation, peer: &BoxId) {
        let known = self.ahead.as_ref().map_or(self.generation, |(ahead, _)| *ahead);
        if generation > known {
            self.ahead = Some((generation, peer.clone()));
        }
    }

    /// The peer to fetch from, while one is known to be ahead.
    pub fn fetch_from(&self) -> Option<&BoxId> {
        self.ahead.as_ref().map(|(_, peer)| peer)
    }

    /// Forgets who is ahead after a fetch failed; the next heartbeat names a peer again.
    pub fn fetch_failed(&mut self) {
        self.ahead = None;
    }

    /// Whether the box has learnt the newest generation it could ask for.
    pub const fn is_ready(&self) -> bool {
        self.document.is_some() || self.platform_read
    }
}
