//! Tests of admission at a target's home: doubt, leaving, limits and fairness.

use std::time::Duration;

use ids::{FencingToken, Incarnation, ModelVersion, Moment, TokenCount, TrainerId, VersionWindow};
use placement::{
    Admission, AdmissionRequest, NotRun, OrderOutcome, QueueEvent, Refusal, ReplicaReading,
    ReplicaStatus, TargetQueue, TicketId,
};
use pools::TargetKind;

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

fn version(number: u64) -> ModelVersion {
    ModelVersion::new(number)
}

fn reading(incarnation: u64, held: u64) -> ReplicaReading {
    ReplicaReading {
        incarnation: Incarnation::new(incarnation),
        version: Some(version(held)),
        loading: false,
        token: FencingToken::default(),
        leaving: false,
    }
}

fn request(trainer: &str, named: u64) -> AdmissionRequest {
    let trainer: TrainerId = trainer.parse().expect("a valid ID");
    let window = Some(VersionWindow::new(version(named), 1));
    AdmissionRequest { trainer: Some(trainer), window, deadline: at(60_000) }
}

fn engine(limit: usize) -> TargetQueue {
    let mut queue = TargetQueue::new(TargetKind::Engine, limit);
    queue.read(at(0), &reading(1, 1));
    queue
}

fn admitted(admission: Admission) -> TicketId {
    match admission {
        Admission::Admitted(ticket) => ticket,
        other => panic!("not admitted: {other:?}"),
    }
}

fn reason(admission: Admission) -> Option<NotRun> {
    match admission {
        Admission::Refused(Refusal::NotRun { reason, .. }) => Some(reason),
        _ => None,
    }
}

#[test]
fn unread_engine_queues_work() {
    let mut queue = TargetQueue::new(TargetKind::Engine, 4);
    let Admission::Queued(ticket) = queue.request_admission(at(0), request("a", 1)) else {
        panic!("not queued")
    };
    assert!(queue.poll(at(1)).is_empty());
    queue.read(at(1), &reading(1, 1));
    assert_eq!(queue.poll(at(2)), [QueueEvent::Go(ticket)]);
}

#[test]
fn replica_in_doubt_refuses_work_until_reading_after_deadline() {
    let mut queue = engine(4);
    queue.order_sent(version(2), at(10_000));
    queue.order_completed(at(100), version(2), OrderOutcome::Unknown);
    assert_eq!(reason(queue.request_admission(at(101), request("a", 1))), Some(NotRun::InDoubt));
    // The order may still take effect before its deadline.
    queue.read(at(200), &reading(1, 1));
    assert_eq!(reason(queue.request_admission(at(201), request("a", 1))), Some(NotRun::InDoubt));
    queue.read(at(10_000), &reading(1, 1));
    admitted(queue.request_admission(at(10_001), request("a", 1)));
}

#[test]
fn reading_of_ordered_version_resolves_doubt() {
    let mut queue = engine(4);
    queue.order_sent(version(2), at(10_000));
    queue.order_completed(at(100), version(2), OrderOutcome::Unknown);
    queue.read(at(200), &reading(1, 2));
    assert_eq!(queue.replica().status(), ReplicaStatus::Serving(version(2)));
}

#[test]
fn replica_that_still_loads_stays_in_doubt() {
    let mut queue = engine(4);
    queue.order_sent(version(2), at(1_000));
    queue.order_completed(at(100), version(2), OrderOutcome::Unknown);
    queue.read(at(2_000), &ReplicaReading { loading: true, ..reading(1, 1) });
    assert_eq!(reason(queue.request_admission(at(2_001), request("a", 1))), Some(NotRun::InDoubt));
}

#[test]
fn contradicting_stamp_puts_replica_in_doubt() {
    let mut queue = engine(4);
    queue.contradicted(at(50));
    assert_eq!(reason(queue.request_admission(at(51), request("a", 1))), Some(NotRun::InDoubt));
    // Ignored: requested before the contradiction.
    queue.read(at(49), &reading(1, 1));
    assert_eq!(queue.replica().status(), ReplicaStatus::InDoubt);
    queue.read(at(60), &reading(1, 1));
    admitted(queue.request_admission(at(61), request("a", 1)));
}

#[test]
fn restarted_engine_serves_its_new_version() {
    let mut queue = engine(4);
    queue.read(at(10), &reading(2, 7));
    assert_eq!(
        reason(queue.request_admission(at(11), request("a", 1))),
        Some(NotRun::NotNamed { held: version(7) })
    );
    // Ignored: a late reading of an earlier incarnation.
    queue.read(at(9), &reading(1, 1));
    assert_eq!(queue.replica().status(), ReplicaStatus::Serving(version(7)));
}

