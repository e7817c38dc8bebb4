//! Serves a stand-in over HTTP until the process ends.

use std::io::{self, Write};
use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;

/// First word of the line in which a stand-in or a daemon prints its addresses.
pub const LISTENING: &str = "listening";

/// Binds to `listen`, prints `listening ADDRESS` on standard output, and serves `router`.
pub async fn serve(listen: SocketAddr, router: Router) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    print_address(listener.local_addr()?)?;
    axum::serve(listener, router).await
}

fn print_address(address: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{LISTENING} {address}")?;
    out.flush()
}
