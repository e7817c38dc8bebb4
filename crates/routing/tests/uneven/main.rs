//! Target choice in services whose targets report their slowdown.

mod choices;
mod moves;
mod outliers;
mod sim;
mod steps;
mod without_reports;

use std::net::SocketAddr;
use std::time::Duration;

use ids::{InstanceId, Moment, ServiceName, StartTime};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{
    PredictedWork, Slowdown, TargetLoad, TargetRecord, TargetRequirements, TargetTable, WorkUnits,
};

const NOW: Moment = Moment::START;
const SLOTS: u32 = 8;

fn service() -> ServiceName {
    "lm".parse().expect("valid id")
}

fn instance(name: &str) -> InstanceId {
    name.parse().expect("valid id")
}

fn target(name: &str) -> TargetRecord {
    TargetRecord {
        instance: instance(name),
        born: StartTime::default(),
        software: None,
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: "home".parse().expect("valid id"),
        slots: SLOTS,
        leaving: false,
        cold_left: Duration::ZERO,
        models: Vec::new(),
    }
}

fn load(running: u32, slowdown: Option<u32>) -> TargetLoad {
    TargetLoad { running, waiting: 0, slowdown: slowdown.and_then(Slowdown::from_percent) }
}

/// Creates a table of targets that report no current slowdown, with their usual unit times.
fn table(targets: &[(&str, u64)]) -> TargetTable {
    let mut table = TargetTable::new("home".parse().expect("valid id"));
    table.set_engine_choice(routing::EngineChoice::ExpectedTime);
    for (name, millis) in targets {
        table.put(NOW, target(name));
        table.record_load(NOW, &instance(name), load(0, Some(100)));
        for _ in 0..4 {
            table.record_unit_time(NOW, &instance(name), Duration::from_millis(*millis));
        }
    }
    table
}

fn text(units: f64, reference: f64) -> TargetRequirements<'static> {
    let work = PredictedWork { units: WorkUnits::new(units), reference: WorkUnits::new(reference) };
    TargetRequirements {
        free_slot: true,
        fast: true,
        work: Some(work),
        ..TargetRequirements::default()
    }
}

fn choose(
    table: &mut TargetTable,
    now: Moment,
    requirements: &TargetRequirements<'_>,
) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let chosen = table.choose(now, &service(), requirements, &mut rng)?;
    Some(chosen.instance.to_string())
}
