//! Permits, and the targets that they are for.

use std::time::Duration;

use admission::{
    Admission, AdmissionQueue, AdmissionRequest, PermitOutcome, QueueEvent, ReportedLoad,
    TargetReport,
};

use crate::common::{at, instance};
use crate::{PERMITS, common, end, fill, granted, listed, next, queue, queued, request, rng};

/// Guards against permits that stay in use when their holder is gone, and against a service time
/// taken from them, with which every later request would seem to have no time.
#[test]
fn permit_expires_at_its_deadline_and_is_granted_again() {
    let now = at(1.0);
    let mut queue = queue(1);
    fill(&mut queue, now, 1);
    let before = now + common::DEADLINE - Duration::from_millis(1);
    assert_eq!(queue.poll(before, &mut rng()), []);
    assert_eq!(queue.in_use(), PERMITS);
    let after = now + common::DEADLINE;
    for _ in 0..PERMITS {
        let deadline = after + Duration::from_millis(200);
        let asked = AdmissionRequest { deadline, ..request(after, 1, 5) };
        granted(queue.request(after, asked, &mut rng()));
    }
    assert_eq!(queue.in_use(), PERMITS);
}

/// Guards against a released permit that is counted twice or granted twice.
#[test]
fn release_is_counted_once() {
    let now = at(1.0);
    let mut queue = queue(1);
    let permits = fill(&mut queue, now, 1);
    queue.release(now, permits[0]);
    queue.release(now, permits[0]);
    granted(queue.request(now, request(now, 1, 5), &mut rng()));
    queued(queue.request(now, request(now, 1, 5), &mut rng()));
    assert_eq!(queue.poll(now, &mut rng()), []);
}

/// Guards against a target that gets its limit again while its earlier permits are still in use.
#[test]
fn permits_in_use_count_when_a_target_is_removed_and_added_again() {
    let now = at(1.0);
    let mut queue = queue(1);
    let permits = fill(&mut queue, now, 1);
    queue.set_targets(&[]);
    queue.set_targets(&listed(1));
    let waiting = queued(queue.request(now, request(now, 1, 5), &mut rng()));
    assert_eq!(next(&mut queue, now, permits[0]), waiting);
}

/// Guards against a flood of grants to a target that just failed, and against a backoff that doubles
/// for each of the requests that one failure ended.
#[test]
fn failed_target_gets_one_request_after_a_backoff() {
    let now = at(1.0);
    let mut queue = queue(1);
    let permits = fill(&mut queue, now, 1);
    for (index, permit) in permits.into_iter().enumerate() {
        // The last ones were served before the failure.
        let outcome = if index < 6 { PermitOutcome::Broken } else { PermitOutcome::Served };
        queue.report(now, &TargetReport { target: instance(0), outcome, load: None });
        queue.release(now, permit);
    }
    let ask = |queue: &mut AdmissionQueue, now| queue.request(now, request(now, 1, 5), &mut rng());
    let waiting = queued(ask(&mut queue, now));
    assert_eq!(queue.poll(now + Duration::from_millis(199), &mut rng()), []);
    let after = now + Duration::from_millis(200);
    let events = queue.poll(after, &mut rng());
    let [QueueEvent::Granted(grant)] = events.as_slice() else { panic!("{events:?}") };
    assert_eq!(grant.ticket, waiting);
    queued(ask(&mut queue, after));
    assert_eq!(queue.poll(after, &mut rng()), []);
    end(&mut queue, after + Duration::from_millis(20), grant);
    assert_eq!(queue.poll(after + Duration::from_millis(20), &mut rng()).len(), 1);
    granted(ask(&mut queue, after + Duration::from_millis(20)));
}

