//! The tool's exit codes and errors, as a script would see them.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gannetctl")).args(args).output().expect("it runs")
}

fn error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn a_document_that_is_missing_or_bad_is_bad_input() {
    let missing = run(&["apply", "no-such-file.toml"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(error(&missing).contains("name a readable file"));
}

#[test]
fn a_step_that_cannot_be_asked_for_is_bad_input() {
    let args = ["step", "--pool", "p", "--trainer", "t", "--samples", "9", "--group", "4"];
    let output = run(&args);
    assert_eq!(output.status.code(), Some(2));
    assert!(error(&output).contains("make it one"));
}

#[test]
fn no_entry_box_means_not_run() {
    let args = ["--entry", "http://127.0.0.1:1", "--patience-ms", "0", "status"];
    let output = run(&args);
    assert_eq!(output.status.code(), Some(4));
    assert!(error(&output).contains("nothing was sent"));
}
