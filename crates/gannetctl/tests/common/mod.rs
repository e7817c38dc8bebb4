//! Log files for the tool, and its answers.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Files in the temporary folder, removed with it.
pub struct LogFiles(Vec<PathBuf>);

impl LogFiles {
    /// Writes one file for each text; `name` tells tests apart.
    pub fn write(name: &str, texts: &[&str]) -> Self {
        let folder = std::env::temp_dir();
        let files = texts.iter().enumerate().map(|(at, text)| {
            let file = folder.join(format!("gannetway-{name}-{at}-{}.log", std::process::id()));
            fs::write(&file, text).expect("written");
            file
        });
        Self(files.collect())
    }

    /// Runs the tool with these arguments, and the files after them.
    pub fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gannetctl"));
        command.args(arguments).args(&self.0).output().expect("it runs")
    }
}

impl Drop for LogFiles {
    fn drop(&mut self) {
        for file in &self.0 {
            let _gone = fs::remove_file(file);
        }
    }
}

/// What the tool printed.
pub fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// What it said of a fault.
pub fn fault(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
