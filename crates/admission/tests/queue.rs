//! Order, fair shares, refusals and permits of the admission queue.

mod common;

use std::time::Duration;

use admission::{
    Admission, AdmissionQueue, AdmissionRequest, Grant, PermitOutcome, QueueEvent, RejectReason,
    ReportedLoad, TargetReport, TicketId,
};
use common::{at, customer, instance};
use ids::{Moment, Priority};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 6;
/// Permits of a target with 6 slots before anything is reported: slots and a quarter.
const PERMITS: usize = 8;

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

fn queue(targets: usize) -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    queue.set_targets(&listed(targets));
    queue
}

fn listed(targets: usize) -> Vec<(ids::InstanceId, u32)> {
    (0..targets).map(|index| (instance(index), SLOTS)).collect()
}

fn request(now: Moment, of: usize, priority: u8) -> AdmissionRequest {
    AdmissionRequest {
        route: format!("route-{of}").parse().expect("valid id"),
        customer: Some(customer(of)),
        priority: Priority::new(priority),
        goal: common::GOAL,
        goal_by: now + common::GOAL,
        deadline: now + common::DEADLINE,
        avoid: Vec::new(),
    }
}

fn granted(admission: Admission) -> Grant {
    match admission {
        Admission::Granted(grant) => grant,
        other => panic!("not granted: {other:?}"),
    }
}

fn queued(admission: Admission) -> TicketId {
    match admission {
        Admission::Queued { ticket, .. } => ticket,
        other => panic!("not queued: {other:?}"),
    }
}

fn refused(admission: &Admission) -> RejectReason {
    match admission {
        Admission::Rejected(rejection) => rejection.reason,
        other => panic!("not refused: {other:?}"),
    }
}

/// Fills all permits of a queue and returns their tickets.
fn fill(queue: &mut AdmissionQueue, now: Moment, targets: usize) -> Vec<TicketId> {
    let requests = (0..targets * PERMITS).map(|_| request(now, 99, 5));
    requests.map(|request| granted(queue.request(now, request, &mut rng())).ticket).collect()
}

/// Ends a permit that was served.
fn end(queue: &mut AdmissionQueue, now: Moment, grant: &Grant) {
    let outcome = PermitOutcome::Served;
    queue.report(now, &TargetReport { target: grant.target.clone(), outcome, load: None });
    queue.release(now, grant.ticket);
}

/// Releases a permit and returns the ticket of the request that is granted in its place.
fn next(queue: &mut AdmissionQueue, now: Moment, permit: TicketId) -> TicketId {
    queue.release(now, permit);
    match queue.poll(now, &mut rng()).as_slice() {
        [QueueEvent::Granted(grant)] => grant.ticket,
        other => panic!("not one grant: {other:?}"),
    }
}

/// Guards against grants out of order.
#[test]
fn grants_are_by_priority_then_customer_then_deadline() {
    let mut queue = queue(1);
    let now = at(1.0);
    let permits = fill(&mut queue, now, 1);
    let mut ask = |of: usize, priority: u8, deadline: f64| {
        let request = AdmissionRequest { deadline: at(deadline), ..request(now, of, priority) };
        queued(queue.request(now, request, &mut rng()))
    };
    let low = ask(3, 7, 2.0);
    let late = ask(1, 5, 3.0);
    let early = ask(1, 5, 2.5);
    let other = ask(2, 5, 2.9);
    let high = ask(1, 1, 3.0);
    let expected = [high, early, other, late, low];
    let order: Vec<_> =
        (0..expected.len()).map(|index| next(&mut queue, now, permits[index])).collect();
    assert_eq!(order, expected);
}

