//! Helpers: an event loop over virtual time with callers, boxes, admission homes and targets of one
//! service.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(
    clippy::cast_precision_loss,
    missing_docs,
    reason = "counts of a test are far below 2^52; helpers of tests"
)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::f64::consts::TAU;
use std::time::Duration;

use admission::{
    Admission, AdmissionQueue, AdmissionRequest, PermitOutcome, QueueEvent, RejectReason,
    Rejection, ReportedLoad, TargetReport, TicketId,
};
use ids::{CustomerName, InstanceId, Moment, Priority};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const GOAL: Duration = Duration::from_millis(150);
pub const DEADLINE: Duration = Duration::from_secs(2);
/// Requests per second that three targets of 6 slots serve at 25 ms per request.
pub const CAPACITY: f64 = 720.0;
const SLOTS: u32 = 6;
/// Requests that a target queues.
const QUEUE: usize = 24;
/// Mean service time in seconds.
const MEAN_SERVICE: f64 = 0.025;
/// Standard deviation of the logarithm of the service time.
const SIGMA: f64 = 0.5;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time until the home learns that a target is lost.
const LOSS_NOTICE: Duration = Duration::from_secs(1);

pub fn at(seconds: f64) -> Moment {
    Moment::START + Duration::from_secs_f64(seconds)
}

pub fn instance(index: usize) -> InstanceId {
    format!("target-{index}").parse().expect("valid id")
}

pub fn customer(index: usize) -> CustomerName {
    format!("customer-{index}").parse().expect("valid id")
}

/// What happens besides the arrivals.
pub struct Setup {
    pub seed: u64,
    pub homes: usize,
    /// Requests per second that reach the targets without a permit.
    pub unpermitted: f64,
    pub lost_target: Option<f64>,
    /// Fraction of permits whose holder never releases them.
    pub unreleased: f64,
    /// Service time grows by this fraction between half and all slots.
    pub slowdown: f64,
    /// Time by which boxes report outcomes after they release permits.
    pub report_delay: Duration,
}

impl Default for Setup {
    fn default() -> Self {
        let (homes, unpermitted, unreleased, slowdown) = (1, 0.0, 0.0, 0.0);
        let report_delay = Duration::ZERO;
        Self { seed: 7, homes, unpermitted, lost_target: None, unreleased, slowdown, report_delay }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Served,
    Refused(RejectReason),
    /// The target refused, or was gone before the request ran.
    NotRun,
    Broken,
}

/// One caller request, with up to two attempts.
#[derive(Debug, Clone)]
pub struct Caller {
    pub arrived: Moment,
    pub customer: usize,
    pub priority: u8,
    pub holds_permit: bool,
    /// Each attempt's outcome with its time since the start of the attempt.
    pub attempts: Vec<(End, Duration)>,
    pub retry_after: Vec<Duration>,
    pub ended: Option<Moment>,
    tried_at: Moment,
    avoid: Vec<InstanceId>,
}

impl Caller {
    /// Whether the last attempt was served within this time from its own start.
    pub fn is_served_within(&self, limit: Duration) -> bool {
        let is_served = self.attempts.last().is_some_and(|(end, _)| *end == End::Served);
        is_served && self.attempts.last().is_some_and(|(_, took)| *took <= limit)
    }
}

#[derive(Default)]
struct Target {
    running: Vec<usize>,
    waiting: VecDeque<usize>,
    is_lost: bool,
}

enum Event {
    Ask(usize),
    Answer(usize, Rejection),
    Send(usize, usize, Option<TicketId>),
    Ended(usize, usize),
    Report(usize, TargetReport),
    Release(usize, TicketId),
    Lose(usize),
    Unlist(usize),
    Poll,
}

pub struct Simulation {
    setup: Setup,
    rng: ChaCha8Rng,
    now: Moment,
    events: BTreeMap<(Moment, u64), Event>,
    next_event: u64,
    pub callers: Vec<Caller>,
    homes: Vec<AdmissionQueue>,
    tickets: HashMap<(usize, TicketId), usize>,
    granted: HashMap<usize, TicketId>,
    targets: Vec<Target>,
    /// Requests with a permit that reached targets, and those of them that were refused.
    pub reached: usize,
    pub refused: usize,
    pub max_waiting: usize,
    /// End of the arrivals.
    pub until: Moment,
}

impl Simulation {
    pub fn new(setup: Setup) -> Self {
        let listed: Vec<_> = (0..3).map(|index| (instance(index), SLOTS)).collect();
        let mut home = AdmissionQueue::default();
        home.set_targets(&listed);
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            now: Moment::START,
            events: BTreeMap::new(),
            next_event: 0,
            callers: Vec::new(),
            homes: vec![home; setup.homes],
            tickets: HashMap::new(),
            granted: HashMap::new(),
            targets: (0..3).map(|_| Target::default()).collect(),
            reached: 0,
            refused: 0,
            max_waiting: 0,
            until: Moment::START,
            setup,
        };
        simulation.schedule(Duration::ZERO, Event::Poll);
        if let Some(lost) = simulation.setup.lost_target {
            let lost = Duration::from_secs_f64(lost);
            simulation.schedule(lost, Event::Lose(0));
            simulation.schedule(lost + LOSS_NOTICE, Event::Unlist(0));
        }
        simulation
    }

