//! The objects of one kind as a box has received them, and the changes since a revision.
//!
//! Revisions are assigned by the store and increase with every change of any object, so a box can
//! continue from its last revision at another box or at the store. Hundreds of boxes request the
//! same changes, so each object is encoded once, when it arrives, and changes are indexed by
//! revision.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::ops::Bound;

use platform::targets::target_service;
use platform::{Changed, Changes, Kind, Listing, Stored};
use wire::peer::{FeedObject, ListingPosition};

/// Minimum number of removals to retain.
const MIN_REMOVALS: usize = 512;
/// Maximum number of gaps to track.
const MAX_GAPS: usize = 32;

/// Changes of one kind since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct KindUpdate {
    /// Whether `objects` is a complete listing, or a part of one: any object not in the listing has
    /// been removed.
    pub full: bool,
    /// New and changed objects.
    pub objects: Vec<FeedObject>,
    /// Names of removed objects. An object that was created again is in `objects` instead.
    pub removed: Vec<String>,
    /// The revision after these changes.
    pub revision: u64,
    /// Where a complete listing continues, if `objects` is only a part of it.
    pub continues_after: Option<ListingPosition>,
}

#[derive(Debug)]
struct CachedObject {
    encoded: FeedObject,
    /// The revision at which the object last changed.
    changed_at: u64,
    /// The service, for targets.
    service: Option<String>,
}

/// Selects targets by service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceFilter<'a>(Option<&'a [String]>);

impl<'a> ServiceFilter<'a> {
    /// Passes all targets.
    pub const ALL: Self = Self(None);

    /// Passes the targets of these services.
    pub const fn of(services: &'a [String]) -> Self {
        Self(Some(services))
    }

    /// Objects without a service pass every filter.
    fn matches(&self, object: &CachedObject) -> bool {
        let (Some(wanted), Some(service)) = (self.0, &object.service) else { return true };
        wanted.iter().any(|wanted| **wanted == **service)
    }
}

/// An interval of revisions whose changes are unknown.
#[derive(Debug, Clone, Copy)]
struct Gap {
    after: u64,
    before: u64,
}

/// Cached objects and removals of one kind.
#[derive(Debug, Default)]
pub struct KindCache {
    is_targets: bool,
    objects: HashMap<String, CachedObject>,
    /// Object names, ordered by the revision of their last change.
    by_revision: BTreeSet<(u64, String)>,
    removed: BTreeSet<(u64, String)>,
    /// Revision of each removal.
    removed_at: HashMap<String, u64>,
    /// Removals up to this revision have been discarded.
    floor: u64,
    /// Intervals that were skipped because the store had compacted its history.
    gaps: VecDeque<Gap>,
    /// Current revision; zero before the first listing.
    revision: u64,
}

impl KindCache {
    /// Creates an empty cache.
    pub fn new(kind: Kind) -> Self {
        Self { is_targets: kind == Kind::Targets, ..Self::default() }
    }

    /// Applies a listing of all objects. Boxes at the previous revision receive only the
    /// differences: the store compacts its history regularly, and sending every object to hundreds
    /// of boxes each time is costly.
    pub fn apply_listing(&mut self, listing: &Listing) {
        if self.revision == 0 || listing.revision < self.revision {
            let (is_targets, revision) = (self.is_targets, listing.revision);
            *self = Self { is_targets, floor: revision, revision, ..Self::default() };
        }
        let listed: HashSet<&str> = listing.objects.iter().map(|stored| &*stored.name).collect();
        let unlisted = self.objects.keys().filter(|name| !listed.contains(name.as_str()));
        let missing: Vec<String> = unlisted.cloned().collect();
        for name in missing {
            self.remove(&name, listing.revision);
        }
        for stored in &listing.objects {
            let cached = self.objects.get(&stored.name).map(|object| object.encoded.revision);
            // An object without a revision may have changed.
            if cached != Some(stored.revision) || stored.revision == 0 {
                self.put(stored, listing.revision);
            }
        }
        if listing.revision > self.revision {
            self.gaps.push_back(Gap { after: self.revision, before: listing.revision });
            self.revision = listing.revision;
        }
        self.prune_gaps();
        self.prune_removals();
    }

    fn prune_gaps(&mut self) {
        while self.gaps.len() > MAX_GAPS
            && let Some(gap) = self.gaps.pop_front()
        {
            self.floor = self.floor.max(gap.before);
        }
    }

    /// Whether a box at `revision` may have objects that this cache never contained.
    fn may_have_unseen_objects(&self, revision: u64) -> bool {
        self.gaps.iter().any(|gap| gap.after < revision && revision < gap.before)
    }

    /// Applies changes that follow the current revision.
    pub fn apply_changes(&mut self, changes: &Changes) {
        for change in &changes.changes {
            match change {
                Changed::Put(stored) => self.put(stored, changes.revision),
                Changed::Removed(name) => self.remove(name, changes.revision),
            }
        }
        self.revision = self.revision.max(changes.revision);
        self.prune_removals();
    }

