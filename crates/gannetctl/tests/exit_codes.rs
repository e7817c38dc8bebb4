//! Exit codes and error texts of the tool.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gannetctl"))
        .args(args)
        .output()
        .expect("gannetctl can be started")
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn missing_pool_document_exits_with_bad_input() {
    let missing = run(&["apply", "no-such-file.toml"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(stderr_text(&missing).contains("specify a readable file"));
}

#[test]
fn sample_count_not_divisible_by_group_exits_with_bad_input() {
    let args = ["step", "--pool", "p", "--trainer", "t", "--samples", "9", "--group", "4"];
    let output = run(&args);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_text(&output).contains("specify a multiple"));
}

#[test]
fn unreachable_entry_box_exits_with_not_run() {
    let args = ["--entry", "http://127.0.0.1:1", "--patience-ms", "0", "status"];
    let output = run(&args);
    assert_eq!(output.status.code(), Some(4));
    assert!(stderr_text(&output).contains("nothing was sent"));
}
