//! A change of epoch seals the committed prefix and copies only the tail; what it copies doesn't
//! depend on the size of the log.

use ids::{BoxId, FencingToken};
use joblog::{
    EpochId, EpochTakeover, LoadedLog, MAX_SEALED_SEGMENTS, MIN_SEALED_BYTES, PlanWriteOutcome,
    SealedSegment, SegmentContent, ShardPlan, StorageBox, TakeoverError, TakeoverStep,
    VersionedPlan,
};

const MB: u64 = 1 << 20;
const TAIL_BYTES: u64 = 1_000;

fn storage_box(name: &str) -> StorageBox {
    StorageBox {
        box_id: name.parse().expect("valid id"),
        address: "127.0.0.1:1".to_owned(),
        domain: "domain-1".parse().expect("valid domain"),
    }
}

fn boxes(names: [&str; 3]) -> Vec<StorageBox> {
    names.map(storage_box).into()
}

fn epoch(token: u64) -> EpochId {
    let by: BoxId = "a".parse().expect("valid id");
    EpochId { token: FencingToken::new(token), number: token, by }
}

fn sealed(token: u64, len: u64) -> SealedSegment {
    SealedSegment { epoch: epoch(token), len, copies: boxes(["a", "b", "c"]) }
}

fn versioned(token: u64, sealed: Vec<SealedSegment>) -> VersionedPlan {
    let plan = ShardPlan { epoch: epoch(token), copies: boxes(["a", "b", "c"]), sealed };
    VersionedPlan { revision: 7, plan }
}

fn loaded(token: u64, committed: u64, len: u64) -> LoadedLog {
    LoadedLog { epoch: epoch(token), committed, len }
}

/// Box b takes over from `plan` after it has read `log`; returns the takeover, ready to copy.
fn after_reading(
    plan: VersionedPlan,
    log: LoadedLog,
    oldest: Option<FencingToken>,
) -> EpochTakeover {
    let mut takeover = EpochTakeover::new(storage_box("b"), 99, None);
    assert_eq!(takeover.step(), TakeoverStep::ReadPlan);
    let segments = plan.plan.sealed.clone();
    takeover.plan_read(Ok(Some(plan)));
    if !segments.is_empty() {
        assert_eq!(takeover.step(), TakeoverStep::FetchSegments(segments.clone()));
        takeover.segments_fetched(true);
    }
    let read = TakeoverStep::CloseAndRead { epoch: log.epoch.clone(), sealed: segments };
    assert_eq!(takeover.step(), read);
    takeover.log_read(Some(log));
    takeover.set_partners(Some(vec![storage_box("c"), storage_box("d")]), oldest);
    takeover
}

fn content(takeover: &EpochTakeover) -> SegmentContent {
    match takeover.step() {
        TakeoverStep::Copy { content, .. } => content,
        step => panic!("expected a copy, got {step:?}"),
    }
}

fn plan_written(takeover: &mut EpochTakeover) -> ShardPlan {
    takeover.copies_written(true);
    match takeover.step() {
        TakeoverStep::WritePlan { base: Some(_), plan } => plan,
        step => panic!("expected a plan write, got {step:?}"),
    }
}

#[test]
fn what_a_takeover_copies_does_not_depend_on_the_size_of_the_log() {
    for log_bytes in [MB, 10 * MB, 100 * MB] {
        let log = loaded(2, log_bytes / 2, log_bytes / 2 + TAIL_BYTES);
        let plan = versioned(2, vec![sealed(1, log_bytes / 2)]);
        let mut takeover = after_reading(plan, log, Some(FencingToken::new(1)));
        let (from, until) = (log_bytes / 2, log_bytes / 2 + TAIL_BYTES);
        assert_eq!(content(&takeover), SegmentContent::Tail { of: epoch(2), from, until });
        let plan = plan_written(&mut takeover);
        assert_eq!(plan.sealed, [sealed(1, log_bytes / 2), sealed(2, log_bytes / 2)]);
        assert_eq!(plan.epoch.token, FencingToken::new(3));
    }
}

/// Guards against a server that copies bytes of a failed round, which it has not applied.
#[test]
fn a_server_that_changes_the_epoch_copies_nothing() {
    let mut takeover = EpochTakeover::new(storage_box("a"), 99, Some(loaded(2, MB, MB)));
    takeover.plan_read(Ok(Some(versioned(2, Vec::new()))));
    assert!(takeover.needs_partners(), "the log in memory is not read again");
    let partners = Some(vec![storage_box("c"), storage_box("d")]);
    takeover.set_partners(partners, Some(FencingToken::new(2)));
    assert_eq!(content(&takeover), SegmentContent::Empty);
    assert_eq!(plan_written(&mut takeover).sealed, [sealed(2, MB)]);
}

#[test]
fn a_short_prefix_is_copied_instead_of_sealed() {
    let log = loaded(2, MIN_SEALED_BYTES - 1, MIN_SEALED_BYTES + 5);
    let mut takeover = after_reading(versioned(2, Vec::new()), log, Some(FencingToken::new(2)));
    let until = MIN_SEALED_BYTES + 5;
    assert_eq!(content(&takeover), SegmentContent::Tail { of: epoch(2), from: 0, until });
    assert_eq!(plan_written(&mut takeover).sealed, []);
}

