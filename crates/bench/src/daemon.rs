//! Idle daemons: memory, CPU time, heartbeat traffic and platform calls at several fleet sizes.

use std::path::PathBuf;
use std::time::Duration;
use std::{fs, io};

use demo::fleet::{Fleet, FleetPlan};
use demo::process::ChildProcess;
use ids::ModelVersion;
use tokio::runtime::Builder;
use tokio::time;

use crate::table;

/// Clock ticks per second in /proc (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// CPU time and memory of one or more processes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    ticks: u64,
    kib: u64,
}

impl Usage {
    /// Returns the total usage of all boxes of a fleet.
    pub fn of_boxes(fleet: &Fleet) -> io::Result<Self> {
        let mut total = Self::default();
        for child in fleet.boxes.values() {
            let usage = usage_of(child)?;
            total.ticks += usage.ticks;
            total.kib += usage.kib;
        }
        Ok(total)
    }

    /// Returns the CPU time used since `before`, in seconds.
    pub fn seconds_since(&self, before: &Self) -> f64 {
        to_f64(self.ticks - before.ticks) / TICKS_PER_SECOND
    }

    /// Returns the resident memory, in MiB.
    pub fn mib(&self) -> f64 {
        to_f64(self.kib) / 1_024.0
    }
}

/// Starts fleets of several sizes and prints the usage per box, measured over `seconds`.
pub fn measure(seconds: u64) -> io::Result<()> {
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    let sizes = [(1, 2), (1, 8), (1, 16), (4, 4)];
    let mut rows = Vec::new();
    for (domains, boxes) in sizes {
        rows.push(runtime.block_on(measure_fleet(domains, boxes, seconds))?);
    }
    let heading = [
        "domains",
        "boxes in each",
        "core % a box",
        "resident MiB a box",
        "beat B/s a box",
        "platform reads/s",
        "writes/s",
        "watches/s",
    ];
    table::print(&heading, &rows);
    Ok(())
}

async fn measure_fleet(domains: usize, boxes: usize, seconds: u64) -> io::Result<Vec<String>> {
    let plan = FleetPlan {
        domains,
        boxes_per_domain: boxes,
        engines_per_domain: 1,
        lease_term: Duration::from_secs(3),
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan, PathBuf::from("target/bench-daemon")).await?;
    let pool = "layout".parse().map_err(io::Error::other)?;
    let trainer = "press-1".parse().map_err(io::Error::other)?;
    fleet.apply(&fleet.pool(&pool, &trainer, ModelVersion::new(1))).await?;
    time::sleep(Duration::from_secs(5)).await;
    let before = Snapshot::take(&fleet).await?;
    time::sleep(Duration::from_secs(seconds)).await;
    let after = Snapshot::take(&fleet).await?;
    Ok(after.row(&before, domains, boxes, seconds))
}

/// Counters of a fleet at one time.
struct Snapshot {
    usage: Usage,
    heartbeat_bytes: u64,
    /// Reads, writes and watches that the platform received.
    calls: [u64; 3],
}

impl Snapshot {
    async fn take(fleet: &Fleet) -> io::Result<Self> {
        let usage = Usage::of_boxes(fleet)?;
        let mut heartbeat_bytes = 0;
        for child in fleet.boxes.values() {
            heartbeat_bytes += metric(child, "gannetway_heartbeat_sent_bytes_total").await?;
        }
        let counts = fleet.read(fleet.platform.address(), "/counts").await?;
        let call = |name: &str| counts[name].as_u64().unwrap_or_default();
        Ok(Self { usage, heartbeat_bytes, calls: [call("reads"), call("writes"), call("watches")] })
    }

    fn row(&self, before: &Self, domains: usize, boxes: usize, seconds: u64) -> Vec<String> {
        let box_count = to_f64((domains * boxes) as u64);
        let span = to_f64(seconds);
        let mut row = vec![
            domains.to_string(),
            boxes.to_string(),
            format!("{:.2}", 100.0 * self.usage.seconds_since(&before.usage) / span / box_count),
            format!("{:.1}", self.usage.mib() / box_count),
            format!(
                "{:.0}",
                to_f64(self.heartbeat_bytes - before.heartbeat_bytes) / span / box_count
            ),
        ];
        for (after, before) in self.calls.iter().zip(before.calls) {
            row.push(format!("{:.2}", to_f64(after - before) / span));
        }
        row
    }
}

/// Converts a counter; saturates at `u32::MAX`.
fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn usage_of(child: &ChildProcess) -> io::Result<Usage> {
    let id = child.id().ok_or_else(|| io::Error::other("a box has exited"))?;
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // CPU time in user and kernel mode: fields 14 and 15. The process name in field 2 may contain
    // spaces, so the fields are counted after it.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let number = |at: usize| fields.get(at).and_then(|text| text.parse().ok()).unwrap_or(0_u64);
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kib = line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok(Usage { ticks: number(11) + number(12), kib })
}

async fn metric(child: &ChildProcess, name: &str) -> io::Result<u64> {
    let url = format!("http://{}/metrics", child.address());
    let text = reqwest::get(url).await.map_err(io::Error::other)?.text().await;
    let text = text.map_err(io::Error::other)?;
    let line = text.lines().find(|line| line.starts_with(name)).unwrap_or_default();
    Ok(line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0))
}
