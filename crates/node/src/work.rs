//! By what a piece of work is known again, whichever way it comes and at whichever box.

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Method, Uri};
use ids::WorkDigest;

/// The work of a plain request or a stream: method, host, path with its query, body. Ids and times left differ
/// from try to try and are left out.
pub fn request_work(method: &Method, headers: &HeaderMap, uri: &Uri, body: &Bytes) -> WorkDigest {
    let host = headers.get(HOST).map(http::HeaderValue::as_bytes).unwrap_or_default();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    WorkDigest::of(&[method.as_str().as_bytes(), host, path.as_bytes(), body])
}

/// The work of an item: the items of a group may ask for the same, but each keeps its id whenever it is asked for.
pub fn item_work(host: &str, path: &str, item: &str, body: &[u8]) -> WorkDigest {
    WorkDigest::of(&[host.as_bytes(), path.as_bytes(), item.as_bytes(), body])
}
