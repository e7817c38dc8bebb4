//! Which log lines a process writes.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::{env, fs};

use log::LevelFilter;
use node::logs::{LogPart, start_logs};

/// Set in the process whose output is checked.
const CHILD_VARIABLE: &str = "GANNETWAY_TEST_LOG_CHILD";
/// Start of the target of a log call in the source.
const TARGET: &str = "target: \"";
/// Crates that are not part of the product, or whose processes set up logging differently.
const OTHER_CRATES: [&str; 6] = ["gannetwayd", "gannetctl", "demo", "standins", "bench", "xtask"];

fn rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("folder is readable") {
        let path = entry.expect("entry is readable").path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Sources of the crates that log through this crate.
fn sources() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    for entry in fs::read_dir(root.join("crates")).expect("folder is readable") {
        let path = entry.expect("entry is readable").path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if !OTHER_CRATES.contains(&name) {
            rust_files(&path.join("src"), &mut files);
        }
    }
    rust_files(&root.join("platform/src"), &mut files);
    files
}

/// Guards against log calls whose lines are never written because their part is not in the list.
#[test]
fn every_log_call_names_a_listed_part() {
    let mut used = Vec::new();
    for file in sources() {
        let text = fs::read_to_string(&file).expect("file is readable");
        for call in text.split(TARGET).skip(1) {
            let part = call.split('"').next().unwrap_or_default().to_owned();
            let is_listed = LogPart::ALL.iter().any(|listed| listed.as_str() == part);
            assert!(is_listed, "{}: unlisted part `{part}`", file.display());
            used.push(part);
        }
    }
    for listed in LogPart::ALL {
        assert!(used.iter().any(|part| part == listed.as_str()), "no log call names {listed:?}");
    }
}

/// Guards against `gannetctl usage` finding nothing in the logs of real processes.
#[test]
fn info_lines_of_every_part_are_written() {
    let this = env::current_exe().expect("the test has a file");
    let output = Command::new(this)
        .args(["--exact", "child_logs_a_line_of_every_part", "--nocapture"])
        .env(CHILD_VARIABLE, "1")
        .output()
        .expect("the test can start itself");
    let written = String::from_utf8_lossy(&output.stdout).into_owned();
    for part in ["accounts", "config", "links", "usage"]
        .into_iter()
        .chain(LogPart::ALL.iter().map(|part| part.as_str()))
    {
        assert!(written.contains(&format!("\"part\":\"{part}\"")), "no line of {part}: {written}");
    }
    assert!(!written.contains("a library"), "{written}");
}

/// Runs in a process of its own, since a process can set up logging once.
#[test]
fn child_logs_a_line_of_every_part() {
    if env::var_os(CHILD_VARIABLE).is_none() {
        return;
    }
    let flush = start_logs("box-1", LevelFilter::Info);
    for part in ["accounts", "config", "links", "usage"] {
        log::info!(target: part, "a line");
    }
    for part in LogPart::ALL {
        log::info!(target: part.as_str(), "a line");
    }
    log::info!(target: "hyper::client", "a library");
    flush.flush();
}
