//! Updates that a box's cache yields for one kind of object.

use node::feed::{KindCache, ServiceFilter, encode_object};
use platform::{Changed, Changes, Kind, Listing, Stored, StoredValue};
use serde_json::json;
use wire::peer::FeedObject;

fn stored(name: &str, revision: u64) -> Stored {
    Stored { name: name.to_owned(), revision, value: json!({"at": revision}).into() }
}

fn encoded(name: &str, revision: u64) -> FeedObject {
    let value = format!("{{\"at\":{revision}}}").into();
    FeedObject { name: name.to_owned(), revision, value }
}

fn put(name: &str, revision: u64) -> Changes {
    Changes { changes: vec![Changed::Put(stored(name, revision))], revision }
}

fn removed(name: &str, revision: u64) -> Changes {
    Changes { changes: vec![Changed::Removed(name.to_owned())], revision }
}

fn listed_cache() -> KindCache {
    let mut cache = KindCache::default();
    let objects = vec![stored("a", 3), stored("b", 5)];
    cache.apply_listing(&Listing { objects, revision: 10 });
    cache
}

#[test]
fn initial_update_contains_all_objects() {
    let update = listed_cache().since(0).expect("an update");
    assert!(update.full);
    assert_eq!((update.objects.len(), update.revision), (2, 10));
    assert_eq!(KindCache::default().since(0), None, "the cache is empty");
}

#[test]
fn update_contains_changes_after_revision() {
    let mut cache = listed_cache();
    cache.apply_changes(&put("b", 12));
    cache.apply_changes(&removed("a", 14));
    let update = cache.since(10).expect("an update");
    assert!(!update.full);
    assert_eq!(update.objects, [encoded("b", 12)]);
    assert_eq!(update.removed, ["a"]);
    assert_eq!(cache.since(12).expect("an update").objects, []);
    assert_eq!(cache.since(14), None);
    // A newer revision, perhaps read from the store, gets no older changes.
    assert_eq!(cache.since(20), None);
}

#[test]
fn recreated_object_is_not_removed() {
    let mut cache = listed_cache();
    cache.apply_changes(&removed("a", 11));
    cache.apply_changes(&put("a", 12));
    let update = cache.since(10).expect("an update");
    assert_eq!(update.objects, [encoded("a", 12)]);
    assert!(update.removed.is_empty());
}

#[test]
fn old_revision_gets_full_update() {
    let mut cache = listed_cache();
    for number in 0..600 {
        cache.apply_changes(&put("c", 20 + 2 * number));
        cache.apply_changes(&removed("c", 21 + 2 * number));
    }
    for number in 0..600 {
        cache.apply_changes(&removed(&format!("d-{number}"), 2_000 + number));
    }
    let update = cache.since(10).expect("an update");
    assert!(update.full, "its removals are discarded");
    assert_eq!(update.objects.len(), 2);
    assert!(!cache.since(2_590).expect("an update").full);
}

/// Guards against full updates to all boxes whenever the store compacts its history.
#[test]
fn listing_after_compaction_yields_differences() {
    let mut cache = listed_cache();
    let objects = vec![stored("b", 5), stored("c", 22)];
    cache.apply_listing(&Listing { objects, revision: 30 });
    let update = cache.since(10).expect("an update");
    assert!(!update.full);
    assert_eq!(update.objects, [encoded("c", 22)]);
    assert_eq!(update.removed, ["a"], "the listing implies the removal");
    assert_eq!(update.revision, 30);
    assert_eq!(cache.since(30), None);
    // A box without any objects still gets a full update.
    assert!(cache.since(0).expect("an update").full);
}

/// Guards against lost removals: an object may have been created after the cache's last revision
/// and removed before its listing.
#[test]
fn revision_inside_gap_gets_full_update() {
    let mut cache = listed_cache();
    cache.apply_listing(&Listing { objects: vec![stored("b", 5)], revision: 30 });
    cache.apply_changes(&put("d", 32));
    cache.apply_listing(&Listing { objects: vec![stored("b", 5), stored("d", 32)], revision: 40 });
    for between in [11, 29, 33, 39] {
        let update = cache.since(between).expect("an update");
        assert!(update.full, "{between}");
        assert_eq!(update.objects.len(), 2);
    }
    for reached in [10, 30, 32] {
        assert!(!cache.since(reached).is_some_and(|update| update.full), "{reached}");
    }
    // A store with a lower revision causes a full update.
    cache.apply_listing(&Listing { objects: vec![stored("b", 5)], revision: 20 });
    assert!(cache.since(10).expect("an update").full);
}

