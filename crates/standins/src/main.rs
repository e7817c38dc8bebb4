//! Runs one stand-in as a separate process.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use ids::{Incarnation, ModelVersion};
use mimalloc::MiMalloc;
use standins::engine::{self, EngineStandin};
use standins::engine_model::EngineSettings;
use standins::plain::{self, PlainState};
use standins::platform::{self, PlatformStore};
use standins::serve::serve;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Stand-in for one external system. Prints `listening ADDRESS` when ready.
#[derive(Debug, Parser)]
struct Cli {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0", global = true)]
    listen: SocketAddr,
    #[command(subcommand)]
    system: System,
}

#[derive(Debug, Subcommand)]
enum System {
    /// The platform's object API.
    Platform,
    /// A model engine.
    Engine {
        /// Model version loaded at the start.
        #[arg(long, default_value = "1")]
        version: ModelVersion,
        /// Incarnation of the engine.
        #[arg(long, default_value = "1")]
        incarnation: Incarnation,
        /// Ignores fencing tokens, as some deployments' engines do.
        #[arg(long)]
        ignore_fencing: bool,
        /// Time to load a version, in milliseconds.
        #[arg(long, default_value_t = 300)]
        load_ms: u64,
        /// Duration of a decode step with one stream, in microseconds.
        #[arg(long, default_value_t = 1_000)]
        step_us: u64,
    },
    /// A plain service, which is also a scorer.
    Plain,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(Cli::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(cli: Cli) -> io::Result<()> {
    let router = match cli.system {
        System::Platform => platform::router(PlatformStore::default()),
        System::Plain => plain::router(PlainState::default()),
        System::Engine { version, incarnation, ignore_fencing, load_ms, step_us } => {
            let settings = EngineSettings {
                checks_fencing: !ignore_fencing,
                load_time: Duration::from_millis(load_ms),
                step: Duration::from_micros(step_us),
                ..EngineSettings::default()
            };
            engine::router(EngineStandin::start(settings, incarnation, version))
        }
    };
    serve(cli.listen, router).await
}