    /// Adds callers that arrive at random times.
    pub fn arrivals(&mut self, (from, to): (f64, f64), rate: f64, customer: usize, priority: u8) {
        self.add(from, to, rate, |caller| {
            (caller.customer, caller.priority) = (customer, priority);
        });
    }

    fn add(&mut self, from: f64, to: f64, rate: f64, set: impl Fn(&mut Caller)) {
        if rate <= 0.0 {
            return;
        }
        let mut time = from;
        loop {
            time -= (1.0 - self.rng.random::<f64>()).ln() / rate;
            if time >= to {
                return;
            }
            let mut caller = Caller {
                arrived: at(time),
                customer: 0,
                priority: 5,
                holds_permit: true,
                attempts: Vec::new(),
                retry_after: Vec::new(),
                ended: None,
                tried_at: at(time),
                avoid: Vec::new(),
            };
            set(&mut caller);
            let event = if caller.holds_permit {
                Event::Ask(self.callers.len())
            } else {
                Event::Send(self.callers.len(), self.rng.random_range(0..3), None)
            };
            self.callers.push(caller);
            let delay = Duration::from_secs_f64(time) + self.message();
            self.schedule(delay, event);
        }
    }

    /// Adds callers of ten customers with equal rates.
    pub fn equal_customers(&mut self, times: (f64, f64), rate: f64) {
        (0..10).for_each(|customer| self.arrivals(times, rate / 10.0, customer, 5));
    }

