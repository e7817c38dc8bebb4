//! Heartbeats: what a box sends and receives a second, and the time it takes to handle.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coord::members::{MemberRecord, MemberTable, RelayedRecord};
use ids::{Generation, Incarnation, Moment};
use prost::Message;
use wire::heartbeat_to_wire;

use crate::table;

/// Seconds of beats at each size; whole cycles of full beats.
const SECONDS: u64 = 60;
/// Seconds before counting starts, while tables fill.
const WARM_UP: u64 = 120;
/// Bytes that framing, TCP and IP add to a beat.
const PACKET_BYTES: u64 = 4 + 32 + 20;

struct Size {
    domains: usize,
    boxes: usize,
}

#[derive(Default)]
struct Counts {
    sent: u64,
    received: u64,
}

/// Prints bytes a second for each box, and microseconds for each beat.
pub fn measure() {
    let sizes = [
        Size { domains: 4, boxes: 8 },
        Size { domains: 7, boxes: 70 },
        Size { domains: 20, boxes: 200 },
        Size { domains: 20, boxes: 410 },
        Size { domains: 20, boxes: 820 },
    ];
    let rows: Vec<Vec<String>> = sizes.iter().map(row).collect();
    let heading = [
        "boxes",
        "domains",
        "sent B/s mean",
        "sent B/s most",
        "received B/s most",
        "members known",
        "us a beat",
    ];
    table::print(&heading, &rows);
}

fn record(index: usize, domains: usize) -> MemberRecord {
    MemberRecord {
        id: format!("box-{index:04}").parse().expect("an id"),
        domain: format!("domain-{:02}", index % domains).parse().expect("an id"),
        incarnation: Incarnation::new(1_790_000_000_000),
        address: format!("10.{}.{}.{}:7000", index % domains, index / 250, index % 250),
        leaving: false,
    }
}

fn row(size: &Size) -> Vec<String> {
    let records: Vec<MemberRecord> =
        (0..size.boxes).map(|index| record(index, size.domains)).collect();
    let mut tables: BTreeMap<String, MemberTable> = BTreeMap::new();
    for me in &records {
        let mut table = MemberTable::new(me.clone());
        // As the platform's list seeds it.
        for other in &records {
            let told = RelayedRecord { record: other.clone(), age: Duration::ZERO };
            table.merge_relayed(Moment::START, told);
        }
        tables.insert(me.address.clone(), table);
    }
    let mut counts: BTreeMap<String, Counts> = BTreeMap::new();
    let mut handled = 0_u32;
    let mut busy = Duration::ZERO;
    for second in 1..=WARM_UP + SECONDS {
        let now = Moment::START + Duration::from_secs(second);
        let started = Instant::now();
        let mut beats = Vec::new();
        for (from, table) in &mut tables {
            beats
                .extend(table.poll(now, Generation::new(7)).into_iter().map(|b| (from.clone(), b)));
        }
        busy += started.elapsed();
        for (from, out) in beats {
            let wire = heartbeat_to_wire(&out.heartbeat, Generation::new(7));
            let bytes = wire.encoded_len() as u64 + PACKET_BYTES;
            if second > WARM_UP {
                counts.entry(from).or_default().sent += bytes;
                counts.entry(out.to.clone()).or_default().received += bytes;
            }
            let started = Instant::now();
            if let Some(table) = tables.get_mut(&out.to) {
                table.receive_heartbeat(now, out.heartbeat);
            }
            busy += started.elapsed();
            handled += 1;
        }
    }
    let all: Vec<&Counts> = counts.values().collect();
    let sent = all.iter().map(|count| count.sent).sum::<u64>() / (all.len() as u64 * SECONDS);
    let most_sent = all.iter().map(|count| count.sent).max().unwrap_or(0) / SECONDS;
    let most_received = all.iter().map(|count| count.received).max().unwrap_or(0) / SECONDS;
    let now = Moment::START + Duration::from_secs(WARM_UP + SECONDS);
    let known = tables.values().map(|table| table.all(now).len()).max().unwrap_or(0);
    vec![
        size.boxes.to_string(),
        size.domains.to_string(),
        sent.to_string(),
        most_sent.to_string(),
        most_received.to_string(),
        known.to_string(),
        format!("{:.2}", busy.as_secs_f64() * 1e6 / f64::from(handled)),
    ]
}
