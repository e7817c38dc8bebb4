//! Structured logs on standard output: one JSON object a line, bounded, never blocking.
//!
//! A line goes into a buffer of bounded size; a thread of its own writes the buffer out. While
//! standard output takes nothing, lines over the bound are dropped and counted, and the count is
//! told in one line once there is room again.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, SystemTime};
use std::{fmt, mem, thread};

use log::kv::{self, Key, Value, VisitSource};
use serde_json::Map;

/// Bytes of lines that wait to be written.
const MOST_WAITING: usize = 256 << 10;
/// Lines gather for this long, so that a burst takes one write.
const GATHER: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Where lines wait.
#[derive(Clone, Default)]
struct LineBuffer(Arc<(Mutex<Waiting>, Condvar)>);

impl LineBuffer {
    fn add(&self, line: &[u8]) {
        let (waiting, more) = &*self.0;
        let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + line.len() > MOST_WAITING {
            waiting.dropped += 1;
            return;
        }
        let first = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        if first {
            more.notify_one();
        }
    }

    fn take(&self) -> Vec<u8> {
        let (waiting, more) = &*self.0;
        let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
        while waiting.bytes.is_empty() {
            waiting = more.wait(waiting).unwrap_or_else(PoisonError::into_inner);
        }
        drop(waiting);
        thread::sleep(GATHER);
        self.take_now()
    }

    fn take_now(&self) -> Vec<u8> {
        let mut waiting = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut bytes = mem::take(&mut waiting.bytes);
        if waiting.dropped > 0 {
            let line = format!(
                "{{\"part\":\"logs\",\"event\":\"dropped\",\"lines\":{}}}\n",
                waiting.dropped
            );
            bytes.extend_from_slice(line.as_bytes());
            waiting.dropped = 0;
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

/// Writes out what waits, at the end of a process.
#[derive(Clone)]
pub struct LogFlush(LineBuffer);

impl fmt::Debug for LogFlush {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LogFlush")
    }
}

impl LogFlush {
    /// Writes out what waits.
    pub fn flush(&self) {
        write_out(&self.0.take_now());
    }
}

fn write_out(bytes: &[u8]) {
    // When standard output is gone there is nowhere to tell it.
    let _unwritten = io::stdout().write_all(bytes);
}

/// Sets up logging to standard output; a second call in one process changes nothing.
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
    let parts = ["config", "conductor", "entry", "jobs", "node", "shard", "targets"];
    let dispatch =
        parts.into_iter().fold(dispatch, |dispatch, part| dispatch.level_for(part, level));
    if dispatch.apply().is_ok() {
        let writer = buffer.clone();
        let spawned = thread::Builder::new().name("logs".to_owned()).spawn(move || {
            loop {
                write_out(&writer.take());
            }
        });
        // Without the thread lines pile up to the bound and are counted as dropped.
        drop(spawned);
    }
    LogFlush(buffer)
}

fn json_line(box_id: &str, message: &fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut line = Map::new();
    // Lines of several boxes are put in order by people: the time of day is meant here.
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    line.insert("t".to_owned(), since.as_secs_f64().into());
    line.insert("level".to_owned(), record.level().as_str().to_ascii_lowercase().into());
    line.insert("box".to_owned(), box_id.into());
    line.insert("part".to_owned(), record.target().into());
    line.insert("event".to_owned(), message.to_string().into());
    // A field that cannot be written is left out of the line.
    let _left_out = record.key_values().visit(&mut FieldWriter(&mut line));
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
