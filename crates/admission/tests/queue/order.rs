//! Order of grants, and fair shares of customers.

use std::time::Duration;

use admission::{Admission, AdmissionQueue, AdmissionRequest, Grant, QueueEvent};
use ids::{Moment, Priority};

use crate::common::{at, customer, instance};
use crate::{PERMITS, common, end, fill, granted, listed, next, queue, queued, request, rng};

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
