//! Homes and engines.

use std::time::Duration;

use ids::{Moment, TargetId};
use keeping::{AttemptOutcome, Placement};
use placement::{Admission, AdmissionRequest, PlacementPolicy, QueueEvent, Refusal};

use super::World;
use crate::engine::{EndedRun, EngineSite};
use crate::events::{BoxIndex, Event, RunId};

/// Time between a home's readings of its engine.
const READ_EVERY: Duration = Duration::from_millis(100);
/// How long work may wait at its home.
const QUEUE_WAIT: Duration = Duration::from_secs(5);

impl<C: PlacementPolicy + Default> World<C> {
    pub(super) fn engine(&mut self, id: &TargetId) -> &mut EngineSite {
        let found = self.engines.iter_mut().find(|engine| engine.id == *id);
        found.expect("work goes to engines of the session")
    }

    pub(super) fn at_home(
        &mut self,
        now: Moment,
        from: (BoxIndex, u64),
        run: RunId,
        placement: Placement,
    ) {
        if self.boxes[from.0].life != from.1 {
            return;
        }
        let ask = AdmissionRequest {
            trainer: Some(self.pool.trainers[0].clone()),
            window: Some(placement.assignment.window),
            deadline: now + QUEUE_WAIT,
        };
        let id = placement.target.clone();
        let engine = self.engine(&id);
        match engine.queue.request_admission(now, ask) {
            Admission::Admitted(ticket) => {
                engine.start(now, ticket, run, from, placement);
                self.watch_leaving(now, &id);
            }
            Admission::Queued(ticket) => engine.wait(ticket, run, from, placement),
            Admission::Refused(refusal) => self.refused(now, from, placement, refusal),
        }
        self.settle(now, &id);
    }

    /// Work may begin at an engine that leaves only until its home has read it.
    fn watch_leaving(&mut self, now: Moment, id: &TargetId) {
        let since = self.engine(id).leaving_since;
        if since.is_some_and(|since| now.since(since) > READ_EVERY) {
            self.truth.began_at_leaving(now, id);
        }
    }

    pub(super) fn refused(
        &mut self,
        now: Moment,
        from: (BoxIndex, u64),
        placement: Placement,
        refusal: Refusal,
    ) {
        let hint = self.engine(&placement.target.clone()).hint();
        let end = match refusal {
            Refusal::NotRun { reason, retry_after } => {
                AttemptOutcome::NotRun { reason, retry_after }
            }
            Refusal::Unknown => AttemptOutcome::Unusable,
        };
        self.send(now, Event::WorkEnds(from.0, from.1, placement, end, Some(hint)));
    }

    pub(super) fn settle(&mut self, now: Moment, id: &TargetId) {
        let events = self.engine(id).queue.poll(now);
        for event in events {
            match event {
                QueueEvent::Go(ticket) => {
                    let engine = self.engine(id);
                    if let Some((run, from, placement)) = engine.waited(ticket) {
                        engine.start(now, ticket, run, from, placement);
                        self.watch_leaving(now, id);
                    }
                }
                QueueEvent::Refused(ticket, refusal) => {
                    let waited = self.engine(id).waited(ticket);
                    if let Some((_, from, placement)) = waited {
                        self.refused(now, from, placement, refusal);
                    }
                }
            }
        }
        let engine = self.engine(id);
        let due = engine.model.next_at();
        if due != engine.due_at {
            engine.due_at = due;
            if let Some(at) = due {
                self.queue.0.push(at, Event::EngineDue(id.clone()));
            }
        }
    }

    pub(super) fn at_engine(&mut self, now: Moment, id: &TargetId) {
        let found = self.engines.iter().position(|engine| engine.id == *id);
        let Some(at) = found.filter(|at| self.engines[*at].due_at == Some(now)) else { return };
        let ended = self.engines[at].advance(now, &mut self.truth);
        self.ended(now, id, ended);
    }

    pub(super) fn ended(&mut self, now: Moment, id: &TargetId, ended: Vec<EndedRun>) {
        let hint = self.engine(id).hint();
        for EndedRun { from, placement, end } in ended {
            let how = if matches!(end, AttemptOutcome::Completed(_)) {
                "streamed whole"
            } else {
                "broke off"
            };
            let slot = placement.assignment.slot;
            self.say(now, format!("slot {slot} {how} from {id}"));
            let event = Event::WorkEnds(from.0, from.1, placement, end, Some(hint));
            self.send(now, event);
        }
        self.settle(now, id);
    }

    pub(super) fn read_engine(&mut self, now: Moment, id: &TargetId) {
        let engine = self.engine(id);
        let reading = engine.reading(now);
        engine.queue.read(now, &reading);
        self.settle(now, id);
        self.queue.0.push(now + READ_EVERY, Event::HomeReads(id.clone()));
    }
}