    /// Inserts an object that came with an update to `revision`.
    fn put(&mut self, stored: &Stored, revision: u64) {
        if let Some(at) = self.removed_at.remove(&stored.name) {
            self.removed.remove(&(at, stored.name.clone()));
        }
        let service = if self.is_targets { target_service(stored) } else { None };
        // An unreadable object has no revision of its own.
        let changed_at = if stored.revision > 0 { stored.revision } else { revision };
        let object = CachedObject { encoded: encode_object(stored), changed_at, service };
        let previous = self.objects.insert(stored.name.clone(), object);
        self.unindex_object(previous);
        self.by_revision.insert((changed_at, stored.name.clone()));
    }

    fn remove(&mut self, name: &str, revision: u64) {
        let previous = self.objects.remove(name);
        self.unindex_object(previous);
        if let Some(at) = self.removed_at.insert(name.to_owned(), revision) {
            self.removed.remove(&(at, name.to_owned()));
        }
        self.removed.insert((revision, name.to_owned()));
    }

    fn unindex_object(&mut self, previous: Option<CachedObject>) {
        if let Some(CachedObject { encoded, changed_at, .. }) = previous {
            self.by_revision.remove(&(changed_at, encoded.name));
        }
    }

    /// Discards the oldest removals when they outnumber the objects. A box that is further behind
    /// receives all objects instead, which is the smaller response.
    fn prune_removals(&mut self) {
        let limit = self.objects.len().max(MIN_REMOVALS);
        while self.removed.len() > limit
            && let Some((revision, name)) = self.removed.pop_first()
        {
            self.removed_at.remove(&name);
            // The floor may already be higher, because a gap is no longer tracked.
            self.floor = self.floor.max(revision);
        }
    }

    /// The current revision; zero before the first listing.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the changes since `revision`, or `None` when there are none or the cache is older.
    pub fn since(&self, revision: u64) -> Option<KindUpdate> {
        self.since_filtered(revision, ServiceFilter::ALL)
    }

    /// As [`Self::since`], limited to the targets that pass `filter`.
    pub fn since_filtered(&self, revision: u64, filter: ServiceFilter<'_>) -> Option<KindUpdate> {
        self.since_limited(revision, filter, usize::MAX)
    }

    /// As [`Self::since_filtered`]. A complete listing ends after `max_bytes`.
    pub fn since_limited(
        &self,
        revision: u64,
        filter: ServiceFilter<'_>,
        max_bytes: usize,
    ) -> Option<KindUpdate> {
        if self.revision <= revision {
            return None;
        }
        if revision < self.floor || self.may_have_unseen_objects(revision) {
            return self.list_after(None, filter, max_bytes);
        }
        let changed = self.by_revision.range((revision + 1, String::new())..);
        let objects = changed.filter_map(|(_, name)| self.objects.get(name));
        let objects = objects.filter(|object| filter.matches(object));
        let objects: Vec<FeedObject> = objects.map(|object| object.encoded.clone()).collect();
        let removed = self.removed.range((revision + 1, String::new())..);
        let removed: Vec<String> = removed.map(|(_, name)| name.clone()).collect();
        let has_changes = !objects.is_empty() || !removed.is_empty();
        has_changes.then_some(KindUpdate {
            full: false,
            objects,
            removed,
            revision: self.revision,
            continues_after: None,
        })
    }

    /// Returns the part of a complete listing that follows `position`, of about `max_bytes`, or
    /// `None` before the first listing.
    ///
    /// Objects that change between two parts move to the end of the listing. Removals are not in
    /// it; a box that has received all parts continues from the revision of the first one.
    pub fn list_after(
        &self,
        position: Option<&ListingPosition>,
        filter: ServiceFilter<'_>,
        max_bytes: usize,
    ) -> Option<KindUpdate> {
        if self.revision == 0 {
            return None;
        }
        let start = match position {
            Some(position) => Bound::Excluded((position.changed_at, position.name.clone())),
            None => Bound::Unbounded,
        };
        let mut objects = Vec::new();
        let mut bytes = 0;
        let mut continues_after = None;
        let mut entries = self.by_revision.range((start, Bound::Unbounded)).peekable();
        while let Some((changed_at, name)) = entries.next() {
            let object = self.objects.get(name).filter(|object| filter.matches(object));
            let Some(object) = object else { continue };
            bytes += object.encoded.name.len() + object.encoded.value.len();
            objects.push(object.encoded.clone());
            if bytes >= max_bytes && entries.peek().is_some() {
                let position = ListingPosition { changed_at: *changed_at, name: name.clone() };
                continues_after = Some(position);
                break;
            }
        }
        let (removed, revision) = (Vec::new(), self.revision);
        Some(KindUpdate { full: true, objects, removed, revision, continues_after })
    }
}

/// Encodes an object for the feed.
pub fn encode_object(stored: &Stored) -> FeedObject {
    FeedObject {
        name: stored.name.clone(),
        revision: stored.revision,
        value: stored.value.json().clone(),
    }
}
