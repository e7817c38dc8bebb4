//! Time of each kind of decision at several sizes, and memory of ledgers.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use coord::rendezvous;
use ids::{
    BoxId, FencingToken, Generation, Incarnation, ModelVersion, Moment, SlotIndex, StepNumber,
    TargetId, TokenCount, TrainerId, VersionWindow,
};
use ledger::{GroupSpec, PoolRule, Pull, Sample, SlotSet, StepLedger, StepSpec, VersionSpan};
use placement::{
    Admission, AdmissionRequest, PlacementPolicy, ReplicaReading, TargetChooser, TargetQueue,
};
use pools::{SwapPolicy, TargetKind};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use swaps::{RolloutAction, RolloutCoordinator};

use crate::table;

/// Number of calls to time.
const CALLS: u32 = 200_000;
/// Number of slots of a large step.
const STEP_SLOTS: u16 = 8_192;

/// Prints all tables.
pub fn measure() {
    measure_placement();
    measure_admission();
    measure_ledgers();
    measure_rollouts();
    measure_home_lookups();
}

fn time_each(calls: u32, mut work: impl FnMut()) -> Duration {
    let started = Instant::now();
    for _ in 0..calls {
        work();
    }
    started.elapsed() / calls
}

fn nanos(time: Duration) -> String {
    time.as_nanos().to_string()
}

fn targets(count: usize) -> Vec<TargetId> {
    (0..count).map(|index| format!("engine-{index:05}").parse().expect("valid id")).collect()
}

fn window() -> VersionWindow {
    VersionWindow::new(ModelVersion::new(2), 1)
}

