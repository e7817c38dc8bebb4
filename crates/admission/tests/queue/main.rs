//! Order, fair shares, refusals and permits of the admission queue.

#[path = "../common/mod.rs"]
mod common;
mod order;
mod permits;
mod refusals;

use admission::{
    Admission, AdmissionQueue, AdmissionRequest, Grant, PermitOutcome, QueueEvent, RejectReason,
    TargetReport, TicketId,
};
use common::{customer, instance};
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
