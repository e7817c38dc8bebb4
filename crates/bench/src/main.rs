//! Measurements behind the capacity page and the design notes.
//!
//! Each subcommand prints one table. Figures that depend on the machine are slopes of time;
//! bytes and counts come out the same on any machine.

mod baselines;
mod beats;
mod daemon;
mod decisions;
mod documents;
mod plain;
mod policy;
mod steps;
mod suspects;
mod table;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Measures slopes; see docs/CAPACITY.md for what is worked out from them.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// Bytes and time of heartbeats at several fleet sizes.
    Beats,
    /// Time and memory of decisions: choosing, admitting, keeping, conducting.
    Decisions,
    /// Size and time of the configuration and the target list.
    Documents,
    /// Memory, processor time and platform calls of real daemons at rest.
    Daemon {
        /// Seconds watched at each size.
        #[arg(long, default_value_t = 15)]
        seconds: u64,
    },
    /// Processor time and memory of real daemons for each sample of a step.
    Steps,
    /// Memory, bytes and time of what is remembered of work that ends targets.
    Suspects,
    /// Whole steps under each way to choose targets, by seed.
    Policy,
    /// Plain requests through a daemon beside the same requests sent directly.
    Plain {
        /// Requests of each kind.
        #[arg(long, default_value_t = 20_000)]
        requests: usize,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().what {
        What::Beats => {
            beats::measure();
            Ok(())
        }
        What::Decisions => {
            decisions::measure();
            Ok(())
        }
        What::Suspects => {
            suspects::measure();
            Ok(())
        }
        What::Documents => {
            documents::measure();
            Ok(())
        }
        What::Daemon { seconds } => daemon::measure(seconds),
        What::Steps => steps::measure(),
        What::Policy => {
            policy::measure();
            Ok(())
        }
        What::Plain { requests } => plain::measure(requests),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}
