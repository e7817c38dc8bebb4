//! Validation of pool documents, and merging of configuration changes.

use pools::{FleetConfig, parse_pool};

/// Compares the result of parsing a document with its snapshot.
fn check(name: &str, text: &str) {
    let report = match parse_pool(text) {
        Ok(spec) => format!("{spec:#?}"),
        Err(error) => error.to_string(),
    };
    insta::assert_snapshot!(name, report);
}

#[test]
fn minimal_pool_gets_defaults() {
    check(
        "small",
        "name = 'layout'\nversion = 3\ntrainers = ['press-1']\nengines = ['engine-1']\n",
    );
}

#[test]
fn all_faults_are_reported_together() {
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
fn unknown_field_is_reported() {
    check(
        "unknown",
        "name = 'layout'\nversion = 3\ntrainers = ['a']\nengines = ['b']\nlimit = 4\n",
    );
}

/// A box at any generation must get the full document from the changes since that generation.
#[test]
fn changes_since_a_generation_give_the_full_document() {
    let pool = |index: u64, version: u64| {
        let text =
            format!("name = 'p{index}'\nversion = {version}\ntrainers = ['t']\nengines = ['e']\n");
        parse_pool(&text).expect("a valid pool")
    };
    let mut history = vec![FleetConfig::default()];
    for change in 0..12_u64 {
        let last = history.last().expect("never empty");
        history.push(last.with_pool(pool(change * 7 % 5, change + 1), format!("w{change}")));
    }
    let newest = history.last().expect("never empty");
    for old in &history {
        let changes = newest.since(old.generation);
        assert_eq!(&old.with_changes(changes), newest);
        // A box that applied a later generation in the meantime must get the same document.
        for advanced in history.iter().filter(|later| later.generation >= old.generation) {
            assert_eq!(&advanced.with_changes(newest.since(old.generation)), newest);
        }
    }
}
