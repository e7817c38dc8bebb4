//! What a box knows of one kind of object, and what has changed since a revision.
//!
//! Revisions are the store's own and rise with every change of any object, so a box may go on at
//! another box, or at the store itself, with the revision that it has reached.

use std::collections::{BTreeMap, VecDeque};

use platform::{Changed, Changes, Listing, Stored};

/// Removals that are remembered. Whoever is further behind hears all objects anew.
const MOST_REMOVALS: usize = 512;

/// Changes of one kind since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct KindNews {
    /// All objects are told: whatever is not among them is gone.
    pub whole: bool,
    /// New and changed objects.
    pub objects: Vec<Stored>,
    /// Names of objects that are gone; one that came again is among the objects.
    pub removed: Vec<String>,
    /// The revision that is reached with them.
    pub revision: u64,
}

/// One kind of object, as far as the store has told it.
#[derive(Debug, Default)]
pub struct KindCache {
    objects: BTreeMap<String, Stored>,
    removed: VecDeque<(u64, String)>,
    /// Removals before this revision are forgotten.
    floor: u64,
    /// Known up to this revision; zero before the first listing.
    revision: u64,
}

impl KindCache {
    /// Takes all objects.
    pub fn listed(&mut self, listing: &Listing) {
        let objects = listing.objects.iter();
        self.objects = objects.map(|stored| (stored.name.clone(), stored.clone())).collect();
        self.removed.clear();
        self.floor = listing.revision;
        self.revision = listing.revision;
    }

    /// Takes changes that follow what is known.
    pub fn changed(&mut self, changes: &Changes) {
        for change in &changes.changes {
            match change {
                Changed::Put(stored) => {
                    self.removed.retain(|(_, name)| *name != stored.name);
                    self.objects.insert(stored.name.clone(), stored.clone());
                }
                Changed::Removed(name) => {
                    self.objects.remove(name);
                    self.removed.push_back((changes.revision, name.clone()));
                }
            }
        }
        self.revision = self.revision.max(changes.revision);
        while self.removed.len() > MOST_REMOVALS
            && let Some((revision, _)) = self.removed.pop_front()
        {
            self.floor = revision;
        }
    }

    /// Up to which revision it is known; zero for not at all.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// What has changed since `revision`; `None` when nothing has, or nothing is known that new.
    pub fn since(&self, revision: u64) -> Option<KindNews> {
        if self.revision <= revision {
            return None;
        }
        let whole = revision < self.floor;
        let objects = self.objects.values();
        let objects: Vec<Stored> =
            objects.filter(|stored| whole || stored.revision > revision).cloned().collect();
        let removed = self.removed.iter().filter(|(at, _)| !whole && *at > revision);
        let removed: Vec<String> = removed.map(|(_, name)| name.clone()).collect();
        let news = whole || !objects.is_empty() || !removed.is_empty();
        news.then_some(KindNews { whole, objects, removed, revision: self.revision })
    }
}
