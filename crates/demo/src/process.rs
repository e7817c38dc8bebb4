//! Starts, signals and stops a child process that prints the addresses it listens on.

use std::io;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};

use standins::serve::LISTENING;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// A signal to a child process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL: ends the process at once.
    Kill,
    /// SIGSTOP: freezes the process.
    Stop,
    /// SIGCONT: resumes a frozen process.
    Continue,
    /// SIGTERM: requests a graceful stop.
    Terminate,
}

impl Signal {
    const fn flag(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Terminate => "-TERM",
        }
    }
}

/// A child process that has printed its addresses. It is killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    /// Words of the `listening` line after the first.
    pub addresses: Vec<String>,
}

/// Returns the path of a binary of this workspace, in the directory of the running one.
pub fn program(name: &str) -> io::Result<PathBuf> {
    let mut dir = std::env::current_exe()?;
    dir.pop();
    // Test binaries are in the `deps` subdirectory.
    if dir.ends_with("deps") {
        dir.pop();
    }
    let path = dir.join(name);
    if path.exists() {
        return Ok(path);
    }
    let hint = format!("{} is not built: run `cargo build --workspace` first", path.display());
    Err(io::Error::new(io::ErrorKind::NotFound, hint))
}

/// Sends a signal to a process. The caller must have started this process.
pub async fn send_signal(id: u32, signal: Signal) -> io::Result<()> {
    Command::new("kill").arg(signal.flag()).arg(id.to_string()).status().await.map(|_status| ())
}

impl ChildProcess {
    /// Starts a program and waits until it prints its addresses.
    pub async fn start(name: &str, args: &[String], log: Stdio) -> io::Result<Self> {
        let mut child = Command::new(program(name)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let stdout =
            child.stdout.take().ok_or_else(|| io::Error::other("child has no standard output"))?;
        let mut lines = BufReader::new(stdout).lines();
        while let Some(line) = lines.next_line().await? {
            let mut words = line.split_whitespace();
            if words.next() == Some(LISTENING) {
                let addresses = words.map(str::to_owned).collect();
                return Ok(Self { child, addresses });
            }
        }
        Err(io::Error::other(format!("{name} exited before it printed its address")))
    }

    /// Returns the first address that the process listens on.
    pub fn address(&self) -> &str {
        self.addresses.first().map_or("", String::as_str)
    }

    /// Returns the process id, or `None` after the process has been waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal; does nothing after the process has been waited for.
    pub async fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(id) = self.child.id() else { return Ok(()) };
        send_signal(id, signal).await
    }

    /// Waits until the process exits.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }
}
