//! Command-line tool for operators and trainers.

mod cli;
mod commands;
mod exit;
mod explain;
mod log_lines;
mod output;
mod queries;
mod step_chart;
mod step_timings;
mod steps;
mod usage_windows;

use std::process::ExitCode;

use clap::Parser;
use mimalloc::MiMalloc;

use crate::cli::{Cli, Command};
use crate::exit::CliError;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(Cli::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gannetctl: {error}");
            error.exit_code()
        }
    }
}

async fn run(cli: Cli) -> Result<(), CliError> {
    let output = cli.output;
    // These commands only read log files and need no entry box.
    match &cli.command {
        Command::Explain(args) => return explain::explain(args, output),
        Command::Steps(args) => return steps::steps(args, output),
        Command::Usage(args) => return usage_windows::usage(args, output),
        _ => {}
    }
    let entry = cli.entry_client()?;
    match cli.command {
        Command::Explain(args) => explain::explain(&args, output),
        Command::Steps(args) => steps::steps(&args, output),
        Command::Usage(args) => usage_windows::usage(&args, output),
        Command::Apply(apply) => commands::apply(&entry, apply, output).await,
        Command::Step(step) => commands::step(entry, step, output).await,
        Command::Call(call) => commands::call(&cli.entry, call, output).await,
        Command::Get(get) => queries::get(&entry, get, output).await,
        Command::List => queries::list(&entry, output).await,
        Command::Status => queries::status(&entry, output).await,
    }
}
