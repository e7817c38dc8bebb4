//! Time breakdown of trainer steps, collected from the logs of several boxes.

use std::collections::HashMap;

use serde::Serialize;

use crate::log_lines::LogLine;

/// Log fields with the time that items of a step were blocked, and the reasons as printed.
const BLOCK_REASONS: [(&str, &str); 12] = [
    ("old_ms", "engine of an older version"),
    ("loading_ms", "engines that load"),
    ("resting_ms", "engines at rest"),
    ("full_ms", "full engines"),
    ("cold_ms", "cold engines"),
    ("evacuated_ms", "engines of domains to be emptied"),
    ("regions_ms", "engines of the allowed regions"),
    ("no_route_ms", "a route"),
    ("connections_ms", "connections of its server"),
    ("crash_spacing_ms", "an item whose engines crashed"),
    // Of earlier releases.
    ("condemned_ms", "an item that ends engines"),
    ("yielded_ms", "more urgent items of other shards"),
];

/// Time breakdown of a step's last wanted item, in seconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub(crate) struct LastItem {
    pub item: String,
    /// Engine of its last run.
    pub target: String,
    pub runs: u32,
    pub waited_s: f64,
    pub ran_s: f64,
    pub scored_s: f64,
    /// From the end of scoring until its record was on all copies.
    pub listing_s: f64,
    /// From its listing until the trainer read it.
    pub reading_s: f64,
}

/// Why items of a step could not start, and for how long.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct BlockedTime {
    pub why: &'static str,
    pub held_s: f64,
}

/// Timings of one step. Times are in seconds, as in the logs; `None` if no line has them.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct StepTimings {
    pub model: String,
    pub step: u64,
    pub job: String,
    /// The box that served its shard when the step ended.
    pub server: String,
    /// When an entry box first logged that its job was accepted.
    pub asked_at: Option<f64>,
    /// When `server` accepted the job; after a server change, later than the acceptance that the
    /// entry box logged.
    pub taken_at: f64,
    /// When the oldest version allowed for its samples was named.
    pub named_at: Option<f64>,
    pub first_run_at: Option<f64>,
    /// When the last wanted item was listed.
    pub wanted_at: Option<f64>,
    pub read_at: Option<f64>,
    pub ended_at: f64,
    /// Number of items carried over from earlier jobs.
    pub carried: u32,
    pub last: Option<LastItem>,
    /// Sorted by time, longest first.
    pub holds: Vec<BlockedTime>,
}

impl StepTimings {
    /// Parses the `step timings` line, which the shard's server logs when the step ends.
    pub fn from_log_line(line: &LogLine) -> Option<Self> {
        let seconds = |name: &str| line.number(name).filter(|ms| *ms >= 0.0).map(|ms| ms / 1_000.0);
        let taken_at = line.time_s - seconds("ended_ms")?;
        let at = |name: &str| seconds(name).map(|after| taken_at + after);
        let mut holds: Vec<BlockedTime> = BLOCK_REASONS
            .iter()
            .filter_map(|(field, why)| Some(BlockedTime { why, held_s: seconds(field)? }))
            .filter(|blocked| blocked.held_s > 0.0)
            .collect();
        holds.sort_by(|a, b| b.held_s.total_cmp(&a.held_s));
        Some(Self {
            model: line.text("model")?.to_owned(),
            step: to_u64(line.number("step")?),
            job: line.text("job")?.to_owned(),
            server: line.r#box.clone(),
            asked_at: None,
            taken_at,
            named_at: None,
            first_run_at: at("first_run_ms"),
            wanted_at: at("wanted_ms"),
            read_at: at("read_ms"),
            ended_at: line.time_s,
            carried: line.number("carried").map_or(0, to_u32),
            last: parse_last_item(line, &seconds),
            holds,
        })
    }

