//! Boxes and their keepers, and the store they lease from.

use coord::lease::LeaseAction;
use ids::{BoxId, Incarnation, Moment};
use keeping::{KeeperAction, KeeperSettings, Placement, StepKeeper};
use placement::PlacementPolicy;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

use super::{World, box_name, name, shown};
use crate::events::{BoxIndex, Event, Question, Reply, RunId};

impl<C: PlacementPolicy + Default> World<C> {
    pub(super) fn at_box(&mut self, now: Moment, index: BoxIndex, event: Event) {
        let site = &mut self.boxes[index];
        if site.stopped {
            return;
        }
        if site.frozen {
            site.held_back.push(event);
            return;
        }
        match event {
            Event::LeaseRead(_, _, outcome) => {
                if let Some(keeper) = &mut site.keeper {
                    keeper.lease_read(now, outcome);
                }
            }
            Event::LeaseWritten(_, _, outcome) => {
                if let Some(keeper) = &mut site.keeper {
                    keeper.lease_written(now, outcome);
                }
            }
            Event::WorkEnds(_, _, placement, end, hint) => {
                if let Some(keeper) = &mut site.keeper {
                    keeper.attempt_ended(now, &placement, end, hint);
                }
            }
            Event::Question(_, number, question) => self.answer(now, index, number, question),
            Event::HandOver(_, snapshots, token) => {
                self.keeper(now, index).adopt(now, snapshots, token);
            }
            _ => {}
        }
        self.drive(now, index);
    }

    pub(super) fn keeper(
        &mut self,
        now: Moment,
        index: BoxIndex,
    ) -> &mut StepKeeper<ChaCha8Rng, C> {
        let seed = self.rng.random();
        let (plan, pool, generation) = (&self.plan, &self.pool, &self.generation);
        let site = &mut self.boxes[index];
        site.keeper.get_or_insert_with(|| {
            let settings = KeeperSettings {
                me: name::<BoxId>(&box_name(index)),
                incarnation: Incarnation::new(site.life),
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

    pub(super) fn answer(&mut self, now: Moment, index: BoxIndex, number: u64, question: Question) {
        let spec = self.trainer.intake.spec().clone();
        let step = spec.step;
        let (held, seen) = (self.trainer.intake.held().clone(), self.trainer.intake.seen());
        let keeper = self.keeper(now, index);
        let reply = match question {
            Question::Open => Reply::Opened(keeper.open(now, spec, &held, seen)),
            Question::Pull(pull) => Reply::Pulled(keeper.pull(now, step, &pull)),
            Question::Advance(version) => Reply::Opened(keeper.advance(now, step, version, seen)),
        };
        self.reply(now, number, reply);
    }

    pub(super) fn reply(&mut self, now: Moment, number: u64, reply: Reply) {
        if let Reply::Opened(Ok(state)) = &reply {
            let (slots, named) = (state.progress.slots, state.named);
            self.say(now, format!("step open: {slots} slots, version {named} named"));
        }
        if let Reply::Pulled(Ok((out, state))) = &reply
            && !out.samples.is_empty()
        {
            let slots: Vec<String> = out.samples.iter().map(|sample| shown(sample)).collect();
            let line = format!("handed out under token {}: {}", state.token, slots.join(", "));
            self.say(now, line);
        }
        if self.lose_replies > 0 {
            self.lose_replies -= 1;
            self.say(now, "the reply is lost");
            return;
        }
        if self.double_replies > 0 {
            self.double_replies -= 1;
            self.send(now, Event::Reply(number, reply.clone()));
        }
        self.send(now, Event::Reply(number, reply));
    }

    /// Carries out what a box's keeper wants done.
    pub(super) fn drive(&mut self, now: Moment, index: BoxIndex) {
        let site = &mut self.boxes[index];
        let life = site.life;
        let Some(keeper) = &mut site.keeper else { return };
        let actions = keeper.poll(now);
        let wake = keeper.next_at(now);
        let acting = keeper.acting_token();
        if acting != site.acting {
            site.acting = acting;
            let said = match acting {
                Some(token) => format!("{} keeps the step under token {token}", box_name(index)),
                None => format!("{} stepped down", box_name(index)),
            };
            self.say(now, said);
        }
        for action in actions {
            match action {
                KeeperAction::Lease(action) => {
                    self.send(now, Event::LeaseCall(index, life, action));
                }
                KeeperAction::Start(placement) => self.place(now, index, life, placement),
            }
        }
        if wake < Moment::START + self.plan.limit {
            // At least a little later, so that time moves on.
            let at = wake.max(now + Duration::from_millis(1));
            let site = &mut self.boxes[index];
            if site.wake_at.is_none_or(|known| at < known || known <= now) {
                site.wake_at = Some(at);
                self.queue.0.push(at, Event::BoxWake(index));
            }
        }
    }

    pub(super) fn place(&mut self, now: Moment, index: BoxIndex, life: u64, placement: Placement) {
        let run = RunId(self.next_run);
        self.next_run += 1;
        let slot = placement.assignment.slot;
        self.runs.insert(run, (slot, placement.target.clone()));
        self.say(now, format!("slot {slot} placed at {}", placement.target));
        self.send(now, Event::WorkArrives(index, life, run, placement));
    }

    pub(super) fn at_store(
        &mut self,
        now: Moment,
        index: BoxIndex,
        life: u64,
        action: LeaseAction,
    ) {
        let event = match action {
            LeaseAction::Read => Event::LeaseRead(index, life, self.store.read()),
            LeaseAction::Write { expect, record } => {
                Event::LeaseWritten(index, life, self.store.write(expect, record))
            }
        };
        self.send(now, event);
    }
}
