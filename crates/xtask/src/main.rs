//! Development tasks, run as `cargo run -p xtask -- <task>`.

mod ablate;
mod mutate;
mod scratch;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{error, fs};

use clap::{Parser, Subcommand};

#[derive(Debug, Parser)]
#[command(about = "Development tasks of the repository")]
struct Cli {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Generates the Rust code of the wire messages from the .proto file.
    Codegen,
    /// Fails if the committed wire code differs from the code generated from the .proto file.
    CheckCodegen,
    /// Fails if the source text that a mutation or an ablation replaces is missing.
    CheckEdits,
    /// Removes each mechanism in turn in a scratch copy and checks that a test fails.
    Mutate {
        /// Runs only mutations whose name contains this text.
        only: Option<String>,
    },
    /// Creates a scratch copy without one mechanism, for measurements. Without a name, lists all
    /// mechanisms.
    Ablate {
        /// Name of the mechanism.
        #[arg(requires = "to")]
        name: Option<String>,
        /// Directory for the copy; an earlier copy there is updated.
        #[arg(long)]
        to: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.task {
        Task::Codegen => codegen(&generated_dir()),
        Task::CheckCodegen => check_codegen(),
        Task::CheckEdits => check_edits(),
        Task::Ablate { name: Some(name), to: Some(to) } => {
            ablate::ablate(&root_dir(), &name, &to).map_err(Into::into)
        }
        Task::Ablate { .. } => {
            ablate::list();
            Ok(())
        }
        Task::Mutate { only } => mutate::mutate(&root_dir(), only.as_deref()).map_err(Into::into),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

type Fallible = Result<(), Box<dyn error::Error>>;

fn root_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn wire_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire")
}

fn generated_dir() -> PathBuf {
    wire_dir().join("src/generated")
}

fn codegen(out: &Path) -> Fallible {
    let proto = wire_dir().join("proto");
    let files = protox::compile([proto.join("peer.proto")], [&proto])?;
    fs::create_dir_all(out)?;
    prost_build::Config::new()
        .bytes([
            ".gannetway.peer.PlainCall.body",
            ".gannetway.peer.PlainPart.body",
            ".gannetway.peer.FeedObject.value",
        ])
        // The variant is several times larger than the others of its enum.
        .boxed(".gannetway.peer.ShardResponse.body.heartbeat")
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}

fn check_codegen() -> Fallible {
    let scratch = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/codegen");
    codegen(&scratch)?;
    let name = "gannetway.peer.rs";
    if fs::read(scratch.join(name))? == fs::read(generated_dir().join(name))? {
        return Ok(());
    }
    Err("the committed wire code is stale: run `cargo run -p xtask -- codegen`".into())
}

fn check_edits() -> Fallible {
    for edit in mutate::edits().chain(ablate::edits()) {
        edit.find(&root_dir())?;
    }
    Ok(())
}