/// Guards against losing the log of the previous release, whose copies have no round markers.
#[test]
fn a_plan_and_a_copy_of_the_previous_release_are_taken_over() {
    let text = r#"{"epoch":"2.2.a","copies":[
        {"box_id":"a","address":"127.0.0.1:1","domain":"domain-1"},
        {"box_id":"b","address":"127.0.0.1:1","domain":"domain-1"},
        {"box_id":"c","address":"127.0.0.1:1","domain":"domain-1"}]}"#;
    let plan: ShardPlan = serde_json::from_str(text).expect("the plan is readable");
    let plan = VersionedPlan { revision: 7, plan };
    assert_eq!(plan, versioned(2, Vec::new()));
    let mut takeover = after_reading(plan, loaded(2, 0, 5 * MB), Some(FencingToken::new(2)));
    let all = SegmentContent::Tail { of: epoch(2), from: 0, until: 5 * MB };
    assert_eq!(content(&takeover), all);
    assert_eq!(plan_written(&mut takeover).sealed, []);
}

#[test]
fn segments_without_live_jobs_are_left_out_of_the_plan() {
    let plan = versioned(4, vec![sealed(1, MB), sealed(2, MB), sealed(3, MB)]);
    let mut takeover = after_reading(plan.clone(), loaded(4, MB, MB), Some(FencingToken::new(3)));
    assert_eq!(plan_written(&mut takeover).sealed, [sealed(3, MB), sealed(4, MB)]);
    let mut takeover = after_reading(plan, loaded(4, MB, MB), None);
    assert_eq!(plan_written(&mut takeover).sealed, [], "there are no jobs");
}

#[test]
fn too_many_segments_are_replaced_by_a_snapshot() {
    let count = MAX_SEALED_SEGMENTS as u64;
    for (last, content_expected) in
        [(count - 1, SegmentContent::Empty), (count, SegmentContent::Snapshot)]
    {
        let plan = versioned(last + 1, (1..=last).map(|token| sealed(token, MB)).collect());
        let log = loaded(last + 1, MB, MB);
        let mut takeover = after_reading(plan, log, Some(FencingToken::new(1)));
        assert_eq!(content(&takeover), content_expected);
        let kept = plan_written(&mut takeover).sealed.len();
        assert_eq!(kept, if content_expected == SegmentContent::Empty { 32 } else { 0 });
    }
}

/// Guards against sealing a tail that is on one copy only, after an attempt whose plan was not
/// written.
#[test]
fn a_retried_takeover_keeps_the_committed_length_and_the_tail() {
    let log = loaded(2, MB, MB + TAIL_BYTES);
    let plan = versioned(2, Vec::new());
    let mut takeover = after_reading(plan.clone(), log.clone(), Some(FencingToken::new(2)));
    takeover.copies_written(true);
    while let TakeoverStep::WritePlan { .. } = takeover.step() {
        takeover.plan_written(PlanWriteOutcome::NoAnswer);
    }
    assert_eq!(takeover.step(), TakeoverStep::Fail(TakeoverError::NoStore));
    let mut again = EpochTakeover::new(storage_box("b"), 100, Some(log));
    again.plan_read(Ok(Some(plan)));
    assert!(again.needs_partners(), "the copy is neither closed nor read again");
    let partners = Some(vec![storage_box("c"), storage_box("d")]);
    again.set_partners(partners, Some(FencingToken::new(2)));
    let tail = SegmentContent::Tail { of: epoch(2), from: MB, until: MB + TAIL_BYTES };
    assert_eq!(content(&again), tail);
    assert_eq!(plan_written(&mut again).sealed, [sealed(2, MB)]);
}

/// Guards against reading the log again, or giving up, because the lists of copies were updated
/// meanwhile.
#[test]
fn a_plan_rewritten_with_the_same_epoch_is_replaced_without_reading_again() {
    let plan = versioned(2, vec![sealed(1, MB)]);
    let mut takeover = after_reading(plan.clone(), loaded(2, MB, MB), Some(FencingToken::new(1)));
    plan_written(&mut takeover);
    takeover.plan_written(PlanWriteOutcome::Conflict);
    assert_eq!(takeover.step(), TakeoverStep::CheckPlan);
    let mut current = plan;
    current.revision = 8;
    current.plan.sealed[0].copies = boxes(["b", "c", "d"]);
    takeover.plan_read(Ok(Some(current.clone())));
    let TakeoverStep::WritePlan { base, plan } = takeover.step() else {
        panic!("the plan is written again, not {:?}", takeover.step());
    };
    assert_eq!(base, Some(8));
    assert_eq!(plan.sealed, [current.plan.sealed[0].clone(), sealed(2, MB)]);
}

#[test]
fn a_takeover_without_a_sealed_segment_fails() {
    let mut takeover = EpochTakeover::new(storage_box("b"), 99, None);
    takeover.plan_read(Ok(Some(versioned(2, vec![sealed(1, MB)]))));
    takeover.segments_fetched(false);
    assert_eq!(takeover.step(), TakeoverStep::Fail(TakeoverError::NoSegment));
}

/// A file may be deleted only if no later plan can name it.
#[test]
fn a_plan_excludes_files_that_no_later_plan_can_name() {
    let plan = versioned(5, vec![sealed(3, MB)]).plan;
    let rival = EpochId { number: 77, ..epoch(5) };
    for (of, excluded) in [
        (epoch(3), false),
        (epoch(4), true),
        (epoch(5), false),
        (rival, true),
        (epoch(6), false),
        (EpochId { number: 77, ..epoch(3) }, true),
    ] {
        assert_eq!(plan.excludes(&of), excluded, "{of}");
    }
}
