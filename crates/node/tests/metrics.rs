//! What a box counts of its calls to the store.

use node::{NodeMetrics, StoreCall};
use platform::Kind;

#[test]
fn calls_to_the_store_are_told_once_by_kind() {
    let metrics = NodeMetrics::default();
    assert_eq!(metrics.take_store_calls(), None, "no line where there was no call");
    metrics.store_call(Kind::Configuration, StoreCall::Watch);
    metrics.store_call(Kind::Leases, StoreCall::Write);
    metrics.store_call(Kind::Configuration, StoreCall::Watch);
    let config = Kind::Configuration.as_str();
    let leases = Kind::Leases.as_str();
    let told = format!("watch {config} 2, write {leases} 1");
    assert_eq!(metrics.take_store_calls(), Some((3, told)));
    assert_eq!(metrics.take_store_calls(), None, "each call is told once");
}
