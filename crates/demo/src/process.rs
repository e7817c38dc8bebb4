//! One child process: started, told where it listens, signalled, stopped.

use std::io;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};

use standins::serve::LISTENING;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// A signal to a child.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Ends at once.
    Kill,
    /// Freezes.
    Stop,
    /// Thaws.
    Continue,
    /// Asks for a planned stop.
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

/// A child process that has said where it listens; it is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    /// Words of the line in which it said where it listens.
    pub addresses: Vec<String>,
}

/// The path of one of this workspace's programs, beside the running one.
pub fn program(name: &str) -> io::Result<PathBuf> {
    let mut dir = std::env::current_exe()?;
    dir.pop();
    // Tests run from a folder below the programs'.
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

/// Sends a signal to a process by its id; only ever to one that the caller has started.
pub async fn send_signal(id: u32, signal: Signal) -> io::Result<()> {
    Command::new("kill").arg(signal.flag()).arg(id.to_string()).status().await.map(|_done| ())
}

impl ChildProcess {
    /// Starts a program and waits until it says where it listens.
    pub async fn start(name: &str, args: &[String], log: Stdio) -> io::Result<Self> {
        let mut child = Command::new(program(name)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let mut lines = BufReader::new(stdout).lines();
        while let Some(line) = lines.next_line().await? {
            let mut words = line.split_whitespace();
            if words.next() == Some(LISTENING) {
                let addresses = words.map(str::to_owned).collect();
                return Ok(Self { child, addresses });
            }
        }
        Err(io::Error::other(format!("{name} ended before it listened")))
    }

    /// The first address it listens on.
    pub fn address(&self) -> &str {
        self.addresses.first().map_or("", String::as_str)
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal.
    pub async fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(id) = self.child.id() else { return Ok(()) };
        send_signal(id, signal).await
    }

    /// Waits for its end.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }
}
