//! Tests of count merging: any order, duplicates and restarted boxes.

use std::time::Duration;

use arbtest::arbtest;
use ids::{CustomerName, Incarnation};
use usage::{
    CountSource, TableVersion, UnixTime, UsageCount, UsageTable, UsageWindow, WindowLength,
};

fn source(number: u64, incarnation: u64) -> CountSource {
    let box_id = format!("box-{number}").parse().expect("a valid ID");
    CountSource { box_id, incarnation: Incarnation::new(incarnation) }
}

fn customer(number: u64) -> CustomerName {
    format!("customer-{number}").parse().expect("a valid name")
}

fn total(table: &UsageTable, window: u64, of: u64) -> u64 {
    table.totals(UsageWindow::new(window)).get(&customer(of)).copied().unwrap_or_default()
}

fn merge_all(table: &mut UsageTable, counts: Vec<UsageCount>) {
    for count in counts {
        table.merge(count);
    }
}

#[test]
fn windows_are_counted_from_unix_epoch() {
    let length = WindowLength::new(Duration::from_secs(5)).expect("a positive length");
    let window = length.window_of(UnixTime::new(1_767_225_601_234));
    assert_eq!(window.get(), 353_445_120);
    assert_eq!(length.end_of(window).millis(), 1_767_225_605_000);
    assert_eq!(WindowLength::new(Duration::ZERO), None);
}

#[test]
fn duplicate_and_outdated_counts_are_ignored() {
    let mut at_entry = UsageTable::default();
    at_entry.count(&source(1, 1), UsageWindow::new(7), &customer(1));
    let early = at_entry.since(TableVersion::default());
    at_entry.count(&source(1, 1), UsageWindow::new(7), &customer(1));
    let late = at_entry.since(TableVersion::default());
    let mut reporter = UsageTable::default();
    for counts in [&early, &late, &late, &early] {
        merge_all(&mut reporter, counts.clone());
    }
    assert_eq!(total(&reporter, 7, 1), 2);
}

#[test]
fn incarnations_of_a_box_count_separately() {
    let mut table = UsageTable::default();
    table.count(&source(1, 1), UsageWindow::new(7), &customer(1));
    table.count(&source(1, 2), UsageWindow::new(7), &customer(1));
    assert_eq!(total(&table, 7, 1), 2);
}

#[test]
fn only_changes_are_returned() {
    let mut table = UsageTable::default();
    table.count(&source(1, 1), UsageWindow::new(7), &customer(1));
    let seen = table.version();
    assert!(table.since(seen).is_empty());
    table.count(&source(1, 1), UsageWindow::new(8), &customer(2));
    let changes = table.since(seen);
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].window.get(), changes[0].requests), (8, 1));
}

#[test]
fn removed_windows_do_not_return() {
    let mut table = UsageTable::default();
    table.count(&source(1, 1), UsageWindow::new(7), &customer(1));
    let old = table.since(TableVersion::default());
    table.forget_before(UsageWindow::new(8));
    assert!(table.is_empty());
    merge_all(&mut table, old);
    table.count(&source(1, 1), UsageWindow::new(7), &customer(1));
    assert!(table.is_empty());
}

#[test]
fn merge_order_and_duplicates_do_not_change_totals() {
    arbtest(|u| {
        // Three entry boxes count. Two relays receive their counts and forward them to the
        // reporter, some of them twice.
        let mut entries = [UsageTable::default(), UsageTable::default(), UsageTable::default()];
        let mut relays = [UsageTable::default(), UsageTable::default()];
        let mut reporter = UsageTable::default();
        let mut counted = 0;
        for _ in 0..u.int_in_range(1..=40)? {
            let (entry, relay) = (u.int_in_range(0..=2)?, u.int_in_range(0..=1)?);
            match u.int_in_range(0..=2)? {
                0 => {
                    let by = source(entry as u64, 1);
                    entries[entry].count(&by, UsageWindow::new(3), &customer(1));
                    counted += 1;
                }
                1 => {
                    let counts = entries[entry].since(TableVersion::default());
                    merge_all(&mut relays[relay], counts);
                }
                _ => merge_all(&mut reporter, relays[relay].since(TableVersion::default())),
            }
            assert!(total(&reporter, 3, 1) <= counted);
        }
        for entry in &entries {
            let counts = entry.since(TableVersion::default());
            merge_all(&mut reporter, counts);
        }
        assert_eq!(total(&reporter, 3, 1), counted);
        Ok(())
    });
}
