//! Keepers beside the sessions: what a stale question or a lagging box must not do.

use std::time::Duration;

use coord::lease::{LeaseAction, LeaseRecord, ReadOutcome, VersionedLease, WriteOutcome};
use ids::{
    FencingToken, Generation, Incarnation, ModelVersion, Moment, ObjectVersion, StepNumber,
    TokenCount,
};
use keeping::{AttemptOutcome, KeeperAction, KeeperRefusal, KeeperSettings, Placement, StepKeeper};
use ledger::{GroupSpec, Pull, Sample, SlotSet, StepSpec, VersionSpan};
use pools::{PoolLimits, PoolObjective, PoolSpec, SwapPolicy};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const TERM: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

fn pool(version: u64) -> PoolSpec {
    PoolSpec {
        name: "layout".parse().expect("an id"),
        version: ModelVersion::new(version),
        staleness_bound: 1,
        favours: PoolObjective::Staleness,
        trainers: vec!["press-1".parse().expect("an id")],
        engines: vec!["engine-1".parse().expect("an id")],
        scorers: Vec::new(),
        limits: PoolLimits { per_engine: 4, per_trainer: 2 },
        swap: SwapPolicy::AllAtOnce,
    }
}

fn keeper(me: &str) -> StepKeeper<ChaCha8Rng> {
    let settings = KeeperSettings {
        me: me.parse().expect("an id"),
        incarnation: Incarnation::new(1),
        address: me.to_owned(),
        term: TERM,
        pool: "layout".parse().expect("an id"),
        trainer: "press-1".parse().expect("an id"),
    };
    let mut keeper = StepKeeper::new(Moment::START, settings, ChaCha8Rng::seed_from_u64(1));
    keeper.pool_changed(Generation::new(1), Some(pool(1)));
    keeper
}

fn spec(step: u64) -> StepSpec {
    let group = GroupSpec { prompt: "p".into(), samples: 4, max_tokens: TokenCount::new(8) };
    StepSpec { step: StepNumber::new(step), version: ModelVersion::new(1), groups: vec![group] }
}

fn pull(seen: u64) -> Pull {
    Pull { held: SlotSet::default(), seen: FencingToken::new(seen), max_samples: 4 }
}

fn held_by_other(token: u64, version: u64) -> ReadOutcome {
    let record = LeaseRecord {
        holder: "box-9".parse().expect("an id"),
        incarnation: Incarnation::new(1),
        token: FencingToken::new(token),
        address: "box-9".to_owned(),
        term_ms: 1_000,
        write: 1,
        released: false,
        quiet_ms: 0,
    };
    ReadOutcome::Found(VersionedLease { version: ObjectVersion::new(version), record })
}

/// Lets the keeper take a lease that nobody holds.
fn take_lease(keeper: &mut StepKeeper<ChaCha8Rng>, now: Moment) {
    assert_eq!(keeper.poll(now), [KeeperAction::Lease(LeaseAction::Read)]);
    keeper.lease_read(now, ReadOutcome::Absent);
    keeper.poll(now);
    keeper.lease_written(now, WriteOutcome::Applied(ObjectVersion::new(1)));
    assert_eq!(keeper.acting_token(), Some(FencingToken::new(1)));
}

#[test]
fn one_stale_question_does_not_start_a_second_keeper() {
    let mut keeper = keeper("box-1");
    keeper.poll(at(0));
    keeper.lease_read(at(0), held_by_other(2, 1));
    // A question that had waited in a frozen box; then the platform goes away.
    keeper.pull(at(1), StepNumber::new(1), &pull(2)).unwrap_err();
    for millis in (100..10_000).step_by(100) {
        for action in keeper.poll(at(millis)) {
            if action == KeeperAction::Lease(LeaseAction::Read) {
                keeper.lease_read(at(millis), ReadOutcome::NoAnswer);
            }
        }
        assert_eq!(keeper.acting_token(), None, "detached at {millis} ms");
    }
}

#[test]
fn a_trainer_that_keeps_asking_is_served_without_the_platform() {
    let mut keeper = keeper("box-1");
    let mut acting = None;
    for millis in (0..10_000).step_by(100) {
        let _refused = keeper.pull(at(millis), StepNumber::new(1), &pull(4));
        for action in keeper.poll(at(millis)) {
            if action == KeeperAction::Lease(LeaseAction::Read) {
                keeper.lease_read(at(millis), ReadOutcome::NoAnswer);
            }
        }
        acting = acting.or(keeper.acting_token());
    }
    assert_eq!(acting, Some(FencingToken::new(5)));
}

