//! How reports, restarts and releases affect the wait for a lease.

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
    let me = box_id.parse().expect("valid id");
    LeaseClaim::new(me, Incarnation::new(incarnation), "10.0.0.1:1".to_owned(), TERM).with_gap(GAP)
}

fn record(holder: &str, incarnation: u64, write: u64) -> LeaseRecord {
    LeaseRecord {
        holder: holder.parse().expect("valid id"),
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

fn report(write: u64, received_at: Moment) -> LeaseReport {
    LeaseReport {
        holder: "other".parse().expect("valid id"),
        token: FencingToken::new(4),
        write,
        received_at,
    }
}

/// Polls the claim, with `stored` as the result of its reads, until it writes. Returns the time of
/// the write in milliseconds.
fn wait_for_write(claim: &mut LeaseClaim, from: u64, stored: &LeaseRecord) -> u64 {
    for now in (from..from + 20_000).step_by(10) {
        match claim.poll(at(now)) {
            Some(LeaseAction::Read) => claim.read_done(at(now), found(stored.clone())),
            Some(LeaseAction::Write { .. }) => {
                claim.write_done(at(now), WriteOutcome::Applied(ObjectVersion::new(10)));
                return now;
            }
            None => {}
        }
    }
    panic!("the lease was never acquired");
}

#[test]
fn a_lease_is_acquired_shortly_before_the_end_of_the_gap() {
    let mut own = claim("me", 1);
    let acquired_at = wait_for_write(&mut own, 1_000, &record("other", 1, 7));
    // Read at 1,000: the holder may act until 2,200, and no other box before 5,500.
    assert_eq!(own.quiet_until(), at(5_500));
    assert!((5_000..5_500).contains(&acquired_at), "acquired at {acquired_at}");
}

#[test]
fn a_report_of_the_last_write_shortens_the_wait() {
    let mut own = claim("me", 1);
    own.record_report(report(7, at(1_000)));
    let acquired_at = wait_for_write(&mut own, 4_000, &record("other", 1, 7));
    assert_eq!(own.quiet_until(), at(5_500));
    assert!((5_000..5_500).contains(&acquired_at), "acquired at {acquired_at}");
}

#[test]
fn a_report_of_an_earlier_write_does_not_shorten_the_wait() {
    let mut own = claim("me", 1);
    own.record_report(report(7, at(1_000)));
    wait_for_write(&mut own, 4_000, &record("other", 1, 8));
    assert_eq!(own.quiet_until(), at(8_500));
}

#[test]
fn a_lease_of_an_earlier_incarnation_is_acquired_immediately() {
    let mut own = claim("me", 2);
    let acquired_at = wait_for_write(&mut own, 1_000, &record("me", 1, 7));
    assert!(acquired_at <= 1_010, "acquired at {acquired_at}");
    assert!(own.quiet_until() <= at(1_010));
}

#[test]
fn a_restart_does_not_shorten_the_gap_after_another_holder() {
    let mut own = claim("me", 2);
    let mut earlier = record("me", 1, 7);
    earlier.quiet_ms = 2_000;
    let acquired_at = wait_for_write(&mut own, 1_000, &earlier);
    assert!(acquired_at <= 1_010);
    assert!(own.quiet_until() >= at(3_000));
}

#[test]
fn a_released_lease_is_acquired_immediately_but_its_gap_is_kept() {
    let mut own = claim("me", 1);
    let mut released = record("other", 1, 7);
    released.released = true;
    let acquired_at = wait_for_write(&mut own, 1_000, &released);
    assert!(acquired_at <= 1_010);
    assert!(own.quiet_until() >= at(4_300));
}

#[test]
fn each_write_records_the_remaining_quiet_period() {
    let mut own = claim("me", 1);
    let mut released = record("other", 1, 7);
    released.released = true;
    wait_for_write(&mut own, 1_000, &released);
    let Some(LeaseAction::Write { record, .. }) = own.poll(at(2_000)) else {
        panic!("the lease is renewed")
    };
    assert!((2_200..=2_400).contains(&record.quiet_ms), "{}", record.quiet_ms);
}
