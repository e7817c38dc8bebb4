//! Lost disks and power losses.

use joblog::ShardPlan;
use rand::Rng;

use crate::files::{Box, Entry};
use crate::world::{BOXES, World, index_of, storage_box};

impl World {
    /// Wipes a disk or two at once, unless that loses the last copy of a segment of a plan that is
    /// in force or may come into force. Takeovers, changes of epoch, copies that are being made
    /// and late writes exempt nothing.
    pub fn wipe(&mut self, box_index: usize) {
        let second = self.rng.random_range(0..2 * BOXES);
        let mut lost = vec![box_index];
        lost.extend((second < BOXES && second != box_index).then_some(second));
        if !self.possible_plans().iter().all(|plan| self.survives(plan, &lost)) {
            return;
        }
        self.counts.wiped += lost.len();
        let changing = self.boxes.iter().any(|other| other.takeover.is_some());
        if changing || !self.store.late.is_empty() {
            self.counts.wiped_while_changing += lost.len();
        }
        for index in lost {
            self.boxes[index] = Box::default();
        }
    }

    /// Returns whether each segment of the plan has a copy on a box that the plan names for it, and
    /// that is not among `lost`.
    fn survives(&self, plan: &ShardPlan, lost: &[usize]) -> bool {
        let remaining = |copies: &[joblog::StorageBox]| {
            let indices: Vec<usize> = copies.iter().map(|copy| index_of(&copy.box_id)).collect();
            indices.into_iter().filter(|index| !lost.contains(index)).collect::<Vec<usize>>()
        };
        let open = remaining(&plan.copies)
            .iter()
            .any(|index| self.boxes[*index].disk.0.contains_key(&plan.epoch));
        let sealed = plan.sealed.iter().all(|segment| {
            remaining(&segment.copies)
                .iter()
                .any(|index| self.boxes[*index].disk.has_sealed(segment))
        });
        open && sealed
    }

    /// Power loss during an unacknowledged append, part of which has reached this disk.
    pub fn lose_power(&mut self, box_index: usize) {
        let Some(read) = &self.store.plan else { return };
        let plan = read.plan.clone();
        let me = &self.boxes[box_index];
        if plan.rank(&storage_box(box_index).box_id).is_none()
            || me.serving.is_some()
            || !me.open.contains(&plan.epoch)
        {
            return;
        }
        // The server sends a round only after the one before was acknowledged.
        let server = &self.boxes[index_of(&plan.copies[0].box_id)];
        let acknowledged = server.loaded.as_ref().filter(|loaded| loaded.epoch == plan.epoch);
        let sends =
            server.serving.as_ref().is_some_and(|serving| serving.unacknowledged.is_empty());
        let Some(end) = acknowledged.filter(|_| sends).map(|loaded| loaded.len) else { return };
        let records = [Entry::Round, Entry::Record(self.take_record())];
        let written = self.rng.random_range(1..=records.len());
        let me = &mut self.boxes[box_index];
        if let Some(file) = me.disk.0.get_mut(&plan.epoch)
            && crate::files::byte_len(file) == end
        {
            file.extend(&records[..written]);
            me.restart();
        }
    }
}
