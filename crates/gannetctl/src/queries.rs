//! Commands that only read.

use std::time::Duration;

use api::{BoxStatus, PoolsBody};
use client::{ClientError, EntryClient};
use reqwest::Method;

use crate::cli::{GetArgs, Output};
use crate::exit::CliError;
use crate::output::{Table, print};

async fn get_body<T: serde::de::DeserializeOwned>(
    entry: &EntryClient,
    path: &str,
) -> Result<T, ClientError> {
    entry.send_with_retries(&Method::GET, path, None::<&()>, Duration::ZERO).await
}

/// Shows one pool.
pub async fn get(entry: &EntryClient, args: GetArgs, output: Output) -> Result<(), CliError> {
    let body: PoolsBody = get_body(entry, &format!("/v1/pools/{}", args.pool)).await?;
    print(output, &body, || pools_table(&body));
    Ok(())
}

/// Lists the pools.
pub async fn list(entry: &EntryClient, output: Output) -> Result<(), CliError> {
    let body: PoolsBody = get_body(entry, "/v1/pools").await?;
    print(output, &body, || pools_table(&body));
    Ok(())
}

fn pools_table(body: &PoolsBody) -> Table {
    let column_names = ["POOL", "VERSION", "BOUND", "TRAINERS", "ENGINES", "CHANGED", "IN FORCE"];
    let mut table = Table::new(&column_names);
    for entry in &body.pools {
        let spec = &entry.spec;
        table.row([
            spec.name.to_string(),
            spec.version.to_string(),
            spec.staleness_bound.to_string(),
            spec.trainers.len().to_string(),
            spec.engines.len().to_string(),
            entry.changed.to_string(),
            body.generation.to_string(),
        ]);
    }
    table
}

/// Shows the state of the entry box that responds.
pub async fn status(entry: &EntryClient, output: Output) -> Result<(), CliError> {
    let status: BoxStatus = get_body(entry, "/v1/status").await?;
    print(output, &status, || status_table(&status));
    Ok(())
}

fn status_table(status: &BoxStatus) -> Table {
    let mut table = Table::new(&["KIND", "NAME", "STATE"]);
    let mut row = |kind: &str, name: String, state: String| {
        table.row([kind.to_owned(), name, state]);
    };
    let readiness =
        if status.waits_for.is_empty() { "ready".to_owned() } else { status.waits_for.join("; ") };
    row("box", format!("{} in {}", status.id, status.domain), readiness);
    row("config", "generation".to_owned(), status.generation.to_string());
    for problem in &status.cannot {
        row("cannot", String::new(), problem.clone());
    }
    for peer in &status.peers {
        row("peer", format!("{} in {}", peer.id, peer.domain), peer.liveness.clone());
    }
    for kept in &status.kept {
        let steps: Vec<String> = kept.steps.iter().map(u64::to_string).collect();
        let state = format!("token {}, steps {}", kept.token, steps.join(" "));
        row("keeper", format!("{}/{}", kept.pool, kept.trainer), state);
    }
    for home in &status.homes {
        let load = format!("{}/{} running, {} waiting", home.running, home.limit, home.waiting);
        row("home", home.target.to_string(), format!("{}, {load}", home.status));
    }
    for rollout in &status.rollouts {
        let state = format!(
            "version {}: {} of {} done, {} under way, {} in doubt",
            rollout.wanted, rollout.done, rollout.replicas, rollout.under_way, rollout.in_doubt
        );
        row("roll-out", rollout.pool.to_string(), state);
    }
    table
}
