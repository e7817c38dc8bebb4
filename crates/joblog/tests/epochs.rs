//! Acknowledged records survive crashes, lost disks, incomplete writes, pauses and lost responses
//! in any order, with several boxes attempting a takeover at the same time.
//!
//! The boxes run the real [`EpochTakeover`], one step at a time in random order, so a box may pause
//! for a long time. The copies and the store are models that inject faults.

use std::collections::{HashMap, HashSet};

use ids::{BoxId, ShardIndex};
use joblog::{
    EpochId, EpochTakeover, PlanWriteOutcome, ShardPlan, StorageBox, TakeoverStep, VersionedPlan,
    choose_partners,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BOXES: usize = 4;
const COPIES: usize = 2;
const ACTIONS: usize = 900;
const SEEDS: u64 = 10_000;

#[derive(Default)]
struct Store {
    plan: Option<VersionedPlan>,
    revision: u64,
    /// Writes whose response was lost, applied later if their condition still holds.
    late: Vec<(Option<u64>, ShardPlan)>,
}

impl Store {
    fn write(&mut self, base: Option<u64>, plan: &ShardPlan) -> PlanWriteOutcome {
        if self.plan.as_ref().map(|read| read.revision) != base {
            return PlanWriteOutcome::Conflict;
        }
        self.revision += 1;
        self.plan = Some(VersionedPlan { revision: self.revision, plan: plan.clone() });
        PlanWriteOutcome::Done(self.revision)
    }
}

#[derive(Default)]
struct Box {
    /// Records on disk, by epoch.
    disk: HashMap<EpochId, Vec<u64>>,
    /// Copies that accept appends; lost when the process ends.
    open: HashSet<EpochId>,
    takeover: Option<EpochTakeover>,
    records: Vec<u64>,
    loaded_epoch: Option<EpochId>,
    serving: Option<ShardPlan>,
}

impl Box {
    fn restart(&mut self) {
        let disk = std::mem::take(&mut self.disk);
        *self = Self { disk, ..Self::default() };
    }
}

struct World {
    rng: ChaCha8Rng,
    store: Store,
    boxes: Vec<Box>,
    acked: Vec<u64>,
    next_record: u64,
    served: u64,
}

fn storage_box(index: usize) -> StorageBox {
    StorageBox {
        box_id: format!("box-{index}").parse().expect("valid id"),
        address: format!("10.0.0.{index}:1"),
        domain: format!("domain-{}", index % 3).parse().expect("valid id"),
    }
}

fn index_of(box_id: &BoxId) -> usize {
    (0..BOXES).find(|index| storage_box(*index).box_id == *box_id).expect("known box")
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            boxes: (0..BOXES).map(|_| Box::default()).collect(),
            acked: Vec::new(),
            next_record: 1,
            served: 0,
        }
    }

    fn act(&mut self) {
        let box_index = self.rng.random_range(0..BOXES);
        match self.rng.random_range(0..100) {
            0..45 => self.step(box_index),
            45..80 => self.append(box_index),
            80..88 => self.start_takeover(box_index),
            88..93 => self.boxes[box_index].restart(),
            93..96 => self.wipe(box_index),
            96..98 => self.late_write(),
            _ => self.lose_power(box_index),
        }
    }

    /// Any box may attempt a takeover at any time: timeouts are not needed for safety.
    fn start_takeover(&mut self, box_index: usize) {
        let number = self.rng.random();
        let me = &mut self.boxes[box_index];
        if me.takeover.is_none() && me.serving.is_none() {
            me.takeover =
                Some(EpochTakeover::new(storage_box(box_index), number, me.loaded_epoch.clone()));
        }
    }

    fn step(&mut self, box_index: usize) {
        let Some(mut takeover) = self.boxes[box_index].takeover.take() else { return };
        if takeover.needs_partners() {
            let alive: Vec<StorageBox> =
                (0..BOXES).filter(|other| *other != box_index).map(storage_box).collect();
            let domain = storage_box(box_index).domain;
            takeover.set_partners(choose_partners(ShardIndex::new(0), &domain, &alive, COPIES - 1));
        }
        match takeover.step() {
            TakeoverStep::ReadPlan | TakeoverStep::CheckPlan => {
                let lost = self.rng.random_ratio(1, 10);
                takeover.plan_read(if lost { Err(()) } else { Ok(self.store.plan.clone()) });
            }
            TakeoverStep::BeginEmpty => {
                self.boxes[box_index].records.clear();
                takeover.base_loaded(true);
            }
            TakeoverStep::CloseAndRead(epoch) => {
                let me = &mut self.boxes[box_index];
                me.open.remove(&epoch);
                let read = me.disk.get(&epoch).cloned();
                if let Some(records) = &read {
                    me.records.clone_from(records);
                    me.loaded_epoch = Some(epoch);
                }
                takeover.base_loaded(read.is_some());
            }
            TakeoverStep::Copy { epoch, partners } => {
                let all = self.copy(box_index, &epoch, &partners);
                takeover.copies_written(all);
            }
            TakeoverStep::WritePlan { base, plan } => {
                let outcome = self.write_plan(base, &plan);
                takeover.plan_written(outcome);
            }
            TakeoverStep::Serve { plan, .. } => return self.serve(box_index, plan),
            TakeoverStep::Fail(_) => {
                self.boxes[box_index].loaded_epoch = None;
                return;
            }
        }
        self.boxes[box_index].takeover = Some(takeover);
    }

    fn copy(&mut self, box_index: usize, epoch: &EpochId, partners: &[StorageBox]) -> bool {
        let records = self.boxes[box_index].records.clone();
        self.boxes[box_index].disk.insert(epoch.clone(), records.clone());
        for partner in partners {
            if self.rng.random_ratio(1, 10) {
                return false;
            }
            let other = &mut self.boxes[index_of(&partner.box_id)];
            other.disk.insert(epoch.clone(), records.clone());
            other.open.insert(epoch.clone());
        }
        true
    }

    fn write_plan(&mut self, base: Option<u64>, plan: &ShardPlan) -> PlanWriteOutcome {
        match self.rng.random_range(0..10) {
            0 => PlanWriteOutcome::NoAnswer,
            1 => {
                self.store.write(base, plan);
                PlanWriteOutcome::NoAnswer
            }
            2 => {
                self.store.late.push((base, plan.clone()));
                PlanWriteOutcome::NoAnswer
            }
            _ => self.store.write(base, plan),
        }
    }

    fn late_write(&mut self) {
        if let Some((base, plan)) = self.store.late.pop() {
            self.store.write(base, &plan);
        }
    }

    fn serve(&mut self, box_index: usize, plan: ShardPlan) {
        let me = &mut self.boxes[box_index];
        let is_current = self.store.plan.as_ref().is_some_and(|read| read.plan == plan);
        me.loaded_epoch = Some(plan.epoch.clone());
        me.serving = Some(plan);
        self.served += 1;
        if !is_current {
            // The plan was superseded while this box was paused. Its appends must fail.
            return;
        }
        let held = &self.boxes[box_index].records;
        assert!(
            held.starts_with(&self.acked),
            "the new server has {held:?} but {:?} were acknowledged",
            self.acked
        );
        // The copy that was read may have contained unacknowledged records. Readers can see them
        // from now on, so they count as acknowledged.
        self.acked.clone_from(held);
    }

    /// Appends a record, which is acknowledged once all copies have it. Any copy may fail.
    fn append(&mut self, box_index: usize) {
        let Some(plan) = self.boxes[box_index].serving.clone() else { return };
        let record = self.next_record;
        self.next_record += 1;
        let mut all = true;
        for copy in &plan.copies {
            let index = index_of(&copy.box_id);
            let lost = self.rng.random_ratio(1, 20);
            let offset = self.boxes[box_index].records.len();
            let other = &mut self.boxes[index];
            let open = index == box_index || other.open.contains(&plan.epoch);
            let held = other.disk.get_mut(&plan.epoch).filter(|held| held.len() == offset);
            match held.filter(|_| open && !lost) {
                Some(held) => held.push(record),
                None => all = false,
            }
        }
        if !all {
            self.boxes[box_index].serving = None;
            return;
        }
        self.boxes[box_index].records.push(record);
        self.acked.push(record);
        let held = &self.boxes[box_index].records;
        assert_eq!(*held, self.acked, "an append of a superseded server was acknowledged");
    }

    /// Wipes a disk unless it has the last complete copy of the stored plan, a takeover is in
    /// progress or a plan write is delayed.
    fn wipe(&mut self, box_index: usize) {
        let Some(read) = &self.store.plan else { return };
        let plan = &read.plan;
        let other_complete = plan
            .copies
            .iter()
            .filter(|copy| index_of(&copy.box_id) != box_index)
            .any(|copy| self.boxes[index_of(&copy.box_id)].disk.contains_key(&plan.epoch));
        let changing = self.boxes.iter().any(|other| other.takeover.is_some());
        if other_complete && !changing && self.store.late.is_empty() {
            self.boxes[box_index] = Box::default();
        }
    }

    /// Power loss during an unacknowledged append whose record has reached this disk.
    fn lose_power(&mut self, box_index: usize) {
        let record = self.next_record;
        self.next_record += 1;
        if let Some(read) = &self.store.plan
            && read.plan.rank(&storage_box(box_index).box_id).is_some()
            && self.boxes[box_index].serving.is_none()
            && self.boxes[box_index].open.contains(&read.plan.epoch)
            && let Some(held) = self.boxes[box_index].disk.get_mut(&read.plan.epoch)
            && held.len() == self.acked.len()
        {
            held.push(record);
            self.boxes[box_index].restart();
        }
    }
}

#[test]
fn acknowledged_records_survive() {
    let (mut acked, mut served) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for _ in 0..ACTIONS {
            world.act();
        }
        acked += world.acked.len();
        served += world.served;
    }
    // Ensures that the scenarios make progress.
    assert!(acked > 50_000, "only {acked} records were acknowledged");
    assert!(served > 20_000, "a shard was served only {served} times");
}
