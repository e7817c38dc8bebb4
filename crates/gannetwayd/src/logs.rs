//! Log output: one line per event, with the time, the level, the name of the part, the message and
//! the key-value pairs.

use std::time::SystemTime;
use std::{fmt, io};

use log::kv::{self, Key, Value, VisitSource};

/// Sets up logging to standard error. Further calls have no effect.
pub fn start_logs(level: log::LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            // Log lines are compared across machines, so they use wall-clock time.
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let pairs = PairText(record.key_values());
            let (level, part) = (record.level(), record.target());
            out.finish(format_args!("{time} {level:5} {part}: {message}{pairs}"));
        })
        .level(log::LevelFilter::Warn)
        .chain(io::stderr());
    let parts = [
        "box",
        "config",
        "conductor",
        "home",
        "http",
        "keeper",
        "lease",
        "links",
        "members",
        "route",
    ];
    let dispatch =
        parts.into_iter().fold(dispatch, |dispatch, part| dispatch.level_for(part, level));
    // Fails if a logger is already set, which happens only in tests.
    let _already_set = dispatch.apply();
}

struct PairText<'a>(&'a dyn kv::Source);

impl fmt::Display for PairText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.visit(&mut PairWriter(f)).map_err(|_failed| fmt::Error)
    }
}

struct PairWriter<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl<'kvs> VisitSource<'kvs> for PairWriter<'_, '_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}