#[test]
fn a_keeper_goes_on_when_the_platform_is_away_and_stops_for_a_higher_token() {
    let mut keeper = keeper("box-1");
    take_lease(&mut keeper, at(0));
    keeper.open(at(1), spec(1), &SlotSet::default(), FencingToken::default()).expect("open");
    for millis in (100..20_000).step_by(100) {
        for action in keeper.poll(at(millis)) {
            if let KeeperAction::Lease(LeaseAction::Write { .. }) = action {
                keeper.lease_written(at(millis), WriteOutcome::NotApplied);
            }
        }
    }
    assert_eq!(keeper.acting_token(), Some(FencingToken::new(1)));
    keeper.pull(at(20_001), StepNumber::new(1), &pull(1)).unwrap();
    keeper.pull(at(20_002), StepNumber::new(1), &pull(2)).unwrap_err();
    assert_eq!(keeper.acting_token(), None);
}

#[test]
fn an_older_generation_does_not_take_the_pool_back() {
    let mut keeper = keeper("box-1");
    take_lease(&mut keeper, at(0));
    keeper.open(at(1), spec(1), &SlotSet::default(), FencingToken::default()).expect("open");
    keeper.pool_changed(Generation::new(3), Some(pool(3)));
    keeper.pool_changed(Generation::new(2), Some(pool(2)));
    let state = keeper.state(StepNumber::new(1)).expect("it is open");
    assert_eq!(state.named, ModelVersion::new(3));
}

#[test]
fn limits_on_a_trainer_hold() {
    let mut keeper = keeper("box-1");
    take_lease(&mut keeper, at(0));
    keeper.open(at(1), spec(1), &SlotSet::default(), FencingToken::default()).expect("open");
    let started = keeper.poll(at(2)).into_iter();
    let started = started.filter(|action| matches!(action, KeeperAction::Start(_))).count();
    assert_eq!((started, keeper.in_flight()), (2, 2));
}

#[test]
fn steps_opened_without_end_are_refused() {
    let mut keeper = keeper("box-1");
    take_lease(&mut keeper, at(0));
    let mut open =
        |step| keeper.open(at(1), spec(step), &SlotSet::default(), FencingToken::default());
    for step in 1..=3 {
        open(step).expect("open");
    }
    assert!(matches!(open(4), Err(KeeperRefusal::TooManySteps { open: 3 })));
    open(2).unwrap();
}

#[test]
fn work_stops_while_its_trainer_does_not_pull_and_goes_on_when_it_does() {
    const SAMPLE_BYTES: usize = 20 << 20;
    let mut keeper = keeper("box-1");
    take_lease(&mut keeper, at(0));
    keeper.open(at(1), spec(1), &SlotSet::default(), FencingToken::default()).expect("open");
    let mut now = 2;
    let mut made = 0;
    let mut work = |keeper: &mut StepKeeper<ChaCha8Rng>, now: &mut u64| loop {
        let actions = keeper.poll(at(*now));
        *now += 1;
        let started: Vec<Placement> = actions
            .into_iter()
            .filter_map(|action| match action {
                KeeperAction::Start(placement) => Some(placement),
                KeeperAction::Lease(_) => None,
            })
            .collect();
        if started.is_empty() {
            return made;
        }
        for placement in started {
            let span = VersionSpan { version: ModelVersion::new(1), tokens: TokenCount::new(8) };
            let sample = Sample {
                slot: placement.assignment.slot,
                spans: vec![span],
                text: "x".repeat(SAMPLE_BYTES),
                score: None,
                engine: placement.target.clone(),
            };
            made += 1;
            keeper.attempt_ended(at(*now), &placement, AttemptOutcome::Completed(sample), None);
        }
    };
    // Two at a time, by the trainer's limit; the third and fourth must wait.
    assert_eq!(work(&mut keeper, &mut now), 2);
    let (out, _) = keeper.pull(at(now), StepNumber::new(1), &pull(1)).expect("a pull");
    let held: SlotSet = out.samples.iter().map(|sample| sample.slot).collect();
    let next = Pull { held, ..pull(1) };
    keeper.pull(at(now), StepNumber::new(1), &next).expect("a pull");
    assert_eq!(work(&mut keeper, &mut now), 4);
}

