//! What a box tells others of one kind of object.

use node::feed::KindCache;
use platform::{Changed, Changes, Listing, Stored};
use serde_json::json;

fn stored(name: &str, revision: u64) -> Stored {
    Stored { name: name.to_owned(), revision, value: json!({"at": revision}) }
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
    cache.listed(&Listing { objects, revision: 10 });
    cache
}

#[test]
fn whoever_knows_nothing_hears_all_objects() {
    let news = listed().since(0).expect("news");
    assert!(news.whole);
    assert_eq!((news.objects.len(), news.revision), (2, 10));
    assert_eq!(KindCache::default().since(0), None, "nothing is known yet");
}

#[test]
fn changes_are_told_to_whoever_lacks_them() {
    let mut cache = listed();
    cache.changed(&put("b", 12));
    cache.changed(&removed("a", 14));
    let news = cache.since(10).expect("news");
    assert!(!news.whole);
    assert_eq!(news.objects, [stored("b", 12)]);
    assert_eq!(news.removed, ["a"]);
    assert_eq!(cache.since(12).expect("news").objects, []);
    assert_eq!(cache.since(14), None);
    // Whoever has heard more, perhaps from the store itself, is not told what is older.
    assert_eq!(cache.since(20), None);
}

#[test]
fn an_object_that_came_again_is_not_told_to_be_gone() {
    let mut cache = listed();
    cache.changed(&removed("a", 11));
    cache.changed(&put("a", 12));
    let news = cache.since(10).expect("news");
    assert_eq!(news.objects, [stored("a", 12)]);
    assert!(news.removed.is_empty());
}

#[test]
fn whoever_is_far_behind_hears_all_objects_anew() {
    let mut cache = listed();
    for number in 0..600 {
        cache.changed(&put("c", 20 + 2 * number));
        cache.changed(&removed("c", 21 + 2 * number));
    }
    for number in 0..600 {
        cache.changed(&removed(&format!("d-{number}"), 2_000 + number));
    }
    let news = cache.since(10).expect("news");
    assert!(news.whole, "its removals are forgotten");
    assert_eq!(news.objects.len(), 2);
    assert!(!cache.since(2_590).expect("news").whole);
}

#[test]
fn a_listing_after_forgotten_history_is_told_whole() {
    let mut cache = listed();
    cache.listed(&Listing { objects: vec![stored("b", 5)], revision: 30 });
    let news = cache.since(10).expect("news");
    assert!(news.whole, "whether `a` was removed is known from the listing alone");
    assert_eq!(news.objects, [stored("b", 5)]);
}
