//! Roles of a deployment on the users' platform, selected by a subcommand.

use std::ffi::OsString;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use front::EntryListeners;
use node::logs::{LogFlush, start_logs};
use node::{
    FileStamp, NodeSettings, RawNodeSettings, RawStorageSettings, ReloadableSettings,
    SettingsError, SettingsReloader, StorageSettings, add_file_values, file_stamp,
    named_settings_file, read_settings_file, wait_for_stop,
};
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

/// Subcommand of the entry role.
const ENTRY_ROLE: &str = "entry";
/// Subcommands that select a role.
const ROLES: [&str; 2] = [ENTRY_ROLE, "keep"];

/// Runs the role selected on the command line; returns `None` if there is none.
pub fn run_role() -> Option<ExitCode> {
    let first = std::env::args().nth(1)?;
    if !ROLES.contains(&first.as_str()) {
        return None;
    }
    Some(match start_role(&first) {
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

/// Validates the settings of an entry box.
fn check_entry(role: Role) -> Result<NodeSettings, SettingsError> {
    match role {
        Role::Entry(raw) => raw.check(),
        Role::Keep(raw) => raw.node.check(),
    }
}

/// Validates the settings of a storage box.
fn check_storage(role: Role) -> Result<StorageSettings, SettingsError> {
    match role {
        Role::Keep(raw) => raw.check(),
        Role::Entry(_) => Err(SettingsError(vec!["give the role `keep`".to_owned()])),
    }
}

/// Settings of a role, from its command line, the environment and the settings file.
struct LoadedSettings<S> {
    settings: S,
    file: Option<PathBuf>,
    stamp: FileStamp,
    /// Why the file was not used.
    fault: Option<SettingsError>,
}

fn load_with_file<S>(
    text: &str,
    check: impl Fn(Role) -> Result<S, SettingsError>,
) -> Result<S, SettingsError> {
    let arguments: Vec<OsString> = std::env::args_os().collect();
    let extended = add_file_values(&RoleCli::command(), &arguments, text)?;
    let cli = RoleCli::try_parse_from(extended)
        .map_err(|error| SettingsError(vec![error.to_string()]))?;
    check(cli.role)
}

/// Loads the settings. Without a usable settings file, those of the command line and the
/// environment apply.
fn load_settings<S>(
    check: impl Fn(Role) -> Result<S, SettingsError>,
) -> Result<LoadedSettings<S>, SettingsError> {
    let arguments: Vec<OsString> = std::env::args_os().collect();
    let file = named_settings_file(&arguments);
    let stamp = file.as_deref().and_then(file_stamp);
    let fault = match &file {
        None => None,
        Some(path) => {
            match read_settings_file(path).and_then(|text| load_with_file(&text, &check)) {
                Ok(settings) => return Ok(LoadedSettings { settings, file, stamp, fault: None }),
                Err(fault) => Some(fault),
            }
        }
    };
    let cli = RoleCli::try_parse().unwrap_or_else(|error| {
        if let Some(fault) = &fault {
            eprintln!("gannetwayd: {fault}");
        }
        error.exit()
    });
    match (check(cli.role), fault) {
        (Ok(settings), fault) => Ok(LoadedSettings { settings, file, stamp, fault }),
        (Err(error), None) => Err(error),
        (Err(error), Some(fault)) => Err(SettingsError([fault.0, error.0].concat())),
    }
}

impl<S: ReloadableSettings + Clone> LoadedSettings<S> {
    fn start_logs(&self) -> LogFlush {
        let node = self.settings.node();
        let flush = start_logs(node.box_id.as_str(), node.log);
        if let Some(fault) = &self.fault {
            log::warn!(target: "node", outcome = "invalid", error:% = fault; "settings file not used");
        }
        flush
    }

    fn reloader<L>(&self, load: L) -> SettingsReloader<S, L>
    where
        L: Fn(&str) -> Result<S, SettingsError>,
    {
        SettingsReloader::new(self.file.clone(), self.stamp, self.settings.clone(), load)
    }
}

fn start_role(name: &str) -> Result<(), RoleError> {
    // These boxes have a fraction of one core, so a second thread would only add wake-up costs.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .build()?;
    let flush = if name == ENTRY_ROLE {
        let loaded = load_settings(check_entry)?;
        let flush = loaded.start_logs();
        let reloader = loaded.reloader(|text| load_with_file(text, check_entry));
        runtime.block_on(async {
            let listeners = EntryListeners::bind(&loaded.settings).await?;
            front::run_entry(loaded.settings, listeners, wait_for_stop(reloader)).await
        })?;
        flush
    } else {
        let loaded = load_settings(check_storage)?;
        let flush = loaded.start_logs();
        let reloader = loaded.reloader(|text| load_with_file(text, check_storage));
        runtime.block_on(async {
            let listener = TcpListener::bind(loaded.settings.node.peer).await?;
            shards::run_storage(loaded.settings, listener, wait_for_stop(reloader)).await
        })?;
        flush
    };
    flush.flush();
    Ok(())
}
