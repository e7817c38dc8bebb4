//! The reports of customers' use, window by window: when each was fixed, when it was taken, and what held it up.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::cli::{Output, UsageArgs};
use crate::exit::CliError;
use crate::log_lines::{LogLine, each_line, unreadable};
use crate::output::{Table, print};

/// What the logs say of one window's report.
#[derive(Debug, Clone, Default, Serialize)]
struct WindowAccount {
    window: u64,
    /// When its counts were fixed, by the clock of the box that did it.
    fixed_at: Option<f64>,
    requests: u64,
    customers: u64,
    /// Whether all boxes that may hold counts were heard just then.
    all_heard: bool,
    /// How often it was sent.
    sent: u32,
    taken_at: Option<f64>,
    /// The box that sent it last.
    holder: String,
    /// How the last try ended.
    outcome: String,
}

/// Tells the windows whose lines are in the logs; a window without a line between two others is told as missing.
pub fn usage(args: &UsageArgs, output: Output) -> Result<(), CliError> {
    let mut windows = BTreeMap::new();
    for file in &args.files {
        each_line(file, |line| take(&mut windows, &line))
            .map_err(|error| unreadable(file, &error))?;
    }
    let (Some(first), Some(last)) =
        (windows.keys().next().copied(), windows.keys().last().copied())
    else {
        let remedy = "name the logs of the keeping boxes, of a deployment whose use is reported";
        return Err(CliError::BadInput(format!("no line tells of a report of use: {remedy}")));
    };
    let all = (first..=last).map(|window| {
        let missing = WindowAccount { outcome: "no line".to_owned(), ..WindowAccount::default() };
        WindowAccount { window, ..windows.remove(&window).unwrap_or(missing) }
    });
    let all: Vec<WindowAccount> = all.collect();
    print(output, &all, || table(&all));
    Ok(())
}

fn take(windows: &mut BTreeMap<u64, WindowAccount>, line: &LogLine) {
    let number = |name: &str| line.fields.get(name).and_then(serde_json::Value::as_u64);
    let fixed = line.event == "usage report";
    if !fixed && line.event != "usage report sent" {
        return;
    }
    let Some(window) = number("window") else { return };
    let account = windows.entry(window).or_default();
    let outcome = line.text("outcome").unwrap_or_default();
    outcome.clone_into(&mut account.outcome);
    if !fixed {
        account.sent += 1;
        account.holder.clone_from(&line.r#box);
        if outcome == "taken" {
            account.taken_at = Some(account.taken_at.unwrap_or(line.time_s));
        }
    } else if outcome == "fixed" {
        account.fixed_at = Some(line.time_s);
        account.requests = number("requests").unwrap_or_default();
        account.customers = number("customers").unwrap_or_default();
        let heard = line.fields.get("all_heard").and_then(serde_json::Value::as_bool);
        account.all_heard = heard.unwrap_or_default();
    }
}

fn table(windows: &[WindowAccount]) -> Table {
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
    for account in windows {
        table.row([
            account.window.to_string(),
            at(account.fixed_at),
            account.requests.to_string(),
            account.customers.to_string(),
            account.all_heard.to_string(),
            account.sent.to_string(),
            at(account.taken_at),
            account.holder.clone(),
            account.outcome.clone(),
        ]);
    }
    table
}
