//! What a box knows of one kind of object, and what has changed since a revision.
//!
//! Revisions are the store's own and rise with every change of any object, so a box may go on at
//! another box, or at the store itself, with the revision that it has reached. Hundreds of boxes ask for the same
//! changes, so an object is encoded once, when it comes, and changes are found by their revision.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

use bytes::Bytes;
use platform::targets::target_service;
use platform::{Changed, Changes, Kind, Listing, Stored};
use wire::peer::FeedObject;

/// Removals that are remembered at least.
const LEAST_REMOVALS: usize = 512;
/// Listings after forgotten history that are remembered.
const MOST_GAPS: usize = 32;

/// Changes of one kind since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct KindNews {
    /// All objects are told: whatever is not among them is gone.
    pub full: bool,
    /// New and changed objects.
    pub objects: Vec<FeedObject>,
    /// Names of objects that are gone; one that came again is among the objects.
    pub removed: Vec<String>,
    /// The revision that is reached with them.
    pub revision: u64,
}

#[derive(Debug)]
struct CachedObject {
    told: FeedObject,
    /// Revision by which it is news.
    news_at: u64,
    /// The service of a target.
    service: Option<Box<str>>,
}

/// Which targets somebody hears of.
#[derive(Debug, Clone, Copy)]
pub struct ServiceFilter<'a>(Option<&'a [String]>);

impl<'a> ServiceFilter<'a> {
    /// All targets.
    pub const ALL: Self = Self(None);

    /// Those of these services.
    pub const fn of(services: &'a [String]) -> Self {
        Self(Some(services))
    }

    /// Whatever names no service is told to everybody.
    fn passes(&self, object: &CachedObject) -> bool {
        let (Some(wanted), Some(service)) = (self.0, &object.service) else { return true };
        wanted.iter().any(|wanted| **wanted == **service)
    }
}

/// What happened after one revision and before another is not known.
#[derive(Debug, Clone, Copy)]
struct Gap {
    after: u64,
    before: u64,
}

/// One kind of object, as far as the store has told it.
#[derive(Debug, Default)]
pub struct KindCache {
    is_targets: bool,
    objects: HashMap<String, CachedObject>,
    /// Names of the objects by the revision of their last change.
    by_revision: BTreeSet<(u64, String)>,
    removed: BTreeSet<(u64, String)>,
    /// When each of the removed was removed.
    removed_at: HashMap<String, u64>,
    /// Removals up to this revision are forgotten.
    floor: u64,
    /// Where history was forgotten: what came and went between these revisions is not known.
    gaps: VecDeque<Gap>,
    /// Known up to this revision; zero before the first listing.
    revision: u64,
}

impl KindCache {
    /// A cache that has heard nothing.
    pub fn new(kind: Kind) -> Self {
        Self { is_targets: kind == Kind::Targets, ..Self::default() }
    }

    /// Takes all objects. Whoever was as far as this box hears how they differ from what was known; hundreds of
    /// boxes would hear thousands of objects anew whenever the store forgets its history.
    pub fn listed(&mut self, listing: &Listing) {
        if self.revision == 0 || listing.revision < self.revision {
            let (is_targets, revision) = (self.is_targets, listing.revision);
            *self = Self { is_targets, floor: revision, revision, ..Self::default() };
        }
        let listed: HashSet<&str> = listing.objects.iter().map(|stored| &*stored.name).collect();
        let known = self.objects.keys().filter(|name| !listed.contains(name.as_str()));
        let gone: Vec<String> = known.cloned().collect();
        for name in gone {
            self.remove(&name, listing.revision);
        }
        for stored in &listing.objects {
            let known = self.objects.get(&stored.name).map(|object| object.told.revision);
            // One without a revision is another than before for all that is known.
            if known != Some(stored.revision) || stored.revision == 0 {
                self.put(stored, listing.revision);
            }
        }
        if listing.revision > self.revision {
            self.gaps.push_back(Gap { after: self.revision, before: listing.revision });
            self.revision = listing.revision;
        }
        self.forget_gaps();
        self.forget_removals();
    }