/// Guards against lost removals: once a gap is no longer tracked, boxes inside it need a full
/// update, also after older removals are discarded.
#[test]
fn discarded_removals_do_not_reopen_an_untracked_gap() {
    let mut cache = listed_cache();
    for number in 0..500 {
        cache.apply_changes(&removed(&format!("d-{number}"), 11 + number));
    }
    for number in 0..40 {
        let objects = vec![stored("a", 3), stored("b", 5)];
        cache.apply_listing(&Listing { objects, revision: 1_000 + 10 * number });
    }
    assert!(cache.since(700).expect("an update").full, "inside the first gap");
    for number in 0..30 {
        cache.apply_changes(&removed(&format!("e-{number}"), 2_000 + number));
    }
    assert!(cache.since(700).expect("an update").full, "after the oldest removals are discarded");
}

#[test]
fn update_size_after_compaction_depends_on_changes() {
    let sent_objects = |targets: u64| {
        let mut cache = KindCache::default();
        let objects: Vec<Stored> =
            (0..targets).map(|at| stored(&format!("i-{at}"), at + 1)).collect();
        cache.apply_listing(&Listing { objects: objects.clone(), revision: targets });
        let mut total = 0;
        for round in 1..=20 {
            let revision = cache.revision();
            let mut objects = objects.clone();
            objects[0] = stored("i-0", targets + 10 * round);
            cache.apply_listing(&Listing { objects, revision: targets + 10 * round });
            total += cache.since(revision).expect("an update").objects.len();
        }
        total
    };
    assert_eq!(sent_objects(1_000), sent_objects(2_000));
}

/// Guards against full updates when many targets of a large domain leave together.
#[test]
fn removals_are_retained_up_to_object_count() {
    for targets in [1_000_u64, 2_000] {
        let mut cache = KindCache::default();
        let objects = (0..targets).map(|at| stored(&format!("i-{at}"), at + 1)).collect();
        cache.apply_listing(&Listing { objects, revision: targets });
        let leave = targets / 2;
        for at in 0..leave {
            cache.apply_changes(&removed(&format!("i-{at}"), targets + 1 + at));
        }
        let update = cache.since(targets).expect("an update");
        assert!(!update.full, "{targets} targets");
        assert_eq!(update.removed.len() as u64, leave);
        assert!(update.objects.is_empty());
    }
}

/// Guards against copying an object's bytes for each request.
#[test]
fn object_is_encoded_once() {
    let cache = listed_cache();
    let first = cache.since(0).expect("an update");
    let second = cache.since(0).expect("an update");
    let find = |objects: &[FeedObject]| {
        objects.iter().find(|object| object.name == "a").map(|object| object.value.as_ptr())
    };
    assert!(find(&first.objects).is_some());
    assert_eq!(find(&first.objects), find(&second.objects));
    assert_eq!(encode_object(&stored("a", 3)), encoded("a", 3));
}

fn target(name: &str, revision: u64, service: &str) -> Stored {
    Stored { value: json!({"service": service}).into(), ..stored(name, revision) }
}

/// Guards against sending thousands of engines to entry boxes that use none of them.
#[test]
fn filtered_update_excludes_other_services() {
    let desk = ["desk".to_owned()];
    let filtered_objects = |engines: u64| {
        let mut cache = KindCache::new(Kind::Targets);
        let engine = |at: u64| target(&format!("engine-{at}"), at + 1, "lm");
        let mut objects: Vec<Stored> = (0..engines).map(engine).collect();
        objects.push(target("desk-1", engines + 1, "desk"));
        // An object without a service, which every box receives.
        objects.push(stored("odd", engines + 2));
        cache.apply_listing(&Listing { objects, revision: engines + 2 });
        let base_revision = cache.revision();
        let full_count =
            cache.since_filtered(0, ServiceFilter::of(&desk)).expect("an update").objects.len();
        for at in 0..engines {
            let stored = target(&format!("engine-{at}"), base_revision + 1 + at, "lm");
            let revision = stored.revision;
            cache.apply_changes(&Changes { changes: vec![Changed::Put(stored)], revision });
        }
        assert_eq!(
            cache.since_filtered(base_revision, ServiceFilter::of(&desk)),
            None,
            "no update for it"
        );
        assert_eq!(cache.since(base_revision).expect("an update").objects.len() as u64, engines);
        full_count
    };
    assert_eq!(filtered_objects(500), 2);
    assert_eq!(filtered_objects(1_000), 2);
}

/// Guards against boxes that keep using a target whose entry became unreadable.
#[test]
fn unreadable_object_is_propagated() {
    let mut cache = listed_cache();
    let unreadable = Stored { name: "b".to_owned(), revision: 0, value: StoredValue::default() };
    let changes = Changes { changes: vec![Changed::Put(unreadable.clone())], revision: 12 };
    cache.apply_changes(&changes);
    assert_eq!(cache.since(10).expect("an update").objects, [encode_object(&unreadable)]);
    cache.apply_changes(&put("b", 14));
    assert_eq!(cache.since(10).expect("an update").objects, [encoded("b", 14)]);
}
