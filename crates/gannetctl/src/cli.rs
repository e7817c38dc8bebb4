//! The command line.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use client::{EntryClient, EntrySettings};
use ids::{
    Generation, ModelName, ModelVersion, PoolName, ServiceName, StepNumber, TokenCount, TrainerId,
};

use crate::exit::CliError;

/// Applies configuration, looks at boxes, runs steps and sends plain requests.
///
/// Exit codes: 0 done; 1 broken off, the work may have run; 2 bad input; 3 conflict with
/// another change; 4 not run; 5 the step's samples are not each there once.
#[derive(Debug, Parser)]
#[command(name = "gannetctl", version)]
pub struct Cli {
    /// Entry boxes or their balancer, as http://IP:PORT, separated by commas.
    #[arg(
        long,
        env = "GANNETWAY_ENTRY",
        default_value = "http://127.0.0.1:8080",
        value_delimiter = ',',
        global = true
    )]
    pub entry: Vec<String>,
    /// File that holds the deployment's key; needed by apply, get, list and status.
    #[arg(long, env = "GANNETWAY_KEY_FILE", global = true)]
    pub key_file: Option<PathBuf>,
    /// Tables for people, or JSON for programs.
    #[arg(long, env = "GANNETWAY_OUTPUT", default_value = "table", global = true)]
    pub output: Output,
    /// How long a request that may be repeated is tried, in milliseconds.
    #[arg(long, env = "GANNETWAY_PATIENCE_MS", default_value_t = 30_000, global = true)]
    pub patience_ms: u64,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The form of what is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Adds or replaces a pool from a TOML document.
    Apply(ApplyArgs),
    /// Shows one pool.
    Get(GetArgs),
    /// Lists the pools in force.
    List,
    /// Shows each entry box: peers, steps kept, homes, roll-outs.
    Status,
    /// Opens a step and pulls it, as a trainer would.
    Step(StepArgs),
    /// Sends a plain request to a service.
    Call(CallArgs),
    /// Tells what the boxes' logs say of a request, a job or an item.
    Explain(ExplainArgs),
    /// Tells what the trainers waited for, step by step, from the keeping boxes' logs.
    Steps(StepsArgs),
    /// Tells the reports of customers' use, window by window, from the keeping boxes' logs.
    Usage(UsageArgs),
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Id of a request, a job or an item.
    pub id: String,
    /// Logs of boxes, as they were written to standard output.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `steps`.
#[derive(Debug, Args)]
pub struct StepsArgs {
    /// Logs of boxes, as they were written to standard output.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Only steps of this model.
    #[arg(long)]
    pub model: Option<ModelName>,
    /// Draws the steps, a bar each, into this SVG file.
    #[arg(long)]
    pub picture: Option<PathBuf>,
}

/// Arguments of `usage`.
#[derive(Debug, Args)]
pub struct UsageArgs {
    /// Logs of boxes, as they were written to standard output.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// The TOML document.
    pub file: PathBuf,
    /// Refuses when the pool was changed after this generation.
    #[arg(long)]
    pub if_generation: Option<Generation>,
    /// Only checks the document.
    #[arg(long)]
    pub check: bool,
}

/// Arguments of `get`.
#[derive(Debug, Args)]
pub struct GetArgs {
    /// The pool.
    pub pool: PoolName,
}

/// Arguments of `step`.
#[derive(Debug, Args)]
pub struct StepArgs {
    /// The pool.
    #[arg(long)]
    pub pool: PoolName,
    /// The trainer.
    #[arg(long)]
    pub trainer: TrainerId,
    /// The step's number.
    #[arg(long, default_value = "1")]
    pub step: StepNumber,
    /// The version the trainer names.
    #[arg(long, default_value = "1")]
    pub version: ModelVersion,
    /// Samples in the step.
    #[arg(long, default_value_t = 64)]
    pub samples: u32,
    /// Samples of each group.
    #[arg(long, default_value_t = 8)]
    pub group: u16,
    /// Longest answer, in tokens.
    #[arg(long, default_value = "512")]
    pub max_tokens: TokenCount,
}

/// Arguments of `call`.
#[derive(Debug, Args)]
pub struct CallArgs {
    /// The service.
    pub service: ServiceName,
    /// Path and query at the service, with the leading slash.
    pub path: String,
    /// HTTP method.
    #[arg(long, default_value = "POST")]
    pub method: String,
    /// Body.
    #[arg(long, default_value = "")]
    pub body: String,
    /// Asking twice does no harm, so the request may be repeated.
    #[arg(long)]
    pub repeatable: bool,
    /// Names the request; the same on every hop.
    #[arg(long)]
    pub request_id: Option<String>,
    /// Time allowed, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub deadline_ms: u64,
}

impl Cli {
    /// A client for the entry boxes named.
    pub fn entry_client(&self) -> Result<EntryClient, CliError> {
        Ok(EntryClient::new(EntrySettings {
            entries: self.entry.clone(),
            key: self.key()?,
            patience: Duration::from_millis(self.patience_ms),
        }))
    }

    fn key(&self) -> Result<Option<String>, CliError> {
        let Some(path) = &self.key_file else { return Ok(None) };
        let read = fs::read_to_string(path);
        read.map(Some).map_err(|error| {
            CliError::BadInput(format!(
                "--key-file {}: {error}; name a readable file",
                path.display()
            ))
        })
    }
}
