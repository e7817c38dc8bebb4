//! Structured logs on standard output, one JSON object per line.
//!
//! Lines go into a bounded buffer that a separate thread writes out, so logging never blocks. While
//! standard output is blocked, lines beyond the bound are dropped and counted; the count is logged
//! once there is room again.

use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, SystemTime};
use std::{fmt, mem, thread};

use log::kv::{self, Key, Value, VisitSource};
use serde_json::Map;

/// Maximum number of buffered bytes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Delay before a write, so that a burst of lines takes one write.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

#[derive(Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Buffer of lines to write.
#[derive(Clone, Default)]
struct LineBuffer(Arc<(Mutex<PendingLines>, Condvar)>);

impl LineBuffer {
    fn add(&self, line: &[u8]) {
        let (pending, available) = &*self.0;
        let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            pending.dropped += 1;
            return;
        }
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line);
        if was_empty {
            available.notify_one();
        }
    }

    fn wait_and_drain(&self) -> Vec<u8> {
        let (pending, available) = &*self.0;
        let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
        while pending.bytes.is_empty() {
            pending = available.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
        drop(pending);
        thread::sleep(FLUSH_DELAY);
        self.drain()
    }

    fn drain(&self) -> Vec<u8> {
        let mut pending = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut bytes = mem::take(&mut pending.bytes);
        if pending.dropped > 0 {
            let line = format!(
                "{{\"part\":\"logs\",\"event\":\"dropped\",\"lines\":{}}}\n",
                pending.dropped
            );
            bytes.extend_from_slice(line.as_bytes());
            pending.dropped = 0;
        }
        bytes
    }
}

impl Write for LineBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.add(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Flushes the log buffer at the end of a process.
#[derive(Clone)]
pub struct LogFlush(LineBuffer);

impl fmt::Debug for LogFlush {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LogFlush")
    }
}

impl LogFlush {
    /// Writes the buffered lines.
    pub fn flush(&self) {
        write_out(&self.0.drain());
    }
}

fn write_out(bytes: &[u8]) {
    // An error of standard output can't be logged anywhere.
    let _result = io::stdout().write_all(bytes);
}

/// A part of the product, named by the target of its log calls. Its level is a setting; all other
/// targets, such as libraries, log only warnings and errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogPart {
    /// Calls to the accounting service.
    Accounts,
    /// Weight loads of engines, and leases.
    Conductor,
    /// Configuration and settings.
    Config,
    /// Requests of callers.
    Entry,
    /// Jobs and their items.
    Jobs,
    /// Connections between boxes.
    Links,
    /// The box itself.
    Node,
    /// Shards and their logs.
    Shard,
    /// Targets and tries there.
    Targets,
    /// Usage counts and reports.
    Usage,
}

impl LogPart {
    /// All parts.
    pub const ALL: [Self; 10] = [
        Self::Accounts,
        Self::Conductor,
        Self::Config,
        Self::Entry,
        Self::Jobs,
        Self::Links,
        Self::Node,
        Self::Shard,
        Self::Targets,
        Self::Usage,
    ];

    /// The target of the part's log calls.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accounts => "accounts",
            Self::Conductor => "conductor",
            Self::Config => "config",
            Self::Entry => "entry",
            Self::Jobs => "jobs",
            Self::Links => "links",
            Self::Node => "node",
            Self::Shard => "shard",
            Self::Targets => "targets",
            Self::Usage => "usage",
        }
    }

    fn is_target(target: &str) -> bool {
        Self::ALL.iter().any(|part| part.as_str() == target)
    }
}

/// Level of all [`LogPart`]s.
static PART_LEVEL: AtomicUsize = AtomicUsize::new(log::LevelFilter::Info as usize);

/// Changes the log level.
pub fn set_log_level(level: log::LevelFilter) {
    PART_LEVEL.store(level as usize, Ordering::Relaxed);
    // Calls above this level are skipped before they are formatted.
    log::set_max_level(level.max(log::LevelFilter::Warn));
}

/// Sets up logging to standard output. A second call in a process has no effect.
pub fn start_logs(box_id: &str, level: log::LevelFilter) -> LogFlush {
    let buffer = LineBuffer::default();
    let box_id = box_id.to_owned();
    let output: Box<dyn Write + Send> = Box::new(buffer.clone());
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{}", json_line(&box_id, message, record)));
        })
        .level(log::LevelFilter::Warn)
        .chain(output);
    let dispatch = LogPart::ALL.into_iter().fold(dispatch, |dispatch, part| {
        dispatch.level_for(part.as_str(), log::LevelFilter::Trace)
    });
    let dispatch = dispatch.filter(|metadata| {
        !LogPart::is_target(metadata.target())
            || metadata.level() as usize <= PART_LEVEL.load(Ordering::Relaxed)
    });
    if dispatch.apply().is_ok() {
        set_log_level(level);
        let writer = buffer.clone();
        let spawned = thread::Builder::new().name("logs".to_owned()).spawn(move || {
            loop {
                write_out(&writer.wait_and_drain());
            }
        });
        // Without the thread, lines fill the buffer and are then counted as dropped.
        drop(spawned);
    }
    LogFlush(buffer)
}

/// Formats a record as one line.
pub fn json_line(box_id: &str, message: &fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut line = Map::new();
    // Wall-clock time, so that lines of several boxes can be ordered.
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    line.insert("t".to_owned(), since.as_secs_f64().into());
    line.insert("level".to_owned(), record.level().as_str().to_ascii_lowercase().into());
    line.insert("box".to_owned(), box_id.into());
    line.insert("part".to_owned(), record.target().into());
    line.insert("event".to_owned(), message.to_string().into());
    // A field that fails to format is omitted.
    let _invalid_field = record.key_values().visit(&mut FieldWriter(&mut line));
    serde_json::Value::Object(line).to_string()
}

struct FieldWriter<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
