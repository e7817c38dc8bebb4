//! Injects the faults of the plan.

use ids::{ModelVersion, Moment};
use placement::PlacementPolicy;

use super::{SimBox, World};
use crate::events::{BoxIndex, Event};
use crate::faults::Fault;

impl<C: PlacementPolicy + Default> World<C> {
    pub(super) fn inject_fault(&mut self, now: Moment, fault: Fault) {
        self.log_event(now, format!("fault: {fault:?}"));
        match fault {
            Fault::RestartBox(index) => self.restart_box(now, index),
            Fault::FreezeBox(index) => self.boxes[index].frozen = true,
            Fault::ThawBox(index) => self.thaw_box(now, index),
            Fault::StopBox(index) => self.stop_box(now, index),
            Fault::DisconnectBox(index) => self.boxes[index].disconnected = true,
            Fault::ReconnectBox(index) => self.boxes[index].disconnected = false,
            Fault::StoreDown => self.store.down = true,
            Fault::StoreUp => self.store.down = false,
            Fault::LoseStoreResponses(count) => self.store.responses_to_lose = count,
            Fault::LoseReplies(count) => self.replies_to_lose = count,
            Fault::DuplicateReplies(count) => self.replies_to_duplicate = count,
            Fault::RestartTrainer => self.trainer.restart(),
            Fault::RestartEngine(index, version) => {
                let ended = self.engines[index].break_streams(now);
                self.engines[index].restart(version);
                let id = self.engines[index].id.clone();
                self.report_ended(now, &id, ended);
            }
            Fault::LoseOrderResponse(index) => self.engines[index].order_responses_to_lose += 1,
            Fault::RefuseOrder(index) => self.engines[index].orders_to_refuse += 1,
            Fault::DropStamps(index, count) => self.engines[index].stamps_to_drop += count,
            Fault::BreakStreams(index) => {
                let ended = self.engines[index].break_streams(now);
                let id = self.engines[index].id.clone();
                self.report_ended(now, &id, ended);
            }
            Fault::MarkEngineLeaving(index) => self.engines[index].leaving_since = Some(now),
            Fault::NameVersion(version) => self.name_version(now, version),
            Fault::AdvanceTrainer(version) => {
                let (number, request) = self.trainer.advance(now, version);
                let current_box = self.trainer.current_box;
                self.send(now, Event::Request(current_box, number, request));
            }
        }
    }

    pub(super) fn restart_box(&mut self, now: Moment, index: BoxIndex) {
        let incarnation = self.boxes[index].incarnation + 1;
        self.boxes[index] = SimBox { incarnation, ..SimBox::new() };
        for engine in &mut self.engines {
            engine.drop_box_work(now, index);
        }
    }

    pub(super) fn thaw_box(&mut self, now: Moment, index: BoxIndex) {
        let sim_box = &mut self.boxes[index];
        sim_box.frozen = false;
        for event in std::mem::take(&mut sim_box.deferred_events) {
            self.queue.0.push(now, event);
        }
        if let Some(keeper) = &mut self.boxes[index].keeper {
            keeper.pool_changed(self.generation, Some(self.pool.clone()));
        }
    }

    pub(super) fn stop_box(&mut self, now: Moment, index: BoxIndex) {
        let successor = (index + 1) % self.boxes.len();
        let incarnation = self.boxes[index].incarnation;
        if let Some(keeper) = &mut self.boxes[index].keeper
            && let Some(token) = keeper.acting_token()
        {
            keeper.prepare_hand_over();
            let (snapshots, release) = keeper.hand_over(now);
            if let Some(action) = release {
                self.send(now, Event::LeaseCall(index, incarnation, action));
            }
            let at = now + self.plan.delay * 4;
            self.queue.0.push(at, Event::HandOver(successor, snapshots, token));
        }
        self.boxes[index].stopped = true;
        for engine in &mut self.engines {
            engine.drop_box_work(now, index);
        }
        if self.trainer.current_box == index {
            self.trainer.switch_to(successor);
        }
    }

    pub(super) fn name_version(&mut self, now: Moment, version: ModelVersion) {
        self.pool.version = version;
        self.generation = self.generation.next();
        for index in 0..self.boxes.len() {
            let sim_box = &mut self.boxes[index];
            if let Some(keeper) = sim_box.keeper.as_mut().filter(|_| !sim_box.frozen) {
                keeper.pool_changed(self.generation, Some(self.pool.clone()));
                self.run_keeper(now, index);
            }
        }
    }
}
