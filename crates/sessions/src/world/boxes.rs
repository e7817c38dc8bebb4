//! Boxes with their keepers, and calls to the lease store.

use coord::lease::LeaseAction;
use ids::{BoxId, Incarnation, Moment};
use keeping::{KeeperAction, KeeperSettings, Placement, StepKeeper};
use placement::PlacementPolicy;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

use super::{World, box_name, format_sample, parse_id};
use crate::events::{BoxIndex, Event, KeeperReply, KeeperRequest, RunId};

impl<C: PlacementPolicy + Default> World<C> {
    pub(super) fn deliver_to_box(&mut self, now: Moment, index: BoxIndex, event: Event) {
        let sim_box = &mut self.boxes[index];
        if sim_box.stopped {
            return;
        }
        if sim_box.frozen {
            sim_box.deferred_events.push(event);
            return;
        }
        match event {
            Event::LeaseRead(_, _, outcome) => {
                if let Some(keeper) = &mut sim_box.keeper {
                    keeper.lease_read(now, outcome);
                }
            }
            Event::LeaseWritten(_, _, outcome) => {
                if let Some(keeper) = &mut sim_box.keeper {
                    keeper.lease_written(now, outcome);
                }
            }
            Event::AttemptEnded(_, _, placement, outcome, hint) => {
                if let Some(keeper) = &mut sim_box.keeper {
                    keeper.attempt_ended(now, &placement, outcome, hint);
                }
            }
            Event::Request(_, number, request) => self.handle_request(now, index, number, request),
            Event::HandOver(_, snapshots, token) => {
                self.ensure_keeper(now, index).adopt(now, snapshots, token);
            }
            _ => {}
        }
        self.run_keeper(now, index);
    }

    pub(super) fn ensure_keeper(
        &mut self,
        now: Moment,
        index: BoxIndex,
    ) -> &mut StepKeeper<ChaCha8Rng, C> {
        let seed = self.rng.random();
        let (plan, pool, generation) = (&self.plan, &self.pool, &self.generation);
        let sim_box = &mut self.boxes[index];
        sim_box.keeper.get_or_insert_with(|| {
            let settings = KeeperSettings {
                me: parse_id::<BoxId>(&box_name(index)),
                incarnation: Incarnation::new(sim_box.incarnation),
                address: box_name(index),
                term: plan.term,
                pool: pool.name.clone(),
                trainer: pool.trainers[0].clone(),
            };
            let mut keeper = StepKeeper::with_placement_policy(
                now,
                settings,
                ChaCha8Rng::seed_from_u64(seed),
                C::default(),
            );
            keeper.pool_changed(*generation, Some(pool.clone()));
            keeper
        })
    }

    pub(super) fn handle_request(
        &mut self,
        now: Moment,
        index: BoxIndex,
        number: u64,
        request: KeeperRequest,
    ) {
        let spec = self.trainer.receiver.spec().clone();
        let step = spec.step;
        let (held, seen) = (self.trainer.receiver.held().clone(), self.trainer.receiver.seen());
        let keeper = self.ensure_keeper(now, index);
        let reply = match request {
            KeeperRequest::Open => KeeperReply::Opened(keeper.open(now, spec, &held, seen)),
            KeeperRequest::Pull(pull) => KeeperReply::Pulled(keeper.pull(now, step, &pull)),
            KeeperRequest::Advance(version) => {
                KeeperReply::Opened(keeper.advance(now, step, version, seen))
            }
        };
        self.send_reply(now, number, reply);
    }

    pub(super) fn send_reply(&mut self, now: Moment, number: u64, reply: KeeperReply) {
        if let KeeperReply::Opened(Ok(state)) = &reply {
            let (slots, named) = (state.progress.slots, state.named);
            self.log_event(now, format!("step open: {slots} slots, version {named} named"));
        }
        if let KeeperReply::Pulled(Ok((batch, state))) = &reply
            && !batch.samples.is_empty()
        {
            let slots: Vec<String> =
                batch.samples.iter().map(|sample| format_sample(sample)).collect();
            let line = format!("delivered with token {}: {}", state.token, slots.join(", "));
            self.log_event(now, line);
        }
        if self.replies_to_lose > 0 {
            self.replies_to_lose -= 1;
            self.log_event(now, "reply lost");
            return;
        }
        if self.replies_to_duplicate > 0 {
            self.replies_to_duplicate -= 1;
            self.send(now, Event::Reply(number, reply.clone()));
        }
        self.send(now, Event::Reply(number, reply));
    }

    /// Performs the pending actions of a box's keeper and schedules its next wake-up.
    pub(super) fn run_keeper(&mut self, now: Moment, index: BoxIndex) {
        let sim_box = &mut self.boxes[index];
        let incarnation = sim_box.incarnation;
        let Some(keeper) = &mut sim_box.keeper else { return };
        let actions = keeper.poll(now);
        let wake = keeper.next_at(now);
        let acting_token = keeper.acting_token();
        if acting_token != sim_box.acting_token {
            sim_box.acting_token = acting_token;
            let message = match acting_token {
                Some(token) => format!("{} is keeper with token {token}", box_name(index)),
                None => format!("{} is no longer keeper", box_name(index)),
            };
            self.log_event(now, message);
        }
        for action in actions {
            match action {
                KeeperAction::Lease(action) => {
                    self.send(now, Event::LeaseCall(index, incarnation, action));
                }
                KeeperAction::Start(placement) => {
                    self.start_work(now, index, incarnation, placement);
                }
            }
        }
        if wake < Moment::START + self.plan.limit {
            // A wake-up at `now` could loop without advancing time.
            let at = wake.max(now + Duration::from_millis(1));
            let sim_box = &mut self.boxes[index];
            if sim_box.wake_at.is_none_or(|scheduled| at < scheduled || scheduled <= now) {
                sim_box.wake_at = Some(at);
                self.queue.0.push(at, Event::BoxWake(index));
            }
        }
    }

    pub(super) fn start_work(
        &mut self,
        now: Moment,
        index: BoxIndex,
        incarnation: u64,
        placement: Placement,
    ) {
        let run = RunId(self.next_run);
        self.next_run += 1;
        let slot = placement.assignment.slot;
        self.runs.insert(run, (slot, placement.target.clone()));
        self.log_event(now, format!("slot {slot} placed at {}", placement.target));
        self.send(now, Event::WorkArrives(index, incarnation, run, placement));
    }

    pub(super) fn call_store(
        &mut self,
        now: Moment,
        index: BoxIndex,
        incarnation: u64,
        action: LeaseAction,
    ) {
        let event = match action {
            LeaseAction::Read => Event::LeaseRead(index, incarnation, self.store.read()),
            LeaseAction::Write { expect, record } => {
                Event::LeaseWritten(index, incarnation, self.store.write(expect, record))
            }
        };
        self.send(now, event);
    }
}
