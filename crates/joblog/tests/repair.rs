//! Repair of sealed segments: which box pulls what, and when the plan names new holders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::arbtest;
use ids::{BoxId, FencingToken};
use joblog::{
    EpochId, RetryPause, SealedSegment, ShardPlan, StorageBox, incomplete_segments,
    missing_segments, order_partners, segment_sources, updated_plan,
};

/// Copies of each shard; the log survives the loss of all but one.
const COPIES: usize = 3;
/// Boxes of the simulated deployment.
const BOXES: usize = 6;

fn storage_box(number: usize) -> StorageBox {
    StorageBox {
        box_id: format!("box-{number}").parse().expect("valid id"),
        address: format!("127.0.0.1:{number}"),
        domain: format!("domain-{}", number % 2).parse().expect("valid domain"),
    }
}

fn boxes(numbers: &[usize]) -> Vec<StorageBox> {
    numbers.iter().map(|number| storage_box(*number)).collect()
}

fn token(number: u64) -> FencingToken {
    FencingToken::new(number)
}

fn epoch(number: u64) -> EpochId {
    EpochId { token: token(number), number, by: storage_box(0).box_id }
}

fn segment(number: u64, copies: &[usize]) -> SealedSegment {
    SealedSegment { epoch: epoch(number), len: 100, copies: boxes(copies) }
}

fn plan(copies: &[usize], sealed: &[(u64, &[usize])]) -> ShardPlan {
    let sealed = sealed.iter().map(|(number, copies)| segment(*number, copies)).collect();
    ShardPlan { epoch: epoch(9), copies: boxes(copies), sealed }
}

fn numbers(copies: &[StorageBox]) -> Vec<usize> {
    let ids = copies.iter().map(|copy| copy.box_id.as_str().replace("box-", ""));
    ids.map(|number| number.parse().expect("a number")).collect()
}

/// A deployment in which each step of a repair is made separately.
struct Deployment {
    plan: ShardPlan,
    /// Segments on the disk of each box; a box that is gone has no entry.
    disks: BTreeMap<BoxId, BTreeSet<FencingToken>>,
}

impl Deployment {
    /// All copies of `plan` hold the segments that name them.
    fn new(plan: ShardPlan) -> Self {
        let mut disks: BTreeMap<BoxId, BTreeSet<FencingToken>> =
            (0..BOXES).map(|number| (storage_box(number).box_id, BTreeSet::new())).collect();
        for segment in &plan.sealed {
            for copy in &segment.copies {
                disks.entry(copy.box_id.clone()).or_default().insert(segment.epoch.token);
            }
        }
        Self { plan, disks }
    }

    fn holds(&self, box_id: &BoxId, token: FencingToken) -> bool {
        self.disks.get(box_id).is_some_and(|disk| disk.contains(&token))
    }

    /// Lets a box pull its first missing segment. Returns whether it had one.
    fn pull(&mut self, number: usize) -> bool {
        let me = storage_box(number);
        let Some(held) = self.disks.get(&me.box_id) else { return false };
        let missing = missing_segments(&self.plan, &me.box_id, held);
        let Some(segment) = missing.first() else { return false };
        let sources = segment_sources(&self.plan, segment, &me, &[]);
        let token = segment.epoch.token;
        let found = sources.iter().any(|source| self.holds(&source.box_id, token));
        if found && let Some(disk) = self.disks.get_mut(&me.box_id) {
            disk.insert(token);
        }
        found
    }

    fn update_plan(&mut self) -> bool {
        let updated =
            updated_plan(&self.plan, Some(token(0)), |box_id, token| self.holds(box_id, token));
        let changed = updated.is_some();
        self.plan = updated.unwrap_or_else(|| self.plan.clone());
        changed
    }

    /// Replaces the copies under a new epoch whose predecessor is sealed.
    fn change_epoch(&mut self, copies: &[usize]) {
        let old = self.plan.clone();
        let sealed = SealedSegment { epoch: old.epoch.clone(), len: 100, copies: old.copies };
        for copy in &sealed.copies {
            if let Some(disk) = self.disks.get_mut(&copy.box_id) {
                disk.insert(sealed.epoch.token);
            }
        }
        self.plan.epoch = epoch(old.epoch.token.get() + 1);
        self.plan.copies = boxes(copies);
        self.plan.sealed.push(sealed);
    }

    fn repair(&mut self) {
        while (0..BOXES).any(|number| self.pull(number)) || self.update_plan() {}
    }

    fn is_complete(&self) -> bool {
        incomplete_segments(&self.plan, |box_id, token| self.holds(box_id, token)) == 0
    }
}