/// Guards against a target that is avoided because nothing is known of its service time.
#[test]
fn new_target_is_used_like_the_others() {
    let mut queue = queue(1);
    for step in 0..100 {
        let now = at(f64::from(step) * 0.1);
        let grant = granted(queue.request(now, request(now, 1, 5), &mut rng()));
        queue.release(now + Duration::from_millis(25), grant.ticket);
    }
    queue.set_targets(&listed(2));
    let now = at(20.0);
    let grants = (0..8).map(|_| granted(queue.request(now, request(now, 1, 5), &mut rng())));
    let at_new = grants.filter(|grant| grant.target == instance(1)).count();
    assert_eq!(at_new, 4);
}

/// Guards against permits for slots that requests without a permit use.
#[test]
fn reported_load_without_permits_takes_permits() {
    let mut queue = queue(1);
    for step in 0..200 {
        let now = at(f64::from(step) * 0.01);
        let grant = granted(queue.request(now, request(now, 1, 5), &mut rng()));
        let load = Some(ReportedLoad { running: 5, waiting: 0 });
        let outcome = PermitOutcome::Served;
        queue.report(now, &TargetReport { target: grant.target, outcome, load });
        queue.release(now, grant.ticket);
    }
    let now = at(2.0);
    let admissions = (0..PERMITS).map(|_| queue.request(now, request(now, 1, 5), &mut rng()));
    let granted = admissions.filter(|a| matches!(a, Admission::Granted(_))).count();
    assert_eq!(granted, PERMITS - 4, "four of the five running requests hold no permit");
}

/// Guards against reports that count long after they were made.
#[test]
fn reported_load_expires() {
    let report = |queue: &mut AdmissionQueue, now, running| {
        let load = Some(ReportedLoad { running, waiting: 0 });
        let report = TargetReport { target: instance(0), outcome: PermitOutcome::Served, load };
        queue.report(now, &report);
    };
    let mut queue = queue(1);
    (0..200).for_each(|step| report(&mut queue, at(f64::from(step) * 0.01), 5));
    let mut silent = queue.clone();
    fill(&mut silent, at(3.0), 1);
    report(&mut queue, at(3.0), 0);
    fill(&mut queue, at(3.0), 1);
}

/// Guards against boxes that leave the home too early, or stay after the shortage.
#[test]
fn shortage_is_reported_while_most_permits_are_in_use_and_a_second_longer() {
    let now = at(1.0);
    let mut queue = queue(1);
    assert!(!queue.is_short(now));
    let permits = fill(&mut queue, now, 1);
    assert!(queue.is_short(now));
    let waiting = queued(queue.request(now, request(now, 1, 5), &mut rng()));
    permits.into_iter().chain([waiting]).for_each(|ticket| queue.release(now, ticket));
    assert!(queue.is_short(now + Duration::from_millis(999)));
    assert!(!queue.is_short(now + Duration::from_secs(1)));
}

/// Guards against a target that fails fast and so seems to be the fastest: it would get most grants,
/// and the queue would plan with a service time that no target has.
#[test]
fn target_that_fails_fast_is_not_preferred() {
    let mut queue = queue(2);
    let failing = instance(0);
    let (mut now, mut to_failing) = (at(1.0), 0);
    for _ in 0..200 {
        let first = granted(queue.request(now, request(now, 1, 5), &mut rng()));
        let second = granted(queue.request(now, request(now, 1, 5), &mut rng()));
        for grant in [first, second] {
            if grant.target == failing {
                to_failing += 1;
                queue.withdraw(now + Duration::from_millis(3), grant.ticket);
            } else {
                end(&mut queue, now + Duration::from_millis(25), &grant);
            }
        }
        now = now + Duration::from_millis(25);
    }
    assert!(to_failing <= 220, "{to_failing} of 400 grants went to the failing target");
    fill(&mut queue, now, 2);
    let waiting = queue.request(now, request(now, 1, 5), &mut rng());
    let Admission::Queued { expected_wait, .. } = waiting else { panic!("not queued") };
    assert!(expected_wait >= Duration::from_millis(1), "planned with fast failures");
}
