//! How the HTTP client of the object API reads responses that are not objects.

use objects::{HttpStore, ObjectKey, ObjectKind, ObjectStore, StoreError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a server that gives the same response to every request. Returns a client for it.
async fn store_that_responds(status: &'static str, body: &'static str) -> HttpStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let len = body.len();
    let response =
        format!("HTTP/1.1 {status}\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n{body}");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0; 4_096];
            if stream.read(&mut buffer).await.is_ok() {
                // The client notices a response that was cut off.
                let _written = stream.write_all(response.as_bytes()).await;
            }
        }
    });
    HttpStore::new(&format!("http://{address}"), reqwest::Client::new())
}

fn key() -> ObjectKey {
    ObjectKey::new(ObjectKind::Lease, "a")
}

/// Guards against asking the operator to fix an object because the platform failed.
#[tokio::test]
async fn error_response_is_not_a_bad_value() {
    for status in ["400 Bad Request", "500 Internal Server Error", "502 Bad Gateway"] {
        for body in ["<html>no backend</html>", r#"{"name":"a","version":1,"value":{}}"#] {
            let store = store_that_responds(status, body).await;
            assert_eq!(store.read(&key()).await, Err(StoreError::Unknown), "{status} {body}");
            let listed = store.list(ObjectKind::Lease).await;
            assert_eq!(listed, Err(StoreError::Unknown), "{status} {body}");
        }
        let store = store_that_responds(status, r#"{"revision":1,"objects":[]}"#).await;
        assert_eq!(store.list(ObjectKind::Lease).await, Err(StoreError::Unknown), "{status}");
    }
}

#[tokio::test]
async fn malformed_object_is_a_bad_value() {
    let store = store_that_responds("200 OK", r#"{"name":"a"}"#).await;
    let read = store.read(&key()).await;
    assert!(matches!(read, Err(StoreError::BadValue { .. })), "{read:?}");
    let store = store_that_responds("404 Not Found", "none").await;
    assert_eq!(store.read(&key()).await, Ok(None));
}
