//! From an id to its cause: the lines of many boxes' logs that concern it, in order of time.
//!
//! A line concerns an id if one of its fields is that id. An item leads on to its job, and a job to
//! its shard, whose changes of server are told for the time in which the job's lines lie.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::cli::{ExplainArgs, Output};
use crate::exit::CliError;
use crate::output::{Table, print};

/// Fields that name what a line is about.
const ID_FIELDS: [&str; 3] = ["request", "job", "item"];
/// Events that tell who serves a shard.
const SHARD_EVENTS: [&str; 5] =
    ["serving", "not serving", "plan in force", "not taken", "copy did not take the append"];
/// Seconds before and after a job's own lines in which its shard's changes are told.
const AROUND_S: f64 = 5.0;
/// Fields that are told in columns of their own, or are the same on every line.
const COLUMNS: [&str; 5] = ["t", "box", "event", "level", "part"];

/// One line of a log.
#[derive(Debug, Clone, Serialize)]
struct LogLine {
    time_s: f64,
    r#box: String,
    event: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; whatever stands before the object, such as a collector's stamp, is skipped.
    fn parse(line: &str) -> Option<Self> {
        let object = line.find('{').map(|at| &line[at..])?;
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let time_s = fields.get("t")?.as_f64()?;
        let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("").to_owned();
        let (r#box, event) = (text("box"), text("event"));
        fields.retain(|name, _| !COLUMNS.contains(&name.as_str()));
        Some(Self { time_s, r#box, event, fields })
    }

    fn names(&self, ids: &BTreeSet<String>) -> bool {
        ID_FIELDS.iter().any(|field| {
            self.fields.get(*field).and_then(Value::as_str).is_some_and(|id| ids.contains(id))
        })
    }

    /// Whether it says how something ended, and why.
    fn decides(&self) -> bool {
        self.fields.contains_key("outcome") || self.fields.contains_key("why")
    }

    fn told(&self) -> String {
        let fields = self.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        fields.collect::<Vec<_>>().join(" ")
    }
}

/// What was read of one file.
#[derive(Debug, Serialize)]
struct FileSpan {
    file: PathBuf,
    lines: usize,
    first_s: Option<f64>,
    last_s: Option<f64>,
}

#[derive(Debug, Serialize)]
struct Explanation {
    id: String,
    lines: Vec<LogLine>,
    /// The last line about the id itself which says how something ended.
    deciding: Option<LogLine>,
    read: Vec<FileSpan>,
}

/// Tells what the logs say of an id.
pub fn explain(args: &ExplainArgs, output: Output) -> Result<(), CliError> {
    let explanation = collect(args).map_err(|(file, error)| {
        let name = file.display();
        CliError::BadInput(format!("{name} cannot be read ({error}): name log files of boxes"))
    })?;
    if explanation.lines.is_empty() {
        return Err(not_found(&explanation));
    }
    print(output, &explanation, || timeline(&explanation));
    if let (Output::Table, Some(line)) = (output, &explanation.deciding) {
        println!("\ndecided by {}: {} ({})", line.r#box, line.event, line.told());
    }
    Ok(())
}

fn collect(args: &ExplainArgs) -> Result<Explanation, (PathBuf, io::Error)> {
    let own = BTreeSet::from([args.id.clone()]);
    let mut jobs = BTreeSet::new();
    let mut shards = BTreeSet::new();
    let mut lines = Vec::new();
    let mut read = Vec::new();
    for file in &args.files {
        let span = each_line(file, |line| {
            if line.names(&own) {
                let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
                jobs.extend(text("job").map(str::to_owned));
                lines.push(line);
            }
        });
        read.push(span.map_err(|error| (file.clone(), error))?);
    }
    // The job of an item, and the shard of a job, as their own lines tell them.
    let others: BTreeSet<String> = jobs.difference(&own).cloned().collect();
    let mut about_shard = Vec::new();
    for file in &args.files {
        let again = each_line(file, |line| {
            if line.names(&jobs) {
                shards.extend(line.fields.get("shard").and_then(Value::as_u64));
            }
            let of_job = line.names(&others) && !line.fields.contains_key("item");
            if of_job && !line.names(&own) {
                lines.push(line);
            } else if SHARD_EVENTS.contains(&line.event.as_str()) {
                about_shard.push(line);
            }
        });
        again.map_err(|error| (file.clone(), error))?;
    }
    let first = lines.iter().map(|line| line.time_s).fold(f64::INFINITY, f64::min) - AROUND_S;
    let last = lines.iter().map(|line| line.time_s).fold(f64::NEG_INFINITY, f64::max) + AROUND_S;
    about_shard.retain(|line| {
        let of_shard = line.fields.get("shard").and_then(Value::as_u64);
        of_shard.is_some_and(|shard| shards.contains(&shard))
            && (first..=last).contains(&line.time_s)
    });
    lines.extend(about_shard);
    lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    let deciding = lines.iter().rev().find(|line| line.names(&own) && line.decides()).cloned();
    Ok(Explanation { id: args.id.clone(), lines, deciding, read })
}

fn each_line(file: &Path, mut take: impl FnMut(LogLine)) -> io::Result<FileSpan> {
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

fn timeline(explanation: &Explanation) -> Table {
    let begun = explanation.lines.first().map_or(0.0, |line| line.time_s);
    let mut table = Table::new(&["AFTER S", "BOX", "EVENT", "FIELDS"]);
    for line in &explanation.lines {
        let after = format!("{:.3}", line.time_s - begun);
        table.row([after, line.r#box.clone(), line.event.clone(), line.told()]);
    }
    table
}

fn not_found(explanation: &Explanation) -> CliError {
    let read = explanation.read.iter().map(|span| {
        let time = match (span.first_s, span.last_s) {
            (Some(first), Some(last)) => format!("from {first:.3} to {last:.3}"),
            _ => "no log lines".to_owned(),
        };
        format!("\n  {}: {} lines, {time}", span.file.display(), span.lines)
    });
    let read: String = read.collect();
    CliError::BadInput(format!(
        "no line names {}: look at the logs of other boxes or of another time; read were:{read}",
        explanation.id
    ))
}
