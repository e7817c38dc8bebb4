//! Acknowledged records survive any order of crashes, lost disks, torn tails, freezes and lost
//! answers, with several boxes that try to serve at once.
//!
//! The boxes run the real [`EpochTakeover`], one step at a time in random order; a box that is not
//! picked for a while is frozen. Copies and the store are small models with the faults.

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
    /// Writes whose answer was lost and that are done later, if their condition still holds.
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
    /// Copies that take appends; lost with the process.
    open: HashSet<EpochId>,
    former: Option<EpochTakeover>,
    book: Vec<u64>,
    book_epoch: Option<EpochId>,
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

fn holder(index: usize) -> StorageBox {
    StorageBox {
        box_id: format!("box-{index}").parse().expect("an id"),
        address: format!("10.0.0.{index}:1"),
        domain: format!("domain-{}", index % 3).parse().expect("an id"),
    }
}

fn index_of(box_id: &BoxId) -> usize {
    (0..BOXES).find(|index| holder(*index).box_id == *box_id).expect("a known box")
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
        let at = self.rng.random_range(0..BOXES);
        match self.rng.random_range(0..100) {
            0..45 => self.step(at),
            45..80 => self.append(at),
            80..88 => self.begin(at),
            88..93 => self.boxes[at].restart(),
            93..96 => self.wipe(at),
            96..98 => self.late_write(),
            _ => self.tear(at),
        }
    }

    /// Any box may try at any time: patience only saves work, it keeps nothing safe.
    fn begin(&mut self, at: usize) {
        let number = self.rng.random();
        let me = &mut self.boxes[at];
        if me.former.is_none() && me.serving.is_none() {
            me.former = Some(EpochTakeover::new(holder(at), number, me.book_epoch.clone()));
        }
    }

    fn step(&mut self, at: usize) {
        let Some(mut former) = self.boxes[at].former.take() else { return };
        if former.needs_partners() {
            let alive: Vec<StorageBox> =
                (0..BOXES).filter(|other| *other != at).map(holder).collect();
            let domain = holder(at).domain;
            former.set_partners(choose_partners(ShardIndex::new(0), &domain, &alive, COPIES - 1));
        }
        match former.step() {
            TakeoverStep::ReadPlan | TakeoverStep::CheckPlan => {
                let lost = self.rng.random_ratio(1, 10);
                former.plan_read(if lost { Err(()) } else { Ok(self.store.plan.clone()) });
            }
            TakeoverStep::BeginEmpty => {
                self.boxes[at].book.clear();
                former.base_loaded(true);
            }
            TakeoverStep::CloseAndRead(epoch) => {
                let me = &mut self.boxes[at];
                me.open.remove(&epoch);
                let read = me.disk.get(&epoch).cloned();
                if let Some(records) = &read {
                    me.book.clone_from(records);
                    me.book_epoch = Some(epoch);
                }
                former.base_loaded(read.is_some());
            }
            TakeoverStep::Copy { epoch, partners } => {
                let all = self.copy(at, &epoch, &partners);
                former.copies_written(all);
            }
            TakeoverStep::WritePlan { base, plan } => {
                let end = self.write_plan(base, &plan);
                former.plan_written(end);
            }
            TakeoverStep::Serve { plan, .. } => return self.serve(at, plan),
            TakeoverStep::Fail(_) => {
                self.boxes[at].book_epoch = None;
                return;
            }
        }
        self.boxes[at].former = Some(former);
    }

    fn copy(&mut self, at: usize, epoch: &EpochId, partners: &[StorageBox]) -> bool {
        let book = self.boxes[at].book.clone();
        self.boxes[at].disk.insert(epoch.clone(), book.clone());
        for partner in partners {
            if self.rng.random_ratio(1, 10) {
                return false;
            }
            let other = &mut self.boxes[index_of(&partner.box_id)];
            other.disk.insert(epoch.clone(), book.clone());
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

    fn serve(&mut self, at: usize, plan: ShardPlan) {
        let me = &mut self.boxes[at];
        let in_force = self.store.plan.as_ref().is_some_and(|read| read.plan == plan);
        me.book_epoch = Some(plan.epoch.clone());
        me.serving = Some(plan);
        self.served += 1;
        if !in_force {
            // It woke up late: appends must fail, and so must the proof that lets it be read.
            return;
        }
        let held = &self.boxes[at].book;
        assert!(
            held.starts_with(&self.acked),
            "the new server holds {held:?}, acknowledged were {:?}",
            self.acked
        );
        // Records that nobody was told of may have been on the copy that was read; from here on
        // they can be seen like all others.
        self.acked.clone_from(held);
    }

    /// A record is acknowledged once all copies have it; any copy may fail to take it.
    fn append(&mut self, at: usize) {
        let Some(plan) = self.boxes[at].serving.clone() else { return };
        let record = self.next_record;
        self.next_record += 1;
        let mut all = true;
        for copy in &plan.copies {
            let index = index_of(&copy.box_id);
            let lost = self.rng.random_ratio(1, 20);
            let offset = self.boxes[at].book.len();
            let other = &mut self.boxes[index];
            let open = index == at || other.open.contains(&plan.epoch);
            let held = other.disk.get_mut(&plan.epoch).filter(|held| held.len() == offset);
            match held.filter(|_| open && !lost) {
                Some(held) => held.push(record),
                None => all = false,
            }
        }
        if !all {
            self.boxes[at].serving = None;
            return;
        }
        self.boxes[at].book.push(record);
        self.acked.push(record);
        let held = &self.boxes[at].book;
        assert_eq!(*held, self.acked, "a superseded server was acknowledged");
    }

    /// A disk may be lost while the store's plan names another copy that is whole.
    fn wipe(&mut self, at: usize) {
        let Some(read) = &self.store.plan else { return };
        let plan = &read.plan;
        // As far as the platform loses disks: not the last whole copy of the plan in force, and
        // none while a plan is being changed.
        let others_whole = plan
            .copies
            .iter()
            .filter(|copy| index_of(&copy.box_id) != at)
            .any(|copy| self.boxes[index_of(&copy.box_id)].disk.contains_key(&plan.epoch));
        let changing = self.boxes.iter().any(|other| other.former.is_some());
        if others_whole && !changing && self.store.late.is_empty() {
            self.boxes[at] = Box::default();
        }
    }

    /// Power is lost in the middle of an append that nobody acknowledged: its record stays on
    /// this disk or not.
    fn tear(&mut self, at: usize) {
        let record = self.next_record;
        self.next_record += 1;
        if let Some(read) = &self.store.plan
            && read.plan.rank(&holder(at).box_id).is_some()
            && self.boxes[at].serving.is_none()
            && self.boxes[at].open.contains(&read.plan.epoch)
            && let Some(held) = self.boxes[at].disk.get_mut(&read.plan.epoch)
            && held.len() == self.acked.len()
        {
            held.push(record);
            self.boxes[at].restart();
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
    // The model must get somewhere, or it would prove nothing.
    assert!(acked > 50_000, "only {acked} records were acknowledged");
    assert!(served > 20_000, "shards were served only {served} times");
}
