//! Complete listings that a source sends in parts.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use node::feed::{KindCache, PartialListings, ServiceFilter};
use platform::{Changed, Changes, Kind, Listing, Stored};
use serde_json::json;

const KIND: Kind = Kind::Targets;
/// Number of scenarios with fixed seeds.
const SCENARIOS: u64 = 20_000;
/// Bytes of randomness of a scenario.
const SCENARIO_BYTES: u64 = 512;
/// A listing contained an object newer than its revision, which was then removed while the next source
/// skipped its history.
const OBJECT_NEWER_THAN_ITS_LISTING: u64 = 0x9105_0dff_0000_200e;
const MAX_BYTES: usize = 1 << 10;
/// Objects that the modelled store may contain.
const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn stored(name: &str, revision: u64) -> Stored {
    Stored { name: name.to_owned(), revision, value: json!({"at": revision}).into() }
}

fn large_cache(objects: u64) -> KindCache {
    let mut cache = KindCache::default();
    let objects = (1..=objects).map(|number| stored(&format!("target-{number}"), number)).collect();
    cache.apply_listing(&Listing { objects, revision: 100_000 });
    cache
}

/// Receives a complete listing. Returns its objects and the size of its largest part in bytes.
fn receive_listing(cache: &KindCache) -> (Listing, usize) {
    let mut listings = PartialListings::default();
    let mut largest = 0;
    loop {
        let position = listings.position(KIND);
        let part = cache.list_after(position, ServiceFilter::ALL, MAX_BYTES).expect("a part");
        let sizes = part.objects.iter().map(|object| object.name.len() + object.value.len());
        largest = largest.max(sizes.sum());
        let objects = part.objects.iter().map(|object| stored(&object.name, object.revision));
        let listing =
            listings.add(KIND, objects.collect(), part.revision, part.continues_after.clone());
        if let Some(listing) = listing {
            return (listing, largest);
        }
    }
}

/// Guards against responses that grow with the number of targets, which many boxes that start at
/// once can't receive in time.
#[test]
fn parts_do_not_grow_with_the_number_of_targets() {
    for objects in [500, 2_000] {
        let (listing, largest) = receive_listing(&large_cache(objects));
        assert_eq!(listing.objects.len(), usize::try_from(objects).expect("small"));
        assert_eq!(listing.revision, 100_000);
        assert!(largest < MAX_BYTES + 50, "{largest} bytes for {objects} targets");
    }
}

#[test]
fn cache_without_listing_has_no_parts() {
    assert_eq!(KindCache::default().list_after(None, ServiceFilter::ALL, MAX_BYTES), None);
}

/// A store with its history, and a cache that may be behind it.
#[derive(Default)]
struct StoreModel {
    revision: u64,
    objects: BTreeMap<&'static str, u64>,
    history: Vec<(u64, Changed)>,
}

impl StoreModel {
    fn change(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.revision += 1;
        let name = *u.choose(&NAMES)?;
        let change = if u.ratio(1, 3)? && self.objects.remove(name).is_some() {
            Changed::Removed(name.to_owned())
        } else {
            self.objects.insert(name, self.revision);
            Changed::Put(stored(name, self.revision))
        };
        self.history.push((self.revision, change));
        Ok(())
    }

    fn listing(&self) -> Listing {
        let objects = self.objects.iter().map(|(name, revision)| stored(name, *revision));
        Listing { objects: objects.collect(), revision: self.revision }
    }

    /// Brings a cache up to date, by changes or, as after a compaction, by a listing.
    fn update(&self, cache: &mut KindCache, by_listing: bool) {
        if by_listing || cache.revision() == 0 {
            return cache.apply_listing(&self.listing());
        }
        let new = self.history.iter().filter(|(revision, _)| *revision > cache.revision());
        let changes: Vec<Changed> = new.map(|(_, change)| change.clone()).collect();
        cache.apply_changes(&Changes { changes, revision: self.revision });
    }
}

/// Applies an update to the objects of a follower. Returns its new revision, if it has one.
fn follow(
    cache: &KindCache,
    revision: u64,
    listings: &mut PartialListings,
    objects: &mut BTreeMap<String, u64>,
) -> Option<u64> {
    let update = match listings.position(KIND) {
        Some(position) => cache.list_after(Some(position), ServiceFilter::ALL, 1)?,
        None => cache.since_limited(revision, ServiceFilter::ALL, 1)?,
    };
    let changed = update.objects.iter().map(|object| stored(&object.name, object.revision));
    if update.full {
        let listing =
            listings.add(KIND, changed.collect(), update.revision, update.continues_after)?;
        let listed = listing.objects.into_iter().map(|object| (object.name, object.revision));
        *objects = listed.collect();
        return Some(listing.revision);
    }
    for name in &update.removed {
        objects.remove(name);
    }
    objects.extend(changed.map(|object| (object.name, object.revision)));
    Some(update.revision)
}

/// Guards against a follower that misses changes or removals made between two parts of its listing,
/// also if the parts come from sources of which one is behind the other.
#[test]
fn follower_reaches_the_state_of_the_store() {
    arbtest(check_follower).seed(OBJECT_NEWER_THAN_ITS_LISTING);
    for seed in 0..SCENARIOS {
        arbtest(check_follower).seed(seed.wrapping_mul(0x9e37_79b9) << 32 | SCENARIO_BYTES);
    }
}

fn check_follower(u: &mut Unstructured<'_>) -> Result<()> {
    let mut store = StoreModel::default();
    let mut sources = [KindCache::default(), KindCache::default()];
    store.change(u)?;
    let mut listings = PartialListings::default();
    let (mut revision, mut objects) = (0, BTreeMap::new());
    for _ in 0..u.int_in_range(1..=40)? {
        let source = &mut sources[usize::from(u.ratio(1, 2)?)];
        match u.int_in_range(0..=3)? {
            0 => store.change(u)?,
            1 => store.update(source, u.ratio(1, 4)?),
            _ => {
                let reached = follow(source, revision, &mut listings, &mut objects);
                revision = reached.unwrap_or(revision);
            }
        }
    }
    store.update(&mut sources[0], false);
    for _ in 0..3 * NAMES.len() {
        let reached = follow(&sources[0], revision, &mut listings, &mut objects);
        revision = reached.unwrap_or(revision);
    }
    let expected: BTreeMap<String, u64> =
        store.objects.iter().map(|(name, at)| ((*name).to_owned(), *at)).collect();
    assert_eq!(objects, expected);
    Ok(())
}
