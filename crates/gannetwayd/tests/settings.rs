//! Settings are checked at once, and each fault names its flag and remedy.

use clap::Parser;
use gannetwayd::settings::RawSettings;

/// Checks what the settings say of these arguments.
fn check(name: &str, args: &[&str]) {
    let raw = RawSettings::try_parse_from(std::iter::once(&"gannetwayd").chain(args));
    let said = match raw.expect("the flags exist").check() {
        Ok(settings) => format!("{settings:#?}"),
        Err(error) => error.to_string(),
    };
    insta::assert_snapshot!(name, said);
}

const GOOD: [&str; 8] = [
    "--box-id",
    "box-1",
    "--domain",
    "hall-1",
    "--platform",
    "http://10.0.0.1:7000",
    "--key",
    "a-key-of-sixteen-bytes",
];

#[test]
fn good_settings_show_no_key() {
    check("good", &GOOD);
}

#[test]
fn every_fault_is_told_at_once() {
    let bad = [
        "--box-id",
        "box 1",
        "--domain",
        "",
        "--caller-listen",
        "localhost",
        "--peer-listen",
        "10.0.0.1",
        "--platform",
        "ftp://x",
        "--peers",
        "10.0.0.2:1,nowhere",
        "--key",
        "short",
        "--lease-term-ms",
        "5",
        "--drain-limit-ms",
        "soon",
        "--traffic-threads",
        "0",
        "--log",
        "loud",
        "--otlp",
        "collector",
    ];
    check("bad", &bad);
}

#[test]
fn a_missing_key_names_its_flag() {
    check("no_key", &GOOD[..6]);
}
