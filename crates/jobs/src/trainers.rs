//! How late the earlier steps of each trainer ended.

use std::collections::HashMap;
use std::time::Duration;

use ids::Moment;
use wire::peer::Job;

/// A record older than this when it is applied is replayed from a log. The delay of an acceptance is
/// far shorter.
const REPLAY_AGE: Duration = Duration::from_secs(1);

/// Identifies a trainer: customer, host and model of its jobs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct TrainerKey {
    customer: String,
    host: String,
    model: String,
}

impl TrainerKey {
    /// Returns the trainer of a job.
    pub fn of(job: &Job) -> Self {
        Self { customer: job.customer.clone(), host: job.host.clone(), model: job.model.clone() }
    }
}

/// Lateness of the last completed step of each trainer, in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct TrainerLateness(HashMap<TrainerKey, f64>);

impl TrainerLateness {
    /// Records how late a step had its wanted groups, or ended without them.
    pub fn record(&mut self, job: &Job, late_ms: f64) {
        self.0.insert(TrainerKey::of(job), late_ms.max(0.0));
    }

    /// Returns the lateness of a trainer's last completed step.
    pub fn get(&self, trainer: &TrainerKey) -> f64 {
        self.0.get(trainer).copied().unwrap_or_default()
    }

    /// Keeps the trainers of these jobs only.
    pub fn retain<'a>(&mut self, jobs: impl Iterator<Item = &'a Job>) {
        let kept: std::collections::HashSet<TrainerKey> = jobs.map(TrainerKey::of).collect();
        self.0.retain(|trainer, _| kept.contains(trainer));
    }
}

/// When a job is due, on the clock of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct DueTime {
    /// Milliseconds since [`Moment::START`], negative if before it; `None` if the job has no due
    /// time.
    at_ms: Option<f64>,
    /// Whether the job was replayed from a log. When it was completed can't be told from a replay.
    pub replayed: bool,
}

impl DueTime {
    /// Returns the due time of a job whose record is applied at `now`, `wall_ms` by the wall clock.
    pub fn new(job: &Job, now: Moment, wall_ms: Option<u64>) -> Self {
        let accepted = Some(job.accepted_wall_ms).filter(|accepted| *accepted > 0);
        let age = wall_ms.zip(accepted).map(|(wall, accepted)| wall.saturating_sub(accepted));
        let age = Duration::from_millis(age.unwrap_or_default());
        let due = Duration::from_millis(job.due_ms);
        let at_ms = millis(now) + (due.as_secs_f64() - age.as_secs_f64()) * 1_000.0;
        Self { at_ms: (job.due_ms > 0).then_some(at_ms), replayed: age > REPLAY_AGE }
    }

    /// Returns the time left until the job is due, in milliseconds; negative afterwards.
    pub fn due_in_ms(self, now: Moment) -> Option<f64> {
        self.at_ms.map(|at| at - millis(now))
    }
}

fn millis(at: Moment) -> f64 {
    at.since(Moment::START).as_secs_f64() * 1_000.0
}