#[test]
fn engine_past_staleness_bound_refuses_work() {
    let mut queue = engine(4);
    assert_eq!(
        reason(queue.request_admission(at(1), request("a", 3))),
        Some(NotRun::TooOld { held: version(1) })
    );
    admitted(queue.request_admission(at(1), request("a", 2)));
}

#[test]
fn waiting_work_is_refused_when_target_leaves() {
    let mut queue = engine(1);
    admitted(queue.request_admission(at(0), request("a", 1)));
    let Admission::Queued(ticket) = queue.request_admission(at(0), request("b", 1)) else {
        panic!("not queued")
    };
    queue.mark_leaving();
    let events = queue.poll(at(1));
    assert!(
        matches!(events.as_slice(), [QueueEvent::Refused(refused, _)] if *refused == ticket),
        "{events:?}"
    );
}

#[test]
fn leaving_engine_refuses_work_until_restart() {
    let mut queue = engine(4);
    queue.read(at(1), &ReplicaReading { leaving: true, ..reading(1, 1) });
    // Ignored: an outdated platform list, and a late reading of the same incarnation.
    queue.clear_leaving();
    queue.read(at(2), &reading(1, 1));
    assert_eq!(reason(queue.request_admission(at(3), request("a", 1))), Some(NotRun::Leaving));
    queue.read(at(4), &reading(2, 1));
    admitted(queue.request_admission(at(5), request("a", 1)));
}

#[test]
fn running_requests_never_exceed_limit() {
    let mut queue = engine(2);
    let first = admitted(queue.request_admission(at(0), request("a", 1)));
    admitted(queue.request_admission(at(0), request("a", 1)));
    let Admission::Queued(third) = queue.request_admission(at(0), request("a", 1)) else {
        panic!("not queued")
    };
    assert!(queue.poll(at(1)).is_empty());
    queue.ended(first, TokenCount::new(10));
    assert_eq!(queue.poll(at(2)), [QueueEvent::Go(third)]);
    assert_eq!(queue.running(), 2);
}

#[test]
fn full_queue_refuses_with_retry_delay() {
    let mut queue = engine(1);
    admitted(queue.request_admission(at(0), request("a", 1)));
    let admissions: Vec<Admission> =
        (0..3).map(|_| queue.request_admission(at(0), request("a", 1))).collect();
    let Some(Admission::Refused(Refusal::NotRun { reason, retry_after })) = admissions.last()
    else {
        panic!("not refused: {admissions:?}");
    };
    assert_eq!(*reason, NotRun::Overloaded);
    assert!(*retry_after > Duration::ZERO);
}

#[test]
fn expired_work_is_refused_as_not_run() {
    let mut queue = engine(1);
    admitted(queue.request_admission(at(0), request("a", 1)));
    let late = AdmissionRequest { deadline: at(5), ..request("a", 1) };
    let Admission::Queued(ticket) = queue.request_admission(at(0), late.clone()) else {
        panic!("not queued")
    };
    let expired = Refusal::not_run(NotRun::Expired, Duration::ZERO);
    assert_eq!(queue.poll(at(5)), [QueueEvent::Refused(ticket, expired)]);
    assert_eq!(reason(queue.request_admission(at(6), late)), Some(NotRun::Expired));
}

#[test]
fn trainers_get_equal_token_shares() {
    let mut queue = engine(1);
    let mut served = [0_u32; 2];
    let mut running = admitted(queue.request_admission(at(0), request("long", 1)));
    let mut running_trainer = 0;
    for round in 1..200 {
        for trainer in ["long", "short"] {
            let _refused_when_full = queue.request_admission(at(round), request(trainer, 1));
        }
        let tokens = if running_trainer == 0 { 400 } else { 40 };
        served[running_trainer] += tokens;
        queue.ended(running, TokenCount::new(tokens));
        let events = queue.poll(at(round));
        let Some(QueueEvent::Go(ticket)) = events.first().copied() else { panic!("{events:?}") };
        // The trainer of the started request is charged next.
        running_trainer =
            usize::from(queue.trainer_of(ticket).is_some_and(|t| t.as_str() == "short"));
        running = ticket;
    }
    let ratio = f64::from(served[0]) / f64::from(served[1]);
    assert!((0.7..=1.4).contains(&ratio), "tokens served: {served:?}");
}
