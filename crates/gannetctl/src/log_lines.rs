//! Parses log lines of boxes, as written to standard output or gathered by a log collector.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::exit::CliError;

/// Fields that identify the subject of a line.
const ID_FIELDS: [&str; 4] = ["request", "job", "item", "work"];
/// Fields that are common to all lines; left out of `LogLine::fields`.
const COMMON_FIELDS: [&str; 5] = ["t", "box", "event", "level", "part"];

/// A parsed log line.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LogLine {
    pub(crate) time_s: f64,
    pub(crate) r#box: String,
    pub(crate) event: String,
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; skips any prefix before the JSON object, such as a collector's timestamp.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let object = line.find('{').map(|at| &line[at..])?;
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let time_s = fields.get("t")?.as_f64()?;
        let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("").to_owned();
        let (r#box, event) = (text("box"), text("event"));
        fields.retain(|name, _| !COMMON_FIELDS.contains(&name.as_str()));
        Some(Self { time_s, r#box, event, fields })
    }

    /// Returns the value of a text field.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// Returns the value of a numeric field.
    pub(crate) fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name).and_then(Value::as_f64)
    }

    /// Returns whether one of the id fields has a value in `ids`.
    pub(crate) fn has_id_in(&self, ids: &BTreeSet<String>) -> bool {
        ID_FIELDS.iter().any(|field| {
            self.fields.get(*field).and_then(Value::as_str).is_some_and(|id| ids.contains(id))
        })
    }

    /// Returns whether the line states an outcome or a reason.
    pub(crate) fn has_outcome(&self) -> bool {
        self.fields.contains_key("outcome") || self.fields.contains_key("why")
    }

    /// Formats the fields as `name=value` pairs.
    pub(crate) fn format_fields(&self) -> String {
        let fields = self.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        fields.collect::<Vec<_>>().join(" ")
    }
}

/// Number and time range of the log lines of a file.
#[derive(Debug, Serialize)]
pub(crate) struct FileSpan {
    pub(crate) file: PathBuf,
    pub(crate) lines: usize,
    pub(crate) first_s: Option<f64>,
    pub(crate) last_s: Option<f64>,
}

/// Calls `handle` with each log line of a file; skips other lines.
pub(crate) fn for_each_line(file: &Path, mut handle: impl FnMut(LogLine)) -> io::Result<FileSpan> {
    let mut span = FileSpan { file: file.to_owned(), lines: 0, first_s: None, last_s: None };
    for line in BufReader::new(File::open(file)?).lines() {
        let Some(line) = LogLine::parse(&line?) else { continue };
        span.lines += 1;
        span.first_s = Some(span.first_s.map_or(line.time_s, |first| first.min(line.time_s)));
        span.last_s = Some(span.last_s.map_or(line.time_s, |last| last.max(line.time_s)));
        handle(line);
    }
    Ok(span)
}

/// Returns the error for a log file that cannot be read.
pub(crate) fn unreadable_file(file: &Path, error: &io::Error) -> CliError {
    let name = file.display();
    CliError::BadInput(format!("{name} cannot be read ({error}): specify log files of boxes"))
}
