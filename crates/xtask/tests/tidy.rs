//! Checks of the source tree that the compiler does not make.

use std::fs;
use std::path::{Path, PathBuf};

/// Names from the platform's interfaces, which only `platform/` may contain. Other crates use
/// typed conversions from there.
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

/// Platform names that the product's own interface also uses, each with the file that defines it.
const SHARED_NAMES: [(&str, &str); 4] = [
    ("targets/src/lib.rs", "x-request-id"),
    ("api/src/lib.rs", "x-request-id"),
    ("api/src/lib.rs", "x-deadline-ms"),
    ("demo/tests/processes.rs", "x-request-id"),
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("folder is readable") {
        let path = entry.expect("entry is readable").path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if path.is_dir() && name != "target" && name != "generated" {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
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
fn platform_names_occur_only_in_platform_folder() {
    let mut found = Vec::new();
    for path in product_files() {
        // This file contains the names in its own list.
        if path.ends_with("xtask/tests/tidy.rs") {
            continue;
        }
        let text = fs::read_to_string(&path).expect("file is UTF-8").to_ascii_lowercase();
        let is_shared = |name: &str| {
            SHARED_NAMES.iter().any(|(file, shared)| path.ends_with(file) && *shared == name)
        };
        let names = PLATFORM_NAMES.iter().filter(|name| text.contains(**name) && !is_shared(name));
        found.extend(names.map(|name| format!("{}: {name}", path.display())));
    }
    assert!(found.is_empty(), "move these names into platform/: {found:#?}");
}

#[test]
fn tests_live_in_test_files() {
    let inline = product_files().into_iter().filter(|path| {
        let text = fs::read_to_string(path).expect("file is UTF-8");
        !path.components().any(|part| part.as_os_str() == "tests")
            && (text.contains("mod tests {") || text.contains("#[test]"))
    });
    let inline: Vec<PathBuf> = inline.collect();
    assert!(inline.is_empty(), "move these tests into tests/: {inline:#?}");
}

#[test]
fn every_module_has_a_doc_comment() {
    let mut undocumented = Vec::new();
    for path in product_files() {
        let text = fs::read_to_string(&path).expect("file is UTF-8");
        if !text.starts_with("//!") {
            undocumented.push(path);
        }
    }
    assert!(undocumented.is_empty(), "add a `//!` doc comment at the start of: {undocumented:#?}");
}

/// Minimum number of underscores in a quoted name to treat it as the name of a test.
const MIN_TEST_NAME_UNDERSCORES: usize = 3;

/// Returns the test names in backquotes, each with whether it is only a prefix (`name…`).
fn quoted_test_names(page: &str) -> Vec<(String, bool)> {
    let quoted = page.split('`').skip(1).step_by(2);
    let names = quoted.filter_map(|quote| {
        let name = quote.trim_end_matches('…');
        let plain = name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
        let long = name.matches('_').count() >= MIN_TEST_NAME_UNDERSCORES;
        (plain && long).then(|| (name.to_owned(), name != quote))
    });
    names.collect()
}

#[test]
fn every_test_named_in_promises_exists() {
    let page = fs::read_to_string(root().join("docs/PROMISES.md")).expect("page is readable");
    let mut files = Vec::new();
    for folder in ["crates", "platform"] {
        rust_files(&root().join(folder), &mut files);
    }
    let code: String =
        files.iter().map(|file| fs::read_to_string(file).expect("file is readable")).collect();
    let named = quoted_test_names(&page);
    assert!(named.len() > 20, "too few test names found: {named:?}");
    for (name, is_prefix) in named {
        let function = if is_prefix { format!("fn {name}") } else { format!("fn {name}(") };
        assert!(
            code.contains(&function),
            "docs/PROMISES.md names `{name}`, but no such test exists"
        );
    }
}
