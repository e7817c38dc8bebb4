//! The settings file, and what a new one changes in a running process.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;
use std::{env, fs, process};

use clap::{CommandFactory, Parser, Subcommand};
use node::{
    NodeSettings, RawNodeSettings, RawStorageSettings, ReloadableSettings, SettingsError,
    SettingsReloader, add_file_values, known_settings, named_settings_file, parse_settings_file,
};
use upstream::ByteCount;

#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    role: Role,
}

#[derive(Debug, Subcommand)]
enum Role {
    Entry(RawNodeSettings),
    Keep(RawStorageSettings),
}

const ARGUMENTS: [&str; 14] = [
    "gannetwayd",
    "entry",
    "--box-id",
    "entry-1",
    "--domain",
    "hall",
    "--ip",
    "127.0.0.1",
    "--peer-port",
    "7000",
    "--store",
    "127.0.0.1:8000",
    "--key",
    "a key for these tests",
];

fn load_with(extra: &[&str], text: &str) -> Result<NodeSettings, SettingsError> {
    let arguments: Vec<OsString> = ARGUMENTS.iter().chain(extra).map(OsString::from).collect();
    let extended = add_file_values(&Cli::command(), &arguments, text)?;
    match Cli::try_parse_from(extended).expect("valid arguments").role {
        Role::Entry(raw) => raw.check(),
        Role::Keep(raw) => raw.node.check(),
    }
}

fn load(text: &str) -> Result<NodeSettings, SettingsError> {
    load_with(&[], text)
}

fn faults(text: &str) -> Vec<String> {
    load(text).expect_err("an invalid file").0
}

#[test]
fn file_contains_lines_and_comments() {
    let text = "# the level\nGANNETWAY_LOG=debug\n\n  GANNETWAY_KEY = a=b # c \n";
    let values = parse_settings_file(text, &known_settings(&Cli::command())).expect("valid");
    let values: Vec<(&str, &str)> =
        values.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    assert_eq!(values, [("GANNETWAY_KEY", "a=b # c"), ("GANNETWAY_LOG", "debug")]);
}

/// Guards against an operator who corrects one fault and meets the next.
#[test]
fn all_faults_of_a_file_are_reported() {
    let lines =
        faults("GANNETWAY_LOG\nGANNETWAY_LGO=info\nGANNETWAY_LOG=info\nGANNETWAY_LOG=warn\n");
    assert_eq!(lines.len(), 3, "{lines:?}");
    let values = faults("GANNETWAY_LOG=loud\nGANNETWAY_MAX_FDS=few\n");
    assert_eq!(values.len(), 2, "{values:?}");
    let checked = faults("GANNETWAY_GRACE_S=-1\nGANNETWAY_MEMORY_MB=much\n");
    assert_eq!(checked.len(), 2, "{checked:?}");
    assert_eq!(faults("GANNETWAY_SETTINGS_FILE=other\n").len(), 1);
}

/// Guards against secrets in log lines.
#[test]
fn faults_and_changes_contain_no_key() {
    let text = faults("GANNETWAY_KEY a secret of the deployment\nGANNETWAY_LOG=loud\n").join(" ");
    assert!(!text.contains("secret"), "{text}");
    let old = load("").expect("valid");
    let new = load_with(&[], "").expect("valid");
    assert_eq!(old.changes(&new), []);
    let arguments = ARGUMENTS[..12].iter().copied().map(OsString::from).collect::<Vec<_>>();
    let text = "GANNETWAY_KEY=a secret of the deployment\n";
    let extended = add_file_values(&Cli::command(), &arguments, text).expect("valid");
    let Role::Entry(raw) = Cli::try_parse_from(extended).expect("valid").role else {
        panic!("an entry box")
    };
    let changes = old.changes(&raw.check().expect("valid"));
    assert_eq!(changes.len(), 1);
    assert!(changes[0].needs_restart && !changes[0].text.contains("secret"), "{changes:?}");
}

#[test]
fn flags_take_precedence_over_the_file() {
    let file = "GANNETWAY_LOG=debug\nGANNETWAY_GRACE_S=3\n";
    assert_eq!(load(file).expect("valid").log, log::LevelFilter::Debug);
    for flag in [["--log", "error"].as_slice(), &["--log=error"]] {
        let settings = load_with(flag, file).expect("valid");
        assert_eq!(settings.log, log::LevelFilter::Error);
        assert_eq!(settings.grace, Duration::from_secs(3));
    }
}

/// Guards against a file for both roles that an entry box rejects.
#[test]
fn settings_of_the_other_role_are_ignored() {
    load("GANNETWAY_RETENTION_S=60\nGANNETWAY_DATA_DIR=/data\n").expect("valid");
}

#[test]
fn file_is_named_by_a_flag() {
    let named = |extra: &[&str]| {
        let arguments: Vec<OsString> = ARGUMENTS.iter().chain(extra).map(OsString::from).collect();
        named_settings_file(&arguments)
    };
    assert_eq!(named(&["--settings-file", "/run/a"]), Some(PathBuf::from("/run/a")));
    assert_eq!(named(&["--settings-file=/run/a"]), Some(PathBuf::from("/run/a")));
    assert_eq!(named(&["--settings-file="]), None);
}

#[test]
fn changes_tell_what_requires_a_restart() {
    let old = load("").expect("valid");
    let new = load("GANNETWAY_LOG=warn\nGANNETWAY_MEMORY_MB=160\nGANNETWAY_GRACE_S=3\nGANNETWAY_MAX_FDS=99\nGANNETWAY_CONFIG_MS=1500\n")
        .expect("valid");
    let changes = old.changes(&new);
    let flags = |needs_restart: bool| -> Vec<&str> {
        let listed = changes.iter().filter(|change| change.needs_restart == needs_restart);
        listed.map(|change| change.flag).collect()
    };
    assert_eq!(flags(false), ["log", "memory-mb", "grace-s"]);
    assert_eq!(flags(true), ["max-fds", "config-ms"]);
}

/// A settings file, removed when it is dropped.
struct TestFile(PathBuf);

impl TestFile {
    fn new(name: &str) -> Self {
        Self(env::temp_dir().join(format!("gannetway-{name}-{}", process::id())))
    }

    fn write(&self, text: &str) {
        fs::write(&self.0, text).expect("a writable folder");
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        // Best effort: the folder is temporary.
        let _result = fs::remove_file(&self.0);
    }
}

/// Guards against a file that is being replaced, or is invalid, and resets the settings.
#[test]
fn reload_applies_valid_files_only() {
    let file = TestFile::new("reload");
    let current = load("").expect("valid");
    let live = std::sync::Arc::clone(&current.live);
    let limit = || live.memory.limit();
    let mut reloader = SettingsReloader::new(Some(file.0.clone()), None, current, load);
    file.write("GANNETWAY_MEMORY_MB=160\nGANNETWAY_GRACE_S=3\n");
    reloader.reload_if_changed();
    assert_eq!(limit(), ByteCount::new(40 << 20));
    assert_eq!(live.grace(Duration::from_secs(8)), Duration::from_secs(3));
    file.write("GANNETWAY_MEMORY_MB=16\nGANNETWAY_LOG=loud\n");
    reloader.reload_if_changed();
    assert_eq!(limit(), ByteCount::new(40 << 20), "an invalid file changes nothing");
    fs::remove_file(&file.0).expect("it exists");
    reloader.reload_if_changed();
    assert_eq!(limit(), ByteCount::new(40 << 20), "a missing file changes nothing");
    file.write("");
    reloader.reload_if_changed();
    assert_eq!(limit(), ByteCount::MAX);
}
