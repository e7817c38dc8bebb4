//! Counters of store calls.

use node::{NodeMetrics, StoreCall};
use platform::Kind;

#[test]
fn store_calls_are_reported_once_by_kind() {
    let metrics = NodeMetrics::default();
    assert_eq!(metrics.take_store_calls(), None, "no calls were made");
    metrics.store_call(Kind::Configuration, StoreCall::Watch);
    metrics.store_call(Kind::Leases, StoreCall::Write);
    metrics.store_call(Kind::Configuration, StoreCall::Watch);
    let config = Kind::Configuration.as_str();
    let leases = Kind::Leases.as_str();
    let expected = format!("watch {config} 2, write {leases} 1");
    assert_eq!(metrics.take_store_calls(), Some((3, expected)));
    assert_eq!(metrics.take_store_calls(), None, "each call is reported once");
}
