//! What work under suspicion costs: bytes told of it, memory of a full book, time of a verdict.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use ids::{Moment, ServiceName, StartTime, TargetIncarnation, WorkDigest};
use suspects::{MAX_CRASHES, QUARANTINE_CRASHES, SuspectTable, SuspectWrite, TargetCrash};

use crate::table;

/// More than a book holds.
const WORKS: usize = 600;
/// Verdicts that are timed.
const VERDICTS: u32 = 200;

/// Measures and prints.
pub fn measure() {
    let service: ServiceName = "desk".parse().expect("an id");
    let at = Moment::after_start(Duration::from_hours(1));
    let before = resident_kb();
    let mut book = SuspectTable::default();
    for number in 0..MAX_CRASHES {
        let life = TargetIncarnation {
            instance: format!("i-{number:010}").parse().expect("an id"),
            born: StartTime::new(1_779_616_324_046),
        };
        for work in 0..WORKS {
            let end = TargetCrash { life: life.clone(), software: "v1".parse().ok() };
            book.record_disconnect(at, work_digest(work), &service, end);
        }
        book.connection_refused(at, &life);
    }
    let after = resident_kb();
    let record = book.due_writes().into_iter().find_map(|write| match write {
        SuspectWrite::Publish { record, .. } => Some(record),
        SuspectWrite::Clear { .. } => None,
    });
    let told = record.map_or(0, |mut record| {
        let whole = serde_json::to_vec(&record).unwrap_or_default().len();
        record.ends.truncate(QUARANTINE_CRASHES);
        println!(
            "{QUARANTINE_CRASHES} ends: {} bytes told",
            serde_json::to_vec(&record).unwrap_or_default().len()
        );
        whole
    });
    let begun = Instant::now();
    for number in 0..VERDICTS {
        black_box(book.suspected_versions(work_digest(number as usize), &service));
    }
    let verdict = begun.elapsed() / VERDICTS;
    let body = vec![7_u8; 1 << 10];
    let begun = Instant::now();
    for _ in 0..VERDICTS {
        black_box(WorkDigest::of(&[b"POST", b"desk.example", b"/quote/1", &body]));
    }
    let digest = begun.elapsed() / VERDICTS;
    let heading = [
        "works held",
        "ends of each",
        "bytes told of each",
        "memory, KB",
        "us a verdict",
        "ns a digest of 1 KB",
    ];
    let row = vec![
        book.len().to_string(),
        MAX_CRASHES.to_string(),
        told.to_string(),
        after.saturating_sub(before).to_string(),
        format!("{:.1}", verdict.as_secs_f64() * 1e6),
        digest.as_nanos().to_string(),
    ];
    table::print(&heading, &[row]);
}

fn work_digest(number: usize) -> WorkDigest {
    WorkDigest::of(&[&number.to_le_bytes()])
}

/// Memory of this process; zero where the system does not tell.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}