/// Counts the lease calls of a keeper over a stretch of time; reads find `found`.
fn lease_calls(
    keeper: &mut StepKeeper<ChaCha8Rng>,
    from: u64,
    to: u64,
    found: &ReadOutcome,
) -> (u32, u32) {
    let (mut reads, mut writes) = (0, 0);
    for millis in (from..to).step_by(50) {
        for action in keeper.poll(at(millis)) {
            match action {
                KeeperAction::Lease(LeaseAction::Read) => {
                    reads += 1;
                    keeper.lease_read(at(millis), found.clone());
                }
                KeeperAction::Lease(LeaseAction::Write { .. }) => {
                    writes += 1;
                    let version = ObjectVersion::new(u64::from(writes) + 1);
                    keeper.lease_written(at(millis), WriteOutcome::Applied(version));
                }
                KeeperAction::Start(_) => {}
            }
        }
    }
    (reads, writes)
}

#[test]
fn a_box_that_nobody_asks_any_more_leaves_the_lease_alone() {
    let mut keeper = keeper("box-1");
    let refused = keeper.pull(at(0), StepNumber::new(1), &pull(0));
    assert!(matches!(refused, Err(KeeperRefusal::NotKeeping { .. })));
    // Another box holds the lease and renews it, so this one never takes it.
    for second in 0..5 {
        lease_calls(&mut keeper, second * 1_000, second * 1_000 + 1_000, &held_by_other(2, second));
    }
    let later = lease_calls(&mut keeper, 5_000, 65_000, &held_by_other(2, 9));
    assert_eq!(later, (0, 0), "reads and writes in a minute");
    // Asked again, it looks again.
    keeper.pull(at(65_000), StepNumber::new(1), &pull(2)).expect_err("not yet");
    let (reads, _) = lease_calls(&mut keeper, 65_000, 65_200, &held_by_other(2, 9));
    assert!(reads > 0);
}

#[test]
fn a_keeper_without_steps_frees_its_lease_and_takes_it_again_when_asked() {
    let mut keeper = keeper("box-1");
    take_lease(&mut keeper, at(0));
    keeper.open(at(1), spec(1), &SlotSet::default(), FencingToken::default()).expect("open");
    lease_calls(&mut keeper, 2, 40_000, &ReadOutcome::Absent);
    assert_eq!(keeper.acting_token(), Some(FencingToken::new(1)), "its step is open");
    keeper.close(at(40_000), StepNumber::new(1), FencingToken::new(1)).expect("closed");
    lease_calls(&mut keeper, 40_000, 80_000, &ReadOutcome::Absent);
    assert_eq!(keeper.acting_token(), None);
    let rest = lease_calls(&mut keeper, 80_000, 140_000, &ReadOutcome::Absent);
    assert_eq!(rest, (0, 0), "reads and writes in a minute");
    keeper.pull(at(140_000), StepNumber::new(2), &pull(1)).expect_err("not yet");
    lease_calls(&mut keeper, 140_000, 141_000, &ReadOutcome::Absent);
    assert_eq!(keeper.acting_token(), Some(FencingToken::new(2)));
}

/// Reads are answered, but each write's answer takes longer than the lease's term.
#[test]
fn a_platform_slower_than_the_term_does_not_keep_the_trainer_waiting() {
    let mut keeper = keeper("box-1");
    let mut due: Option<(u64, ObjectVersion)> = None;
    let mut acting = None;
    for millis in (0..12_000).step_by(50) {
        keeper.pull(at(millis), StepNumber::new(1), &pull(0)).err();
        if let Some((_, version)) = due.take_if(|(when, _)| *when <= millis) {
            keeper.lease_written(at(millis), WriteOutcome::Applied(version));
        }
        for action in keeper.poll(at(millis)) {
            match action {
                KeeperAction::Lease(LeaseAction::Read) => {
                    keeper.lease_read(at(millis), ReadOutcome::Absent);
                }
                KeeperAction::Lease(LeaseAction::Write { .. }) => {
                    due = Some((millis + 1_500, ObjectVersion::new(millis + 1)));
                }
                KeeperAction::Start(_) => {}
            }
        }
        acting = acting.or(keeper.acting_token());
    }
    assert!(acting.is_some(), "nobody keeps the step");
}
