//! Process signals.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT. Ignores SIGHUP, since no setting of this process can change while
/// it runs.
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
