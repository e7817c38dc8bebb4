//! Roles of a deployment on the users' platform, selected by a subcommand.

use std::io;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use front::EntryListeners;
use node::logs::start_logs;
use node::{RawNodeSettings, RawStorageSettings, SettingsError, wait_for_stop};
use tokio::net::TcpListener;
use tokio::runtime::Builder;

use crate::INVALID_SETTINGS_EXIT;

#[derive(Debug, Parser)]
#[command(name = "gannetwayd", version)]
struct RoleCli {
    #[command(subcommand)]
    role: Role,
}

#[derive(Debug, Subcommand)]
enum Role {
    /// Serves callers' requests; keeps no state.
    Entry(RawNodeSettings),
    /// Stores jobs on its disk, runs their items and orders weight loads at engines.
    Keep(RawStorageSettings),
}

/// Maximum number of blocking threads for disk I/O: log writes, copies from two boxes, clean-up.
/// Limited because each thread has its own stack.
const MAX_BLOCKING_THREADS: usize = 4;

/// Subcommands that select a role.
const ROLES: [&str; 2] = ["entry", "keep"];

/// Runs the role selected on the command line; returns `None` if there is none.
pub fn run_role() -> Option<ExitCode> {
    let first = std::env::args().nth(1)?;
    if !ROLES.contains(&first.as_str()) {
        return None;
    }
    Some(match start_role(RoleCli::parse().role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(RoleError::Settings(error)) => {
            eprintln!("gannetwayd: {error}");
            ExitCode::from(INVALID_SETTINGS_EXIT)
        }
        Err(RoleError::Io(error)) => {
            eprintln!("gannetwayd: {error}; check the addresses and the data folder");
            ExitCode::FAILURE
        }
    })
}

#[derive(Debug, thiserror::Error)]
enum RoleError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn start_role(role: Role) -> Result<(), RoleError> {
    // These boxes have a fraction of one core, so a second thread would only add wake-up costs.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .build()?;
    let flush = match role {
        Role::Entry(raw) => {
            let settings = raw.check()?;
            let flush = start_logs(settings.box_id.as_str(), settings.log);
            runtime.block_on(async {
                let listeners = EntryListeners::bind(&settings).await?;
                front::run_entry(settings, listeners, wait_for_stop()).await
            })?;
            flush
        }
        Role::Keep(raw) => {
            let settings = raw.check()?;
            let flush = start_logs(settings.node.box_id.as_str(), settings.node.log);
            runtime.block_on(async {
                let listener = TcpListener::bind(settings.node.peer).await?;
                shards::run_storage(settings, listener, wait_for_stop()).await
            })?;
            flush
        }
    };
    flush.flush();
    Ok(())
}
