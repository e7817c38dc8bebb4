//! Single delivery: the ledger and the trainer's receiver, each tested on its own.

use std::sync::Arc;

use ids::{FencingToken, Generation, ModelVersion, SlotIndex, StepNumber, TargetId, TokenCount};
use ledger::{
    Assignment, GroupSpec, LedgerError, PoolRule, Pull, Sample, Settled, SlotSet, StepLedger,
    StepReceiver, StepSpec, VersionSpan,
};

const TOKEN: FencingToken = FencingToken::new(3);

fn spec(version: u64) -> StepSpec {
    let group = GroupSpec { prompt: "p".into(), samples: 4, max_tokens: TokenCount::new(64) };
    StepSpec {
        step: StepNumber::new(1),
        version: ModelVersion::new(version),
        groups: vec![group.clone(), group],
    }
}

fn rule(generation: u64, version: u64) -> PoolRule {
    PoolRule {
        generation: Generation::new(generation),
        version: ModelVersion::new(version),
        bound: 1,
    }
}

fn open(version: u64) -> StepLedger {
    StepLedger::open(spec(version), TOKEN, rule(1, version)).expect("valid spec")
}

fn sample(slot: SlotIndex, versions: &[u64], text: &str) -> Sample {
    let spans = versions.iter().map(|version| VersionSpan {
        version: ModelVersion::new(*version),
        tokens: TokenCount::new(8),
    });
    let engine: TargetId = "engine-1".parse().expect("valid target id");
    Sample { slot, spans: spans.collect(), text: text.to_owned(), score: None, engine }
}

fn pull(held: &SlotSet, seen: FencingToken) -> Pull {
    Pull { held: held.clone(), seen, max_samples: 100 }
}

fn next(ledger: &mut StepLedger) -> Assignment {
    ledger.assign().expect("a wanted slot")
}

#[test]
fn a_repeated_pull_returns_the_same_sample() {
    let mut ledger = open(1);
    let assignment = next(&mut ledger);
    assert_eq!(
        ledger.finished(assignment.attempt, sample(assignment.slot, &[1], "a")),
        Settled::Kept
    );
    let first = ledger.pull(&pull(&SlotSet::default(), TOKEN)).expect("pull succeeds");
    let again = ledger.pull(&pull(&SlotSet::default(), TOKEN)).expect("pull succeeds");
    assert_eq!(first.samples, again.samples);
    assert!(Arc::ptr_eq(&first.samples[0], &again.samples[0]));
}

#[test]
fn a_held_slot_is_not_assigned_again() {
    let mut ledger = open(1);
    let held: SlotSet = (0..8).map(SlotIndex::new).collect();
    ledger.pull(&pull(&held, TOKEN)).expect("pull succeeds");
    assert_eq!(ledger.assign(), None);
    assert!(ledger.is_complete());
}

#[test]
fn a_late_attempt_does_not_replace_a_newer_one() {
    let mut ledger = open(1);
    let first = next(&mut ledger);
    ledger.failed(first.slot, first.attempt, true);
    let second = next(&mut ledger);
    assert_eq!(second.slot, first.slot);
    assert_eq!(
        ledger.finished(first.attempt, sample(first.slot, &[1], "late")),
        Settled::Superseded
    );
    assert_eq!(ledger.finished(second.attempt, sample(first.slot, &[1], "b")), Settled::Kept);
    assert_eq!(ledger.finished(second.attempt, sample(first.slot, &[1], "c")), Settled::Superseded);
}

#[test]
fn a_ledger_with_a_lower_token_refuses_a_pull() {
    let mut ledger = open(1);
    let refused = ledger.pull(&pull(&SlotSet::default(), TOKEN.next()));
    assert!(matches!(refused, Err(LedgerError::Superseded { .. })));
}

#[test]
fn reopening_accepts_the_same_body_and_refuses_another() {
    let ledger = open(1);
    assert_eq!(ledger.reopen(&spec(1)), Ok(()));
    let mut other = spec(1);
    other.groups[1].prompt = "q".into();
    assert!(matches!(ledger.reopen(&other), Err(LedgerError::OtherBody { .. })));
}

#[test]
fn a_slot_of_another_step_is_refused() {
    let mut ledger = open(1);
    let held: SlotSet = [SlotIndex::new(8)].into_iter().collect();
    let refused = ledger.pull(&pull(&held, TOKEN));
    assert!(matches!(refused, Err(LedgerError::NoSuchSlot { .. })));
}

