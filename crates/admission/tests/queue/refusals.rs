//! Which requests are refused, and why.

use std::time::Duration;

use admission::{Admission, AdmissionRequest, QueueEvent, RejectReason};

use crate::common::{at, instance};
use crate::{fill, granted, listed, next, overload, queue, queued, refused, request, rng};

/// Guards against refusals without a reason that tells the truth, and against waits in vain.
#[test]
fn request_that_no_target_can_serve_is_refused_at_once() {
    let now = at(1.0);
    let mut empty = queue(0);
    let admission = empty.request(now, request(now, 1, 5), &mut rng());
    assert_eq!(refused(&admission), RejectReason::NoTarget);

    let mut queue = queue(2);
    let avoid = vec![instance(0), instance(1)];
    let avoiding = AdmissionRequest { avoid, ..request(now, 1, 5) };
    let admission = queue.request(now, avoiding, &mut rng());
    assert_eq!(refused(&admission), RejectReason::NoTarget);

    fill(&mut queue, now, 2);
    let soon = AdmissionRequest { deadline: now + Duration::from_millis(40), ..request(now, 1, 5) };
    assert_eq!(refused(&queue.request(now, soon, &mut rng())), RejectReason::NoTime);
}

/// Guards against a request that waits although the targets it may use were removed.
#[test]
fn waiting_requests_are_refused_when_their_targets_are_removed() {
    let now = at(1.0);
    let mut queue = queue(2);
    fill(&mut queue, now, 2);
    let avoiding = AdmissionRequest { avoid: vec![instance(0)], ..request(now, 1, 5) };
    let avoiding = queued(queue.request(now, avoiding, &mut rng()));
    let any = queued(queue.request(now, request(now, 1, 5), &mut rng()));
    queue.set_targets(&listed(1));
    let events = queue.poll(now, &mut rng());
    assert!(
        matches!(events.as_slice(), [QueueEvent::Rejected(ticket, rejection)]
            if *ticket == avoiding && rejection.reason == RejectReason::NoTarget),
        "{events:?}"
    );
    queue.set_targets(&[]);
    let events = queue.poll(now, &mut rng());
    assert!(
        matches!(events.as_slice(), [QueueEvent::Rejected(ticket, _)] if *ticket == any),
        "{events:?}"
    );
}

/// Guards against a request in the middle of the order whose deadline passes without an event.
#[test]
fn waiting_request_that_runs_out_of_time_is_refused() {
    let now = at(1.0);
    let mut queue = queue(1);
    fill(&mut queue, now, 1);
    let deadline = now + Duration::from_millis(300);
    let first = AdmissionRequest { deadline, ..request(now, 1, 1) };
    let first = queued(queue.request(now, first, &mut rng()));
    queued(queue.request(now, request(now, 2, 5), &mut rng()));
    assert_eq!(queue.poll(now + Duration::from_millis(190), &mut rng()), []);
    // Twice the assumed service time before the deadline.
    let events = queue.poll(now + Duration::from_millis(210), &mut rng());
    assert!(
        matches!(events.as_slice(), [QueueEvent::Rejected(ticket, rejection)]
            if *ticket == first && rejection.reason == RejectReason::NoTime),
        "{events:?}"
    );
    assert_eq!(queue.waiting(), 1);
}

/// Guards against a higher priority that is refused while lower ones keep their place, and against a
/// reason that blames the length of the queue.
#[test]
fn higher_priority_displaces_a_request_that_waits() {
    let now = at(1.0);
    let mut queue = queue(1);
    let waiting = overload(&mut queue, now, 5);
    assert!(!waiting.is_empty());
    let later = now + Duration::from_millis(50);
    queued(queue.request(later, request(later, 2, 0), &mut rng()));
    let events = queue.poll(later, &mut rng());
    assert!(
        matches!(events.as_slice(), [QueueEvent::Rejected(ticket, rejection), ..]
            if waiting.contains(ticket) && rejection.reason == RejectReason::Displaced),
        "{events:?}"
    );
}