fn measure_placement() {
    let rows = [10, 100, 250, 1_000, 5_000].map(|count| {
        let pool = targets(count);
        let mut chooser = TargetChooser::default();
        for id in &pool {
            chooser.placed(id);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let time = time_each(CALLS, || {
            let chosen = chooser.choose(Moment::START, &pool, Some(window()), &mut rng);
            black_box(chosen);
        });
        vec![count.to_string(), nanos(time)]
    });
    table::print(&["targets in the pool", "ns a choice"], &rows);
}

fn measure_admission() {
    let rows = [8, 16, 64, 256].map(|limit| {
        let mut queue = TargetQueue::new(TargetKind::Engine, limit);
        let reading = ReplicaReading {
            incarnation: Incarnation::new(1),
            version: Some(ModelVersion::new(2)),
            loading: false,
            token: FencingToken::default(),
            leaving: false,
        };
        queue.read(Moment::START, &reading);
        let trainer: TrainerId = "trainer-1".parse().expect("valid id");
        let request = AdmissionRequest {
            trainer: Some(trainer),
            window: Some(window()),
            deadline: Moment::START + Duration::from_mins(1),
        };
        let time = time_each(CALLS, || {
            if let Admission::Admitted(ticket) =
                queue.request_admission(Moment::START, request.clone())
            {
                queue.ended(ticket, TokenCount::new(100));
            }
            black_box(queue.poll(Moment::START).len());
        });
        vec![limit.to_string(), nanos(time)]
    });
    table::print(&["limit of the target", "ns to admit and end"], &rows);
}

fn step(slots: u16) -> StepSpec {
    let group = GroupSpec { prompt: "p".into(), samples: 8, max_tokens: TokenCount::new(512) };
    StepSpec {
        step: StepNumber::new(1),
        version: ModelVersion::new(2),
        groups: vec![group; usize::from(slots / 8)],
    }
}

fn rule() -> PoolRule {
    let (generation, version) = (Generation::new(1), ModelVersion::new(2));
    PoolRule { generation, version, bound: 1 }
}

fn sample(slot: SlotIndex, engine: &TargetId) -> Sample {
    let span = VersionSpan { version: ModelVersion::new(2), tokens: TokenCount::new(8) };
    Sample { slot, spans: vec![span], text: String::new(), score: None, engine: engine.clone() }
}

fn run_step(slots: u16, engine: &TargetId) -> Duration {
    let token = FencingToken::new(1);
    let started = Instant::now();
    let mut ledger = StepLedger::open(step(slots), token, rule()).expect("valid step");
    let mut held = SlotSet::default();
    while !ledger.is_complete() {
        for _ in 0..256 {
            let Some(work) = ledger.assign() else { break };
            ledger.finished(work.attempt, sample(work.slot, engine));
        }
        let pull = Pull { held: held.clone(), seen: token, max_samples: 256 };
        for sample in ledger.pull(&pull).expect("valid pull").samples {
            held.insert(sample.slot);
        }
    }
    started.elapsed()
}

fn measure_ledgers() {
    let engine: TargetId = "engine-1".parse().expect("valid id");
    let rows = [512, 2_048, STEP_SLOTS, 32_768].map(|slots| {
        let time = (0..5).map(|_| run_step(slots, &engine)).min().unwrap_or_default();
        let bytes = ledger_bytes(slots);
        vec![
            slots.to_string(),
            nanos(time / u32::from(slots)),
            StepLedger::bytes_per_slot().to_string(),
            bytes.map_or("not measured".to_owned(), |bytes| bytes.to_string()),
        ]
    });
    let heading = [
        "slots",
        "ns a slot, assign to held",
        "bytes a slot by type sizes",
        "bytes a slot, resident",
    ];
    table::print(&heading, &rows);
}

/// Returns the resident memory of ledgers without samples, in bytes per slot.
fn ledger_bytes(slots: u16) -> Option<u64> {
    /// Number of ledgers to open: enough that their size dominates other changes.
    const LEDGERS: u64 = 200;
    let before = resident_bytes()?;
    let open = || StepLedger::open(step(slots), FencingToken::new(1), rule());
    let ledgers: Vec<_> = (0..LEDGERS).map(|_| open()).collect();
    let after = resident_bytes()?;
    drop(black_box(ledgers));
    Some(after.saturating_sub(before) / (LEDGERS * u64::from(slots)))
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}

fn measure_rollouts() {
    let rows = [10, 100, 250, 1_000].map(|count| {
        let replicas: Vec<(TargetId, bool)> =
            targets(count).into_iter().map(|id| (id, true)).collect();
        let mut coordinator = RolloutCoordinator::new(Moment::START, FencingToken::new(1));
        let (mut orders, mut reads) = (0_usize, 0_usize);
        let started = Instant::now();
        for tick in 0..30_u64 {
            let now = Moment::START + Duration::from_millis(tick * 100);
            let version = ModelVersion::new(if tick < 10 { 1 } else { 2 });
            coordinator.want(version, SwapPolicy::AllAtOnce, replicas.iter().cloned());
            for action in coordinator.poll(now) {
                match action {
                    RolloutAction::Order(order) => {
                        orders += 1;
                        coordinator.order_completed(now, &order.target, Some(true));
                    }
                    RolloutAction::Read(id) => {
                        reads += 1;
                        let incarnation = Incarnation::new(1);
                        coordinator.read(now, now, &id, incarnation, Some(version));
                    }
                }
            }
        }
        let time = started.elapsed() / u32::try_from(count * 30).unwrap_or(u32::MAX);
        vec![count.to_string(), orders.to_string(), reads.to_string(), nanos(time)]
    });
    let heading = ["replicas", "orders in 3 s", "readings in 3 s", "ns a replica and look"];
    table::print(&heading, &rows);
}

fn measure_home_lookups() {
    let rows = [6, 21, 41, 82].map(|count| {
        let members: Vec<BoxId> =
            (0..count).map(|index| format!("box-{index:04}").parse().expect("valid id")).collect();
        let time = time_each(CALLS, || {
            black_box(rendezvous::owner("engine-00001", &members));
        });
        vec![count.to_string(), nanos(time)]
    });
    table::print(&["boxes in the domain", "ns to find a home"], &rows);
}
