//! Reloading the settings of a running process.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::{env, fs, process};

use serde_json::Value;

/// An entry box without a store.
struct EntryProcess {
    child: Child,
    lines: BufReader<ChildStdout>,
}

impl EntryProcess {
    fn start(settings_file: &PathBuf) -> Self {
        Self::start_at("error", Some(settings_file))
    }

    fn start_at(log_level: &str, settings_file: Option<&PathBuf>) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gannetwayd"));
        command.env_clear().arg("entry").args(["--box-id", "entry-1", "--domain", "hall"]);
        command.args(["--ip", "127.0.0.1", "--front", "127.0.0.1:0", "--ready", "127.0.0.1:0"]);
        command.args(["--peer-port", "7000", "--store", "127.0.0.1:1", "--grace-s", "0"]);
        command.env("GANNETWAY_KEY", "a key for these tests").env("GANNETWAY_LOG", log_level);
        if let Some(file) = settings_file {
            command.env("GANNETWAY_SETTINGS_FILE", file);
        }
        let mut child = command.stdout(Stdio::piped()).spawn().expect("the program");
        let lines = BufReader::new(child.stdout.take().expect("piped"));
        Self { child, lines }
    }

    /// Waits for the next log line of an event.
    fn wait_for_line(&mut self, event: &str) -> Value {
        loop {
            let mut line = String::new();
            let read = self.lines.read_line(&mut line).expect("readable");
            assert!(read > 0, "the process ended before it logged `{event}`");
            let line: Value = serde_json::from_str(&line).expect("a JSON line");
            if line["event"] == event {
                return line;
            }
        }
    }

    fn hang_up(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-HUP", &id]).status().expect("the program");
        assert!(status.success());
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Fails only if the process has ended already.
        let _result = self.child.kill();
        let _result = self.child.wait();
    }
}

/// Guards against a log level that is reported as changed, but not applied.
#[test]
fn hang_up_reloads_the_settings_file() {
    let file = env::temp_dir().join(format!("gannetway-settings-{}", process::id()));
    fs::write(&file, "# of the environment: error\nGANNETWAY_LOG=info\n").expect("writable");
    let mut entry = EntryProcess::start(&file);
    entry.wait_for_line("started");
    entry.hang_up();
    assert_eq!(entry.wait_for_line("reload")["outcome"], "unchanged");
    fs::write(&file, "GANNETWAY_LOG=warn\nGANNETWAY_MAX_FDS=99\n").expect("writable");
    entry.hang_up();
    let line = entry.wait_for_line("reload");
    assert_eq!(line["outcome"], "changed");
    assert_eq!(line["changed"], "log: Info to Warn");
    let line = entry.wait_for_line("settings require a restart");
    assert_eq!(line["changed"], "max-fds: 4096 to 99");
    // At level `warn`, an unchanged file is not reported, but its pending changes are.
    entry.hang_up();
    entry.wait_for_line("settings require a restart");
    // Noticed without a signal.
    fs::write(&file, "GANNETWAY_LOG=loud\nGANNETWAY_MAX_FDS=few\n").expect("writable");
    let line = entry.wait_for_line("reload");
    assert_eq!(line["outcome"], "invalid", "level `info` still applies: {line}");
    let error = line["error"].as_str().expect("a text");
    assert!(error.contains("GANNETWAY_LOG") && error.contains("GANNETWAY_MAX_FDS"), "{error}");
    fs::remove_file(&file).expect("it exists");
    assert_eq!(entry.wait_for_line("reload")["outcome"], "invalid");
}

/// Guards against a process that doesn't start because its settings file is missing.
#[test]
fn missing_file_at_start_is_logged() {
    let file = env::temp_dir().join(format!("gannetway-missing-{}", process::id()));
    let mut entry = EntryProcess::start_at("warn", Some(&file));
    entry.wait_for_line("settings file not used");
    fs::write(&file, "GANNETWAY_LOG=info\n").expect("writable");
    assert_eq!(entry.wait_for_line("reload")["outcome"], "changed");
    fs::remove_file(&file).expect("it exists");
}

/// Guards against a process that ends on SIGHUP because it has no settings file.
#[test]
fn hang_up_without_a_settings_file_changes_nothing() {
    let mut entry = EntryProcess::start_at("info", None);
    entry.wait_for_line("started");
    entry.hang_up();
    assert_eq!(entry.wait_for_line("reload")["outcome"], "no settings file");
}
