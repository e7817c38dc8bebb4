//! Pool documents: every fault at once, each with its remedy.

use pools::parse_pool;

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
