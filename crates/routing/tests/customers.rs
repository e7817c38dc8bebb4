//! Lookup of customers by key and handling of invalid entries.

use ids::CustomerName;
use routing::{CustomerFault, CustomerSpec, CustomerTable, KeyDigest, KeyFault, RegionScope};

fn name(text: &str) -> CustomerName {
    text.parse().expect("valid name")
}

fn spec(customer: &str, priority: Option<u8>, keys: &[&str]) -> CustomerSpec {
    let keys = keys.iter().map(|key| KeyDigest::of(key)).collect();
    CustomerSpec { name: name(customer), priority, regions: RegionScope::Any, keys }
}

fn holder(table: &CustomerTable, key: &str) -> Option<String> {
    let key = KeyDigest::of(key).ok()?;
    table.holder(key).map(|customer| customer.name.to_string())
}

#[test]
fn keys_identify_their_customer() {
    let table =
        CustomerTable::new(vec![spec("a", Some(1), &["k-1", "k-2"]), spec("b", None, &["k-3"])]);
    assert_eq!(holder(&table, "k-2").as_deref(), Some("a"));
    assert_eq!(holder(&table, "k-3").as_deref(), Some("b"));
    assert_eq!(holder(&table, "k-4"), None);
    assert!(table.faults().is_empty());
    assert_eq!(table.len(), 2);
}

#[test]
fn key_shared_by_two_customers_belongs_to_neither() {
    let specs = vec![
        spec("a", None, &["shared", "k-1"]),
        spec("b", None, &["shared", "k-2"]),
        spec("c", None, &["shared"]),
    ];
    let table = CustomerTable::new(specs);
    assert_eq!(holder(&table, "shared"), None);
    assert_eq!(holder(&table, "k-1").as_deref(), Some("a"));
    assert_eq!(holder(&table, "k-2").as_deref(), Some("b"));
    assert!(matches!(table.faults(), [CustomerFault::SharedKey { .. }]), "{:?}", table.faults());
}

#[test]
fn key_listed_twice_for_one_customer_is_valid() {
    let table = CustomerTable::new(vec![spec("a", None, &["k-1", "k-1"])]);
    assert_eq!(holder(&table, "k-1").as_deref(), Some("a"));
    assert!(table.faults().is_empty());
}

#[test]
fn duplicate_customer_entries_are_merged_with_the_higher_priority() {
    let table =
        CustomerTable::new(vec![spec("a", Some(3), &["k-1"]), spec("a", Some(1), &["k-2"])]);
    for key in ["k-1", "k-2"] {
        let found = table.holder(KeyDigest::of(key).expect("valid key")).expect("a customer");
        assert_eq!((found.name.as_str(), found.priority), ("a", Some(1)));
    }
    assert_eq!(table.faults(), [CustomerFault::NamedTwice(name("a"))]);
    assert_eq!(table.len(), 1);
}

#[test]
fn invalid_keys_are_ignored_and_valid_ones_kept() {
    let long = "x".repeat(2_000);
    let table =
        CustomerTable::new(vec![spec("a", None, &["", "with blank", "k-1", &long, "\u{e9}"])]);
    assert_eq!(holder(&table, "k-1").as_deref(), Some("a"));
    let unusable = |fault| CustomerFault::UnusableKey { customer: name("a"), fault };
    let faults =
        [KeyFault::Empty, KeyFault::InvalidBytes, KeyFault::TooLong, KeyFault::InvalidBytes];
    assert_eq!(table.faults(), faults.map(unusable));
}

#[test]
fn keys_are_shown_only_as_digest_prefixes() {
    let key = KeyDigest::of("open-sesame").expect("valid key");
    assert_eq!(key.to_string().len(), 8);
    let table = CustomerTable::new(vec![spec("a", None, &["open-sesame"])]);
    assert!(!format!("{key:?} {table:?}").contains("sesame"));
}
