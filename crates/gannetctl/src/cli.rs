//! Command-line arguments.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use client::{EntryClient, EntrySettings};
use ids::{
    Generation, ModelName, ModelVersion, PoolName, ServiceName, StepNumber, TokenCount, TrainerId,
};

use crate::exit::CliError;

/// Applies pool configuration, shows the state of boxes, runs steps, sends plain requests and
/// evaluates the logs of boxes.
///
/// Exit codes: 0 success; 1 no complete response, the work may have run; 2 bad input;
/// 3 conflict with another change; 4 not run; 5 the step has missing or duplicate samples.
#[derive(Debug, Parser)]
#[command(name = "gannetctl", version)]
pub struct Cli {
    /// Addresses of the entry boxes or their load balancer, as http://IP:PORT, comma-separated.
    #[arg(
        long,
        env = "GANNETWAY_ENTRY",
        default_value = "http://127.0.0.1:8080",
        value_delimiter = ',',
        global = true
    )]
    pub entry: Vec<String>,
    /// File that contains the deployment's key; required by apply, get, list and status.
    #[arg(long, env = "GANNETWAY_KEY_FILE", global = true)]
    pub key_file: Option<PathBuf>,
    /// Output format: human-readable tables or JSON.
    #[arg(long, env = "GANNETWAY_OUTPUT", default_value = "table", global = true)]
    pub output: Output,
    /// Total time for retries of a repeatable request, in milliseconds.
    #[arg(long, env = "GANNETWAY_PATIENCE_MS", default_value_t = 30_000, global = true)]
    pub patience_ms: u64,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Human-readable tables.
    Table,
    /// JSON.
    Json,
}

/// Subcommands of `gannetctl`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Creates or replaces a pool from a TOML document.
    Apply(ApplyArgs),
    /// Shows one pool.
    Get(GetArgs),
    /// Lists the current pools.
    List,
    /// Shows the state of an entry box: peers, keepers and their steps, homes, rollouts.
    Status,
    /// Opens a step and pulls all of its samples, as a trainer does.
    Step(StepArgs),
    /// Sends a plain request to a service.
    Call(CallArgs),
    /// Shows the log lines of all boxes about a request, a job, an item or a piece of work.
    Explain(ExplainArgs),
    /// Shows what trainers waited for in each step, from the logs of storage boxes.
    Steps(StepsArgs),
    /// Shows the usage report of each window, from the logs of storage boxes.
    Usage(UsageArgs),
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Id of a request, a job, an item or a piece of work.
    pub id: String,
    /// Log files of boxes (their standard output).
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `steps`.
#[derive(Debug, Args)]
pub struct StepsArgs {
    /// Log files of boxes (their standard output).
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Shows only the steps of this model.
    #[arg(long)]
    pub model: Option<ModelName>,
    /// Writes a bar chart of the steps to this SVG file.
    #[arg(long)]
    pub picture: Option<PathBuf>,
}

/// Arguments of `usage`.
#[derive(Debug, Args)]
pub struct UsageArgs {
    /// Log files of boxes (their standard output).
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// TOML document that describes the pool.
    pub file: PathBuf,
    /// Fails if the pool was changed after this generation.
    #[arg(long)]
    pub if_generation: Option<Generation>,
    /// Validates the document without applying it.
    #[arg(long)]
    pub check: bool,
}

/// Arguments of `get`.
#[derive(Debug, Args)]
pub struct GetArgs {
    /// Name of the pool.
    pub pool: PoolName,
}

/// Arguments of `step`.
#[derive(Debug, Args)]
pub struct StepArgs {
    /// Name of the pool.
    #[arg(long)]
    pub pool: PoolName,
    /// Id of the trainer.
    #[arg(long)]
    pub trainer: TrainerId,
    /// Number of the step.
    #[arg(long, default_value = "1")]
    pub step: StepNumber,
    /// Weight version that the trainer names.
    #[arg(long, default_value = "1")]
    pub version: ModelVersion,
    /// Number of samples in the step.
    #[arg(long, default_value_t = 64)]
    pub samples: u32,
    /// Number of samples per group.
    #[arg(long, default_value_t = 8)]
    pub group: u16,
    /// Maximum response length, in tokens.
    #[arg(long, default_value = "512")]
    pub max_tokens: TokenCount,
}

/// Arguments of `call`.
#[derive(Debug, Args)]
pub struct CallArgs {
    /// Name of the service.
    pub service: ServiceName,
    /// Path and query of the request, with a leading slash.
    pub path: String,
    /// HTTP method.
    #[arg(long, default_value = "POST")]
    pub method: String,
    /// Request body.
    #[arg(long, default_value = "")]
    pub body: String,
    /// Marks the request as idempotent, so that boxes may repeat it.
    #[arg(long)]
    pub repeatable: bool,
    /// Request id, the same on every hop; random by default.
    #[arg(long)]
    pub request_id: Option<String>,
    /// Deadline of the request, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub deadline_ms: u64,
}

impl Cli {
    /// Returns a client for the given entry boxes.
    pub fn entry_client(&self) -> Result<EntryClient, CliError> {
        Ok(EntryClient::new(EntrySettings {
            entries: self.entry.clone(),
            key: self.key()?,
            retry_timeout: Duration::from_millis(self.patience_ms),
        }))
    }

    fn key(&self) -> Result<Option<String>, CliError> {
        let Some(path) = &self.key_file else { return Ok(None) };
        let read = fs::read_to_string(path);
        read.map(Some).map_err(|error| {
            CliError::BadInput(format!(
                "--key-file {}: {error}; specify a readable file",
                path.display()
            ))
        })
    }
}
