//! What a trainer waits for: one account for each job, told once when the job ends.
//!
//! A trainer goes on when as many whole groups as it wants are listed, and groups that it has left over
//! before are among them. So the account tells when the first run began, when the last wanted item was
//! listed and read, what that item spent its time on, and for how long the job had an item that could
//! not start, by the reason.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ids::{InstanceId, Moment};
use wire::peer::{Job, JobItem};

/// Why an item that waits cannot start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BlockReason {
    /// No route leads to a service.
    NoRoute,
    /// No engine holds weights that are new enough.
    OldWeights,
    /// Those that hold them load.
    Loading,
    /// Those that hold them rest after a failure or a refusal.
    BackedOff,
    /// Those that hold them have no place.
    Full,
    /// Those that hold them are cold, and have got what they bear for now.
    Cold,
    /// Those that hold them are in failure domains that are to be emptied.
    Evacuated,
    /// This box holds as many connections as it may.
    NoConnections,
    /// The item ends the targets that run it. It holds up no other.
    Quarantined,
}

impl BlockReason {
    /// All reasons, the order in which they are told.
    pub const ALL: [Self; 9] = [
        Self::NoRoute,
        Self::OldWeights,
        Self::Loading,
        Self::BackedOff,
        Self::Full,
        Self::Cold,
        Self::Evacuated,
        Self::NoConnections,
        Self::Quarantined,
    ];
}

/// What an item spent its time on, while this box served its shard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemTimings {
    /// Waiting for a place at an engine.
    pub waited: Duration,
    /// At engines.
    pub ran: Duration,
    /// From the whole text to its score.
    pub scored: Duration,
    /// Runs that were started.
    pub runs: u32,
    /// The engine of the last run.
    pub target: Option<InstanceId>,
    /// When the phase that goes on now began.
    pub(crate) since: Moment,
}

/// What became of a job until it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepTimings {
    /// From the moment the job was taken here to its first run.
    pub first_run: Option<Duration>,
    /// To the moment when the last wanted item was listed.
    pub wanted: Option<Duration>,
    /// To the first answer that told of it.
    pub read: Option<Duration>,
    /// To the end.
    pub ended: Duration,
    /// Items that came again from an earlier job.
    pub carried: u32,
    /// The item that came last of those wanted.
    pub last: Option<(String, ItemTimings)>,
    /// How long some item could not start, by the reason.
    pub blocked: Vec<(BlockReason, Duration)>,
}

/// The account of a job while it goes on.
#[derive(Debug)]
pub(crate) struct StepTrace {
    first_run: Option<Moment>,
    wanted_at: Option<Moment>,
    read_at: Option<Moment>,
    /// Position of the last wanted item, and its index.
    last: Option<(u32, u32)>,
    holds: HashMap<BlockReason, Duration>,
    held: Option<(BlockReason, Moment)>,
    /// Items not listed yet, by group.
    open: HashMap<String, u32>,
    carried: HashSet<String>,
    carried_items: u32,
    wanted_groups: u32,
    whole_groups: u32,
    accounts: Vec<ItemTimings>,
}

impl StepTrace {
    /// The account of a job taken at `now`, some of whose items an earlier job has left over.
    pub fn new(now: Moment, job: &Job, is_carried: impl Fn(&JobItem) -> bool) -> Self {
        let mut open: HashMap<String, u32> = HashMap::new();
        let mut carried = HashSet::new();
        let mut carried_items = 0;
        for item in &job.items {
            *open.entry(item.group.clone()).or_default() += 1;
            if is_carried(item) {
                carried_items += 1;
                carried.insert(item.group.clone());
            }
        }
        Self {
            first_run: None,
            wanted_at: None,
            read_at: None,
            last: None,
            holds: HashMap::new(),
            held: None,
            open,
            carried,
            carried_items,
            wanted_groups: job.wanted_groups,
            whole_groups: 0,
            accounts: vec![ItemTimings { since: now, ..ItemTimings::default() }; job.items.len()],
        }
    }

    fn account(&mut self, index: u32) -> Option<&mut ItemTimings> {
        self.accounts.get_mut(index as usize)
    }

    /// An item begins to run.
    pub fn started(&mut self, now: Moment, index: u32, target: Option<InstanceId>) {
        self.first_run.get_or_insert(now);
        let Some(account) = self.account(index) else { return };
        account.waited += now.since(account.since);
        account.since = now;
        account.runs += u32::from(target.is_some());
        account.target = target.or_else(|| account.target.take());
    }

    /// An item's run ended.
    pub fn ran(&mut self, now: Moment, index: u32) {
        let Some(account) = self.account(index) else { return };
        account.ran += now.since(account.since);
        account.since = now;
    }

    /// An item's reward call ended.
    pub fn scored(&mut self, now: Moment, index: u32) {
        let Some(account) = self.account(index) else { return };
        account.scored += now.since(account.since);
        account.since = now;
    }

    /// Some item cannot start for a reason, or none is held up any more.
    pub fn hold(&mut self, now: Moment, hold: Option<BlockReason>) {
        if let Some((last, since)) = self.held.take() {
            *self.holds.entry(last).or_default() += now.since(since);
        }
        self.held = hold.map(|hold| (hold, now));
    }

    /// An item is listed at a position.
    pub fn listed(&mut self, now: Moment, index: u32, position: u32, group: &str) {
        let Some(open) = self.open.get_mut(group) else { return };
        *open = open.saturating_sub(1);
        if *open > 0 {
            return;
        }
        self.whole_groups += 1;
        self.carried.remove(group);
        let wanted = self.whole_groups >= self.wanted_groups && self.carried.is_empty();
        if wanted && self.wanted_at.is_none() {
            self.wanted_at = Some(now);
            self.last = Some((position, index));
        }
    }

    /// Results before `until` were told.
    pub fn read(&mut self, now: Moment, until: u32) {
        if self.last.is_some_and(|(position, _)| position < until) {
            self.read_at.get_or_insert(now);
        }
    }

    /// The account at the job's end.
    pub fn end(&mut self, now: Moment, taken_at: Moment, job: &Job) -> StepTimings {
        self.hold(now, None);
        let after = |at: Option<Moment>| at.map(|at| at.since(taken_at));
        let last = self.last.and_then(|(_, index)| {
            let item = job.items.get(index as usize)?;
            Some((item.id.clone(), self.accounts.get(index as usize)?.clone()))
        });
        let holds = BlockReason::ALL.into_iter();
        StepTimings {
            first_run: after(self.first_run),
            wanted: after(self.wanted_at),
            read: after(self.read_at),
            ended: now.since(taken_at),
            carried: self.carried_items,
            last,
            blocked: holds.filter_map(|hold| Some((hold, *self.holds.get(&hold)?))).collect(),
        }
    }

    /// Forgets what only a job that runs needs.
    pub fn strip(&mut self) {
        self.accounts = Vec::new();
        self.open = HashMap::new();
    }
}
