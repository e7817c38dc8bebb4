//! The rollout coordinator and its orders.

use std::time::Duration;

use ::swaps::{RolloutAction, SwapOrder};
use ids::{Incarnation, ModelVersion, Moment, TargetId};
use placement::{OrderOutcome, PlacementPolicy};
use standins::engine_model::OrderStart;

use super::World;
use crate::events::Event;

/// Interval between polls of the rollout coordinator.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

impl<C: PlacementPolicy + Default> World<C> {
    pub(super) fn poll_coordinator(&mut self, now: Moment) {
        let engines = self.engines.iter().filter(|engine| engine.leaving_since.is_none());
        let replicas: Vec<(TargetId, bool)> =
            engines.map(|engine| (engine.id.clone(), true)).collect();
        self.coordinator.want(self.pool.version, self.pool.swap, replicas);
        for action in self.coordinator.poll(now) {
            match action {
                RolloutAction::Order(order) => self.send_order(now, order),
                RolloutAction::Read(id) => {
                    let reading = self.engine(&id).reading(now);
                    let version = reading.version.filter(|_| !reading.loading);
                    let reading = Some((reading.incarnation, version));
                    self.send(now, Event::CoordinatorRead(id, now, reading));
                }
            }
        }
        self.queue.0.push(now + POLL_INTERVAL, Event::CoordinatorDue);
    }

    pub(super) fn send_order(&mut self, now: Moment, order: SwapOrder) {
        self.log_event(now, format!("{} ordered to load version {}", order.target, order.version));
        let engine = self.engine(&order.target);
        engine.queue.order_sent(order.version, now + order.ttl);
        if engine.orders_to_refuse > 0 {
            engine.orders_to_refuse -= 1;
            self.send(now, Event::OrderCompleted(order.target, Some(false)));
            return;
        }
        let started = engine.model.order(now, order.version, order.token);
        if engine.order_responses_to_lose > 0 {
            engine.order_responses_to_lose -= 1;
            self.send(now, Event::OrderCompleted(order.target, None));
            return;
        }
        match started {
            OrderStart::LoadedAt(at) => {
                self.queue.0.push(at, Event::OrderCompleted(order.target, Some(true)));
            }
            OrderStart::OldToken(_) => {
                self.send(now, Event::OrderCompleted(order.target, Some(false)));
            }
        }
    }

    pub(super) fn handle_order_outcome(
        &mut self,
        now: Moment,
        id: &TargetId,
        outcome: Option<bool>,
    ) {
        let version = self.pool.version;
        let order_outcome = match outcome {
            Some(true) => OrderOutcome::Done,
            Some(false) => OrderOutcome::Refused,
            None => OrderOutcome::Unknown,
        };
        self.log_event(now, format!("order outcome at {id}: {order_outcome:?}"));
        self.engine(id).queue.order_completed(now, version, order_outcome);
        self.coordinator.order_completed(now, id, outcome);
        self.process_engine(now, id);
    }

    pub(super) fn handle_coordinator_read(
        &mut self,
        now: Moment,
        id: &TargetId,
        requested_at: Moment,
        reading: Option<(Incarnation, Option<ModelVersion>)>,
    ) {
        match reading {
            Some((incarnation, version)) => {
                self.coordinator.read(requested_at, now, id, incarnation, version);
            }
            None => self.coordinator.read_failed(now, id),
        }
    }
}
