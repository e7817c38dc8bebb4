//! Benchmarks for capacity planning.
//!
//! Each subcommand prints its results as Markdown tables. Times depend on the machine; byte sizes
//! and counts do not.

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

/// Benchmarks for capacity planning; docs/CAPACITY.md uses the results.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    benchmark: Benchmark,
}

#[derive(Debug, Subcommand)]
enum Benchmark {
    /// Bytes and time of heartbeats at several fleet sizes.
    Beats,
    /// Time and memory of placement, admission, ledgers, rollouts and home lookups.
    Decisions,
    /// Size and time of the configuration and the target list.
    Documents,
    /// Memory, CPU time and platform calls of idle daemons.
    Daemon {
        /// Measurement time at each size, in seconds.
        #[arg(long, default_value_t = 15)]
        seconds: u64,
    },
    /// CPU time of daemons per sample of a step, and their memory.
    Steps,
    /// Memory, record sizes and decision time of the table of suspects.
    Suspects,
    /// Simulated steps with each placement policy, over several seeds.
    Policy,
    /// Plain requests through a daemon, compared with the same requests sent directly.
    Plain {
        /// Number of requests per path.
        #[arg(long, default_value_t = 20_000)]
        requests: usize,
    },
}

fn main() -> ExitCode {
    let result = match Cli::parse().benchmark {
        Benchmark::Beats => {
            beats::measure();
            Ok(())
        }
        Benchmark::Decisions => {
            decisions::measure();
            Ok(())
        }
        Benchmark::Suspects => {
            suspects::measure();
            Ok(())
        }
        Benchmark::Documents => {
            documents::measure();
            Ok(())
        }
        Benchmark::Daemon { seconds } => daemon::measure(seconds),
        Benchmark::Steps => steps::measure(),
        Benchmark::Policy => {
            policy::measure();
            Ok(())
        }
        Benchmark::Plain { requests } => plain::measure(requests),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}
