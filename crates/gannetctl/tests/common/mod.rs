//! Writes log files, runs the tool on them and returns its output.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Log files in the temporary folder; removed on drop.
pub struct LogFiles(Vec<PathBuf>);

impl LogFiles {
    /// Writes one file per text; `name` must be unique per test.
    pub fn write(name: &str, texts: &[&str]) -> Self {
        let folder = std::env::temp_dir();
        let files = texts.iter().enumerate().map(|(index, text)| {
            let file = folder.join(format!("gannetway-{name}-{index}-{}.log", std::process::id()));
            fs::write(&file, text).expect("the log file can be written");
            file
        });
        Self(files.collect())
    }

    /// Runs the tool with these arguments, followed by the file names.
    pub fn run(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gannetctl"));
        command.args(args).args(&self.0).output().expect("gannetctl can be started")
    }
}

impl Drop for LogFiles {
    fn drop(&mut self) {
        for file in &self.0 {
            let _result = fs::remove_file(file);
        }
    }
}

/// Returns the standard output as text.
pub fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the standard error as text.
pub fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
