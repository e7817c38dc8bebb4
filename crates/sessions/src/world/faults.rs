//! What goes wrong.

use ids::{ModelVersion, Moment};
use placement::PlacementPolicy;

use super::{SimBox, World};
use crate::events::{BoxIndex, Event};
use crate::faults::Fault;

impl<C: PlacementPolicy + Default> World<C> {
    pub(super) fn fault(&mut self, now: Moment, fault: Fault) {
        self.say(now, format!("fault: {fault:?}"));
        match fault {
            Fault::RestartBox(index) => self.restart_box(now, index),
            Fault::FreezeBox(index) => self.boxes[index].frozen = true,
            Fault::ThawBox(index) => self.thaw(now, index),
            Fault::StopBox(index) => self.stop_box(now, index),
            Fault::CutBox(index) => self.boxes[index].cut = true,
            Fault::HealBox(index) => self.boxes[index].cut = false,
            Fault::StoreDown => self.store.down = true,
            Fault::StoreUp => self.store.down = false,
            Fault::LoseStoreAnswers(count) => self.store.lose_answers = count,
            Fault::LoseReplies(count) => self.lose_replies = count,
            Fault::DoubleReplies(count) => self.double_replies = count,
            Fault::RestartTrainer => self.trainer.restart(),
            Fault::RestartEngine(index, version) => {
                let ended = self.engines[index].break_streams(now);
                self.engines[index].restart(version);
                let id = self.engines[index].id.clone();
                self.ended(now, &id, ended);
            }
            Fault::LoseOrderAnswer(index) => self.engines[index].lose_orders += 1,
            Fault::RefuseOrder(index) => self.engines[index].refuse_orders += 1,
            Fault::DropStamps(index, count) => self.engines[index].drop_stamps += count,
            Fault::CutStreams(index) => {
                let ended = self.engines[index].break_streams(now);
                let id = self.engines[index].id.clone();
                self.ended(now, &id, ended);
            }
            Fault::LeaveEngine(index) => self.engines[index].leaving_since = Some(now),
            Fault::NameVersion(version) => self.name_version(now, version),
            Fault::AdvanceTrainer(version) => {
                let (number, question) = self.trainer.advance(now, version);
                let asks = self.trainer.asks;
                self.send(now, Event::Question(asks, number, question));
            }
        }
    }

    pub(super) fn restart_box(&mut self, now: Moment, index: BoxIndex) {
        let life = self.boxes[index].life + 1;
        self.boxes[index] = SimBox { life, ..SimBox::new() };
        for engine in &mut self.engines {
            engine.forget_box(now, index);
        }
    }

    pub(super) fn thaw(&mut self, now: Moment, index: BoxIndex) {
        let site = &mut self.boxes[index];
        site.frozen = false;
        for event in std::mem::take(&mut site.held_back) {
            self.queue.0.push(now, event);
        }
        if let Some(keeper) = &mut self.boxes[index].keeper {
            keeper.pool_changed(self.generation, Some(self.pool.clone()));
        }
    }

    pub(super) fn stop_box(&mut self, now: Moment, index: BoxIndex) {
        let successor = (index + 1) % self.boxes.len();
        let life = self.boxes[index].life;
        if let Some(keeper) = &mut self.boxes[index].keeper
            && let Some(token) = keeper.acting_token()
        {
            keeper.prepare_hand_over();
            let (snapshots, release) = keeper.hand_over(now);
            if let Some(action) = release {
                self.send(now, Event::LeaseCall(index, life, action));
            }
            let at = now + self.plan.delay * 4;
            self.queue.0.push(at, Event::HandOver(successor, snapshots, token));
        }
        self.boxes[index].stopped = true;
        for engine in &mut self.engines {
            engine.forget_box(now, index);
        }
        if self.trainer.asks == index {
            self.trainer.turn_to(successor);
        }
    }

    pub(super) fn name_version(&mut self, now: Moment, version: ModelVersion) {
        self.pool.version = version;
        self.generation = self.generation.next();
        for index in 0..self.boxes.len() {
            let site = &mut self.boxes[index];
            if let Some(keeper) = site.keeper.as_mut().filter(|_| !site.frozen) {
                keeper.pool_changed(self.generation, Some(self.pool.clone()));
                self.drive(now, index);
            }
        }
    }
}
