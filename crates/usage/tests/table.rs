//! Counts that travel in any order, more than once, from boxes that come and go.

use std::time::Duration;

use arbtest::arbtest;
use ids::{CustomerName, Incarnation};
use usage::{
    CountSource, TableVersion, UnixTime, UsageCount, UsageTable, UsageWindow, WindowLength,
};

fn source(number: u64, life: u64) -> CountSource {
    let box_id = format!("box-{number}").parse().expect("an id");
    CountSource { box_id, incarnation: Incarnation::new(life) }
}

fn customer(number: u64) -> CustomerName {
    format!("customer-{number}").parse().expect("a name")
}

fn total(table: &UsageTable, window: u64, of: u64) -> u64 {
    table.totals(UsageWindow::new(window)).get(&customer(of)).copied().unwrap_or_default()
}

fn merge_all(table: &mut UsageTable, told: Vec<UsageCount>) {
    for count in told {
        table.merge(count);
    }
}

#[test]
fn windows_are_counted_from_1970() {
    let length = WindowLength::new(Duration::from_secs(5)).expect("a length");
    let window = length.window_of(UnixTime::new(1_767_225_601_234));
    assert_eq!(window.get(), 353_445_120);
    assert_eq!(length.end_of(window).millis(), 1_767_225_605_000);
    assert_eq!(WindowLength::new(Duration::ZERO), None);
}

#[test]
fn a_repeat_and_an_older_word_add_nothing() {
    let mut at_entry = UsageTable::default();
    at_entry.count(&source(1, 1), UsageWindow::new(7), &customer(1));
    let early = at_entry.since(TableVersion::default());
    at_entry.count(&source(1, 1), UsageWindow::new(7), &customer(1));
    let late = at_entry.since(TableVersion::default());
    let mut reporter = UsageTable::default();
    for told in [&early, &late, &late, &early] {
        merge_all(&mut reporter, told.clone());
    }
    assert_eq!(total(&reporter, 7, 1), 2);
}

#[test]
fn a_later_life_of_a_box_counts_beside_the_earlier_one() {
    let mut table = UsageTable::default();
    table.count(&source(1, 1), UsageWindow::new(7), &customer(1));
    table.count(&source(1, 2), UsageWindow::new(7), &customer(1));
    assert_eq!(total(&table, 7, 1), 2);
}

#[test]
fn only_changes_are_told() {
    let mut table = UsageTable::default();
    table.count(&source(1, 1), UsageWindow::new(7), &customer(1));
    let told = table.version();
    assert!(table.since(told).is_empty());
    table.count(&source(1, 1), UsageWindow::new(8), &customer(2));
    let news = table.since(told);
    assert_eq!(news.len(), 1);
    assert_eq!((news[0].window.get(), news[0].requests), (8, 1));
}

#[test]
fn forgotten_windows_do_not_come_back() {
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
fn whichever_way_counts_come_the_totals_are_those_that_were_counted() {
    arbtest(|u| {
        // Three entry boxes count; two tellers hear them in turns, and pass on what they know, some of it twice.
        let mut entries = [UsageTable::default(), UsageTable::default(), UsageTable::default()];
        let mut tellers = [UsageTable::default(), UsageTable::default()];
        let mut reporter = UsageTable::default();
        let mut counted = 0;
        for _ in 0..u.int_in_range(1..=40)? {
            let (entry, teller) = (u.int_in_range(0..=2)?, u.int_in_range(0..=1)?);
            match u.int_in_range(0..=2)? {
                0 => {
                    let by = source(entry as u64, 1);
                    entries[entry].count(&by, UsageWindow::new(3), &customer(1));
                    counted += 1;
                }
                1 => {
                    let told = entries[entry].since(TableVersion::default());
                    merge_all(&mut tellers[teller], told);
                }
                _ => merge_all(&mut reporter, tellers[teller].since(TableVersion::default())),
            }
            assert!(total(&reporter, 3, 1) <= counted);
        }
        for entry in &entries {
            let told = entry.since(TableVersion::default());
            merge_all(&mut reporter, told);
        }
        assert_eq!(total(&reporter, 3, 1), counted);
        Ok(())
    });
}
