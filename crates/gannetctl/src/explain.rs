//! `explain`: collects the log lines of all boxes that concern an id, in order of time.
//!
//! A line concerns an id if one of its id fields has that value. Related lines are included: for
//! an item those of its job; for an item or a job the changes of its shard's server and copies
//! around that time; for a failed request or an item the crashes and suspicions of the same work
//! under other ids.

use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;

use serde::Serialize;
use serde_json::Value;

use crate::cli::{ExplainArgs, Output};
use crate::exit::CliError;
use crate::log_lines::{FileSpan, LogLine, for_each_line, unreadable_file};
use crate::output::{Table, print};

/// Events about the server and the copies of a shard.
const SHARD_EVENTS: [&str; 6] = [
    "serving",
    "epoch changed",
    "not serving",
    "plan in force",
    "takeover failed",
    "copy did not accept the append",
];
/// Events about the suspicion of a piece of work; included regardless of their time.
const WORK_EVENTS: [&str; 4] =
    ["target probed", "work under suspicion", "work refused", "suspicion cleared"];
/// Events that say why no target got a request. They decide, rather than the line about its end
/// that follows.
const REFUSAL_EVENTS: [&str; 2] = ["admission refused", "no target in the allowed regions"];
/// Event of the end of a request at its entry box.
const END_EVENT: &str = "request ended";
/// Shard events are included up to this time before the first and after the last line about the
/// id, in seconds.
const SHARD_EVENT_MARGIN_S: f64 = 5.0;

#[derive(Debug, Serialize)]
struct Explanation {
    id: String,
    lines: Vec<LogLine>,
    /// The last line about the id itself that has an outcome or a reason; a refusal rather than the
    /// end that it led to.
    deciding: Option<LogLine>,
    read: Vec<FileSpan>,
}

/// Prints the log lines that concern an id.
pub fn explain(args: &ExplainArgs, output: Output) -> Result<(), CliError> {
    let explanation = collect(args).map_err(|(file, error)| unreadable_file(&file, &error))?;
    if explanation.lines.is_empty() {
        return Err(not_found(&explanation));
    }
    print(output, &explanation, || timeline(&explanation));
    if let (Output::Table, Some(line)) = (output, &explanation.deciding) {
        println!("\ndecided by {}: {} ({})", line.r#box, line.event, line.format_fields());
    }
    Ok(())
}

fn collect(args: &ExplainArgs) -> Result<Explanation, (PathBuf, io::Error)> {
    let requested_ids = BTreeSet::from([args.id.clone()]);
    let mut job_ids = BTreeSet::new();
    let mut work_ids = BTreeSet::new();
    let mut shard_ids = BTreeSet::new();
    let mut lines = Vec::new();
    let mut read = Vec::new();
    for file in &args.files {
        let span = for_each_line(file, |line| {
            if line.has_id_in(&requested_ids) {
                let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
                job_ids.extend(text("job").map(str::to_owned));
                work_ids.extend(text("work").map(str::to_owned));
                lines.push(line);
            }
        });
        read.push(span.map_err(|error| (file.clone(), error))?);
    }
    // The second pass adds lines of the jobs, work and shards that the lines above mention.
    let related_jobs: BTreeSet<String> = job_ids.difference(&requested_ids).cloned().collect();
    let mut shard_lines = Vec::new();
    for file in &args.files {
        let second_read = for_each_line(file, |line| {
            if line.has_id_in(&job_ids) {
                shard_ids.extend(line.fields.get("shard").and_then(Value::as_u64));
            }
            let of_job = line.has_id_in(&related_jobs) && !line.fields.contains_key("item");
            let of_work = WORK_EVENTS.contains(&line.event.as_str()) && line.has_id_in(&work_ids);
            if (of_job || of_work) && !line.has_id_in(&requested_ids) {
                lines.push(line);
            } else if SHARD_EVENTS.contains(&line.event.as_str()) {
                shard_lines.push(line);
            }
        });
        second_read.map_err(|error| (file.clone(), error))?;
    }
    let first =
        lines.iter().map(|line| line.time_s).fold(f64::INFINITY, f64::min) - SHARD_EVENT_MARGIN_S;
    let last = lines.iter().map(|line| line.time_s).fold(f64::NEG_INFINITY, f64::max)
        + SHARD_EVENT_MARGIN_S;
    shard_lines.retain(|line| {
        let of_shard = line.fields.get("shard").and_then(Value::as_u64);
        of_shard.is_some_and(|shard| shard_ids.contains(&shard))
            && (first..=last).contains(&line.time_s)
    });
    lines.extend(shard_lines);
    lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    let outcomes =
        lines.iter().rev().filter(|line| line.has_id_in(&requested_ids) && line.has_outcome());
    let deciding = deciding_line(outcomes).cloned();
    Ok(Explanation { id: args.id.clone(), lines, deciding, read })
}

/// Returns the line that decided, of the lines with an outcome, the latest first.
fn deciding_line<'a>(mut outcomes: impl Iterator<Item = &'a LogLine>) -> Option<&'a LogLine> {
    let last = outcomes.next()?;
    let before = outcomes.next().filter(|_| last.event == END_EVENT);
    let refusal = before.filter(|line| REFUSAL_EVENTS.contains(&line.event.as_str()));
    Some(refusal.unwrap_or(last))
}

fn timeline(explanation: &Explanation) -> Table {
    let start_s = explanation.lines.first().map_or(0.0, |line| line.time_s);
    let mut table = Table::new(&["AFTER S", "BOX", "EVENT", "FIELDS"]);
    for line in &explanation.lines {
        let after = format!("{:.3}", line.time_s - start_s);
        table.row([after, line.r#box.clone(), line.event.clone(), line.format_fields()]);
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
        "no line mentions {}: try the logs of other boxes or of another time; files read:{read}",
        explanation.id
    ))
}
