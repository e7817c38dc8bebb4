//! Lines of boxes' logs, as they were written to standard output or collected from there.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::exit::CliError;

/// Fields that name what a line is about.
const ID_FIELDS: [&str; 4] = ["request", "job", "item", "work"];
/// Fields that are told in columns of their own, or are the same on every line.
const COLUMNS: [&str; 5] = ["t", "box", "event", "level", "part"];

/// One line of a log.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LogLine {
    pub(crate) time_s: f64,
    pub(crate) r#box: String,
    pub(crate) event: String,
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; whatever stands before the object, such as a collector's stamp, is skipped.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let object = line.find('{').map(|at| &line[at..])?;
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let time_s = fields.get("t")?.as_f64()?;
        let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("").to_owned();
        let (r#box, event) = (text("box"), text("event"));
        fields.retain(|name, _| !COLUMNS.contains(&name.as_str()));
        Some(Self { time_s, r#box, event, fields })
    }

    /// A field that holds text.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// A field that holds a number.
    pub(crate) fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name).and_then(Value::as_f64)
    }

    /// Whether one of its ids is among `ids`.
    pub(crate) fn names(&self, ids: &BTreeSet<String>) -> bool {
        ID_FIELDS.iter().any(|field| {
            self.fields.get(*field).and_then(Value::as_str).is_some_and(|id| ids.contains(id))
        })
    }

    /// Whether it says how something ended, and why.
    pub(crate) fn decides(&self) -> bool {
        self.fields.contains_key("outcome") || self.fields.contains_key("why")
    }

    pub(crate) fn told(&self) -> String {
        let fields = self.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        fields.collect::<Vec<_>>().join(" ")
    }
}

/// What was read of one file.
#[derive(Debug, Serialize)]
pub(crate) struct FileSpan {
    pub(crate) file: PathBuf,
    pub(crate) lines: usize,
    pub(crate) first_s: Option<f64>,
    pub(crate) last_s: Option<f64>,
}

/// Gives each log line of a file to `take`; says what was read.
pub(crate) fn each_line(file: &Path, mut take: impl FnMut(LogLine)) -> io::Result<FileSpan> {
    let mut span = FileSpan { file: file.to_owned(), lines: 0, first_s: None, last_s: None };
    for line in BufReader::new(File::open(file)?).lines() {
        let Some(line) = LogLine::parse(&line?) else { continue };
        span.lines += 1;
        span.first_s = Some(span.first_s.map_or(line.time_s, |first| first.min(line.time_s)));
        span.last_s = Some(span.last_s.map_or(line.time_s, |last| last.max(line.time_s)));
        take(line);
    }
    Ok(span)
}

/// The fault of a file that cannot be read.
pub(crate) fn unreadable(file: &Path, error: &io::Error) -> CliError {
    let name = file.display();
    CliError::BadInput(format!("{name} cannot be read ({error}): name log files of boxes"))
}
