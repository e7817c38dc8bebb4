//! What the trainers waited for, step by step: a row or a bar each.

use crate::cli::{Output, StepsArgs};
use crate::exit::CliError;
use crate::log_lines::{each_line, unreadable};
use crate::output::{Table, print};
use crate::step_account::{StepLines, StepTimings};
use crate::step_picture::draw_steps;

/// Tells the steps whose lines are in the logs.
pub fn steps(args: &StepsArgs, output: Output) -> Result<(), CliError> {
    let mut lines = StepLines::default();
    for file in &args.files {
        each_line(file, |line| lines.take(&line)).map_err(|error| unreadable(file, &error))?;
    }
    let mut steps = lines.steps();
    steps.retain(|step| args.model.as_ref().is_none_or(|model| model.as_str() == step.model));
    if steps.is_empty() {
        let remedy = "name the logs of the keeping boxes, from a time in which steps ended";
        return Err(CliError::BadInput(format!("no line tells of a step: {remedy}")));
    }
    if let Some(picture) = &args.picture {
        draw_steps(picture, &steps).map_err(|error| {
            let name = picture.display();
            CliError::BadInput(format!("{name} cannot be written ({error}): name another file"))
        })?;
    }
    print(output, &steps, || table(&steps));
    Ok(())
}

fn table(steps: &[StepTimings]) -> Table {
    let heading = [
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
    let mut table = Table::new(&heading);
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
