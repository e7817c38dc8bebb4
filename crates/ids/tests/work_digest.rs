//! Digests that identify repeated work.

use ids::WorkDigest;

#[test]
fn digest_depends_on_the_split_into_parts() {
    let digest = WorkDigest::of(&[b"ab", b"c"]);
    assert_ne!(digest, WorkDigest::of(&[b"a", b"bc"]));
    assert_ne!(digest, WorkDigest::of(&[b"abc"]));
    assert_eq!(digest, WorkDigest::of(&[b"ab", b"c"]));
}

#[test]
fn digest_round_trips_through_text() {
    let digest = WorkDigest::of(&[b"a"]);
    assert_eq!(digest.to_string().len(), 32);
    assert_eq!(digest.to_string().parse(), Ok(digest));
    let error = "no digest".parse::<WorkDigest>().expect_err("not a digest");
    assert!(error.to_string().contains("no digest"), "{error}");
}