    fn forget_gaps(&mut self) {
        while self.gaps.len() > MOST_GAPS
            && let Some(gap) = self.gaps.pop_front()
        {
            self.floor = self.floor.max(gap.before);
        }
    }

    /// Whether somebody who has reached `revision` may know objects of which this box has never heard.
    fn may_know_more(&self, revision: u64) -> bool {
        self.gaps.iter().any(|gap| gap.after < revision && revision < gap.before)
    }

    /// Takes changes that follow what is known.
    pub fn changed(&mut self, changes: &Changes) {
        for change in &changes.changes {
            match change {
                Changed::Put(stored) => self.put(stored, changes.revision),
                Changed::Removed(name) => self.remove(name, changes.revision),
            }
        }
        self.revision = self.revision.max(changes.revision);
        self.forget_removals();
    }

    /// Takes an object that was told with news up to `revision`.
    fn put(&mut self, stored: &Stored, revision: u64) {
        if let Some(at) = self.removed_at.remove(&stored.name) {
            self.removed.remove(&(at, stored.name.clone()));
        }
        let service = target_service(stored).filter(|_| self.is_targets).map(Box::from);
        // An object that cannot be read has no revision of its own.
        let news_at = if stored.revision > 0 { stored.revision } else { revision };
        let object = CachedObject { told: write_object(stored), news_at, service };
        let before = self.objects.insert(stored.name.clone(), object);
        self.forget_revision(before);
        self.by_revision.insert((news_at, stored.name.clone()));
    }

    fn remove(&mut self, name: &str, revision: u64) {
        let before = self.objects.remove(name);
        self.forget_revision(before);
        if let Some(at) = self.removed_at.insert(name.to_owned(), revision) {
            self.removed.remove(&(at, name.to_owned()));
        }
        self.removed.insert((revision, name.to_owned()));
    }

    fn forget_revision(&mut self, before: Option<CachedObject>) {
        if let Some(CachedObject { told, news_at, .. }) = before {
            self.by_revision.remove(&(news_at, told.name));
        }
    }

    /// Forgets the oldest removals when there are more of them than objects: whoever is that far behind hears all
    /// objects anew, which is less to tell.
    fn forget_removals(&mut self) {
        let most = self.objects.len().max(LEAST_REMOVALS);
        while self.removed.len() > most
            && let Some((revision, name)) = self.removed.pop_first()
        {
            self.removed_at.remove(&name);
            self.floor = revision;
        }
    }

    /// Up to which revision it is known; zero for not at all.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// What has changed since `revision`; `None` when nothing has, or nothing is known that new.
    pub fn since(&self, revision: u64) -> Option<KindNews> {
        self.since_of(revision, ServiceFilter::ALL)
    }

    /// As [`Self::since`], of some targets alone.
    pub fn since_of(&self, revision: u64, filter: ServiceFilter<'_>) -> Option<KindNews> {
        if self.revision <= revision {
            return None;
        }
        if revision < self.floor || self.may_know_more(revision) {
            let objects = self.objects.values().filter(|object| filter.passes(object));
            let objects = objects.map(|object| object.told.clone()).collect();
            return Some(KindNews {
                full: true,
                objects,
                removed: Vec::new(),
                revision: self.revision,
            });
        }
        let changed = self.by_revision.range((revision + 1, String::new())..);
        let objects = changed.filter_map(|(_, name)| self.objects.get(name));
        let objects = objects.filter(|object| filter.passes(object));
        let objects: Vec<FeedObject> = objects.map(|object| object.told.clone()).collect();
        let removed = self.removed.range((revision + 1, String::new())..);
        let removed: Vec<String> = removed.map(|(_, name)| name.clone()).collect();
        let news = !objects.is_empty() || !removed.is_empty();
        news.then_some(KindNews { full: false, objects, removed, revision: self.revision })
    }
}

/// An object as it is told.
pub fn write_object(stored: &Stored) -> FeedObject {
    FeedObject {
        name: stored.name.clone(),
        revision: stored.revision,
        // A value that was read as JSON can be written as JSON.
        value: Bytes::from(serde_json::to_vec(&stored.value).unwrap_or_default()),
    }
}
