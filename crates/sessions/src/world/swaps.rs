//! The conductor and its orders.

use std::time::Duration;

use ::swaps::{RolloutAction, SwapOrder};
use ids::{Incarnation, ModelVersion, Moment, TargetId};
use placement::{OrderOutcome, PlacementPolicy};
use standins::engine_model::OrderStart;

use super::World;
use crate::events::Event;

/// Time between the conductor's looks.
const CONDUCT_EVERY: Duration = Duration::from_millis(100);

impl<C: PlacementPolicy + Default> World<C> {
    pub(super) fn conduct(&mut self, now: Moment) {
        let engines = self.engines.iter().filter(|engine| engine.leaving_since.is_none());
        let replicas: Vec<(TargetId, bool)> =
            engines.map(|engine| (engine.id.clone(), true)).collect();
        self.conductor.want(self.pool.version, self.pool.swap, replicas);
        for action in self.conductor.poll(now) {
            match action {
                RolloutAction::Order(order) => self.order(now, order),
                RolloutAction::Read(id) => {
                    let reading = self.engine(&id).reading(now);
                    let version = reading.version.filter(|_| !reading.loading);
                    let reading = Some((reading.incarnation, version));
                    self.send(now, Event::ConductorRead(id, now, reading));
                }
            }
        }
        self.queue.0.push(now + CONDUCT_EVERY, Event::ConductorDue);
    }

    pub(super) fn order(&mut self, now: Moment, order: SwapOrder) {
        self.say(now, format!("{} ordered to load version {}", order.target, order.version));
        let engine = self.engine(&order.target);
        engine.queue.order_sent(order.version, now + order.ttl);
        if engine.refuse_orders > 0 {
            engine.refuse_orders -= 1;
            self.send(now, Event::OrderEnded(order.target, Some(false)));
            return;
        }
        let started = engine.model.order(now, order.version, order.token);
        if engine.lose_orders > 0 {
            engine.lose_orders -= 1;
            self.send(now, Event::OrderEnded(order.target, None));
            return;
        }
        match started {
            OrderStart::LoadedAt(at) => {
                self.queue.0.push(at, Event::OrderEnded(order.target, Some(true)));
            }
            OrderStart::OldToken(_) => self.send(now, Event::OrderEnded(order.target, Some(false))),
        }
    }

    pub(super) fn order_ended(&mut self, now: Moment, id: &TargetId, outcome: Option<bool>) {
        let version = self.pool.version;
        let ended = match outcome {
            Some(true) => OrderOutcome::Done,
            Some(false) => OrderOutcome::Refused,
            None => OrderOutcome::Unknown,
        };
        self.say(now, format!("{id}'s order ended: {ended:?}"));
        self.engine(id).queue.order_completed(now, version, ended);
        self.conductor.order_completed(now, id, outcome);
        self.settle(now, id);
    }

    pub(super) fn conductor_read(
        &mut self,
        now: Moment,
        id: &TargetId,
        asked_at: Moment,
        reading: Option<(Incarnation, Option<ModelVersion>)>,
    ) {
        match reading {
            Some((life, version)) => self.conductor.read(asked_at, now, id, life, version),
            None => self.conductor.read_failed(now, id),
        }
    }
}
