//! Targets that send bytes without end, until their connection is closed.
//!
//! They guard against a box that reads such bytes for as long as they come: in each place of a
//! response the request must fail, and the connection be closed, after a bounded number of bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use upstream::{FullResponse, SendError, TargetPool};

/// Timeout of the test; longer than any step takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of one write of the target.
const WRITE_BYTES: usize = 16 << 10;
/// Maximum number of bytes that a box may read, with those that the kernel buffers on both sides.
const MAX_SENT_BYTES: usize = 16 << 20;
/// Maximum size of a body.
const MAX_BODY: usize = 1 << 20;

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A target that sends `start` to each request and then `endless` again and again.
struct EndlessTarget {
    address: SocketAddr,
    /// Bytes sent on all connections.
    sent: Arc<AtomicUsize>,
    /// Number of connections that the box has closed.
    closed: Arc<AtomicUsize>,
}

impl EndlessTarget {
    async fn start(start: &'static str, endless: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (sent, closed) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counters = (Arc::clone(&sent), Arc::clone(&closed));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (sent, closed) = counters.clone();
                tokio::spawn(async move {
                    send_until_closed(stream, start, endless, &sent).await;
                    closed.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        Self { address, sent, closed }
    }

    async fn wait_closed(&self, connections: usize) {
        let closed = async {
            while self.closed.load(Ordering::Relaxed) < connections {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        time::timeout(TEST_TIMEOUT, closed).await.expect("the box closes the connection");
        let sent = self.sent.load(Ordering::Relaxed);
        assert!(sent <= connections * MAX_SENT_BYTES, "{sent} bytes sent");
    }
}

async fn send_until_closed(mut stream: TcpStream, start: &str, endless: &str, sent: &AtomicUsize) {
    let mut request = [0; 4_096];
    if stream.read(&mut request).await.unwrap_or(0) == 0 {
        return;
    }
    let repeated = endless.repeat(WRITE_BYTES.div_ceil(endless.len()));
    let mut next = start.as_bytes();
    while stream.write_all(next).await.is_ok() {
        sent.fetch_add(next.len(), Ordering::Relaxed);
        next = repeated.as_bytes();
    }
}

async fn send(pool: &TargetPool, address: SocketAddr) -> Result<FullResponse, SendError> {
    let request = Request::post("/x").header("host", "h").body(Full::new(Bytes::from_static(b"q")));
    let response =
        async { pool.send(address, request.expect("a request")).await?.read_full(MAX_BODY).await };
    time::timeout(TEST_TIMEOUT, response).await.expect("the request ends")
}

/// Sends a request to a target that never ends its response.
async fn check_refused(start: &'static str, endless: &'static str) {
    let target = EndlessTarget::start(start, endless).await;
    let result = send(&TargetPool::default(), target.address).await;
    assert!(matches!(result, Err(SendError::TooLong(_))), "{result:?}");
    target.wait_closed(1).await;
}

#[tokio::test]
async fn endless_status_line_is_refused() {
    check_refused("HTTP/1.1 200 ", "a").await;
}

#[tokio::test]
async fn endless_header_is_refused() {
    check_refused("HTTP/1.1 200 OK\r\nx-a: ", "a").await;
}

#[tokio::test]
async fn endless_informational_responses_are_refused() {
    check_refused("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n").await;
}

#[tokio::test]
async fn endless_chunk_size_is_refused() {
    check_refused(CHUNKED_HEAD, "0").await;
}

#[tokio::test]
async fn endless_padding_of_chunk_size_is_refused() {
    check_refused("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2", " ").await;
}

#[tokio::test]
async fn endless_chunk_extension_is_refused() {
    check_refused("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;", "a").await;
}

#[tokio::test]
async fn endless_trailers_are_refused() {
    check_refused(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx-a: ",
        "a",
    )
    .await;
}

#[tokio::test]
async fn endless_chunks_are_refused() {
    check_refused(CHUNKED_HEAD, "2\r\nok\r\n").await;
}

#[tokio::test]
async fn endless_body_without_length_is_refused() {
    check_refused("HTTP/1.1 200 OK\r\n\r\n", "a").await;
}

/// The response is complete; what follows belongs to no request.
#[tokio::test]
async fn connection_with_endless_bytes_after_response_is_closed() {
    let target = EndlessTarget::start(OK_RESPONSE, "a").await;
    let pool = TargetPool::default();
    for requests in 1..=2 {
        assert_eq!(send(&pool, target.address).await.expect("a complete response").body, "ok");
        target.wait_closed(requests).await;
    }
}

#[tokio::test]
async fn requests_to_many_endless_targets_end() {
    const TARGETS: usize = 100;
    let pool = TargetPool::default();
    let mut requests = tokio::task::JoinSet::new();
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        let target = EndlessTarget::start("", "HTTP/1.1 100 Continue\r\n\r\n").await;
        let (pool, address) = (pool.clone(), target.address);
        requests.spawn(async move { send(&pool, address).await });
        targets.push(target);
    }
    while let Some(result) = requests.join_next().await {
        let result = result.expect("not aborted");
        assert!(matches!(result, Err(SendError::TooLong(_))), "{result:?}");
    }
    for target in &targets {
        target.wait_closed(1).await;
    }
    assert_eq!(pool.limit().open(), 0);
}