    /// Describes what took longest for the last wanted item, or what blocked the items of an
    /// incomplete step longest; for the table.
    pub fn cause(&self) -> String {
        let longest_block =
            self.holds.first().map(|blocked| format!("{} {:.1} s", blocked.why, blocked.held_s));
        let Some(last) = &self.last else {
            return format!("not whole; {}", longest_block.unwrap_or_else(|| "runs".to_owned()));
        };
        let parts = [
            ("wait", last.waited_s),
            ("runs", last.ran_s),
            ("reward call", last.scored_s),
            ("listing", last.listing_s),
            ("read", last.reading_s),
        ];
        let longest = parts.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        let (part, seconds) = longest.unwrap_or_default();
        match longest_block.filter(|_| part == "wait") {
            Some(longest_block) => format!("{part} {seconds:.1} s: {longest_block}"),
            None => format!("{part} {seconds:.1} s"),
        }
    }
}

fn parse_last_item(line: &LogLine, seconds: &impl Fn(&str) -> Option<f64>) -> Option<LastItem> {
    let item = line.text("item").filter(|item| !item.is_empty())?.to_owned();
    let part = |name| seconds(name).unwrap_or_default();
    let (waited_s, ran_s, scored_s) = (part("waited_ms"), part("ran_ms"), part("scored_ms"));
    let until_listed_s = seconds("wanted_ms")?;
    Some(LastItem {
        item,
        target: line.text("target").unwrap_or_default().to_owned(),
        runs: line.number("runs").map_or(0, to_u32),
        waited_s,
        ran_s,
        scored_s,
        listing_s: (until_listed_s - waited_s - ran_s - scored_s).max(0.0),
        reading_s: seconds("read_ms").map_or(0.0, |until_read_s| until_read_s - until_listed_s),
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is a nonnegative integer"
)]
fn to_u64(number: f64) -> u64 {
    number as u64
}

fn to_u32(number: f64) -> u32 {
    u32::try_from(to_u64(number)).unwrap_or(u32::MAX)
}

/// Collects the log lines about steps.
#[derive(Debug, Default)]
pub(crate) struct StepLogCollector {
    /// Steps, each with the oldest version allowed for its samples.
    steps: Vec<(StepTimings, u64)>,
    /// First acceptance of a job at an entry box, by job id.
    accepted_at: HashMap<String, f64>,
    /// First time that a version was named, by model and version.
    named_at: HashMap<(String, u64), f64>,
}

impl StepLogCollector {
    /// Records a line if it is about a step; ignores other lines.
    pub fn record_line(&mut self, line: &LogLine) {
        let time_s = line.time_s;
        match line.event.as_str() {
            "step timings" => {
                let oldest = line.number("min_version").map_or(0, to_u64);
                self.steps.extend(StepTimings::from_log_line(line).map(|step| (step, oldest)));
            }
            "job submitted" if line.text("outcome") == Some("accepted") => {
                let Some(job) = line.text("job") else { return };
                let first = self.accepted_at.entry(job.to_owned()).or_insert(time_s);
                *first = first.min(time_s);
            }
            "version named" => {
                let (Some(model), Some(version)) =
                    (line.text("model"), line.number("weight_version"))
                else {
                    return;
                };
                let first =
                    self.named_at.entry((model.to_owned(), to_u64(version))).or_insert(time_s);
                *first = first.min(time_s);
            }
            _ => {}
        }
    }

    /// Returns the steps, sorted by model and number.
    pub fn into_steps(self) -> Vec<StepTimings> {
        let Self { steps, accepted_at, named_at } = self;
        let mut joined: Vec<StepTimings> = steps
            .into_iter()
            .map(|(step, oldest)| StepTimings {
                asked_at: accepted_at.get(&step.job).copied(),
                named_at: named_at.get(&(step.model.clone(), oldest)).copied(),
                ..step
            })
            .collect();
        joined.sort_by(|a, b| (&a.model, a.step).cmp(&(&b.model, b.step)));
        joined
    }
}
