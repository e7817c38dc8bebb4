//! What shortens the wait for a lease, and what must not.

use std::time::Duration;

use coord::lease::{
    LeaseAction, LeaseClaim, LeaseRecord, LeaseReport, ReadOutcome, VersionedLease, WriteOutcome,
};
use ids::{FencingToken, Incarnation, Moment, ObjectVersion};

const TERM: Duration = Duration::from_millis(1_500);
const GAP: Duration = Duration::from_millis(3_300);

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

fn claim(box_id: &str, incarnation: u64) -> LeaseClaim {
    let me = box_id.parse().expect("an id");
    LeaseClaim::new(me, Incarnation::new(incarnation), "10.0.0.1:1".to_owned(), TERM).with_gap(GAP)
}

fn record(holder: &str, incarnation: u64, write: u64) -> LeaseRecord {
    LeaseRecord {
        holder: holder.parse().expect("an id"),
        incarnation: Incarnation::new(incarnation),
        token: FencingToken::new(4),
        address: "10.0.0.2:1".to_owned(),
        term_ms: 1_500,
        write,
        released: false,
        quiet_ms: 0,
    }
}

fn found(record: LeaseRecord) -> ReadOutcome {
    ReadOutcome::Found(VersionedLease { version: ObjectVersion::new(9), record })
}

fn note(write: u64, heard_at: Moment) -> LeaseReport {
    LeaseReport {
        holder: "other".parse().expect("an id"),
        token: FencingToken::new(4),
        write,
        heard_at,
    }
}

/// Polls and answers reads with `seen` until the claim writes; gives when that was.
fn wait_for_write(claim: &mut LeaseClaim, from: u64, seen: &LeaseRecord) -> u64 {
    for now in (from..from + 20_000).step_by(10) {
        match claim.poll(at(now)) {
            Some(LeaseAction::Read) => claim.read_done(at(now), found(seen.clone())),
            Some(LeaseAction::Write { .. }) => {
                claim.write_done(at(now), WriteOutcome::Applied(ObjectVersion::new(10)));
                return now;
            }
            None => {}
        }
    }
    panic!("the lease was never taken");
}

#[test]
fn a_lease_is_taken_only_shortly_before_its_gap_is_over() {
    let mut mine = claim("me", 1);
    let taken = wait_for_write(&mut mine, 1_000, &record("other", 1, 7));
    // Seen at 1,000: the holder may act until 2,200, and nobody before 5,500.
    assert_eq!(mine.quiet_until(), at(5_500));
    assert!((5_000..5_500).contains(&taken), "taken at {taken}");
}

#[test]
fn what_the_holder_said_of_its_last_write_shortens_the_wait() {
    let mut mine = claim("me", 1);
    mine.record_report(note(7, at(1_000)));
    let taken = wait_for_write(&mut mine, 4_000, &record("other", 1, 7));
    assert_eq!(mine.quiet_until(), at(5_500));
    assert!((5_000..5_500).contains(&taken), "taken at {taken}");
}

#[test]
fn a_write_that_was_not_heard_of_is_watched_from_when_it_is_read() {
    let mut mine = claim("me", 1);
    mine.record_report(note(7, at(1_000)));
    wait_for_write(&mut mine, 4_000, &record("other", 1, 8));
    assert_eq!(mine.quiet_until(), at(8_500));
}

#[test]
fn an_earlier_life_of_the_same_box_is_taken_over_at_once() {
    let mut mine = claim("me", 2);
    let taken = wait_for_write(&mut mine, 1_000, &record("me", 1, 7));
    assert!(taken <= 1_010, "taken at {taken}");
    assert!(mine.quiet_until() <= at(1_010));
}

#[test]
fn a_restart_does_not_shorten_the_gap_after_another_holder() {
    let mut mine = claim("me", 2);
    let mut earlier = record("me", 1, 7);
    earlier.quiet_ms = 2_000;
    let taken = wait_for_write(&mut mine, 1_000, &earlier);
    assert!(taken <= 1_010);
    assert!(mine.quiet_until() >= at(3_000));
}

#[test]
fn a_released_lease_is_taken_at_once_but_its_gap_is_kept() {
    let mut mine = claim("me", 1);
    let mut released = record("other", 1, 7);
    released.released = true;
    let taken = wait_for_write(&mut mine, 1_000, &released);
    assert!(taken <= 1_010);
    assert!(mine.quiet_until() >= at(4_300));
}

#[test]
fn what_is_left_of_the_gap_stands_in_each_write() {
    let mut mine = claim("me", 1);
    let mut released = record("other", 1, 7);
    released.released = true;
    wait_for_write(&mut mine, 1_000, &released);
    let Some(LeaseAction::Write { record, .. }) = mine.poll(at(2_000)) else {
        panic!("the lease is renewed")
    };
    assert!((2_200..=2_400).contains(&record.quiet_ms), "{}", record.quiet_ms);
}
