//! What the client reports after several attempts of one request.

use std::net::SocketAddr;
use std::time::Duration;

use api::{ErrorBody, ErrorKind};
use client::{ClientError, EntryClient, EntrySettings};
use reqwest::Method;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Nothing listens on port 9 of loopback.
const UNREACHABLE: &str = "http://127.0.0.1:9";

/// Starts a box that responds to every request with `response` and closes the connection.
async fn entry_box(response: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0; 4_096];
            if stream.read(&mut buffer).await.is_ok() {
                // The client notices a response that was cut off.
                let _written = stream.write_all(response.as_bytes()).await;
            }
        }
    });
    format!("http://{address}")
}

fn refusal(status: &str, kind: ErrorKind) -> String {
    let body = serde_json::to_string(&ErrorBody::new(kind, "refused")).expect("a body");
    let len = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n{body}")
}

async fn send(entries: Vec<String>) -> ClientError {
    let retry_timeout = Duration::from_millis(400);
    let settings = EntrySettings { entries, key: None, retry_timeout };
    let client = EntryClient::new(settings);
    let sent: Result<Value, ClientError> =
        client.send_with_retries(&Method::POST, "/x", None::<&Value>, Duration::ZERO).await;
    sent.expect_err("no box accepts the request")
}

/// Guards against "nothing was sent" after an earlier attempt broke. The attempts alternate between
/// the boxes, and their delays are random, so several runs end at either box.
#[tokio::test]
async fn broken_attempt_is_not_forgotten() {
    for _ in 0..6 {
        let breaks = entry_box(String::new()).await;
        let error = send(vec![breaks, UNREACHABLE.to_owned()]).await;
        assert!(matches!(error, ClientError::Broken(_)), "{error}");
    }
}

#[tokio::test]
async fn broken_attempt_is_not_forgotten_after_a_refusal() {
    let refuses = entry_box(refusal("503 Service Unavailable", ErrorKind::NotRun)).await;
    for response in [String::new(), refusal("502 Bad Gateway", ErrorKind::Unknown)] {
        for _ in 0..6 {
            let uncertain = entry_box(response.clone()).await;
            let error = send(vec![uncertain, refuses.clone()]).await;
            let is_uncertain = match &error {
                ClientError::Broken(_) => true,
                ClientError::Refused(refusal) => refusal.kind == ErrorKind::Unknown,
                ClientError::NoEntry => false,
            };
            assert!(is_uncertain, "{error}");
        }
    }
}

#[tokio::test]
async fn unreachable_boxes_mean_that_nothing_was_sent() {
    let error = send(vec![UNREACHABLE.to_owned(), UNREACHABLE.to_owned()]).await;
    assert_eq!(error, ClientError::NoEntry);
    let refuses = entry_box(refusal("503 Service Unavailable", ErrorKind::NotRun)).await;
    let error = send(vec![UNREACHABLE.to_owned(), refuses]).await;
    assert!(
        matches!(&error, ClientError::Refused(ErrorBody { kind: ErrorKind::NotRun, .. }))
            || error == ClientError::NoEntry,
        "{error}"
    );
}
