//! Size and parsing time of the configuration and of the target list.

use std::hint::black_box;
use std::time::{Duration, Instant};

use ids::{Generation, ModelVersion, TargetId};
use pools::{FleetConfig, PoolSpec, TargetIndex, TargetList, TargetRecord, parse_pool};

use crate::table;

/// Prints the tables of both documents.
pub fn measure() {
    configuration();
    target_list();
}

fn pool(index: usize, engines: usize) -> PoolSpec {
    let text = format!(
        "name = 'pool-{index:02}'\nversion = 1\ntrainers = ['trainer-{index:02}']\nengines = ['e']\n"
    );
    let mut pool = parse_pool(&text).expect("valid pool");
    pool.engines = (0..engines).map(engine).collect();
    pool
}

fn engine(index: usize) -> TargetId {
    format!("engine-{index:05}").parse().expect("valid id")
}

fn write_id(index: usize) -> String {
    format!("w{index:032x}")
}

fn parse_time<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Duration {
    let started = Instant::now();
    let read: Result<T, _> = serde_json::from_slice(bytes);
    let time = started.elapsed();
    assert!(read.is_ok(), "serialized document cannot be parsed");
    time
}

fn time_each(mut lookup: impl FnMut() -> bool) -> Duration {
    /// Number of lookups to time.
    const LOOKUPS: u32 = 10_000;
    let started = Instant::now();
    for _ in 0..LOOKUPS {
        black_box(lookup());
    }
    started.elapsed() / LOOKUPS
}

fn configuration() {
    let sizes = [(1, 11), (15, 50), (15, 333), (15, 1_000), (15, 5_000)];
    let rows = sizes.map(|(pools, engines)| {
        let mut config = FleetConfig::default();
        for index in 0..pools {
            config = config.with_pool(pool(index, engines), write_id(index));
        }
        let full = serde_json::to_vec(&config).unwrap_or_default();
        let base = config.generation;
        let changed = PoolSpec { version: ModelVersion::new(2), ..pool(0, engines) };
        let next = config.with_pool(changed, write_id(99));
        let change = serde_json::to_vec(&next.since(base)).unwrap_or_default();
        vec![
            pools.to_string(),
            engines.to_string(),
            full.len().to_string(),
            change.len().to_string(),
            format!("{:.0}", parse_time::<FleetConfig>(&full).as_secs_f64() * 1e6),
        ]
    });
    let heading =
        ["pools", "engines named by each", "whole, bytes", "one change, bytes", "us to read whole"];
    table::print(&heading, &rows);
}

fn target_list() {
    let rows = [20, 250, 1_000, 5_000].map(|count| {
        let records = (0..count).map(|index| TargetRecord {
            id: engine(index),
            domain: format!("domain-{:02}", index % 20).parse().expect("valid id"),
            kind: pools::TargetKind::Engine,
            service: None,
            address: format!("http://10.{}.{}.{}:8000", index % 20, index / 250, index % 250),
            checks_fencing: true,
            leaving: false,
        });
        let list = TargetList { revision: Generation::new(1), targets: records.collect() };
        let full = serde_json::to_vec(&list).unwrap_or_default();
        let wanted = engine(count - 1);
        let scan = time_each(|| list.targets.iter().find(|record| record.id == wanted).is_some());
        let index = TargetIndex::new(list);
        vec![
            count.to_string(),
            full.len().to_string(),
            format!("{:.0}", parse_time::<TargetList>(&full).as_secs_f64() * 1e6),
            scan.as_nanos().to_string(),
            time_each(|| index.find(&wanted).is_some()).as_nanos().to_string(),
        ]
    });
    let heading =
        ["targets", "list, bytes", "us to read", "ns to scan for the last", "ns by index"];
    table::print(&heading, &rows);
}
