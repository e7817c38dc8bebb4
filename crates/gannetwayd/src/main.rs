//! Starts a box: without a role, the daemon that serves all functions itself; otherwise, one of
//! the two roles of a deployment on the users' platform.

mod roles;

use std::process::ExitCode;
use std::{io, thread};

use clap::Parser;
use gannetwayd::daemon::start_box;
use gannetwayd::logs::start_logs;
use gannetwayd::settings::{RawSettings, Settings};
use gannetwayd::trace::HopTracer;
use mimalloc::MiMalloc;
use tokio::runtime::{Builder, Handle};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit code for invalid settings.
const INVALID_SETTINGS_EXIT: u8 = 2;
/// Exit code when a planned stop aborted requests.
const ABORTED_REQUESTS_EXIT: u8 = 3;

fn main() -> ExitCode {
    if let Some(code) = roles::run_role() {
        return code;
    }
    let settings = match RawSettings::parse().check() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("gannetwayd: {error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT);
        }
    };
    start_logs(settings.log);
    match run(settings) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(ABORTED_REQUESTS_EXIT),
        Err(error) => {
            eprintln!("gannetwayd: {error}; check the addresses in the settings");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> io::Result<usize> {
    // Must run outside of any runtime, since the exporter uses a blocking HTTP client.
    let tracer = HopTracer::new(settings.box_id.as_str(), settings.otlp.as_deref())
        .map_err(io::Error::other)?;
    let traffic = Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let control = ControlThread::start()?;
    let aborted = traffic.block_on(run_until_signal(settings, tracer, control.handle.clone()));
    control.stop();
    aborted
}

async fn run_until_signal(
    settings: Settings,
    tracer: HopTracer,
    control: Handle,
) -> io::Result<usize> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = start_box(settings, tracer, control).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(running.stop().await)
}

/// The thread that runs all control state.
struct ControlThread {
    handle: Handle,
    done: CancellationToken,
    thread: thread::JoinHandle<()>,
}

impl ControlThread {
    fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let done = CancellationToken::new();
        let until = done.clone().cancelled_owned();
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(until))?;
        Ok(Self { handle, done, thread })
    }

    fn stop(self) {
        self.done.cancel();
        if self.thread.join().is_err() {
            log::error!(target: "box", "the control thread panicked");
        }
    }
}
