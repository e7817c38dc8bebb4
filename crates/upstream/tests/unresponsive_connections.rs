//! Idle connections that become unresponsive without a reset, while new connections work.

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

/// Timeout of the test; longer than any response takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of the request on an unresponsive connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn serve(mut stream: TcpStream) {
    let mut buffer = vec![0; 4_096];
    while stream.read(&mut buffer).await.is_ok_and(|len| len > 0) {
        if stream.write_all(OK_RESPONSE).await.is_err() {
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
    proxy.set_target(address);
    proxy
}

async fn send(pool: &TargetPool, address: SocketAddr) -> Result<FullResponse, SendError> {
    let request = Request::get("/").body(Full::new(Bytes::new())).expect("a request");
    pool.send(address, request).await?.read_full(1 << 10).await
}

#[tokio::test]
async fn close_idle_prevents_reuse_of_unresponsive_connections() {
    let (pool, proxy) = (TargetPool::default(), proxied_target().await);
    // Two concurrent requests leave two idle connections.
    let (first, second) = tokio::join!(send(&pool, proxy.address), send(&pool, proxy.address));
    assert!(first.is_ok() && second.is_ok());
    proxy.silence();
    let unresponsive = time::timeout(REQUEST_TIMEOUT, send(&pool, proxy.address)).await;
    assert!(
        unresponsive.is_err(),
        "the request should use an idle connection, which is unresponsive"
    );
    pool.close_idle();
    let response = time::timeout(TEST_TIMEOUT, send(&pool, proxy.address)).await.expect("in time");
    assert_eq!(response.expect("on a new connection").body.as_ref(), b"ok");
}
