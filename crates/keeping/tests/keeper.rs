//! Keepers: claiming and releasing the lease, acting without one, and limits.

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
        name: "layout".parse().expect("valid id"),
        version: ModelVersion::new(version),
        staleness_bound: 1,
        favours: PoolObjective::Staleness,
        trainers: vec!["press-1".parse().expect("valid id")],
        engines: vec!["engine-1".parse().expect("valid id")],
        scorers: Vec::new(),
        limits: PoolLimits { per_engine: 4, per_trainer: 2 },
        swap: SwapPolicy::AllAtOnce,
    }
}

fn keeper(me: &str) -> StepKeeper<ChaCha8Rng> {
    let settings = KeeperSettings {
        me: me.parse().expect("valid id"),
        incarnation: Incarnation::new(1),
        address: me.to_owned(),
        term: TERM,
        pool: "layout".parse().expect("valid id"),
        trainer: "press-1".parse().expect("valid id"),
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
        holder: "box-9".parse().expect("valid id"),
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

/// Lets the keeper acquire a free lease.
fn acquire_lease(keeper: &mut StepKeeper<ChaCha8Rng>, now: Moment) {
    assert_eq!(keeper.poll(now), [KeeperAction::Lease(LeaseAction::Read)]);
    keeper.lease_read(now, ReadOutcome::Absent);
    keeper.poll(now);
    keeper.lease_written(now, WriteOutcome::Applied(ObjectVersion::new(1)));
    assert_eq!(keeper.acting_token(), Some(FencingToken::new(1)));
}

#[test]
fn a_single_stale_request_does_not_start_a_second_keeper() {
    let mut keeper = keeper("box-1");
    keeper.poll(at(0));
    keeper.lease_read(at(0), held_by_other(2, 1));
    // A delayed request, after which the platform becomes unavailable.
    keeper.pull(at(1), StepNumber::new(1), &pull(2)).unwrap_err();
    for millis in (100..10_000).step_by(100) {
        for action in keeper.poll(at(millis)) {
            if action == KeeperAction::Lease(LeaseAction::Read) {
                keeper.lease_read(at(millis), ReadOutcome::NoAnswer);
            }
        }
        assert_eq!(keeper.acting_token(), None, "acts without a lease at {millis} ms");
    }
}

/// Guards against a second keeper beside one that acts: a platform that returns a broken record is
/// not unavailable.
#[test]
fn requests_do_not_start_a_second_keeper_early_while_the_record_is_broken() {
    let mut keeper = keeper("box-1");
    for millis in (0..5_000).step_by(100) {
        let _refused = keeper.pull(at(millis), StepNumber::new(1), &pull(2));
        for action in keeper.poll(at(millis)) {
            if action == KeeperAction::Lease(LeaseAction::Read) {
                keeper.lease_read(at(millis), ReadOutcome::Unreadable);
            }
        }
        assert_eq!(keeper.acting_token(), None, "acts without a lease at {millis} ms");
    }
}

/// Guards against a second keeper beside one that acts: while a claim is idle it reads nothing, so
/// the platform is not unavailable just because it has not responded for long.
#[test]
fn a_single_request_to_an_idle_keeper_does_not_start_it_without_a_lease() {
    let mut keeper = keeper("box-1");
    for millis in (0..20_000).step_by(100) {
        if millis == 10_000 {
            keeper.pull(at(millis), StepNumber::new(1), &pull(2)).unwrap_err();
        }
        for action in keeper.poll(at(millis)) {
            if action == KeeperAction::Lease(LeaseAction::Read) {
                keeper.lease_read(at(millis), held_by_other(2, millis + 1));
            }
        }
        assert_eq!(keeper.acting_token(), None, "acts without a lease at {millis} ms");
    }
}

#[test]
fn repeated_requests_are_served_while_the_platform_is_unavailable() {
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
fn a_keeper_acts_beyond_its_lease_until_it_observes_a_higher_token() {
    let mut keeper = keeper("box-1");
    acquire_lease(&mut keeper, at(0));
    keeper.open(at(1), spec(1), &SlotSet::default(), FencingToken::default()).expect("step opens");
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
fn an_older_generation_does_not_revert_the_pool() {
    let mut keeper = keeper("box-1");
    acquire_lease(&mut keeper, at(0));
    keeper.open(at(1), spec(1), &SlotSet::default(), FencingToken::default()).expect("step opens");
    keeper.pool_changed(Generation::new(3), Some(pool(3)));
    keeper.pool_changed(Generation::new(2), Some(pool(2)));
    let state = keeper.state(StepNumber::new(1)).expect("step is open");
    assert_eq!(state.named, ModelVersion::new(3));
}

#[test]
fn attempts_in_flight_are_limited_per_trainer() {
    let mut keeper = keeper("box-1");
    acquire_lease(&mut keeper, at(0));
    keeper.open(at(1), spec(1), &SlotSet::default(), FencingToken::default()).expect("step opens");
    let started = keeper.poll(at(2)).into_iter();
    let started = started.filter(|action| matches!(action, KeeperAction::Start(_))).count();
    assert_eq!((started, keeper.in_flight()), (2, 2));
}

#[test]
fn too_many_open_steps_are_refused() {
    let mut keeper = keeper("box-1");
    acquire_lease(&mut keeper, at(0));
    let mut open =
        |step| keeper.open(at(1), spec(step), &SlotSet::default(), FencingToken::default());
    for step in 1..=3 {
        open(step).expect("step opens");
    }
    assert!(matches!(open(4), Err(KeeperRefusal::TooManySteps { open: 3 })));
    open(2).unwrap();
}

/// Guards against a lost step: a refused open must leave the step that the previous keeper handed
/// over.
#[test]
fn a_refused_open_keeps_the_handed_over_step() {
    let mut previous = keeper("box-9");
    acquire_lease(&mut previous, at(0));
    let opened = previous.open(at(1), spec(4), &SlotSet::default(), FencingToken::default());
    opened.expect("step opens");
    let placed = previous.poll(at(2)).into_iter().find_map(|action| match action {
        KeeperAction::Start(placement) => Some(placement),
        KeeperAction::Lease(_) => None,
    });
    let placement = placed.expect("an attempt starts");
    let span = VersionSpan { version: ModelVersion::new(1), tokens: TokenCount::new(8) };
    let sample = Sample {
        slot: placement.assignment.slot,
        spans: vec![span],
        text: "x".to_owned(),
        score: None,
        engine: placement.target.clone(),
    };
    previous.attempt_ended(at(3), &placement, AttemptOutcome::Completed(sample), None);
    let (snapshots, _release) = previous.hand_over(at(4));

    let mut keeper = keeper("box-1");
    acquire_lease(&mut keeper, at(0));
    let open = |keeper: &mut StepKeeper<ChaCha8Rng>, step| {
        keeper.open(at(5), spec(step), &SlotSet::default(), FencingToken::default())
    };
    for step in 1..=3 {
        open(&mut keeper, step).expect("step opens");
    }
    keeper.adopt(at(5), snapshots, FencingToken::new(1));
    assert!(matches!(open(&mut keeper, 4), Err(KeeperRefusal::TooManySteps { open: 3 })));
    keeper.close(at(6), StepNumber::new(1), FencingToken::default()).expect("step closes");
    open(&mut keeper, 4).expect("step opens");
    let (batch, _) = keeper.pull(at(7), StepNumber::new(4), &pull(1)).expect("pull succeeds");
    assert_eq!(batch.samples.len(), 1, "the sample of the previous keeper");
}

#[test]
fn no_attempts_start_while_the_trainer_does_not_pull() {
    const SAMPLE_BYTES: usize = 20 << 20;
    let mut keeper = keeper("box-1");
    acquire_lease(&mut keeper, at(0));
    keeper.open(at(1), spec(1), &SlotSet::default(), FencingToken::default()).expect("step opens");
    let mut now = 2;
    let mut completed = 0;
    let mut run_attempts = |keeper: &mut StepKeeper<ChaCha8Rng>, now: &mut u64| loop {
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
            return completed;
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
            completed += 1;
            keeper.attempt_ended(at(*now), &placement, AttemptOutcome::Completed(sample), None);
        }
    };
    // The trainer's limit is two attempts; the waiting samples block the third and fourth.
    assert_eq!(run_attempts(&mut keeper, &mut now), 2);
    let (batch, _) = keeper.pull(at(now), StepNumber::new(1), &pull(1)).expect("pull succeeds");
    let held: SlotSet = batch.samples.iter().map(|sample| sample.slot).collect();
    let next = Pull { held, ..pull(1) };
    keeper.pull(at(now), StepNumber::new(1), &next).expect("pull succeeds");
    assert_eq!(run_attempts(&mut keeper, &mut now), 4);
}

/// Counts the reads and writes of a keeper's lease from `from` to `to`, in milliseconds. Reads
/// return `found`.
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
fn a_keeper_without_requests_does_not_access_the_lease() {
    let mut keeper = keeper("box-1");
    let refused = keeper.pull(at(0), StepNumber::new(1), &pull(0));
    assert!(matches!(refused, Err(KeeperRefusal::NotKeeping { .. })));
    // Another box holds and renews the lease, so this one does not acquire it.
    for second in 0..5 {
        lease_calls(&mut keeper, second * 1_000, second * 1_000 + 1_000, &held_by_other(2, second));
    }
    let later = lease_calls(&mut keeper, 5_000, 65_000, &held_by_other(2, 9));
    assert_eq!(later, (0, 0), "reads and writes in a minute");
    // The next request makes it read the lease again.
    keeper.pull(at(65_000), StepNumber::new(1), &pull(2)).expect_err("not the keeper yet");
    let (reads, _) = lease_calls(&mut keeper, 65_000, 65_200, &held_by_other(2, 9));
    assert!(reads > 0);
}

#[test]
fn a_keeper_without_steps_releases_its_lease_until_the_next_request() {
    let mut keeper = keeper("box-1");
    acquire_lease(&mut keeper, at(0));
    keeper.open(at(1), spec(1), &SlotSet::default(), FencingToken::default()).expect("step opens");
    lease_calls(&mut keeper, 2, 40_000, &ReadOutcome::Absent);
    assert_eq!(keeper.acting_token(), Some(FencingToken::new(1)), "a step is open");
    keeper.close(at(40_000), StepNumber::new(1), FencingToken::new(1)).expect("step closes");
    lease_calls(&mut keeper, 40_000, 80_000, &ReadOutcome::Absent);
    assert_eq!(keeper.acting_token(), None);
    let idle = lease_calls(&mut keeper, 80_000, 140_000, &ReadOutcome::Absent);
    assert_eq!(idle, (0, 0), "reads and writes in a minute");
    keeper.pull(at(140_000), StepNumber::new(2), &pull(1)).expect_err("not the keeper yet");
    lease_calls(&mut keeper, 140_000, 141_000, &ReadOutcome::Absent);
    assert_eq!(keeper.acting_token(), Some(FencingToken::new(2)));
}

/// Guards against a trainer that is never served because lease writes take longer than the term.
#[test]
fn a_keeper_acts_without_a_lease_if_the_platform_is_too_slow() {
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
    assert!(acting.is_some(), "no box keeps the step");
}
