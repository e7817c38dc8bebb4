//! The trainer and its choice of a box.

use std::time::Duration;

use ids::Moment;
use keeping::KeeperRefusal;
use placement::PlacementPolicy;

use super::{World, box_name};
use crate::events::{BoxIndex, Event, KeeperReply};
use crate::trainer::ReplyOutcome;

/// Time after which the trainer sends its request to another box.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which the trainer avoids a box that did not reply.
const BACKOFF_DURATION: Duration = Duration::from_secs(2);

impl<C: PlacementPolicy + Default> World<C> {
    pub(super) fn handle_trainer_due(&mut self, now: Moment) {
        let current_box = self.trainer.current_box;
        if let Some(requested_at) = self.trainer.requested_at() {
            if now.since(requested_at) < REPLY_TIMEOUT {
                self.queue.0.push(requested_at + REPLY_TIMEOUT, Event::TrainerDue);
                return;
            }
            self.failed_at.insert(current_box, now);
            self.switch_box(now);
        }
        let (number, request) = self.trainer.next_request(now);
        let current_box = self.trainer.current_box;
        self.send(now, Event::Request(current_box, number, request));
        self.queue.0.push(now + REPLY_TIMEOUT, Event::TrainerDue);
    }

    /// Switches to the next box that is not backed off, or to the next box if all are.
    pub(super) fn switch_box(&mut self, now: Moment) {
        let count = self.boxes.len();
        let start = self.trainer.current_box;
        let next = (1..=count)
            .map(|step| (start + step) % count)
            .find(|index| !self.is_backed_off(now, *index));
        self.trainer.switch_to(next.unwrap_or((start + 1) % count));
    }

    pub(super) fn is_backed_off(&self, now: Moment, index: BoxIndex) -> bool {
        self.failed_at.get(&index).is_some_and(|at| now.since(*at) < BACKOFF_DURATION)
    }

    pub(super) fn handle_reply(&mut self, now: Moment, number: u64, reply: KeeperReply) {
        let holder = match &reply {
            KeeperReply::Opened(Err(KeeperRefusal::NotKeeping { holder, .. }))
            | KeeperReply::Pulled(Err(KeeperRefusal::NotKeeping { holder, .. })) => holder.clone(),
            _ => None,
        };
        match self.trainer.handle_reply(number, reply) {
            ReplyOutcome::Samples(batch) => {
                let window = self.trainer.receiver.window();
                let runs = &self.runs;
                for sample in &batch.accepted {
                    self.checker.check_sample(now, sample, window, |run| runs.get(&run).cloned());
                }
            }
            ReplyOutcome::Nothing => {}
        }
        if let Some(holder) = holder {
            let at = (0..self.boxes.len()).find(|index| box_name(*index) == holder);
            if let Some(index) = at.filter(|index| !self.is_backed_off(now, *index)) {
                self.trainer.switch_to(index);
            }
        }
        if self.trainer.requested_at().is_none() {
            self.queue.0.push(now + self.plan.request_pause, Event::TrainerDue);
        }
    }
}