#[test]
fn a_replaced_box_is_filled_and_then_named() {
    let mut deployment = Deployment::new(plan(&[0, 1, 3], &[(2, &[0, 1, 2]), (5, &[0, 1, 2])]));
    deployment.disks.remove(&storage_box(2).box_id);
    assert!(!deployment.update_plan(), "box 3 holds nothing yet");
    assert!(deployment.pull(3));
    assert!(deployment.holds(&storage_box(3).box_id, token(2)), "the oldest segment comes first");
    assert!(deployment.update_plan());
    let copies: Vec<Vec<usize>> =
        deployment.plan.sealed.iter().map(|segment| numbers(&segment.copies)).collect();
    assert_eq!(copies, [vec![0, 1, 3], vec![0, 1, 2]], "one segment is complete");
    assert!(deployment.pull(3));
    assert!(!deployment.pull(3));
    assert!(deployment.update_plan());
    assert!(deployment.is_complete());
    assert!(!deployment.update_plan(), "nothing is left to write");
}

#[test]
fn two_lost_boxes_are_filled_from_the_last_one() {
    let mut deployment = Deployment::new(plan(&[0, 4, 5], &[(2, &[0, 1, 2])]));
    deployment.disks.remove(&storage_box(1).box_id);
    deployment.disks.remove(&storage_box(2).box_id);
    assert!(deployment.pull(4));
    assert!(!deployment.update_plan(), "box 5 holds nothing yet");
    deployment.repair();
    assert!(deployment.is_complete());
    assert_eq!(numbers(&deployment.plan.sealed[0].copies), [0, 4, 5]);
}

/// Guards against segments that stay on a single disk: the boxes that they name were lost after the
/// server had pulled them and before the other box of the plan had.
#[test]
fn segments_are_pulled_from_a_server_that_they_do_not_name() {
    let mut deployment = Deployment::new(plan(&[3, 4, 5], &[(2, &[0, 1, 2])]));
    deployment.disks.get_mut(&storage_box(3).box_id).expect("a disk").insert(token(2));
    for lost in 0..3 {
        deployment.disks.remove(&storage_box(lost).box_id);
    }
    deployment.repair();
    assert!(deployment.is_complete());
    assert_eq!(numbers(&deployment.plan.sealed[0].copies), [3, 4, 5]);
}

/// Guards against a retirement that is reported while the plan needs the retired box's disk.
#[test]
fn a_retired_box_is_named_until_its_segments_are_copied() {
    let mut deployment = Deployment::new(plan(&[0, 1, 3], &[(2, &[0, 1, 2])]));
    let retired = storage_box(2).box_id;
    let names_retired = |deployment: &Deployment| {
        let mut segments = deployment.plan.sealed.iter();
        segments.any(|segment| segment.copies.iter().any(|copy| copy.box_id == retired))
    };
    deployment.update_plan();
    assert!(names_retired(&deployment));
    deployment.repair();
    assert!(!names_retired(&deployment));
}

/// Guards against a plan that counts a disk which is empty again.
#[test]
fn a_box_wiped_during_its_pull_starts_again() {
    let mut deployment = Deployment::new(plan(&[0, 1, 3], &[(2, &[0, 1, 2]), (5, &[0, 1, 2])]));
    let new = storage_box(3).box_id;
    deployment.pull(3);
    deployment.disks.insert(new.clone(), BTreeSet::new());
    assert!(!deployment.update_plan(), "box 3 has lost what it pulled");
    deployment.repair();
    assert!(deployment.is_complete());
    assert!(deployment.holds(&new, token(2)) && deployment.holds(&new, token(5)));
}

#[test]
fn an_epoch_change_keeps_what_was_pulled() {
    let mut deployment = Deployment::new(plan(&[0, 1, 3], &[(2, &[0, 1, 2]), (5, &[0, 1, 2])]));
    deployment.pull(3);
    deployment.change_epoch(&[1, 3, 4]);
    let new = storage_box(3).box_id;
    let disk = deployment.disks[&new].clone();
    let missing = missing_segments(&deployment.plan, &new, &disk);
    let tokens: Vec<u64> = missing.iter().map(|segment| segment.epoch.token.get()).collect();
    assert_eq!(tokens, [5], "segment 2 was pulled, segment 9 was written here");
    deployment.repair();
    assert!(deployment.is_complete());
}

#[test]
fn only_boxes_of_the_plan_pull() {
    let plan = plan(&[0, 1, 2], &[(2, &[0, 1, 2])]);
    assert!(missing_segments(&plan, &storage_box(3).box_id, &BTreeSet::new()).is_empty());
}

