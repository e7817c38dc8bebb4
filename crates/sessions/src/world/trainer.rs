//! The trainer and the boxes it turns to.

use std::time::Duration;

use ids::Moment;
use keeping::KeeperRefusal;
use placement::PlacementPolicy;

use super::{World, box_name};
use crate::events::{BoxIndex, Event, Reply};
use crate::trainer::Brought;

/// How long a trainer waits for a reply before it turns to another box.
const REPLY_TIME: Duration = Duration::from_millis(600);
/// How long a box that did not reply is left alone.
const AVOID_FOR: Duration = Duration::from_secs(2);

impl<C: PlacementPolicy + Default> World<C> {
    pub(super) fn trainer_due(&mut self, now: Moment) {
        let asks = self.trainer.asks;
        if let Some(asked_at) = self.trainer.asked_at() {
            if now.since(asked_at) < REPLY_TIME {
                self.queue.0.push(asked_at + REPLY_TIME, Event::TrainerDue);
                return;
            }
            self.avoid.insert(asks, now);
            self.turn(now);
        }
        let (number, question) = self.trainer.ask(now);
        let asks = self.trainer.asks;
        self.send(now, Event::Question(asks, number, question));
        self.queue.0.push(now + REPLY_TIME, Event::TrainerDue);
    }

    /// Turns to the next box that has not failed lately.
    pub(super) fn turn(&mut self, now: Moment) {
        let count = self.boxes.len();
        let start = self.trainer.asks;
        let next =
            (1..=count).map(|step| (start + step) % count).find(|index| !self.avoids(now, *index));
        self.trainer.turn_to(next.unwrap_or((start + 1) % count));
    }

    pub(super) fn avoids(&self, now: Moment, index: BoxIndex) -> bool {
        self.avoid.get(&index).is_some_and(|at| now.since(*at) < AVOID_FOR)
    }

    pub(super) fn at_trainer(&mut self, now: Moment, number: u64, reply: Reply) {
        let holder = match &reply {
            Reply::Opened(Err(KeeperRefusal::NotKeeping { holder, .. }))
            | Reply::Pulled(Err(KeeperRefusal::NotKeeping { holder, .. })) => holder.clone(),
            _ => None,
        };
        match self.trainer.reply(number, reply) {
            Brought::Samples(intake) => {
                let window = self.trainer.intake.window();
                let runs = &self.runs;
                for sample in &intake.accepted {
                    self.truth.taken(now, sample, window, |run| runs.get(&run).cloned());
                }
            }
            Brought::Nothing => {}
        }
        if let Some(holder) = holder {
            let at = (0..self.boxes.len()).find(|index| box_name(*index) == holder);
            if let Some(index) = at.filter(|index| !self.avoids(now, *index)) {
                self.trainer.turn_to(index);
            }
        }
        if self.trainer.asked_at().is_none() {
            self.queue.0.push(now + self.plan.ask_pause, Event::TrainerDue);
        }
    }
}
