//! Admission at a target's home: doubt, leaving, limits, fairness.

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

fn reading(life: u64, held: u64) -> ReplicaReading {
    ReplicaReading {
        incarnation: Incarnation::new(life),
        version: Some(version(held)),
        loading: false,
        token: FencingToken::default(),
        leaving: false,
    }
}

fn ask(trainer: &str, named: u64) -> AdmissionRequest {
    let trainer: TrainerId = trainer.parse().expect("an id");
    let window = Some(VersionWindow::new(version(named), 1));
    AdmissionRequest { trainer: Some(trainer), window, deadline: at(60_000) }
}

fn engine(limit: usize) -> TargetQueue {
    let mut queue = TargetQueue::new(TargetKind::Engine, limit);
    queue.read(at(0), &reading(1, 1));
    queue
}

fn go(admission: Admission) -> TicketId {
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
fn an_unread_engine_gets_no_work() {
    let mut queue = TargetQueue::new(TargetKind::Engine, 4);
    let Admission::Queued(ticket) = queue.request_admission(at(0), ask("a", 1)) else {
        panic!("not queued")
    };
    assert!(queue.poll(at(1)).is_empty());
    queue.read(at(1), &reading(1, 1));
    assert_eq!(queue.poll(at(2)), [QueueEvent::Go(ticket)]);
}

#[test]
fn a_replica_in_doubt_gets_no_work_until_a_late_enough_reading() {
    let mut queue = engine(4);
    queue.order_sent(version(2), at(10_000));
    queue.order_completed(at(100), version(2), OrderOutcome::Unknown);
    assert_eq!(reason(queue.request_admission(at(101), ask("a", 1))), Some(NotRun::InDoubt));
    // The order might still take effect, so the old version proves nothing yet.
    queue.read(at(200), &reading(1, 1));
    assert_eq!(reason(queue.request_admission(at(201), ask("a", 1))), Some(NotRun::InDoubt));
    queue.read(at(10_000), &reading(1, 1));
    go(queue.request_admission(at(10_001), ask("a", 1)));
}

#[test]
fn doubt_ends_at_once_when_the_ordered_version_is_read() {
    let mut queue = engine(4);
    queue.order_sent(version(2), at(10_000));
    queue.order_completed(at(100), version(2), OrderOutcome::Unknown);
    queue.read(at(200), &reading(1, 2));
    assert_eq!(queue.replica().status(), ReplicaStatus::Serving(version(2)));
}

#[test]
fn a_swap_that_failed_partway_and_still_loads_stays_in_doubt() {
    let mut queue = engine(4);
    queue.order_sent(version(2), at(1_000));
    queue.order_completed(at(100), version(2), OrderOutcome::Unknown);
    queue.read(at(2_000), &ReplicaReading { loading: true, ..reading(1, 1) });
    assert_eq!(reason(queue.request_admission(at(2_001), ask("a", 1))), Some(NotRun::InDoubt));
}

#[test]
fn a_stamp_that_contradicts_puts_the_replica_in_doubt() {
    let mut queue = engine(4);
    queue.contradicted(at(50));
    assert_eq!(reason(queue.request_admission(at(51), ask("a", 1))), Some(NotRun::InDoubt));
    // A reading that began before the contradiction proves nothing.
    queue.read(at(49), &reading(1, 1));
    assert_eq!(queue.replica().status(), ReplicaStatus::InDoubt);
    queue.read(at(60), &reading(1, 1));
    go(queue.request_admission(at(61), ask("a", 1)));
}

#[test]
fn an_engine_back_with_another_version_is_judged_by_it() {
    let mut queue = engine(4);
    queue.read(at(10), &reading(2, 7));
    assert_eq!(
        reason(queue.request_admission(at(11), ask("a", 1))),
        Some(NotRun::NotNamed { held: version(7) })
    );
    // A late reading of its earlier life changes nothing.
    queue.read(at(9), &reading(1, 1));
    assert_eq!(queue.replica().status(), ReplicaStatus::Serving(version(7)));
}

#[test]
fn an_engine_past_the_staleness_bound_gets_no_work() {
    let mut queue = engine(4);
    assert_eq!(
        reason(queue.request_admission(at(1), ask("a", 3))),
        Some(NotRun::TooOld { held: version(1) })
    );
    go(queue.request_admission(at(1), ask("a", 2)));
}

#[test]
fn waiting_work_is_refused_when_the_target_turns_out_unfit() {
    let mut queue = engine(1);
    go(queue.request_admission(at(0), ask("a", 1)));
    let Admission::Queued(ticket) = queue.request_admission(at(0), ask("b", 1)) else {
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
fn a_leaving_engine_gets_no_work_until_a_new_life() {
    let mut queue = engine(4);
    queue.read(at(1), &ReplicaReading { leaving: true, ..reading(1, 1) });
    // A list that lags says that it stays, and an older reading comes late.
    queue.clear_leaving();
    queue.read(at(2), &reading(1, 1));
    assert_eq!(reason(queue.request_admission(at(3), ask("a", 1))), Some(NotRun::Leaving));
    queue.read(at(4), &reading(2, 1));
    go(queue.request_admission(at(5), ask("a", 1)));
}

#[test]
fn the_limit_is_exact() {
    let mut queue = engine(2);
    let first = go(queue.request_admission(at(0), ask("a", 1)));
    go(queue.request_admission(at(0), ask("a", 1)));
    let Admission::Queued(third) = queue.request_admission(at(0), ask("a", 1)) else {
        panic!("not queued")
    };
    assert!(queue.poll(at(1)).is_empty());
    queue.ended(first, TokenCount::new(10));
    assert_eq!(queue.poll(at(2)), [QueueEvent::Go(third)]);
    assert_eq!(queue.running(), 2);
}

#[test]
fn a_full_queue_refuses_at_once_and_says_when_to_come_back() {
    let mut queue = engine(1);
    go(queue.request_admission(at(0), ask("a", 1)));
    let admissions: Vec<Admission> =
        (0..3).map(|_| queue.request_admission(at(0), ask("a", 1))).collect();
    let Some(Admission::Refused(Refusal::NotRun { reason, retry_after })) = admissions.last()
    else {
        panic!("not refused: {admissions:?}");
    };
    assert_eq!(*reason, NotRun::Overloaded);
    assert!(*retry_after > Duration::ZERO);
}

#[test]
fn work_past_its_deadline_is_refused_as_not_run() {
    let mut queue = engine(1);
    go(queue.request_admission(at(0), ask("a", 1)));
    let late = AdmissionRequest { deadline: at(5), ..ask("a", 1) };
    let Admission::Queued(ticket) = queue.request_admission(at(0), late.clone()) else {
        panic!("not queued")
    };
    let expired = Refusal::not_run(NotRun::Expired, Duration::ZERO);
    assert_eq!(queue.poll(at(5)), [QueueEvent::Refused(ticket, expired)]);
    assert_eq!(reason(queue.request_admission(at(6), late)), Some(NotRun::Expired));
}

#[test]
fn no_trainer_starves_behind_another_with_longer_work() {
    let mut queue = engine(1);
    let mut served = [0_u32; 2];
    let mut running = go(queue.request_admission(at(0), ask("long", 1)));
    let mut holder = 0;
    for round in 1..200 {
        for trainer in ["long", "short"] {
            let _refused_when_full = queue.request_admission(at(round), ask(trainer, 1));
        }
        let tokens = if holder == 0 { 400 } else { 40 };
        served[holder] += tokens;
        queue.ended(running, TokenCount::new(tokens));
        let events = queue.poll(at(round));
        let Some(QueueEvent::Go(ticket)) = events.first().copied() else { panic!("{events:?}") };
        // The trainer charged next tells whose turn it was.
        holder = usize::from(queue.trainer_of(ticket).is_some_and(|t| t.as_str() == "short"));
        running = ticket;
    }
    let ratio = f64::from(served[0]) / f64::from(served[1]);
    assert!((0.7..=1.4).contains(&ratio), "tokens served: {served:?}");
}
