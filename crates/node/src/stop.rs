//! Process signals.

use std::io;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{self, MissedTickBehavior};

use crate::SettingsError;
use crate::reload::{ReloadableSettings, SettingsReloader};

/// Interval between checks whether the settings file has changed.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Waits for SIGTERM or SIGINT. Reloads the settings on SIGHUP and when their file changes.
pub async fn wait_for_stop<S, L>(mut reloader: SettingsReloader<S, L>) -> io::Result<()>
where
    S: ReloadableSettings,
    L: Fn(&str) -> Result<S, SettingsError>,
{
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let mut file_check = time::interval(FILE_CHECK_INTERVAL);
    file_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => reloader.reload(),
            _ = file_check.tick(), if reloader.has_file() => reloader.reload_if_changed(),
        }
    }
}
