//! Serves a stand-in on loopback until it is stopped.

use std::io::{self, Write};
use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;

/// First word of the line that tells where a stand-in or a daemon listens.
pub const LISTENING: &str = "listening";

/// Binds, prints `listening ADDRESS` on standard output, and serves until the process ends.
pub async fn serve(listen: SocketAddr, router: Router) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    announce(listener.local_addr()?)?;
    axum::serve(listener, router).await
}

fn announce(address: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{LISTENING} {address}")?;
    out.flush()
}
