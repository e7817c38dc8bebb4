//! The boxes of one shard: takeovers, changes of epoch by the server, appends, repair.

use ids::{BoxId, ShardIndex};
use joblog::{
    EpochId, EpochTakeover, SealedSegment, SegmentContent, ShardPlan, StorageBox, TakeoverError,
    TakeoverStep, VersionedPlan, choose_partners,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::files::{Box, Entry, Serving, byte_len, located, slice};
use crate::is_long;
use crate::store::Store;

pub const BOXES: usize = 6;
/// One more than the number of disks that may be lost at once.
const COPIES: usize = 3;

/// How often each case occurred.
#[derive(Debug, Default)]
pub struct Counts {
    pub acked: usize,
    pub served: usize,
    pub changed_while_served: usize,
    /// Failed changes after which the server continued with its epoch.
    pub continued: usize,
    /// Takeovers and changes that ended after a plan write whose outcome is unknown.
    pub without_store: usize,
    pub sealed: usize,
    /// Segments that begin with records that may not be on all copies of the earlier one.
    pub tails: usize,
    pub snapshots: usize,
    pub fetched: usize,
    pub pulled: usize,
    pub rewritten: usize,
    pub wiped: usize,
    pub wiped_while_changing: usize,
    pub files_removed: usize,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        self.acked += other.acked;
        self.served += other.served;
        self.changed_while_served += other.changed_while_served;
        self.continued += other.continued;
        self.without_store += other.without_store;
        self.sealed += other.sealed;
        self.tails += other.tails;
        self.snapshots += other.snapshots;
        self.fetched += other.fetched;
        self.pulled += other.pulled;
        self.rewritten += other.rewritten;
        self.wiped += other.wiped;
        self.wiped_while_changing += other.wiped_while_changing;
        self.files_removed += other.files_removed;
    }
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub store: Store,
    pub boxes: Vec<Box>,
    /// Acknowledged records that were not dropped.
    acked: Vec<u64>,
    /// Acknowledged drop.
    dropped_until: u64,
    /// The highest drop that any server tried to append.
    drop_tried: u64,
    next_record: u64,
    /// Faults in twelve actions, different from seed to seed: with few of them the log
    /// grows to many segments.
    faults: u32,
    drops: bool,
    pub counts: Counts,
}

pub fn storage_box(index: usize) -> StorageBox {
    StorageBox {
        box_id: format!("box-{index}").parse().expect("valid id"),
        address: format!("10.0.0.{index}:1"),
        domain: format!("domain-{}", index % 3).parse().expect("valid id"),
    }
}

