//! Engines and the admission of work at their homes.

use std::time::Duration;

use ids::{Moment, TargetId};
use keeping::{AttemptOutcome, Placement};
use placement::{Admission, AdmissionRequest, PlacementPolicy, QueueEvent, Refusal};

use super::World;
use crate::engine::{EndedRun, SimEngine};
use crate::events::{BoxIndex, Event, RunId};

/// Interval at which a home reads the state of its engine.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that work waits for admission at its home.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(5);

impl<C: PlacementPolicy + Default> World<C> {
    pub(super) fn engine(&mut self, id: &TargetId) -> &mut SimEngine {
        let found = self.engines.iter_mut().find(|engine| engine.id == *id);
        found.expect("work is placed only at engines of the session")
    }

    pub(super) fn admit_work(
        &mut self,
        now: Moment,
        from: (BoxIndex, u64),
        run: RunId,
        placement: Placement,
    ) {
        if self.boxes[from.0].incarnation != from.1 {
            return;
        }
        let request = AdmissionRequest {
            trainer: Some(self.pool.trainers[0].clone()),
            window: Some(placement.assignment.window),
            deadline: now + QUEUE_TIMEOUT,
        };
        let id = placement.target.clone();
        let engine = self.engine(&id);
        match engine.queue.request_admission(now, request) {
            Admission::Admitted(ticket) => {
                engine.start(now, ticket, run, from, placement);
                self.check_leaving(now, &id);
            }
            Admission::Queued(ticket) => engine.enqueue(ticket, run, from, placement),
            Admission::Refused(refusal) => self.send_refusal(now, from, placement, refusal),
        }
        self.process_engine(now, &id);
    }

    /// Records a violation if work starts at a leaving engine after its home has read that state.
    fn check_leaving(&mut self, now: Moment, id: &TargetId) {
        let since = self.engine(id).leaving_since;
        if since.is_some_and(|since| now.since(since) > READ_INTERVAL) {
            self.checker.record_start_at_leaving(now, id);
        }
    }

    pub(super) fn send_refusal(
        &mut self,
        now: Moment,
        from: (BoxIndex, u64),
        placement: Placement,
        refusal: Refusal,
    ) {
        let hint = self.engine(&placement.target.clone()).hint();
        let outcome = match refusal {
            Refusal::NotRun { reason, retry_after } => {
                AttemptOutcome::NotRun { reason, retry_after }
            }
            Refusal::Unknown => AttemptOutcome::Unusable,
        };
        self.send(now, Event::AttemptEnded(from.0, from.1, placement, outcome, Some(hint)));
    }

    /// Handles the queue events of the home and schedules the next step of the engine.
    pub(super) fn process_engine(&mut self, now: Moment, id: &TargetId) {
        let events = self.engine(id).queue.poll(now);
        for event in events {
            match event {
                QueueEvent::Go(ticket) => {
                    let engine = self.engine(id);
                    if let Some((run, from, placement)) = engine.take_waiting(ticket) {
                        engine.start(now, ticket, run, from, placement);
                        self.check_leaving(now, id);
                    }
                }
                QueueEvent::Refused(ticket, refusal) => {
                    let waiting_work = self.engine(id).take_waiting(ticket);
                    if let Some((_, from, placement)) = waiting_work {
                        self.send_refusal(now, from, placement, refusal);
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

    pub(super) fn advance_engine(&mut self, now: Moment, id: &TargetId) {
        let found = self.engines.iter().position(|engine| engine.id == *id);
        let Some(at) = found.filter(|at| self.engines[*at].due_at == Some(now)) else { return };
        let ended = self.engines[at].advance(now, &mut self.checker);
        self.report_ended(now, id, ended);
    }

    pub(super) fn report_ended(&mut self, now: Moment, id: &TargetId, ended: Vec<EndedRun>) {
        let hint = self.engine(id).hint();
        for EndedRun { from, placement, outcome } in ended {
            let how = if matches!(outcome, AttemptOutcome::Completed(_)) {
                "completed"
            } else {
                "unusable"
            };
            let slot = placement.assignment.slot;
            self.log_event(now, format!("slot {slot} {how} at {id}"));
            let event = Event::AttemptEnded(from.0, from.1, placement, outcome, Some(hint));
            self.send(now, event);
        }
        self.process_engine(now, id);
    }

    pub(super) fn read_engine(&mut self, now: Moment, id: &TargetId) {
        let engine = self.engine(id);
        let reading = engine.reading(now);
        engine.queue.read(now, &reading);
        self.process_engine(now, id);
        self.queue.0.push(now + READ_INTERVAL, Event::HomeReadDue(id.clone()));
    }
}
