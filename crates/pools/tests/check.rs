//! Pool documents: every fault at once, each with its remedy.

use pools::{FleetConfig, parse_pool};

/// Checks what is said of a document.
fn check(name: &str, text: &str) {
    let said = match parse_pool(text) {
        Ok(spec) => format!("{spec:#?}"),
        Err(error) => error.to_string(),
    };
    insta::assert_snapshot!(name, said);
}

#[test]
fn a_small_pool_gets_safe_defaults() {
    check(
        "small",
        "name = 'layout'\nversion = 3\ntrainers = ['press-1']\nengines = ['engine-1']\n",
    );
}

#[test]
fn every_fault_is_told_at_once() {
    let text = "
name = 'layout'
version = 0
staleness_bound = 5000
trainers = []
engines = ['engine-1', 'engine-1']
swap = { rolling = { at_once = 0 } }
[limits]
per_engine = 0
per_trainer = 0
";
    check("faults", text);
}

#[test]
fn an_unknown_field_is_named() {
    check(
        "unknown",
        "name = 'layout'\nversion = 3\ntrainers = ['a']\nengines = ['b']\nlimit = 4\n",
    );
}

/// However a box's generations come, changes since its own give it the whole document.
#[test]
fn changes_since_a_generation_give_the_whole_document() {
    let pool = |index: u64, version: u64| {
        let text =
            format!("name = 'p{index}'\nversion = {version}\ntrainers = ['t']\nengines = ['e']\n");
        parse_pool(&text).expect("a good pool")
    };
    let mut history = vec![FleetConfig::default()];
    for change in 0..12_u64 {
        let last = history.last().expect("never empty");
        history.push(last.with_pool(pool(change * 7 % 5, change + 1), format!("w{change}")));
    }
    let newest = history.last().expect("never empty");
    for held in &history {
        let changes = newest.since(held.generation);
        assert_eq!(&held.with_changes(changes), newest);
        // A box that moved on while the changes were under way ends at the same document.
        for moved_on in history.iter().filter(|later| later.generation >= held.generation) {
            assert_eq!(&moved_on.with_changes(newest.since(held.generation)), newest);
        }
    }
}