/// Guards against refusals of requests that have waited for long, which would reach callers late.
#[test]
fn only_recent_requests_are_refused_among_equal_priorities() {
    let now = at(1.0);
    let mut queue = queue(1);
    let waiting = overload(&mut queue, now, 5);
    let later = now + Duration::from_millis(50);
    for _ in 0..10 {
        let admission = queue.request(later, request(later, 2, 5), &mut rng());
        assert_eq!(refused(&admission), RejectReason::QueueFull);
    }
    assert_eq!(queue.poll(later, &mut rng()), []);
    assert_eq!(queue.waiting(), waiting.len());
}

/// Guards against a waiting request that is granted after its caller left.
#[test]
fn caller_that_leaves_is_removed_from_the_queue() {
    let now = at(1.0);
    let mut queue = queue(1);
    let permits = fill(&mut queue, now, 1);
    let first = queued(queue.request(now, request(now, 1, 5), &mut rng()));
    let second = queued(queue.request(now, request(now, 1, 5), &mut rng()));
    queue.release(now, first);
    assert_eq!(next(&mut queue, now, permits[0]), second);
}

/// Guards against a request that is refused after it was granted a target that did not run it.
#[test]
fn request_that_lost_its_target_waits_under_overload() {
    let now = at(1.0);
    let mut queue = queue(2);
    overload(&mut queue, now, 5);
    let again = AdmissionRequest { avoid: vec![instance(0)], ..request(now, 1, 5) };
    queued(queue.request(now, again, &mut rng()));
    assert_eq!(
        refused(&queue.request(now, request(now, 1, 5), &mut rng())),
        RejectReason::QueueFull
    );
}

/// Guards against the reason that others took the place of a request when targets were removed.
#[test]
fn request_that_nobody_overtook_is_refused_because_the_queue_is_full() {
    let now = at(1.0);
    let mut queue = queue(2);
    overload(&mut queue, now, 5);
    queue.set_targets(&listed(1));
    let events = queue.poll(now, &mut rng());
    assert!(!events.is_empty());
    for event in events {
        let is_full = matches!(&event, QueueEvent::Rejected(_, rejection)
            if rejection.reason == RejectReason::QueueFull);
        assert!(is_full, "{event:?}");
    }
}

/// Guards against a service time from slow requests that no later request could correct.
#[test]
fn request_is_granted_although_the_last_ones_were_slow() {
    let now = at(1.0);
    let mut queue = queue(1);
    let slow = granted(queue.request(now, request(now, 1, 5), &mut rng()));
    let after = now + Duration::from_millis(900);
    queue.release(after, slow.ticket);
    let deadline = after + Duration::from_millis(500);
    granted(queue.request(
        after,
        AdmissionRequest { deadline, ..request(after, 1, 5) },
        &mut rng(),
    ));
}

/// Guards against memory and decision time without bound.
#[test]
fn number_of_waiting_requests_is_bounded() {
    let now = at(1.0);
    let mut queue = queue(1);
    for _ in 0..1_100 {
        let far = now + Duration::from_secs(100);
        let patient = AdmissionRequest {
            goal: far.since(now),
            goal_by: far,
            deadline: far,
            ..request(now, 1, 5)
        };
        queue.request(now, patient, &mut rng());
        queue.poll(now, &mut rng());
    }
    assert_eq!(queue.waiting(), 1_024);
}

/// Guards against a queue of urgent requests that grows because others, which can wait, come last.
#[test]
fn requests_with_a_long_goal_do_not_keep_others_waiting() {
    for low in [5, 9] {
        let now = at(1.0);
        let mut queue = queue(1);
        fill(&mut queue, now, 1);
        let far = now + Duration::from_secs(100);
        let patient = AdmissionRequest {
            goal: far.since(now),
            goal_by: far,
            deadline: far,
            ..request(now, 2, low)
        };
        let patient = queued(queue.request(now, patient, &mut rng()));
        let waiting = overload(&mut queue, now, 5);
        assert!(waiting.len() < 60, "{} wait for a goal of 150 ms", waiting.len());
        assert!(!waiting.contains(&patient));
        let more = (0..100).map(|_| queue.request(now, request(now, 1, 5), &mut rng()));
        let refused = more.filter(|admission| matches!(admission, Admission::Rejected(_))).count();
        assert!(refused > 90, "{refused} of 100 are refused under overload");
    }
}
