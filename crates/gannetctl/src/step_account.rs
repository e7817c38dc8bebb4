//! The account of one trainer's step, put together from the lines of several boxes.

use std::collections::HashMap;

use serde::Serialize;

use crate::log_lines::LogLine;

/// The fields of a step's line that tell how long it was held up, and the words for them.
const HOLDS: [(&str, &str); 9] = [
    ("old_ms", "engine of an older version"),
    ("loading_ms", "engines that load"),
    ("resting_ms", "engines at rest"),
    ("full_ms", "full engines"),
    ("cold_ms", "cold engines"),
    ("evacuated_ms", "engines of domains to be emptied"),
    ("no_route_ms", "a route"),
    ("connections_ms", "connections of its server"),
    ("condemned_ms", "an item that ends engines"),
];

/// What a step's last wanted item spent its time on, in seconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub(crate) struct LastItem {
    pub item: String,
    /// The engine of its last run.
    pub target: String,
    pub runs: u32,
    pub waited_s: f64,
    pub ran_s: f64,
    pub scored_s: f64,
    /// From its score until its record was on all copies.
    pub listing_s: f64,
    /// From there until it was read.
    pub reading_s: f64,
}

/// Why some item of a step could not start, and for how long.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct StepHold {
    pub why: &'static str,
    pub held_s: f64,
}

/// One step. Moments are seconds of the logs' clock; none where nothing tells them.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct StepTimings {
    pub model: String,
    pub step: u64,
    pub job: String,
    /// The box that served it at its end.
    pub server: String,
    /// When an entry box had handed it in.
    pub asked_at: Option<f64>,
    /// When the box that served it last took it: at a change of server later than it was acknowledged.
    pub taken_at: f64,
    /// When the oldest version that may make its samples was named.
    pub named_at: Option<f64>,
    pub first_run_at: Option<f64>,
    /// When the last wanted item was listed.
    pub wanted_at: Option<f64>,
    pub read_at: Option<f64>,
    pub ended_at: f64,
    /// Items that came again from an earlier step.
    pub carried: u32,
    pub last: Option<LastItem>,
    /// The longest first.
    pub holds: Vec<StepHold>,
}

impl StepTimings {
    /// Reads the line that a step's server writes at its end.
    pub fn read(line: &LogLine) -> Option<Self> {
        let seconds = |name: &str| line.number(name).filter(|ms| *ms >= 0.0).map(|ms| ms / 1_000.0);
        let taken_at = line.time_s - seconds("ended_ms")?;
        let at = |name: &str| seconds(name).map(|after| taken_at + after);
        let mut holds: Vec<StepHold> = HOLDS
            .iter()
            .filter_map(|(field, why)| Some(StepHold { why, held_s: seconds(field)? }))
            .filter(|hold| hold.held_s > 0.0)
            .collect();
        holds.sort_by(|a, b| b.held_s.total_cmp(&a.held_s));
        Some(Self {
            model: line.text("model")?.to_owned(),
            step: whole(line.number("step")?),
            job: line.text("job")?.to_owned(),
            server: line.r#box.clone(),
            asked_at: None,
            taken_at,
            named_at: None,
            first_run_at: at("first_run_ms"),
            wanted_at: at("wanted_ms"),
            read_at: at("read_ms"),
            ended_at: line.time_s,
            carried: line.number("carried").map_or(0, small),
            last: read_last(line, &seconds),
            holds,
        })
    }

    /// What the trainer waited for most, in a few words.
    pub fn cause(&self) -> String {
        let held = self.holds.first().map(|hold| format!("{} {:.1} s", hold.why, hold.held_s));
        let Some(last) = &self.last else {
            return format!("not whole; {}", held.unwrap_or_else(|| "runs".to_owned()));
        };
        let parts = [
            ("wait", last.waited_s),
            ("runs", last.ran_s),
            ("reward call", last.scored_s),
            ("listing", last.listing_s),
            ("read", last.reading_s),
        ];
        let most = parts.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        let (part, seconds) = most.unwrap_or_default();
        match held.filter(|_| part == "wait") {
            Some(held) => format!("{part} {seconds:.1} s: {held}"),
            None => format!("{part} {seconds:.1} s"),
        }
    }
}

fn read_last(line: &LogLine, seconds: &impl Fn(&str) -> Option<f64>) -> Option<LastItem> {
    let item = line.text("item").filter(|item| !item.is_empty())?.to_owned();
    let part = |name| seconds(name).unwrap_or_default();
    let (waited_s, ran_s, scored_s) = (part("waited_ms"), part("ran_ms"), part("scored_ms"));
    let until_listed_s = seconds("wanted_ms")?;
    Some(LastItem {
        item,
        target: line.text("target").unwrap_or_default().to_owned(),
        runs: line.number("runs").map_or(0, small),
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
    reason = "whole and not negative"
)]
fn whole(number: f64) -> u64 {
    number as u64
}

fn small(number: f64) -> u32 {
    u32::try_from(whole(number)).unwrap_or(u32::MAX)
}

/// Gathers the lines that tell of steps.
#[derive(Debug, Default)]
pub(crate) struct StepLines {
    steps: Vec<(StepTimings, u64)>,
    asked: HashMap<String, f64>,
    named: HashMap<(String, u64), f64>,
}

impl StepLines {
    /// Takes a line, if it tells something of a step.
    pub fn take(&mut self, line: &LogLine) {
        let time_s = line.time_s;
        match line.event.as_str() {
            "step timings" => {
                let oldest = line.number("min_version").map_or(0, whole);
                self.steps.extend(StepTimings::read(line).map(|step| (step, oldest)));
            }
            "job submitted" if line.text("outcome") == Some("accepted") => {
                let Some(job) = line.text("job") else { return };
                let first = self.asked.entry(job.to_owned()).or_insert(time_s);
                *first = first.min(time_s);
            }
            "version named" => {
                let (Some(model), Some(version)) =
                    (line.text("model"), line.number("weight_version"))
                else {
                    return;
                };
                let first = self.named.entry((model.to_owned(), whole(version))).or_insert(time_s);
                *first = first.min(time_s);
            }
            _ => {}
        }
    }

    /// The steps, by model and number.
    pub fn steps(self) -> Vec<StepTimings> {
        let Self { steps, asked, named } = self;
        let mut told: Vec<StepTimings> = steps
            .into_iter()
            .map(|(step, oldest)| StepTimings {
                asked_at: asked.get(&step.job).copied(),
                named_at: named.get(&(step.model.clone(), oldest)).copied(),
                ..step
            })
            .collect();
        told.sort_by(|a, b| (&a.model, a.step).cmp(&(&b.model, b.step)));
        told
    }
}