    /// Runs until `seconds`, and then until all callers have an outcome.
    pub fn run(&mut self, seconds: f64) {
        self.until = at(seconds);
        self.add(0.0, seconds, self.setup.unpermitted, |caller| caller.holds_permit = false);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > at(seconds + 10.0) {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        assert!(self.callers.iter().all(|c| c.ended.is_some()), "every request has an outcome");
        assert!(self.homes.iter().all(|home| home.waiting() == 0), "nothing waits forever");
        assert!(self.homes.iter().all(|home| home.in_use() == 0), "all permits end");
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + delay, self.next_event), event);
    }

    fn message(&mut self) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(0.001..0.002))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask(id) => self.ask(id),
            Event::Answer(id, rejection) => {
                self.callers[id].retry_after.push(rejection.retry_after);
                self.attempt_ended(id, End::Refused(rejection.reason));
            }
            Event::Send(id, target, ticket) => self.send(id, target, ticket),
            Event::Ended(id, target) => self.ended(id, target),
            Event::Report(home, report) => self.homes[home].report(self.now, &report),
            Event::Release(home, ticket) => {
                self.homes[home].release(self.now, ticket);
                self.poll(home);
            }
            Event::Lose(target) => self.lose(target),
            Event::Unlist(target) => {
                let listed: Vec<_> =
                    (0..3).filter(|at| *at != target).map(|at| (instance(at), SLOTS)).collect();
                self.homes.iter_mut().for_each(|home| home.set_targets(&listed));
            }
            Event::Poll => {
                (0..self.homes.len()).for_each(|home| self.poll(home));
                self.schedule(POLL_INTERVAL, Event::Poll);
            }
        }
    }

    fn ask(&mut self, id: usize) {
        let caller = &self.callers[id];
        let (goal_by, deadline) = (caller.arrived + GOAL, caller.arrived + DEADLINE);
        let request = AdmissionRequest {
            route: "route".parse().expect("valid id"),
            customer: Some(customer(caller.customer)),
            priority: Priority::new(caller.priority),
            goal: GOAL,
            goal_by,
            deadline,
            avoid: caller.avoid.clone(),
        };
        let home = id % self.homes.len();
        match self.homes[home].request(self.now, request, &mut self.rng) {
            Admission::Granted(grant) => self.grant(id, &grant),
            Admission::Queued { ticket, .. } => {
                self.tickets.insert((home, ticket), id);
            }
            Admission::Rejected(rejection) => self.answer(id, rejection),
        }
        self.max_waiting = self.max_waiting.max(self.homes[home].waiting());
        self.poll(home);
    }

    fn poll(&mut self, home: usize) {
        for event in self.homes[home].poll(self.now, &mut self.rng) {
            match event {
                QueueEvent::Granted(grant) => {
                    let id = self.tickets.remove(&(home, grant.ticket)).expect("it waits");
                    self.grant(id, &grant);
                }
                QueueEvent::Rejected(ticket, rejection) => {
                    let id = self.tickets.remove(&(home, ticket)).expect("it waits");
                    self.answer(id, rejection);
                }
            }
        }
    }

    fn grant(&mut self, id: usize, grant: &admission::Grant) {
        let target = (0..3).find(|at| instance(*at) == grant.target).expect("a listed target");
        self.granted.insert(id, grant.ticket);
        let delay = self.message();
        self.schedule(delay, Event::Send(id, target, Some(grant.ticket)));
    }

    fn answer(&mut self, id: usize, rejection: Rejection) {
        let delay = self.message();
        self.schedule(delay, Event::Answer(id, rejection));
    }

    fn send(&mut self, id: usize, target: usize, ticket: Option<TicketId>) {
        self.reached += usize::from(ticket.is_some());
        let state = &mut self.targets[target];
        if state.is_lost {
            self.callers[id].avoid.push(instance(target));
            self.report(id, target, PermitOutcome::Gone);
            // The request did not run, so the box asks for another target.
            let delay = self.message();
            self.schedule(delay, Event::Ask(id));
        } else if state.running.len() < SLOTS as usize {
            self.start(id, target);
        } else if state.waiting.len() < QUEUE {
            state.waiting.push_back(id);
        } else {
            self.refused += usize::from(ticket.is_some());
            self.report(id, target, PermitOutcome::Refused);
            self.attempt_ended(id, End::NotRun);
        }
    }

    fn start(&mut self, id: usize, target: usize) {
        let state = &mut self.targets[target];
        state.running.push(id);
        let filled = state.running.len() as f64 / f64::from(SLOTS);
        let slowdown = 1.0 + self.setup.slowdown * (filled * 2.0 - 1.0).max(0.0);
        // Box-Muller transform.
        let (u, v): (f64, f64) = (1.0 - self.rng.random::<f64>(), self.rng.random());
        let normal = (-2.0 * u.ln()).sqrt() * (TAU * v).cos();
        let time = MEAN_SERVICE * slowdown * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
        self.schedule(Duration::from_secs_f64(time), Event::Ended(id, target));
    }

    fn ended(&mut self, id: usize, target: usize) {
        let state = &mut self.targets[target];
        let Some(at) = state.running.iter().position(|running| *running == id) else { return };
        state.running.swap_remove(at);
        if let Some(next) = state.waiting.pop_front() {
            self.start(next, target);
        }
        self.report(id, target, PermitOutcome::Served);
        self.attempt_ended(id, End::Served);
    }

    fn lose(&mut self, target: usize) {
        let state = &mut self.targets[target];
        state.is_lost = true;
        let lost: Vec<_> = state.running.drain(..).chain(state.waiting.drain(..)).collect();
        for id in lost {
            self.report(id, target, PermitOutcome::Broken);
            self.attempt_ended(id, End::Broken);
        }
    }

    /// Releases the permit and reports the outcome to the home.
    fn report(&mut self, id: usize, target: usize, outcome: PermitOutcome) {
        let Some(ticket) = self.granted.remove(&id) else { return };
        if self.rng.random::<f64>() < self.setup.unreleased {
            return;
        }
        let state = &self.targets[target];
        let load = ReportedLoad {
            running: u32::try_from(state.running.len()).expect("few"),
            waiting: u32::try_from(state.waiting.len()).expect("few"),
        };
        let load = (!state.is_lost).then_some(load);
        let report = TargetReport { target: instance(target), outcome, load };
        let delay = self.message();
        let home = id % self.homes.len();
        self.schedule(delay + self.setup.report_delay, Event::Report(home, report));
        self.schedule(delay, Event::Release(home, ticket));
    }

    /// Ends an attempt; the caller returns once after a refusal.
    fn attempt_ended(&mut self, id: usize, end: End) {
        let caller = &mut self.callers[id];
        caller.attempts.push((end, self.now.since(caller.tried_at)));
        let is_refused = matches!(end, End::Refused(_) | End::NotRun);
        if !is_refused || caller.attempts.len() > 1 || !caller.holds_permit {
            assert!(caller.ended.is_none(), "a request has one outcome");
            caller.ended = Some(self.now);
            return;
        }
        let left = (caller.arrived + DEADLINE).since(self.now) / 3;
        let delay = caller.retry_after.last().map_or(left, |after| left.min(*after));
        caller.tried_at = self.now + delay;
        let delay = delay + self.message();
        self.schedule(delay, Event::Ask(id));
    }

    /// Requests with a permit that reached targets, per caller request.
    pub fn reached_per_caller(&self) -> f64 {
        self.reached as f64 / self.asking().count() as f64
    }

    /// Callers that use the homes.
    pub fn asking(&self) -> impl Iterator<Item = &Caller> {
        self.callers.iter().filter(|caller| caller.holds_permit)
    }

    /// Fraction of `CAPACITY` that was served within the goal while callers arrived.
    pub fn in_goal(&self) -> f64 {
        let ended = self.asking().filter(|c| c.ended.is_some_and(|ended| ended < self.until));
        let in_goal = ended.filter(|caller| caller.is_served_within(GOAL)).count();
        in_goal as f64 / (CAPACITY * self.until.since_start().as_secs_f64())
    }

    /// Longest time from the start of an attempt to its refusal.
    pub fn slowest_refusal(&self) -> Duration {
        let attempts = self.asking().flat_map(|caller| &caller.attempts);
        let refused = attempts.filter(|(end, _)| matches!(end, End::Refused(_)));
        refused.map(|(_, took)| *took).max().unwrap_or_default()
    }

    /// Fraction of the customer's callers that were served within the goal.
    pub fn fraction_in_goal(&self, customer: usize) -> f64 {
        let callers: Vec<_> = self.asking().filter(|c| c.customer == customer).collect();
        let in_goal = callers.iter().filter(|caller| caller.is_served_within(GOAL)).count();
        in_goal as f64 / callers.len() as f64
    }
}
