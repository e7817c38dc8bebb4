//! Kept connections that fall silent without a reset, while new ones work.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use standins::proxy::FaultProxy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use upstream::{FullResponse, SendError, TargetPool};

/// Longer than any answer takes; a test that reaches it has failed.
const LONG: Duration = Duration::from_secs(20);
/// How long the caller of a silent connection waits.
const PATIENCE: Duration = Duration::from_millis(300);
const GOOD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn serve(mut stream: TcpStream) {
    let mut buffer = vec![0; 4_096];
    while stream.read(&mut buffer).await.is_ok_and(|len| len > 0) {
        if stream.write_all(GOOD).await.is_err() {
            return;
        }
    }
}

async fn proxied_target() -> FaultProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    let proxy = FaultProxy::start().await.expect("a free port");
    proxy.aim(address);
    proxy
}

async fn send(pool: &TargetPool, address: SocketAddr) -> Result<FullResponse, SendError> {
    let request = Request::get("/").body(Full::new(Bytes::new())).expect("a request");
    pool.send(address, request).await?.read_full(1 << 10).await
}

#[tokio::test]
async fn after_a_silence_no_kept_connection_is_used_again() {
    let (pool, proxy) = (TargetPool::default(), proxied_target().await);
    // Two at a time leave two kept connections.
    let (first, second) = tokio::join!(send(&pool, proxy.address), send(&pool, proxy.address));
    assert!(first.is_ok() && second.is_ok());
    proxy.silence();
    let silent = time::timeout(PATIENCE, send(&pool, proxy.address)).await;
    assert!(silent.is_err(), "a kept connection was used, and is silent");
    pool.close_idle();
    let answer = time::timeout(LONG, send(&pool, proxy.address)).await.expect("in time");
    assert_eq!(answer.expect("on a new connection").body.as_ref(), b"ok");
}
