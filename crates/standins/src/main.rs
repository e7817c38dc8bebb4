//! Runs one stand-in as a process of its own.

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

/// A stand-in for one outside system; prints `listening ADDRESS` once it serves.
#[derive(Debug, Parser)]
struct Cli {
    /// Address to listen on; port 0 takes a free one.
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
        /// Version held at the start.
        #[arg(long, default_value = "1")]
        version: ModelVersion,
        /// Which life of the engine this is.
        #[arg(long, default_value = "1")]
        incarnation: Incarnation,
        /// Ignores fencing tokens, as some deployments' engines do.
        #[arg(long)]
        ignore_fencing: bool,
        /// Time from an order to the new version, in milliseconds.
        #[arg(long, default_value_t = 300)]
        load_ms: u64,
        /// One decode step of a batch of one, in microseconds.
        #[arg(long, default_value_t = 1_000)]
        step_us: u64,
    },
    /// A plain service, which also answers as a scorer.
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
