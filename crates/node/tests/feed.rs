//! What a box tells others of one kind of object.

use node::feed::{KindCache, ServiceFilter, encode_object};
use platform::{Changed, Changes, Kind, Listing, Stored};
use serde_json::json;
use wire::peer::FeedObject;

fn stored(name: &str, revision: u64) -> Stored {
    Stored { name: name.to_owned(), revision, value: json!({"at": revision}) }
}

fn told(name: &str, revision: u64) -> FeedObject {
    let value = format!("{{\"at\":{revision}}}").into();
    FeedObject { name: name.to_owned(), revision, value }
}

fn put(name: &str, revision: u64) -> Changes {
    Changes { changes: vec![Changed::Put(stored(name, revision))], revision }
}

fn removed(name: &str, revision: u64) -> Changes {
    Changes { changes: vec![Changed::Removed(name.to_owned())], revision }
}

fn listed() -> KindCache {
    let mut cache = KindCache::default();
    let objects = vec![stored("a", 3), stored("b", 5)];
    cache.apply_listing(&Listing { objects, revision: 10 });
    cache
}

#[test]
fn whoever_knows_nothing_hears_all_objects() {
    let news = listed().since(0).expect("news");
    assert!(news.full);
    assert_eq!((news.objects.len(), news.revision), (2, 10));
    assert_eq!(KindCache::default().since(0), None, "nothing is known yet");
}

#[test]
fn changes_are_told_to_whoever_lacks_them() {
    let mut cache = listed();
    cache.apply_changes(&put("b", 12));
    cache.apply_changes(&removed("a", 14));
    let news = cache.since(10).expect("news");
    assert!(!news.full);
    assert_eq!(news.objects, [told("b", 12)]);
    assert_eq!(news.removed, ["a"]);
    assert_eq!(cache.since(12).expect("news").objects, []);
    assert_eq!(cache.since(14), None);
    // Whoever has heard more, perhaps from the store itself, is not told what is older.
    assert_eq!(cache.since(20), None);
}

#[test]
fn an_object_that_came_again_is_not_told_to_be_gone() {
    let mut cache = listed();
    cache.apply_changes(&removed("a", 11));
    cache.apply_changes(&put("a", 12));
    let news = cache.since(10).expect("news");
    assert_eq!(news.objects, [told("a", 12)]);
    assert!(news.removed.is_empty());
}

#[test]
fn whoever_is_far_behind_hears_all_objects_anew() {
    let mut cache = listed();
    for number in 0..600 {
        cache.apply_changes(&put("c", 20 + 2 * number));
        cache.apply_changes(&removed("c", 21 + 2 * number));
    }
    for number in 0..600 {
        cache.apply_changes(&removed(&format!("d-{number}"), 2_000 + number));
    }
    let news = cache.since(10).expect("news");
    assert!(news.full, "its removals are forgotten");
    assert_eq!(news.objects.len(), 2);
    assert!(!cache.since(2_590).expect("news").full);
}

/// The store forgets its history for all who watch it, and hundreds of boxes listen to each of these.
#[test]
fn a_listing_after_forgotten_history_tells_how_it_differs() {
    let mut cache = listed();
    let objects = vec![stored("b", 5), stored("c", 22)];
    cache.apply_listing(&Listing { objects, revision: 30 });
    let news = cache.since(10).expect("news");
    assert!(!news.full);
    assert_eq!(news.objects, [told("c", 22)]);
    assert_eq!(news.removed, ["a"], "whether it was removed is known from the listing alone");
    assert_eq!(news.revision, 30);
    assert_eq!(cache.since(30), None);
    // Whoever knows nothing, or less than this box did, hears no less.
    assert!(cache.since(0).expect("news").full);
}

/// Another box's word, or the store's own, may have told somebody of an object that came after this box's last news and
/// went before its listing.
#[test]
fn whoever_may_know_what_a_listing_missed_hears_all_objects() {
    let mut cache = listed();
    cache.apply_listing(&Listing { objects: vec![stored("b", 5)], revision: 30 });
    cache.apply_changes(&put("d", 32));
    cache.apply_listing(&Listing { objects: vec![stored("b", 5), stored("d", 32)], revision: 40 });
    for between in [11, 29, 33, 39] {
        let news = cache.since(between).expect("news");
        assert!(news.full, "{between}");
        assert_eq!(news.objects.len(), 2);
    }
    for reached in [10, 30, 32] {
        assert!(!cache.since(reached).is_some_and(|news| news.full), "{reached}");
    }
    // A store that goes back tells everything anew.
    cache.apply_listing(&Listing { objects: vec![stored("b", 5)], revision: 20 });
    assert!(cache.since(10).expect("news").full);
}

