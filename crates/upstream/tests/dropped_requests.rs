//! How connections end when their request is dropped.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use upstream::TargetPool;

/// Timeout of the test; longer than any step takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const ERROR_RESPONSE: &[u8] = b"HTTP/1.1 500 Error\r\ncontent-length: 2\r\n\r\nno";

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

fn request(body_bytes: usize) -> Request<Full<Bytes>> {
    Request::post("/").body(Full::new(Bytes::from(vec![0; body_bytes]))).expect("a request")
}

/// Reads until the connection ends. Returns the error, if it does not end in order.
async fn read_to_end(stream: &mut TcpStream) -> Option<ErrorKind> {
    let mut received = Vec::new();
    let ended = time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut received)).await;
    ended.expect("the connection ends").err().map(|error| error.kind())
}

async fn accept_and_read_request(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut buffer = vec![0; 1 << 10];
    let read = stream.read(&mut buffer).await.expect("a request");
    assert!(read > 0, "the connection ended");
    stream
}

/// Guards against requests that reach a target after their end: the bytes that a network cut holds
/// up are delivered later, unless the connection is reset.
#[tokio::test]
async fn dropped_request_resets_its_connection() {
    let (listener, address) = listen().await;
    let pool = TargetPool::default();
    let sending = {
        let pool = pool.clone();
        tokio::spawn(async move { pool.send(address, request(1 << 20)).await.map(|_| ()) })
    };
    let mut stream = accept_and_read_request(&listener).await;
    sending.abort();
    assert_eq!(read_to_end(&mut stream).await, Some(ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn dropped_response_resets_its_connection() {
    let (listener, address) = listen().await;
    let pool = TargetPool::default();
    let sending = tokio::spawn(async move { pool.send(address, request(0)).await });
    let mut stream = accept_and_read_request(&listener).await;
    stream.write_all(&OK_RESPONSE[..OK_RESPONSE.len() - 1]).await.expect("open");
    drop(sending.await.expect("not aborted").expect("a response head"));
    assert_eq!(read_to_end(&mut stream).await, Some(ErrorKind::ConnectionReset));
}

/// Guards against resets of connections whose target has responded completely.
#[tokio::test]
async fn connection_closes_in_order_after_complete_response() {
    for response in [OK_RESPONSE, ERROR_RESPONSE] {
        let (listener, address) = listen().await;
        let pool = TargetPool::default();
        let sending = {
            let pool = pool.clone();
            tokio::spawn(
                async move { pool.send(address, request(0)).await?.read_full(1_024).await },
            )
        };
        let mut stream = accept_and_read_request(&listener).await;
        stream.write_all(response).await.expect("open");
        sending.await.expect("not aborted").expect("a complete response");
        pool.close_idle();
        assert_eq!(read_to_end(&mut stream).await, None);
    }
}
