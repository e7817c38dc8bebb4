//! `usage`: shows for each window when its usage report was committed and when it was accepted.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::cli::{Output, UsageArgs};
use crate::exit::CliError;
use crate::log_lines::{LogLine, for_each_line, unreadable_file};
use crate::output::{Table, print};

/// Event of a report that was committed, or could not be.
const COMMITTED: &str = "usage report";
/// Event of an attempt to send a report.
const SENT: &str = "usage report sent";

/// State of one window's usage report, from the logs.
#[derive(Debug, Clone, Default, Serialize)]
struct WindowSummary {
    window: u64,
    /// When its counts were committed, by the clock of the box that committed them.
    fixed_at: Option<f64>,
    requests: u64,
    customers: u64,
    /// Whether all boxes that may hold counts had reported at that time.
    all_heard: bool,
    /// Number of attempts to send it.
    sent: u32,
    /// When the accounting service first accepted it.
    taken_at: Option<f64>,
    /// The box that sent it last.
    holder: String,
    /// Outcome of the last log line about it.
    outcome: String,
}

/// Prints the windows found in the log files; gaps between them are shown as missing.
pub fn usage(args: &UsageArgs, output: Output) -> Result<(), CliError> {
    let mut lines = Vec::new();
    for file in &args.files {
        let keep = |line: LogLine| lines.extend(is_about_usage(&line).then_some(line));
        for_each_line(file, keep).map_err(|error| unreadable_file(file, &error))?;
    }
    // Several boxes may have sent the report of a window.
    lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    let mut windows = BTreeMap::new();
    for line in &lines {
        record_line(&mut windows, line);
    }
    let (Some(first), Some(last)) =
        (windows.keys().next().copied(), windows.keys().last().copied())
    else {
        let remedy = "specify the logs of storage boxes, of a deployment that reports usage";
        return Err(CliError::BadInput(format!("no usage report found in the logs: {remedy}")));
    };
    let all = (first..=last).map(|window| {
        let missing = WindowSummary { outcome: "no line".to_owned(), ..WindowSummary::default() };
        WindowSummary { window, ..windows.remove(&window).unwrap_or(missing) }
    });
    let all: Vec<WindowSummary> = all.collect();
    print(output, &all, || table(&all));
    Ok(())
}

fn is_about_usage(line: &LogLine) -> bool {
    line.event == COMMITTED || line.event == SENT
}

/// Applies a line that [`is_about_usage`]. Lines must be applied in the order of their times.
fn record_line(windows: &mut BTreeMap<u64, WindowSummary>, line: &LogLine) {
    let number = |name: &str| line.fields.get(name).and_then(serde_json::Value::as_u64);
    let is_commit = line.event == COMMITTED;
    let Some(window) = number("window") else { return };
    let summary = windows.entry(window).or_default();
    let outcome = line.text("outcome").unwrap_or_default();
    outcome.clone_into(&mut summary.outcome);
    if !is_commit {
        summary.sent += 1;
        summary.holder.clone_from(&line.r#box);
        if outcome == "taken" {
            summary.taken_at = Some(summary.taken_at.unwrap_or(line.time_s));
        }
    } else if outcome == "fixed" {
        summary.fixed_at = Some(line.time_s);
        summary.requests = number("requests").unwrap_or_default();
        summary.customers = number("customers").unwrap_or_default();
        let all_reported = line.fields.get("all_heard").and_then(serde_json::Value::as_bool);
        summary.all_heard = all_reported.unwrap_or_default();
    }
}

fn table(windows: &[WindowSummary]) -> Table {
    let mut table = Table::new(&[
        "WINDOW",
        "FIXED AT",
        "REQUESTS",
        "CUSTOMERS",
        "ALL HEARD",
        "SENT",
        "TAKEN AT",
        "HOLDER",
        "LAST TRY",
    ]);
    let at = |time: Option<f64>| time.map_or("-".to_owned(), |time| format!("{time:.2}"));
    for summary in windows {
        table.row([
            summary.window.to_string(),
            at(summary.fixed_at),
            summary.requests.to_string(),
            summary.customers.to_string(),
            summary.all_heard.to_string(),
            summary.sent.to_string(),
            at(summary.taken_at),
            summary.holder.clone(),
            summary.outcome.clone(),
        ]);
    }
    table
}
