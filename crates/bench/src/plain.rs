//! Plain requests through a daemon, compared with the same requests sent directly.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use std::{io, iter};

use demo::fleet::{Fleet, FleetPlan};
use reqwest::Client;
use tokio::runtime::Builder;

use crate::table;

/// Number of concurrent callers in the throughput measurement.
const CALLERS: usize = 32;

struct Figures {
    p50: Duration,
    p99: Duration,
    per_second: f64,
    failed: usize,
}

/// Prints the latency with one caller and the throughput with many, directly and through one box.
pub fn measure(requests: usize) -> io::Result<()> {
    let runtime = Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    runtime.block_on(async {
        let plan = FleetPlan { domains: 1, boxes_per_domain: 1, ..FleetPlan::default() };
        let fleet = Fleet::start(plan, PathBuf::from("target/bench-plain")).await?;
        let service = fleet.services["orders-1"].address().to_owned();
        let entry = fleet.entries().remove(0);
        let direct = run(&format!("http://{service}/status"), requests).await?;
        let through = run(&format!("{entry}/v1/call/orders/status"), requests).await?;
        let ratio = |a: Duration, b: Duration| format!("{:.2}", a.as_secs_f64() / b.as_secs_f64());
        let mut rows: Vec<Vec<String>> =
            [("direct", &direct), ("through one box", &through)].map(|(n, f)| row(n, f)).into();
        rows.push(vec![
            "ratio".to_owned(),
            ratio(through.p50, direct.p50),
            ratio(through.p99, direct.p99),
            format!("{:.2}", through.per_second / direct.per_second),
            String::new(),
        ]);
        let heading = ["way", "p50 us", "p99 us", "requests/s, 32 callers", "failed"];
        table::print(&heading, &rows);
        Ok(())
    })
}

fn row(name: &str, figures: &Figures) -> Vec<String> {
    vec![
        name.to_owned(),
        figures.p50.as_micros().to_string(),
        figures.p99.as_micros().to_string(),
        format!("{:.0}", figures.per_second),
        figures.failed.to_string(),
    ]
}

async fn run(url: &str, requests: usize) -> io::Result<Figures> {
    let client = Client::new();
    let failed = Arc::new(AtomicUsize::new(0));
    let mut times = Vec::with_capacity(requests / 4);
    // The first requests, which open connections and start the home, are not measured.
    for index in 0..requests / 4 + 100 {
        let started = Instant::now();
        send_request(&client, url, &failed).await;
        if index >= 100 {
            times.push(started.elapsed());
        }
    }
    times.sort_unstable();
    let started = Instant::now();
    let callers = iter::repeat_with(|| {
        let (client, url, failed) = (client.clone(), url.to_owned(), Arc::clone(&failed));
        tokio::spawn(async move {
            for _ in 0..requests / CALLERS {
                send_request(&client, &url, &failed).await;
            }
        })
    });
    for caller in callers.take(CALLERS).collect::<Vec<_>>() {
        caller.await.map_err(io::Error::other)?;
    }
    let done = u32::try_from(requests / CALLERS * CALLERS).unwrap_or(u32::MAX);
    Ok(Figures {
        p50: times[times.len() / 2],
        p99: times[times.len() * 99 / 100],
        per_second: f64::from(done) / started.elapsed().as_secs_f64(),
        failed: failed.load(Ordering::Relaxed),
    })
}

async fn send_request(client: &Client, url: &str, failed: &AtomicUsize) {
    let result = async { client.get(url).send().await?.error_for_status()?.bytes().await }.await;
    if result.is_err() {
        failed.fetch_add(1, Ordering::Relaxed);
    }
}
