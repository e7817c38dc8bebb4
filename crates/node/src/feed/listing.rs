//! Assembles complete listings that arrive in parts.
//!
//! A listing of thousands of targets takes longer to arrive than a follower waits for one response
//! while many boxes start at once, so a source sends it in parts. A part that was received is never
//! requested again, also if the next one comes from another source.

use std::collections::HashMap;

use platform::{Kind, Listing, Stored};
use wire::peer::ListingPosition;

/// The parts received so far of one kind's listing.
#[derive(Debug)]
struct PartialListing {
    listing: Listing,
    continues_after: ListingPosition,
}

/// Listings of which some parts are missing.
#[derive(Debug, Default)]
pub struct PartialListings(HashMap<Kind, PartialListing>);

impl PartialListings {
    /// Whether no listing is in progress.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The position after which a listing continues, if one is in progress.
    pub fn position(&self, kind: Kind) -> Option<&ListingPosition> {
        self.0.get(&kind).map(|partial| &partial.continues_after)
    }

    /// Discards the parts of a listing.
    pub fn discard(&mut self, kind: Kind) {
        self.0.remove(&kind);
    }

    /// Adds a part. Returns the listing if this was the last one.
    ///
    /// Changes after the earliest revision of a part may be missing from the listing, so this is
    /// its revision. Newer objects are left out: they come with the changes since, while a source
    /// that never had them could not report their removal.
    pub fn add(
        &mut self,
        kind: Kind,
        objects: Vec<Stored>,
        revision: u64,
        continues_after: Option<ListingPosition>,
    ) -> Option<Listing> {
        let part = Listing { objects, revision };
        let mut listing = match self.0.remove(&kind) {
            Some(PartialListing { mut listing, .. }) => {
                listing.objects.extend(part.objects);
                listing.revision = listing.revision.min(revision);
                listing
            }
            None => part,
        };
        let Some(continues_after) = continues_after else {
            let revision = listing.revision;
            listing.objects.retain(|object| object.revision <= revision);
            return Some(listing);
        };
        self.0.insert(kind, PartialListing { listing, continues_after });
        None
    }
}
