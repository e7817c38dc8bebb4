//! Heartbeats: bytes that a box sends and receives per second, and the time to process them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coord::members::{MemberRecord, MemberTable, RelayedRecord};
use ids::{Generation, Incarnation, Moment};
use prost::Message;
use wire::heartbeat_to_wire;

use crate::table;

/// Measurement time at each size, in seconds; a multiple of the cycle of full heartbeats.
const MEASURED_SECONDS: u64 = 60;
/// Time before the measurement, in seconds, in which member tables reach a steady state.
const WARM_UP_SECONDS: u64 = 120;
/// Overhead of framing, TCP and IP per heartbeat, in bytes.
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

/// Prints bytes per second of each box, and microseconds per heartbeat.
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
        id: format!("box-{index:04}").parse().expect("valid id"),
        domain: format!("domain-{:02}", index % domains).parse().expect("valid id"),
        incarnation: Incarnation::new(1_790_000_000_000),
        address: format!("10.{}.{}.{}:7000", index % domains, index / 250, index % 250),
        leaving: false,
    }
}

fn row(size: &Size) -> Vec<String> {
    let records: Vec<MemberRecord> =
        (0..size.boxes).map(|index| record(index, size.domains)).collect();
    let mut tables: BTreeMap<String, MemberTable> = BTreeMap::new();
    for own in &records {
        let mut table = MemberTable::new(own.clone());
        // The platform's list of boxes initializes the table.
        for other in &records {
            let relayed = RelayedRecord { record: other.clone(), age: Duration::ZERO };
            table.merge_relayed(Moment::START, relayed);
        }
        tables.insert(own.address.clone(), table);
    }
    let mut counts: BTreeMap<String, Counts> = BTreeMap::new();
    let mut heartbeat_count = 0_u32;
    let mut processing_time = Duration::ZERO;
    for second in 1..=WARM_UP_SECONDS + MEASURED_SECONDS {
        let now = Moment::START + Duration::from_secs(second);
        let started = Instant::now();
        let mut heartbeats = Vec::new();
        for (from, table) in &mut tables {
            heartbeats.extend(
                table
                    .poll(now, Generation::new(7))
                    .into_iter()
                    .map(|heartbeat| (from.clone(), heartbeat)),
            );
        }
        processing_time += started.elapsed();
        for (from, out) in heartbeats {
            let wire = heartbeat_to_wire(&out.heartbeat, Generation::new(7));
            let bytes = wire.encoded_len() as u64 + PACKET_BYTES;
            if second > WARM_UP_SECONDS {
                counts.entry(from).or_default().sent += bytes;
                counts.entry(out.to.clone()).or_default().received += bytes;
            }
            let started = Instant::now();
            if let Some(table) = tables.get_mut(&out.to) {
                table.receive_heartbeat(now, out.heartbeat);
            }
            processing_time += started.elapsed();
            heartbeat_count += 1;
        }
    }
    let all: Vec<&Counts> = counts.values().collect();
    let sent =
        all.iter().map(|count| count.sent).sum::<u64>() / (all.len() as u64 * MEASURED_SECONDS);
    let max_sent = all.iter().map(|count| count.sent).max().unwrap_or(0) / MEASURED_SECONDS;
    let max_received = all.iter().map(|count| count.received).max().unwrap_or(0) / MEASURED_SECONDS;
    let now = Moment::START + Duration::from_secs(WARM_UP_SECONDS + MEASURED_SECONDS);
    let members = tables.values().map(|table| table.all(now).len()).max().unwrap_or(0);
    vec![
        size.boxes.to_string(),
        size.domains.to_string(),
        sent.to_string(),
        max_sent.to_string(),
        max_received.to_string(),
        members.to_string(),
        format!("{:.2}", processing_time.as_secs_f64() * 1e6 / f64::from(heartbeat_count)),
    ]
}
