//! From an id to its cause: the lines of many boxes' logs that concern it, in order of time.
//!
//! A line concerns an id if one of its fields is that id. An item leads on to its job, and a job to
//! its shard, whose changes of server are told for the time in which the job's lines lie. A request that failed
//! at a target leads on to its work, of which it is told under which other ids it ended targets before.

use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;

use serde::Serialize;
use serde_json::Value;

use crate::cli::{ExplainArgs, Output};
use crate::exit::CliError;
use crate::log_lines::{FileSpan, LogLine, each_line, unreadable};
use crate::output::{Table, print};

/// Events that tell who serves a shard.
const SHARD_EVENTS: [&str; 5] = [
    "serving",
    "not serving",
    "plan in force",
    "takeover failed",
    "copy did not accept the append",
];
/// Events that tell what is believed of a piece of work, at any time.
const WORK_EVENTS: [&str; 4] =
    ["target probed", "work under suspicion", "work refused", "suspicion cleared"];
/// Seconds before and after a job's own lines in which its shard's changes are told.
const AROUND_S: f64 = 5.0;

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
    let explanation = collect(args).map_err(|(file, error)| unreadable(&file, &error))?;
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
    let mut works = BTreeSet::new();
    let mut shards = BTreeSet::new();
    let mut lines = Vec::new();
    let mut read = Vec::new();
    for file in &args.files {
        let span = each_line(file, |line| {
            if line.names(&own) {
                let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
                jobs.extend(text("job").map(str::to_owned));
                works.extend(text("work").map(str::to_owned));
                lines.push(line);
            }
        });
        read.push(span.map_err(|error| (file.clone(), error))?);
    }
    // The job of an item, the shard of a job and the work of a request, as their own lines tell them.
    let others: BTreeSet<String> = jobs.difference(&own).cloned().collect();
    let mut about_shard = Vec::new();
    for file in &args.files {
        let again = each_line(file, |line| {
            if line.names(&jobs) {
                shards.extend(line.fields.get("shard").and_then(Value::as_u64));
            }
            let of_job = line.names(&others) && !line.fields.contains_key("item");
            let of_work = WORK_EVENTS.contains(&line.event.as_str()) && line.names(&works);
            if (of_job || of_work) && !line.names(&own) {
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
