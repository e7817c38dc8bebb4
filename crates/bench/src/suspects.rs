//! Cost of tracking suspects: record sizes, memory of a full table and time of a verdict.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use ids::{Moment, ServiceName, StartTime, TargetIncarnation, WorkDigest};
use suspects::{MAX_CRASHES, QUARANTINE_CRASHES, SuspectTable, SuspectWrite, TargetCrash};

use crate::table;

/// Number of pieces of work to record; exceeds the capacity of the table.
const WORKS: usize = 600;
/// Number of verdicts to time.
const VERDICTS: u32 = 200;

/// Records crashes of more work than the table can hold, and prints the cost.
pub fn measure() {
    let service: ServiceName = "desk".parse().expect("valid id");
    let at = Moment::after_start(Duration::from_hours(1));
    let before = resident_kb();
    let mut suspect_table = SuspectTable::default();
    for number in 0..MAX_CRASHES {
        let incarnation = TargetIncarnation {
            instance: format!("i-{number:010}").parse().expect("valid id"),
            born: StartTime::new(1_779_616_324_046),
        };
        for work in 0..WORKS {
            let crash = TargetCrash { life: incarnation.clone(), software: "v1".parse().ok() };
            suspect_table.record_disconnect(at, work_digest(work), &service, crash);
        }
        suspect_table.connection_refused(at, &incarnation);
    }
    let after = resident_kb();
    let record = suspect_table.due_writes().into_iter().find_map(|write| match write {
        SuspectWrite::Publish { record, .. } => Some(record),
        SuspectWrite::Clear { .. } => None,
    });
    let full_bytes = record.map_or(0, |mut record| {
        let full_bytes = serde_json::to_vec(&record).unwrap_or_default().len();
        record.ends.truncate(QUARANTINE_CRASHES);
        println!(
            "{QUARANTINE_CRASHES} ends: {} bytes told",
            serde_json::to_vec(&record).unwrap_or_default().len()
        );
        full_bytes
    });
    let started = Instant::now();
    for number in 0..VERDICTS {
        black_box(suspect_table.quarantined_versions(at, work_digest(number as usize), &service));
    }
    let verdict = started.elapsed() / VERDICTS;
    let body = vec![7_u8; 1 << 10];
    let started = Instant::now();
    for _ in 0..VERDICTS {
        black_box(WorkDigest::of(&[b"POST", b"desk.example", b"/quote/1", &body]));
    }
    let digest = started.elapsed() / VERDICTS;
    let heading = [
        "works held",
        "ends of each",
        "bytes told of each",
        "memory, KB",
        "us a verdict",
        "ns a digest of 1 KB",
    ];
    let row = vec![
        suspect_table.len().to_string(),
        MAX_CRASHES.to_string(),
        full_bytes.to_string(),
        after.saturating_sub(before).to_string(),
        format!("{:.1}", verdict.as_secs_f64() * 1e6),
        digest.as_nanos().to_string(),
    ];
    table::print(&heading, &[row]);
}

fn work_digest(number: usize) -> WorkDigest {
    WorkDigest::of(&[&number.to_le_bytes()])
}

/// Returns the resident memory of this process in KiB, or 0 if /proc is not available.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}
