//! Settings are validated together, and each error names its flag and remedy.

use clap::Parser;
use gannetwayd::settings::RawSettings;

/// Compares the checked settings, or the error, for `args` with the snapshot `name`.
fn check(name: &str, args: &[&str]) {
    let raw = RawSettings::try_parse_from(std::iter::once(&"gannetwayd").chain(args));
    let output = match raw.expect("all flags are defined").check() {
        Ok(settings) => format!("{settings:#?}"),
        Err(error) => error.to_string(),
    };
    insta::assert_snapshot!(name, output);
}

const VALID_ARGS: [&str; 8] = [
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
fn debug_output_of_settings_hides_the_key() {
    check("good", &VALID_ARGS);
}

#[test]
fn all_faults_are_reported_together() {
    let invalid_args = [
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
    check("bad", &invalid_args);
}

#[test]
fn missing_key_error_names_its_flag() {
    check("no_key", &VALID_ARGS[..6]);
}