#[test]
fn what_is_told_after_forgotten_history_goes_with_the_changes_not_the_objects() {
    let told = |targets: u64| {
        let mut cache = KindCache::default();
        let objects: Vec<Stored> =
            (0..targets).map(|at| stored(&format!("i-{at}"), at + 1)).collect();
        cache.apply_listing(&Listing { objects: objects.clone(), revision: targets });
        let mut total = 0;
        for round in 1..=20 {
            let known = cache.revision();
            let mut objects = objects.clone();
            objects[0] = stored("i-0", targets + 10 * round);
            cache.apply_listing(&Listing { objects, revision: targets + 10 * round });
            total += cache.since(known).expect("news").objects.len();
        }
        total
    };
    assert_eq!(told(1_000), told(2_000));
}

/// A failure domain may hold more targets than any fixed number: when they leave together, nobody hears all that is
/// left anew for it.
#[test]
fn removals_are_remembered_for_as_long_as_they_are_less_to_tell() {
    for targets in [1_000_u64, 2_000] {
        let mut cache = KindCache::default();
        let objects = (0..targets).map(|at| stored(&format!("i-{at}"), at + 1)).collect();
        cache.apply_listing(&Listing { objects, revision: targets });
        let leave = targets / 2;
        for at in 0..leave {
            cache.apply_changes(&removed(&format!("i-{at}"), targets + 1 + at));
        }
        let news = cache.since(targets).expect("news");
        assert!(!news.full, "{targets} targets");
        assert_eq!(news.removed.len() as u64, leave);
        assert!(news.objects.is_empty());
    }
}

/// An object is told as it was encoded when it came: asking again copies no bytes.
#[test]
fn an_object_is_encoded_once_for_all_who_ask() {
    let cache = listed();
    let first = cache.since(0).expect("news");
    let second = cache.since(0).expect("news");
    let find = |objects: &[FeedObject]| {
        objects.iter().find(|object| object.name == "a").map(|object| object.value.as_ptr())
    };
    assert!(find(&first.objects).is_some());
    assert_eq!(find(&first.objects), find(&second.objects));
    assert_eq!(encode_object(&stored("a", 3)), told("a", 3));
}

fn target(name: &str, revision: u64, service: &str) -> Stored {
    Stored { value: json!({"service": service}), ..stored(name, revision) }
}

/// Thousands of engines stand beside the plain targets, and hundreds of entry boxes send nothing to any of them.
#[test]
fn an_entry_box_hears_as_much_however_many_engines_there_are() {
    let desk = ["desk".to_owned()];
    let told = |engines: u64| {
        let mut cache = KindCache::new(Kind::Targets);
        let engine = |at: u64| target(&format!("engine-{at}"), at + 1, "lm");
        let mut objects: Vec<Stored> = (0..engines).map(engine).collect();
        objects.push(target("desk-1", engines + 1, "desk"));
        // One that another writer spoiled is for everybody to judge.
        objects.push(stored("odd", engines + 2));
        cache.apply_listing(&Listing { objects, revision: engines + 2 });
        let known = cache.revision();
        let whole = cache.since_filtered(0, ServiceFilter::of(&desk)).expect("news").objects.len();
        for at in 0..engines {
            let stored = target(&format!("engine-{at}"), known + 1 + at, "lm");
            let revision = stored.revision;
            cache.apply_changes(&Changes { changes: vec![Changed::Put(stored)], revision });
        }
        assert_eq!(cache.since_filtered(known, ServiceFilter::of(&desk)), None, "no news for it");
        assert_eq!(cache.since(known).expect("news").objects.len() as u64, engines);
        whole
    };
    assert_eq!(told(500), 2);
    assert_eq!(told(1_000), 2);
}

/// Another writer may spoil an entry; nothing may go on under its name, at any box.
#[test]
fn an_object_that_cannot_be_read_is_news_like_any_other() {
    let mut cache = listed();
    let spoiled = Stored { name: "b".to_owned(), revision: 0, value: serde_json::Value::Null };
    let changes = Changes { changes: vec![Changed::Put(spoiled.clone())], revision: 12 };
    cache.apply_changes(&changes);
    assert_eq!(cache.since(10).expect("news").objects, [encode_object(&spoiled)]);
    cache.apply_changes(&put("b", 14));
    assert_eq!(cache.since(10).expect("news").objects, [told("b", 14)]);
}