#[test]
fn a_sample_too_old_when_it_ends_is_assigned_again() {
    let mut ledger = open(1);
    let assignment = next(&mut ledger);
    ledger.set_trainer_version(ModelVersion::new(3));
    assert_eq!(
        ledger.finished(assignment.attempt, sample(assignment.slot, &[1, 3], "a")),
        Settled::TooOld
    );
    assert_eq!(next(&mut ledger).slot, assignment.slot);
}

#[test]
fn a_ready_sample_that_became_too_old_is_assigned_again() {
    let mut ledger = open(1);
    let assignment = next(&mut ledger);
    ledger.finished(assignment.attempt, sample(assignment.slot, &[1], "a"));
    ledger.set_pool_rule(rule(2, 3));
    let batch = ledger.pull(&pull(&SlotSet::default(), TOKEN)).expect("pull succeeds");
    assert!(batch.samples.is_empty());
    assert_eq!(next(&mut ledger).slot, assignment.slot);
}

#[test]
fn a_sample_ahead_of_the_named_version_is_not_delivered() {
    let mut ledger = open(1);
    let assignment = next(&mut ledger);
    ledger.finished(assignment.attempt, sample(assignment.slot, &[1, 2], "a"));
    let held = SlotSet::default();
    assert!(ledger.pull(&pull(&held, TOKEN)).expect("pull succeeds").samples.is_empty());
    ledger.set_pool_rule(rule(2, 2));
    assert_eq!(ledger.pull(&pull(&held, TOKEN)).expect("pull succeeds").samples.len(), 1);
}

#[test]
fn a_rollback_is_applied_and_an_older_generation_is_ignored() {
    let mut ledger = open(1);
    ledger.set_pool_rule(rule(2, 5));
    ledger.set_pool_rule(rule(3, 2));
    assert_eq!(ledger.window().named, ModelVersion::new(2));
    ledger.set_pool_rule(rule(2, 5));
    assert_eq!(ledger.window().named, ModelVersion::new(2));
}

#[test]
fn a_successor_restores_finished_and_held_slots() {
    let mut ledger = open(1);
    let (first, second) = (next(&mut ledger), next(&mut ledger));
    ledger.finished(first.attempt, sample(first.slot, &[1], "a"));
    ledger.finished(second.attempt, sample(second.slot, &[1], "b"));
    let held: SlotSet = [first.slot].into_iter().collect();
    ledger.pull(&pull(&held, TOKEN)).expect("pull succeeds");
    let resumed = StepLedger::resume(ledger.snapshot(), TOKEN.next(), rule(1, 1));
    let mut resumed = resumed.expect("valid snapshot");
    let batch = resumed.pull(&pull(&held, TOKEN.next())).expect("pull succeeds");
    assert_eq!(batch.samples.iter().map(|s| s.text.as_str()).collect::<Vec<_>>(), ["b"]);
    let assigned: Vec<SlotIndex> =
        std::iter::from_fn(|| resumed.assign()).map(|w| w.slot).collect();
    assert!(
        !assigned.contains(&first.slot) && !assigned.contains(&second.slot) && assigned.len() == 6
    );
}

#[test]
fn the_receiver_accepts_each_slot_once_and_nothing_stale() {
    let mut receiver = StepReceiver::new(spec(2));
    let slot = SlotIndex::new(0);
    let accepted = receiver.accept(TOKEN, rule(1, 2), vec![sample(slot, &[2], "a")]);
    assert_eq!(accepted.expect("token is accepted").accepted.len(), 1);
    let again = receiver.accept(TOKEN, rule(1, 2), vec![sample(slot, &[2], "b")]);
    assert_eq!(again.expect("token is accepted").duplicates, 1);
    let old = vec![sample(SlotIndex::new(1), &[2], "c"), sample(SlotIndex::new(9), &[4], "d")];
    let late = receiver.accept(TOKEN, rule(2, 4), old).expect("token is accepted");
    assert_eq!((late.stale, late.unknown_slots, late.accepted.len()), (1, 1, 0));
}

#[test]
fn the_receiver_refuses_a_response_with_a_lower_token() {
    let mut receiver = StepReceiver::new(spec(1));
    let slot = SlotIndex::new(0);
    receiver.accept(TOKEN.next(), rule(1, 1), Vec::new()).expect("token is accepted");
    let refused = receiver.accept(TOKEN, rule(1, 1), vec![sample(slot, &[1], "a")]);
    refused.unwrap_err();
    assert!(receiver.held().is_empty());
}
