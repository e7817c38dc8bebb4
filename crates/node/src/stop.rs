//! Signals.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Returns when the process is asked to stop. A hang-up only means that the settings file has
/// changed; nothing in it that this process uses changes while it runs.
pub async fn wait_for_stop() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => log::info!(target: "node", outcome = "unchanged"; "reload"),
        }
    }
}