/// Counts the grants to customers 1 and 2 over a hundred services, with the service time of each,
/// while both have requests waiting.
fn grants_while_both_wait(queue: &mut AdmissionQueue, start: f64, times: [f64; 3]) -> [usize; 3] {
    let mut rng = rng();
    let mut running: Vec<(Moment, usize, Grant)> = Vec::new();
    let mut owners = std::collections::HashMap::new();
    let mut counts = [0; 3];
    for step in 0..1_500 {
        let now = at(start + f64::from(step) * 0.001);
        for of in [1, 2] {
            while owners.values().filter(|owner| **owner == of).count() < 20 {
                let asked = AdmissionRequest {
                    goal: common::DEADLINE,
                    goal_by: now + common::DEADLINE,
                    deadline: now + common::DEADLINE * 4,
                    ..request(now, of, 5)
                };
                match queue.request(now, asked, &mut rng) {
                    Admission::Queued { ticket, .. } => owners.insert(ticket, of),
                    Admission::Granted(grant) => {
                        running.push((now + Duration::from_secs_f64(times[of]), of, grant));
                        continue;
                    }
                    Admission::Rejected(_) => break,
                };
            }
        }
        let (ended, still): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= now);
        running = still;
        for (_, _, grant) in &ended {
            end(queue, now, grant);
        }
        for event in queue.poll(now, &mut rng) {
            match event {
                QueueEvent::Granted(grant) => {
                    let of = owners.remove(&grant.ticket).expect("it waits");
                    counts[of] += 1;
                    running.push((now + Duration::from_secs_f64(times[of]), of, grant));
                }
                QueueEvent::Rejected(ticket, _) => {
                    owners.remove(&ticket);
                }
            }
        }
    }
    counts
}

fn assert_ratio(counts: [usize; 3], min: f64, max: f64) {
    let [_, first, second] = counts.map(|count| f64::from(u32::try_from(count).expect("few")));
    let ratio = first / second;
    assert!((min..max).contains(&ratio), "grants to the customers are {first} and {second}");
}

/// Serves customer 2 alone, one request at a time, for 20 s.
fn serve_alone(queue: &mut AdmissionQueue) {
    for step in 0..2_000 {
        let now = at(f64::from(step) * 0.01);
        let ticket = match queue.request(now, request(now, 2, 5), &mut rng()) {
            Admission::Granted(grant) => grant.ticket,
            Admission::Queued { ticket, .. } => ticket,
            other @ Admission::Rejected(_) => panic!("not granted: {other:?}"),
        };
        queue.poll(now, &mut rng());
        queue.release(now + Duration::from_millis(9), ticket);
    }
}

/// Guards against credit for time in which a customer asked for less than its share.
#[test]
fn customer_that_asked_for_little_gains_no_credit() {
    let mut queue = queue(1);
    for step in 0..2_000 {
        let now = at(f64::from(step) * 0.01);
        // Customer 1 gets a tenth of what customer 2 gets.
        let of = if step % 10 == 0 { 1 } else { 2 };
        let grant = granted(queue.request(now, request(now, of, 5), &mut rng()));
        queue.release(now + Duration::from_millis(9), grant.ticket);
    }
    assert_ratio(grants_while_both_wait(&mut queue, 20.0, [0.0, 0.02, 0.02]), 0.93, 1.07);
}

/// Guards against a customer that waits for what it received before all were idle.
#[test]
fn service_received_before_an_idle_time_does_not_count() {
    let mut queue = queue(1);
    serve_alone(&mut queue);
    assert_ratio(grants_while_both_wait(&mut queue, 30.0, [0.0, 0.02, 0.02]), 0.93, 1.07);
}

/// Returns a queue of two targets in which customer 3 waits for the first one, which is never free.
fn queue_with_one_that_waits(priority: u8) -> AdmissionQueue {
    let mut queue = queue(1);
    let now = at(0.0);
    let far = now + Duration::from_secs(1_000);
    let patient = |of, priority| AdmissionRequest {
        goal: far.since(now),
        goal_by: far,
        deadline: far,
        ..request(now, of, priority)
    };
    for _ in 0..PERMITS {
        granted(queue.request(now, patient(99, 5), &mut rng()));
    }
    queue.set_targets(&listed(2));
    let avoid = vec![instance(1)];
    queued(queue.request(now, AdmissionRequest { avoid, ..patient(3, priority) }, &mut rng()));
    queue
}

/// Guards against shares that are compared with those of a priority that gets less.
#[test]
fn shares_are_separate_for_each_priority() {
    let mut queue = queue_with_one_that_waits(7);
    serve_alone(&mut queue);
    assert_ratio(grants_while_both_wait(&mut queue, 20.0, [0.0, 0.02, 0.02]), 0.93, 1.07);
}

