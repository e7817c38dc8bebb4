//! Digests that identify a piece of work across retries and boxes.

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Method, Uri};
use ids::WorkDigest;

/// Digest of a plain request or stream: method, host, path with query, and body. Ids and remaining
/// times differ between tries and are excluded.
pub fn request_work(method: &Method, headers: &HeaderMap, uri: &Uri, body: &Bytes) -> WorkDigest {
    let host = headers.get(HOST).map(http::HeaderValue::as_bytes).unwrap_or_default();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    WorkDigest::of(&[method.as_str().as_bytes(), host, path.as_bytes(), body])
}

/// Digest of an item. Includes its id, since items of a group may have the same request.
pub fn item_work(host: &str, path: &str, item: &str, body: &[u8]) -> WorkDigest {
    WorkDigest::of(&[host.as_bytes(), path.as_bytes(), item.as_bytes(), body])
}
