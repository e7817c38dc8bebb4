//! Invariants of the admission queue over random operations.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use admission::{
    Admission, AdmissionQueue, AdmissionRequest, Grant, PermitOutcome, QueueEvent, ReportedLoad,
    TargetReport, TicketId,
};
use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use common::{customer, instance};
use ids::{InstanceId, Moment, Priority};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TARGETS: usize = 3;
const SLOTS: u32 = 6;
const OPERATIONS: usize = 300;

/// What the test knows of the queue.
struct Model {
    queue: AdmissionQueue,
    rng: ChaCha8Rng,
    now: Moment,
    listed: Vec<usize>,
    /// Targets may report loads and failures, which changes their limits.
    with_reports: bool,
    waiting: BTreeMap<TicketId, AdmissionRequest>,
    permits: BTreeMap<TicketId, (Moment, InstanceId)>,
}

impl Model {
    fn new(seed: u64, with_reports: bool) -> Self {
        let mut model = Self {
            queue: AdmissionQueue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Moment::START,
            listed: Vec::new(),
            with_reports,
            waiting: BTreeMap::new(),
            permits: BTreeMap::new(),
        };
        model.list((0..TARGETS).collect());
        model
    }

    /// Permits that a target may have at most.
    fn max_permits(&self) -> usize {
        if self.with_reports { 12 } else { 8 }
    }

    fn list(&mut self, targets: Vec<usize>) {
        let listed: Vec<_> = targets.iter().map(|at| (instance(*at), SLOTS)).collect();
        self.queue.set_targets(&listed);
        self.listed = targets;
    }

    fn in_use(&self, target: &InstanceId) -> usize {
        self.permits.values().filter(|(_, used)| used == target).count()
    }

    fn expire(&mut self) {
        let now = self.now;
        self.permits.retain(|_, (deadline, _)| *deadline > now);
    }

    fn grant(&mut self, grant: &Grant, request: &AdmissionRequest) {
        assert!(!request.avoid.contains(&grant.target), "a target to avoid is granted");
        assert!(self.listed.iter().any(|at| instance(*at) == grant.target), "an unlisted target");
        assert!(self.now < request.deadline, "a permit after the deadline");
        let ended = self.permits.insert(grant.ticket, (request.deadline, grant.target.clone()));
        assert!(ended.is_none(), "a request is granted twice");
        assert!(self.in_use(&grant.target) <= self.max_permits(), "too many permits in use");
    }

    fn ask(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let millis = u.int_in_range(0..=500)?;
        let avoid = if u.ratio(1, 4)? { vec![instance(u.choose_index(TARGETS)?)] } else { vec![] };
        let request = AdmissionRequest {
            route: "route".parse().expect("valid id"),
            customer: u.ratio(4, 5)?.then_some(customer(u.choose_index(4)?)),
            priority: Priority::new(u.int_in_range(0..=3)?),
            goal: Duration::from_millis(150),
            goal_by: self.now + Duration::from_millis(150),
            deadline: self.now + Duration::from_millis(millis),
            avoid,
        };
        self.expire();
        match self.queue.request(self.now, request.clone(), &mut self.rng) {
            Admission::Granted(grant) => self.grant(&grant, &request),
            Admission::Queued { ticket, .. } => {
                let known = self.waiting.insert(ticket, request).is_some();
                assert!(!known && !self.permits.contains_key(&ticket), "a ticket is used twice");
            }
            Admission::Rejected(rejection) => assert!(rejection.retry_after.as_secs() <= 2),
        }
        Ok(())
    }

    fn poll(&mut self) {
        self.expire();
        for event in self.queue.poll(self.now, &mut self.rng) {
            match event {
                QueueEvent::Granted(grant) => {
                    let request = self.waiting.remove(&grant.ticket).expect("it waits");
                    self.grant(&grant, &request);
                }
                QueueEvent::Rejected(ticket, _) => {
                    self.waiting.remove(&ticket).expect("it waits");
                }
            }
        }
        assert_eq!(self.queue.waiting(), self.waiting.len());
        assert_eq!(self.queue.in_use(), self.permits.len());
        for request in self.waiting.values() {
            assert!(self.now < request.deadline, "a request waits after its deadline");
            let listed = self.listed.iter().map(|at| instance(*at));
            let mut usable = listed.filter(|target| !request.avoid.contains(target));
            // Without reports no target fails and no limit changes.
            if self.with_reports {
                assert!(usable.next().is_some(), "a request waits for no target");
            } else {
                let has_room = usable.any(|target| self.in_use(&target) < self.max_permits());
                assert!(!has_room, "a request waits while a target has room");
            }
        }
    }

    fn release(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let tickets: Vec<_> = self.permits.keys().chain(self.waiting.keys()).copied().collect();
        if !tickets.is_empty() {
            let ticket = *u.choose(&tickets)?;
            self.queue.release(self.now, ticket);
            self.permits.remove(&ticket);
            self.waiting.remove(&ticket);
        }
        Ok(())
    }

    fn report(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let outcomes = [
            PermitOutcome::Served,
            PermitOutcome::Refused,
            PermitOutcome::Broken,
            PermitOutcome::Gone,
        ];
        let load =
            ReportedLoad { running: u.int_in_range(0..=6)?, waiting: u.int_in_range(0..=24)? };
        let load = u.ratio(2, 3)?.then_some(load);
        let target = instance(u.choose_index(TARGETS)?);
        self.queue.report(self.now, &TargetReport { target, outcome: *u.choose(&outcomes)?, load });
        Ok(())
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=19)? {
            0..=8 => self.ask(u)?,
            9..=12 => self.release(u)?,
            13..=15 => self.now = self.now + Duration::from_millis(u.int_in_range(0..=40)?),
            16 if self.with_reports => self.report(u)?,
            17 => {
                let targets = (0..TARGETS).filter(|_| u.ratio(4, 5).unwrap_or(true)).collect();
                self.list(targets);
            }
            18 => {
                let changed = u.choose_index(4)?;
                let priority = Priority::new(u.int_in_range(0..=3)?);
                let is_changed = |of: Option<&ids::CustomerName>| of == Some(&customer(changed));
                self.queue.update_priorities(|_, of| is_changed(of).then_some(priority));
            }
            _ => {}
        }
        self.poll();
        Ok(())
    }
}

fn run(u: &mut Unstructured<'_>, with_reports: bool) -> Result<()> {
    let mut model = Model::new(u.arbitrary()?, with_reports);
    for _ in 0..OPERATIONS {
        model.step(u)?;
    }
    // Every request ends, also if nobody releases a permit.
    model.now = model.now + Duration::from_secs(1);
    model.poll();
    assert!(model.waiting.is_empty() && model.permits.is_empty());
    Ok(())
}

/// Guards against permits above a limit, requests without an outcome or with two, and requests that
/// wait while a target has room.
#[test]
fn permits_and_outcomes_are_counted_right() {
    for seed in 0..300_u64 {
        arbtest(|u| run(u, false)).seed(seed.wrapping_mul(0x9e37_79b9) << 32 | 65_536);
    }
}

/// Guards against the same faults while targets fail, refuse and report their load.
#[test]
fn permits_and_outcomes_are_counted_right_while_targets_fail() {
    for seed in 0..300_u64 {
        arbtest(|u| run(u, true)).seed(seed.wrapping_mul(0x9e37_79b9) << 32 | 65_536);
    }
}