/// Guards against a customer that gets nothing for long because it received more than one whose
/// requests no free target may run.
#[test]
fn customer_that_received_more_is_behind_for_a_bounded_time() {
    let mut queue = queue_with_one_that_waits(5);
    serve_alone(&mut queue);
    assert_ratio(grants_while_both_wait(&mut queue, 20.0, [0.0, 0.02, 0.02]), 0.8, 1.5);
}

/// Guards against memory for each customer that was ever seen.
#[test]
fn inactive_customers_are_forgotten() {
    let mut queue = queue(1);
    for of in 0..3_000 {
        let now = at(f64::from(of) * 0.01);
        let of = usize::try_from(of).expect("small");
        let grant = granted(queue.request(now, request(now, of, 5), &mut rng()));
        queue.release(now, grant.ticket);
    }
    let shares = format!("{queue:?}").matches("Share {").count();
    assert!(shares <= 1_024, "{shares} shares are kept");
}

/// Guards against a customer that gets more service because its requests take longer.
#[test]
fn shares_are_by_service_received_not_by_requests() {
    let mut queue = queue(1);
    assert_ratio(grants_while_both_wait(&mut queue, 1.0, [0.0, 0.06, 0.02]), 0.25, 0.45);
}

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

/// Sends requests of a priority until one is refused, and returns the tickets of those that wait.
fn overload(queue: &mut AdmissionQueue, now: Moment, priority: u8) -> Vec<TicketId> {
    let mut waiting = Vec::new();
    for _ in 0..200 {
        match queue.request(now, request(now, 1, priority), &mut rng()) {
            Admission::Granted(_) => {}
            Admission::Queued { ticket, .. } => waiting.push(ticket),
            Admission::Rejected(_) => break,
        }
        for event in queue.poll(now, &mut rng()) {
            match event {
                QueueEvent::Rejected(ticket, _) => waiting.retain(|waiting| *waiting != ticket),
                QueueEvent::Granted(grant) => panic!("all permits are in use: {grant:?}"),
            }
        }
    }
    waiting
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

/// Guards against changed priorities that apply to new requests only.
#[test]
fn changed_priority_applies_to_waiting_requests() {
    let now = at(1.0);
    let mut queue = queue(1);
    let permits = fill(&mut queue, now, 1);
    let first = queued(queue.request(now, request(now, 1, 5), &mut rng()));
    let second = queued(queue.request(now, request(now, 2, 6), &mut rng()));
    queue.update_priorities(|_, of| (of == Some(&customer(2))).then_some(Priority::new(0)));
    assert_eq!(next(&mut queue, now, permits[0]), second);
    assert_eq!(next(&mut queue, now, permits[1]), first);
}

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

/// Guards against a burst whose late requests make all later ones late, too.
#[test]
fn requests_that_can_end_within_their_goal_go_first_without_overload() {
    let now = at(1.0);
    let mut queue = queue(1);
    let permits = fill(&mut queue, now, 1);
    let late = queued(queue.request(now, request(now, 1, 5), &mut rng()));
    let after = now + common::GOAL;
    let in_time = queued(queue.request(after, request(after, 2, 5), &mut rng()));
    assert_eq!(next(&mut queue, after, permits[0]), in_time);
    assert_eq!(next(&mut queue, after, permits[1]), late);
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

/// Guards against a share that counts a request under its former priority for good.
#[test]
fn changed_priority_leaves_no_share_behind() {
    let mut queue = queue(1);
    let permits = fill(&mut queue, at(0.0), 1);
    let mut ask =
        |of, priority| queued(queue.request(at(0.0), request(at(0.0), of, priority), &mut rng()));
    let waiting = [ask(3, 5), ask(4, 6)];
    queue.update_priorities(|_, of| {
        Some(Priority::new(if of == Some(&customer(3)) { 6 } else { 5 }))
    });
    permits.into_iter().chain(waiting).for_each(|ticket| queue.release(at(0.0), ticket));
    serve_alone(&mut queue);
    assert_ratio(grants_while_both_wait(&mut queue, 20.0, [0.0, 0.02, 0.02]), 0.93, 1.07);
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
