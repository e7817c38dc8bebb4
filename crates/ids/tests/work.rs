//! By what a piece of work is known again.

use ids::WorkDigest;

#[test]
fn the_bounds_of_parts_count() {
    let digest = WorkDigest::of(&[b"ab", b"c"]);
    assert_ne!(digest, WorkDigest::of(&[b"a", b"bc"]));
    assert_ne!(digest, WorkDigest::of(&[b"abc"]));
    assert_eq!(digest, WorkDigest::of(&[b"ab", b"c"]));
}

#[test]
fn it_is_read_as_it_is_written() {
    let digest = WorkDigest::of(&[b"a"]);
    assert_eq!(digest.to_string().len(), 32);
    assert_eq!(digest.to_string().parse(), Ok(digest));
    let refused = "no digest".parse::<WorkDigest>().expect_err("it is none");
    assert!(refused.to_string().contains("no digest"), "{refused}");
}
