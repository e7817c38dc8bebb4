//! Cost of a step at the boxes: CPU time per sample and chunk, and memory.

use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use demo::fleet::{Fleet, FleetPlan};
use ids::{ModelVersion, StepNumber, TokenCount};
use ledger::{GroupSpec, StepSpec};
use standins::engine_model::CHUNK_TOKENS;
use tokio::runtime::Builder;

use crate::daemon::Usage;
use crate::table;

/// Maximum number of tokens in a sample.
const MAX_TOKENS: u32 = 256;

/// Runs steps of several sizes on one box and on three boxes, and prints their cost.
pub fn measure() -> io::Result<()> {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut rows = Vec::new();
    for (boxes, samples) in [(1, 256), (1, 1_024), (1, 4_096), (3, 1_024)] {
        rows.push(runtime.block_on(run(boxes, samples))?);
    }
    let heading = [
        "boxes",
        "samples",
        "tokens",
        "seconds",
        "core ms a sample",
        "core us a chunk",
        "resident MiB a box, after",
    ];
    table::print(&heading, &rows);
    Ok(())
}

async fn run(boxes: usize, samples: u32) -> io::Result<Vec<String>> {
    let plan = FleetPlan {
        domains: 1,
        boxes_per_domain: boxes,
        engines_per_domain: 4,
        decode_step: Duration::from_micros(200),
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan, PathBuf::from("target/bench-steps")).await?;
    let pool = "layout".parse().map_err(io::Error::other)?;
    let trainer = "press-1".parse().map_err(io::Error::other)?;
    fleet.apply(&fleet.pool(&pool, &trainer, ModelVersion::new(1))).await?;
    let groups = (0..samples / 8).map(|index| GroupSpec {
        prompt: format!("prompt {index}").into(),
        samples: 8,
        max_tokens: TokenCount::new(MAX_TOKENS),
    });
    let spec = StepSpec {
        step: StepNumber::new(1),
        version: ModelVersion::new(1),
        groups: groups.collect(),
    };
    let before = Usage::of_boxes(&fleet)?;
    let started = Instant::now();
    let mut step = fleet.trainer(&pool, &trainer).open(spec).await.map_err(io::Error::other)?;
    let (mut tokens, mut chunks) = (0_u32, 0_u32);
    while let Some(received) = step.next().await.map_err(io::Error::other)? {
        for sample in received {
            tokens += sample.tokens().get();
            chunks += sample.tokens().get().div_ceil(CHUNK_TOKENS);
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = Usage::of_boxes(&fleet)?;
    let cpu_seconds = after.seconds_since(&before);
    Ok(vec![
        boxes.to_string(),
        samples.to_string(),
        tokens.to_string(),
        format!("{seconds:.1}"),
        format!("{:.2}", cpu_seconds * 1e3 / f64::from(samples)),
        format!("{:.0}", cpu_seconds * 1e6 / f64::from(chunks)),
        format!("{:.1}", after.mib() / f64::from(u32::try_from(boxes).unwrap_or(1))),
    ])
}