pub fn index_of(box_id: &BoxId) -> usize {
    (0..BOXES).find(|index| storage_box(*index).box_id == *box_id).expect("known box")
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            boxes: (0..BOXES).map(|_| Box::default()).collect(),
            acked: Vec::new(),
            dropped_until: 0,
            drop_tried: 0,
            next_record: 1,
            drops: !is_long(seed),
            faults: u32::try_from(seed % 4).expect("below four"),
            counts: Counts::default(),
        }
    }

    pub fn act(&mut self) {
        let box_index = self.choose_box();
        if !self.rng.random_ratio(self.faults, 12) {
            return self.work(box_index);
        }
        match self.rng.random_range(0..19) {
            0..4 => self.start_takeover(box_index),
            4..8 => self.boxes[box_index].restart(),
            8..11 => self.wipe(box_index),
            11..13 => self.store.apply_late(),
            13..15 => self.lose_power(box_index),
            15 => self.start_change(box_index),
            16 => self.observe(box_index),
            17 if self.rng.random_ratio(1, 8) => self.store.start_outage(),
            _ => self.clean(box_index),
        }
    }

    /// An action without a fault of its own.
    fn work(&mut self, box_index: usize) {
        match self.rng.random_range(0..100) {
            0..45 => self.step(box_index),
            45..78 => self.append(box_index),
            78..81 => self.start_takeover(box_index),
            81..82 => self.start_change(box_index),
            82..90 => self.pull(box_index),
            90..94 => self.rewrite_plan(box_index),
            94..97 => self.observe(box_index),
            _ => self.clean(box_index),
        }
    }

    /// Chooses the server in force half of the time, so that it makes progress.
    fn choose_box(&mut self) -> usize {
        let server = self.store.plan.as_ref().map(|read| index_of(&read.plan.copies[0].box_id));
        let any = self.rng.random_range(0..BOXES);
        server.filter(|_| self.rng.random()).unwrap_or(any)
    }

    /// Any box may attempt a takeover at any time: timeouts are not needed for safety.
    fn start_takeover(&mut self, box_index: usize) {
        let number = self.rng.random();
        let me = &mut self.boxes[box_index];
        if me.takeover.is_none() && me.serving.is_none() {
            let loaded = me.loaded.clone();
            me.takeover = Some(EpochTakeover::new(storage_box(box_index), number, loaded));
        }
    }

    /// The server changes the epoch, with the plan that it knows.
    fn start_change(&mut self, box_index: usize) {
        let number = self.rng.random();
        let me = &mut self.boxes[box_index];
        if me.takeover.is_none()
            && let Some(serving) = &me.serving
        {
            let loaded = me.loaded.clone();
            let mut takeover = EpochTakeover::new(storage_box(box_index), number, loaded);
            takeover.plan_read(Ok(Some(serving.known.clone())));
            me.takeover = Some(takeover);
        }
    }

    fn step(&mut self, box_index: usize) {
        let Some(mut takeover) = self.boxes[box_index].takeover.take() else { return };
        if takeover.needs_partners() {
            let mut alive: Vec<StorageBox> =
                (0..BOXES).filter(|other| *other != box_index).map(storage_box).collect();
            // One of the boxes does not respond.
            alive.remove(self.rng.random_range(0..alive.len()));
            let domain = storage_box(box_index).domain;
            let partners = choose_partners(ShardIndex::new(0), &domain, &alive, COPIES - 1);
            takeover.set_partners(partners, self.boxes[box_index].table.oldest_segment());
        }
        match takeover.step() {
            TakeoverStep::ReadPlan | TakeoverStep::CheckPlan => {
                let read = self.store.read(&mut self.rng);
                if read.is_ok() {
                    self.observe(box_index);
                }
                takeover.plan_read(read);
            }
            TakeoverStep::BeginEmpty => {
                self.boxes[box_index].reset();
                takeover.emptied();
            }
            TakeoverStep::FetchSegments(segments) => {
                let all = segments.iter().all(|segment| self.fetch(box_index, segment));
                takeover.segments_fetched(all);
            }
            TakeoverStep::CloseAndRead { epoch, sealed } => {
                self.close_and_read(box_index, &epoch, &sealed);
                takeover.log_read(self.boxes[box_index].loaded.clone());
            }
            TakeoverStep::Copy { epoch, partners, content } => {
                let all = self.copy(box_index, &epoch, &partners, &content);
                takeover.copies_written(all);
            }
            TakeoverStep::WritePlan { base, plan } => {
                let outcome = self.store.write(&mut self.rng, base, &plan);
                takeover.plan_written(outcome);
            }
            TakeoverStep::Serve { revision, plan } => {
                return self.serve(box_index, VersionedPlan { revision, plan });
            }
            TakeoverStep::Fail(error) => return self.fail(box_index, error),
        }
        self.boxes[box_index].takeover = Some(takeover);
    }

    fn close_and_read(&mut self, box_index: usize, epoch: &EpochId, sealed: &[SealedSegment]) {
        let me = &mut self.boxes[box_index];
        assert!(me.serving.is_none(), "a server does not read its log");
        me.open.remove(epoch);
        me.reset();
        if let Some((table, loaded)) = me.disk.read(epoch, sealed) {
            (me.table, me.loaded) = (table, Some(loaded));
        }
    }

    fn fail(&mut self, box_index: usize, error: TakeoverError) {
        let me = &mut self.boxes[box_index];
        if error == TakeoverError::Superseded {
            me.reset();
        }
        self.counts.without_store +=
            usize::from(error == TakeoverError::NoStore && me.copied.take().is_some());
        // The server continues with its epoch if nothing else can have replaced it.
        let continues = me.serving.as_ref().is_some_and(|serving| {
            error.is_before_plan_write() && serving.unacknowledged.is_empty()
        });
        self.counts.continued += usize::from(continues);
        if !continues {
            me.serving = None;
        }
    }

    /// Writes the new segment to all its boxes; an unresponsive partner fails it.
    fn copy(
        &mut self,
        box_index: usize,
        epoch: &EpochId,
        partners: &[StorageBox],
        content: &SegmentContent,
    ) -> bool {
        let me = &mut self.boxes[box_index];
        let mut entries = match content {
            SegmentContent::Empty => Vec::new(),
            SegmentContent::Tail { of, from, until } => {
                let Some(file) = me.disk.0.get(of) else { return false };
                slice(file, *from, *until)
            }
            SegmentContent::Snapshot => me.table.snapshot(),
        };
        if me.loaded.as_ref().is_some_and(|loaded| loaded.len > loaded.committed) {
            self.counts.tails += 1;
        }
        self.counts.snapshots += usize::from(*content == SegmentContent::Snapshot);
        entries.push(Entry::Round);
        me.copied = Some((content.clone(), byte_len(&entries)));
        me.disk.0.insert(epoch.clone(), entries.clone());
        for partner in partners {
            if self.rng.random_ratio(1, 10) {
                return false;
            }
            let other = &mut self.boxes[index_of(&partner.box_id)];
            other.disk.0.insert(epoch.clone(), entries.clone());
            other.open.insert(epoch.clone());
        }
        true
    }

    fn serve(&mut self, box_index: usize, known: VersionedPlan) {
        let me = &mut self.boxes[box_index];
        let plan = &known.plan;
        let is_current = self.store.plan.as_ref().is_some_and(|read| read.plan.epoch == plan.epoch);
        let token = plan.epoch.token;
        let (content, len) = me.copied.take().expect("the segment was written");
        match content {
            SegmentContent::Empty => {}
            SegmentContent::Tail { of, from, .. } => me.table.relocate_tail(of.token, from, token),
            SegmentContent::Snapshot => {
                let snapshot = me.table.snapshot();
                let dropped_until = me.table.dropped_until;
                me.table = crate::files::Table { held: Vec::new(), dropped_until };
                me.table.apply_all(token, 0, &snapshot);
            }
        }
        me.loaded = Some(joblog::LoadedLog { epoch: plan.epoch.clone(), committed: len, len });
        me.observed = Some(plan.clone());
        let served_before = me.serving.take();
        self.counts.changed_while_served += usize::from(served_before.is_some());
        self.counts.served += usize::from(served_before.is_none());
        self.counts.sealed += usize::from(!plan.sealed.is_empty());
        let unacknowledged =
            served_before.map(|serving| serving.unacknowledged).unwrap_or_default();
        me.serving = Some(Serving { known, unacknowledged });
        if is_current {
            self.check_served(box_index);
        }
        // Otherwise the plan was superseded while this box was paused. Its appends must fail.
    }

    /// Checks that the server in force has all acknowledged records, on its disk too.
    fn check_served(&mut self, box_index: usize) {
        let me = &self.boxes[box_index];
        let held = me.table.records();
        let acked = &self.acked;
        assert!(
            held.iter().all(|record| *record > self.dropped_until),
            "the new server has {held:?} but those up to {} were dropped",
            self.dropped_until
        );
        // A drop that was not acknowledged may have been in the copy that was read.
        let required: Vec<u64> =
            acked.iter().copied().filter(|record| *record > me.table.dropped_until).collect();
        assert!(
            held.starts_with(&required) && me.table.dropped_until <= self.drop_tried,
            "the new server has {held:?} but {acked:?} were acknowledged"
        );
        self.check_locations(box_index);
        // The copy that was read may have contained unacknowledged records. Readers can see them
        // from now on, so they count as acknowledged.
        self.dropped_until = self.dropped_until.max(self.boxes[box_index].table.dropped_until);
        self.acked = held;
    }

    /// Checks that the server can read each record from its disk.
    fn check_locations(&self, box_index: usize) {
        let me = &self.boxes[box_index];
        let plan = &me.serving.as_ref().expect("the box serves").known.plan;
        let segments = plan.segments();
        for held in &me.table.held {
            let epoch = segments.iter().find(|epoch| epoch.token == held.segment);
            let file = epoch.and_then(|epoch| me.disk.0.get(epoch));
            let found = file.and_then(|file| {
                located(file).find(|(offset, _)| *offset == held.offset).map(|(_, entry)| entry)
            });
            assert_eq!(found, Some(Entry::Record(held.record)), "{held:?} in {segments:?}");
        }
    }

    /// Appends a round, which is acknowledged once all copies have it. Any copy may fail.
    fn append(&mut self, box_index: usize) {
        let me = &mut self.boxes[box_index];
        if me.takeover.is_some() {
            return;
        }
        let Some(serving) = &mut me.serving else { return };
        let plan = serving.known.plan.clone();
        let failed = std::mem::take(&mut serving.unacknowledged);
        let entries = if failed.is_empty() { self.next_round(box_index) } else { failed };
        let me = &self.boxes[box_index];
        let offset = me.loaded.as_ref().expect("a server has the log").len;
        let mut all = true;
        for copy in &plan.copies {
            let index = index_of(&copy.box_id);
            let lost = self.rng.random_ratio(1, 20);
            let other = &mut self.boxes[index];
            let open = index == box_index || other.open.contains(&plan.epoch);
            let file = other.disk.0.get_mut(&plan.epoch).filter(|file| byte_len(file) == offset);
            match file.filter(|_| open && !lost) {
                Some(file) => file.extend(&entries),
                None => all = false,
            }
        }
        let me = &mut self.boxes[box_index];
        if !all {
            me.serving.as_mut().expect("the box serves").unacknowledged = entries;
            self.start_change(box_index);
            return;
        }
        let loaded = me.loaded.as_mut().expect("a server has the log");
        me.table.apply_all(plan.epoch.token, offset, &entries);
        loaded.len = offset + byte_len(&entries);
        loaded.committed = loaded.len;
        self.acknowledge(&entries);
        let held = self.boxes[box_index].table.records();
        assert_eq!(held, self.acked, "an append of a superseded server was acknowledged");
    }

    /// Returns the entries of a new round: one or two records, or a drop of the older ones.
    fn next_round(&mut self, box_index: usize) -> Vec<Entry> {
        let records = self.boxes[box_index].table.records();
        if self.drops && records.len() > 4 && self.rng.random_ratio(1 + self.faults, 20) {
            let until = records[self.rng.random_range(0..records.len())];
            self.drop_tried = self.drop_tried.max(until);
            return vec![Entry::Round, Entry::Drop(until)];
        }
        let count = self.rng.random_range(1..=2);
        let first = self.next_record;
        self.next_record += count;
        let new = (first..first + count).map(Entry::Record);
        std::iter::once(Entry::Round).chain(new).collect()
    }

    fn acknowledge(&mut self, entries: &[Entry]) {
        for entry in entries {
            match entry {
                Entry::Round => {}
                Entry::Record(record) => self.acked.push(*record),
                Entry::Drop(until) => {
                    self.acked.retain(|record| record > until);
                    self.dropped_until = self.dropped_until.max(*until);
                }
            }
        }
        self.counts.acked += entries.len() - 1;
    }

    /// Copies a sealed segment from a box that the plan names for it. Any of them may fail.
    fn fetch(&mut self, box_index: usize, segment: &SealedSegment) -> bool {
        if self.boxes[box_index].disk.has_sealed(segment) {
            return true;
        }
        for copy in &segment.copies {
            let source = index_of(&copy.box_id);
            if self.rng.random_ratio(1, 10) || !self.boxes[source].disk.has_sealed(segment) {
                continue;
            }
            let file = slice(&self.boxes[source].disk.0[&segment.epoch], 0, segment.len);
            self.boxes[box_index].disk.0.insert(segment.epoch.clone(), file);
            self.counts.fetched += 1;
            return true;
        }
        false
    }

    /// A box that the plan names copies the oldest sealed segment that it lacks.
    fn pull(&mut self, box_index: usize) {
        let me = &self.boxes[box_index];
        let Some(plan) = &me.observed else { return };
        if plan.rank(&storage_box(box_index).box_id).is_none() {
            return;
        }
        let missing = plan.sealed.iter().find(|segment| !me.disk.has_sealed(segment)).cloned();
        if let Some(segment) = missing {
            let fetched = self.counts.fetched;
            self.counts.pulled += usize::from(self.fetch(box_index, &segment));
            self.counts.fetched = fetched;
        }
    }

    /// The server updates the lists of boxes with sealed segments.
    fn rewrite_plan(&mut self, box_index: usize) {
        let me = &self.boxes[box_index];
        let (Some(serving), None) = (&me.serving, &me.takeover) else { return };
        let base = serving.known.revision;
        let mut plan = serving.known.plan.clone();
        let holders = plan.copies.clone();
        let held_by_all = |segment: &SealedSegment| {
            let disks = holders.iter().map(|copy| &self.boxes[index_of(&copy.box_id)].disk);
            disks.into_iter().all(|disk| disk.has_sealed(segment))
        };
        for segment in &mut plan.sealed {
            if held_by_all(segment) {
                segment.copies.clone_from(&holders);
            }
        }
        if plan == serving.known.plan {
            return;
        }
        let outcome = self.store.write(&mut self.rng, Some(base), &plan);
        if let joblog::PlanWriteOutcome::Done(revision) = outcome {
            self.counts.rewritten += 1;
            let serving = self.boxes[box_index].serving.as_mut().expect("the box serves");
            serving.known = VersionedPlan { revision, plan };
        }
    }

    /// The box learns the plan in force.
    fn observe(&mut self, box_index: usize) {
        let Some(read) = self.store.plan.clone() else { return };
        let me = &mut self.boxes[box_index];
        if let Some(serving) = &mut me.serving
            && serving.known.plan.epoch == read.plan.epoch
        {
            serving.known = read.clone();
        }
        me.observed = Some(read.plan);
    }

    /// Deletes files under a plan that the store confirmed, perhaps long ago.
    fn clean(&mut self, box_index: usize) {
        let me = &mut self.boxes[box_index];
        let Some(plan) = me.observed.clone() else { return };
        let later = |epoch: &EpochId| epoch.token > plan.epoch.token;
        me.open.retain(|epoch| *epoch == plan.epoch || later(epoch));
        self.counts.files_removed += me.disk.remove_unused(&plan);
    }

    /// Plans that are in force or may come into force without a further copy.
    pub fn possible_plans(&self) -> Vec<ShardPlan> {
        let revision = self.store.revision();
        let mut plans: Vec<ShardPlan> =
            self.store.plan.iter().map(|read| read.plan.clone()).collect();
        plans.extend(self.store.pending().cloned());
        for takeover in self.boxes.iter().filter_map(|other| other.takeover.as_ref()) {
            if let TakeoverStep::WritePlan { base, plan } = takeover.step()
                && base == revision
            {
                plans.push(plan);
            }
        }
        plans
    }

    pub fn take_record(&mut self) -> u64 {
        self.next_record += 1;
        self.next_record - 1
    }
}
