//! Rules of the tree that no compiler checks.

use std::fs;
use std::path::{Path, PathBuf};

/// Names of the platform: they may stand in `platform/` only. Whoever needs one outside adds a
/// typed conversion there.
const PLATFORM_NAMES: [&str; 24] = [
    "x-request-id",
    "x-deadline-ms",
    "x-expect-instance",
    "x-expect-version",
    "x-weight-versions",
    "x-server-load",
    "x-not-run",
    "x-response-stamp",
    "x-prompt-prefix",
    "x-token-count",
    "x-wait-ms",
    "x-length-hint",
    "x-instance-id",
    "last-event-id",
    "v1/lots",
    "v1/items",
    "\"/v1/order\"",
    "v1/report",
    "v1/readyz",
    "kv-fetch",
    "since_rev",
    "more_pages",
    "path_prefix\"",
    "\"retirements\"",
];

/// Names that the product's own interface has too, each with the file that spells it.
const OWN_NAMES: [(&str, &str); 4] = [
    ("targets/src/lib.rs", "x-request-id"),
    ("api/src/lib.rs", "x-request-id"),
    ("api/src/lib.rs", "x-deadline-ms"),
    ("demo/tests/processes.rs", "x-request-id"),
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if path.is_dir() && name != "target" && name != "generated" {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            files.push(path);
        }
    }
}

fn product_files() -> Vec<PathBuf> {
    let mut files = Vec::new();
    rust_files(&root().join("crates"), &mut files);
    files
}

#[test]
fn the_platforms_names_stand_in_its_folder_only() {
    let mut found = Vec::new();
    for path in product_files() {
        // This list itself.
        if path.ends_with("xtask/tests/tidy.rs") {
            continue;
        }
        let text = fs::read_to_string(&path).expect("it is text").to_ascii_lowercase();
        let own =
            |name: &str| OWN_NAMES.iter().any(|(file, own)| path.ends_with(file) && *own == name);
        let names = PLATFORM_NAMES.iter().filter(|name| text.contains(**name) && !own(name));
        found.extend(names.map(|name| format!("{}: {name}", path.display())));
    }
    assert!(found.is_empty(), "move these into platform/: {found:#?}");
}

#[test]
fn tests_live_in_test_files() {
    let inline = product_files().into_iter().filter(|path| {
        let text = fs::read_to_string(path).expect("it is text");
        !path.components().any(|part| part.as_os_str() == "tests")
            && (text.contains("mod tests {") || text.contains("#[test]"))
    });
    let inline: Vec<PathBuf> = inline.collect();
    assert!(inline.is_empty(), "move these tests into tests/: {inline:#?}");
}

#[test]
fn every_module_says_what_it_is_for() {
    let mut silent = Vec::new();
    for path in product_files() {
        let text = fs::read_to_string(&path).expect("it is text");
        if !text.starts_with("//!") {
            silent.push(path);
        }
    }
    assert!(silent.is_empty(), "begin these files with a line of `//!`: {silent:#?}");
}

/// Underscores from which on a word in backquotes is the name of a test and not of a file or a type.
const TEST_NAME_UNDERSCORES: usize = 3;

/// Names of tests in backquotes, each with whether it is only the beginning of one.
fn named_tests(page: &str) -> Vec<(String, bool)> {
    let quoted = page.split('`').skip(1).step_by(2);
    let names = quoted.filter_map(|word| {
        let name = word.trim_end_matches('…');
        let plain = name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
        let long = name.matches('_').count() >= TEST_NAME_UNDERSCORES;
        (plain && long).then(|| (name.to_owned(), name != word))
    });
    names.collect()
}

#[test]
fn each_test_that_the_promises_name_is_there() {
    let page = fs::read_to_string(root().join("docs/PROMISES.md")).expect("the page is readable");
    let mut files = Vec::new();
    for folder in ["crates", "platform"] {
        rust_files(&root().join(folder), &mut files);
    }
    let code: String =
        files.iter().map(|file| fs::read_to_string(file).expect("the file is readable")).collect();
    let named = named_tests(&page);
    assert!(named.len() > 20, "the names are found: {named:?}");
    for (name, is_beginning) in named {
        let function = if is_beginning { format!("fn {name}") } else { format!("fn {name}(") };
        assert!(code.contains(&function), "docs/PROMISES.md names `{name}`: no test is called so");
    }
}
