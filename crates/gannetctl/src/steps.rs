//! `steps`: shows what trainers waited for in each step, as a table and optionally a chart.

use crate::cli::{Output, StepsArgs};
use crate::exit::CliError;
use crate::log_lines::{for_each_line, unreadable_file};
use crate::output::{Table, print};
use crate::step_chart::draw_step_chart;
use crate::step_timings::{StepLogCollector, StepTimings};

/// Prints the timings of the steps found in the log files.
pub fn steps(args: &StepsArgs, output: Output) -> Result<(), CliError> {
    let mut collector = StepLogCollector::default();
    for file in &args.files {
        for_each_line(file, |line| collector.record_line(&line))
            .map_err(|error| unreadable_file(file, &error))?;
    }
    let mut steps = collector.into_steps();
    steps.retain(|step| args.model.as_ref().is_none_or(|model| model.as_str() == step.model));
    if steps.is_empty() {
        let remedy = "specify the logs of storage boxes, from a time in which steps ended";
        return Err(CliError::BadInput(format!("no step found in the logs: {remedy}")));
    }
    if let Some(picture) = &args.picture {
        draw_step_chart(picture, &steps).map_err(|error| {
            let name = picture.display();
            CliError::BadInput(format!("{name} cannot be written ({error}): specify another file"))
        })?;
    }
    print(output, &steps, || table(&steps));
    Ok(())
}

fn table(steps: &[StepTimings]) -> Table {
    let column_names = [
        "MODEL",
        "STEP",
        "TAKEN AT",
        "NAMED",
        "FIRST RUN",
        "WANTED",
        "READ",
        "ENDED",
        "LAST ITEM",
        "RUNS",
        "WAITED",
        "RAN",
        "SCORED",
        "WAITED FOR",
    ];
    let mut table = Table::new(&column_names);
    for step in steps {
        let after = |at: Option<f64>| match at {
            Some(at) => format!("{:.2}", at - step.taken_at),
            None => "-".to_owned(),
        };
        let last = step.last.clone().unwrap_or_default();
        table.row([
            step.model.clone(),
            step.step.to_string(),
            format!("{:.2}", step.taken_at),
            after(step.named_at),
            after(step.first_run_at),
            after(step.wanted_at),
            after(step.read_at),
            after(Some(step.ended_at)),
            last.item,
            last.runs.to_string(),
            format!("{:.2}", last.waited_s),
            format!("{:.2}", last.ran_s),
            format!("{:.2}", last.scored_s),
            step.cause(),
        ]);
    }
    table
}