/// Guards against bytes between domains, which are priced, and load on the server.
#[test]
fn sources_of_the_own_domain_come_first_and_the_server_last() {
    let plan = plan(&[0, 2, 4, 5], &[(2, &[0, 1, 2, 3])]);
    let sources = segment_sources(&plan, &plan.sealed[0], &storage_box(4), &[]);
    let sources: Vec<StorageBox> = sources.into_iter().cloned().collect();
    assert_eq!(numbers(&sources), [2, 0, 1, 3, 5], "box 5 is in the plan only");
    let failing = [storage_box(2).box_id, storage_box(0).box_id];
    let sources = segment_sources(&plan, &plan.sealed[0], &storage_box(4), &failing);
    let sources: Vec<StorageBox> = sources.into_iter().cloned().collect();
    assert_eq!(numbers(&sources), [1, 3, 5, 2, 0], "failing boxes are last");
    let sources = segment_sources(&plan, &plan.sealed[0], &storage_box(2), &[]);
    assert!(sources.iter().all(|source| source.box_id != storage_box(2).box_id));
}

/// Guards against segments of dropped jobs that keep a retired box in the plan, and against a write
/// to the store for each dropped segment.
#[test]
fn segments_of_dropped_jobs_are_left_out_of_the_next_plan() {
    let none_held = |_: &BoxId, _: FencingToken| false;
    let same_boxes = plan(&[0, 1, 2], &[(2, &[0, 1, 2]), (5, &[0, 1, 2])]);
    assert_eq!(updated_plan(&same_boxes, Some(token(5)), none_held), None, "not worth a write");
    let retired = plan(&[0, 1, 3], &[(2, &[0, 1, 2]), (5, &[0, 1, 3])]);
    let updated = updated_plan(&retired, Some(token(5)), none_held).expect("a change");
    assert_eq!(updated.sealed, [segment(5, &[0, 1, 3])]);
    assert_eq!((&updated.epoch, &updated.copies), (&retired.epoch, &retired.copies));
    let updated = updated_plan(&retired, None, none_held).expect("a change");
    assert!(updated.sealed.is_empty(), "without jobs no segment is needed");
}

#[test]
fn partners_with_all_segments_come_first() {
    let base = plan(&[0, 1, 2, 3], &[(2, &[0, 2]), (5, &[0, 1, 2, 3])]);
    let reported =
        |box_id: &BoxId, _: FencingToken| (*box_id == storage_box(3).box_id).then_some(true);
    let ordered = order_partners(&base, boxes(&[4, 1, 3, 2]), reported);
    assert_eq!(numbers(&ordered), [3, 2, 4, 1], "box 1 lacks segment 2, box 4 lacks all");
    let wiped =
        |box_id: &BoxId, _: FencingToken| (*box_id == storage_box(2).box_id).then_some(false);
    let ordered = order_partners(&base, boxes(&[1, 2, 0]), wiped);
    assert_eq!(numbers(&ordered), [0, 1, 2], "the plan still names the wiped box 2");
}

#[test]
fn pauses_double_up_to_a_limit() {
    let mut pause = RetryPause::default();
    let pauses: Vec<u128> = (0..5).map(|_| pause.record_failure().as_millis()).collect();
    assert_eq!(pauses, [500, 1_000, 2_000, 4_000, 4_000]);
    assert_eq!(RetryPause::default().record_failure(), Duration::from_millis(500));
}

/// Losses of up to two disks at any point of a repair, with changes of epoch in between, lose no
/// segment as long as each repair completes before the next losses.
#[test]
fn no_segment_is_lost_with_two_disks() {
    arbtest(|u| {
        let mut deployment = Deployment::new(plan(&[0, 1, 2], &[(2, &[0, 1, 2])]));
        for _ in 0..u.int_in_range(1..=6)? {
            for _ in 0..u.int_in_range(0..=6)? {
                if u.arbitrary()? {
                    deployment.pull(u.int_in_range(0..=BOXES - 1)?);
                } else {
                    deployment.update_plan();
                }
            }
            // A loss counts until the lost boxes are replaced in the plan and filled.
            let lost: BTreeSet<usize> = (0..u.int_in_range(0..=COPIES - 1)?)
                .map(|_| u.int_in_range(0..=BOXES - 1))
                .collect::<Result<_, _>>()?;
            for number in &lost {
                deployment.disks.insert(storage_box(*number).box_id, BTreeSet::new());
            }
            let kept = numbers(&deployment.plan.copies);
            let mut copies: Vec<usize> =
                kept.into_iter().filter(|number| !lost.contains(number)).collect();
            copies.extend((0..BOXES).filter(|number| !lost.contains(number)));
            let mut seen = BTreeSet::new();
            copies.retain(|number| seen.insert(*number));
            copies.truncate(COPIES);
            let wiped: Vec<BoxId> = lost.iter().map(|number| storage_box(*number).box_id).collect();
            deployment.change_epoch(&copies);
            for box_id in wiped {
                deployment.disks.insert(box_id, BTreeSet::new());
            }
            deployment.repair();
            assert!(deployment.is_complete(), "{:?}", deployment.plan);
            for segment in &deployment.plan.sealed {
                assert_eq!(numbers(&segment.copies).len(), COPIES);
            }
        }
        Ok(())
    });
}
