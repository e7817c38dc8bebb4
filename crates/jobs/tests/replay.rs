//! A replayed log gives the same book, whatever happened while it was written.

mod common;

use common::{accepted, at, book, events, job, run, start_all, text_of};
use ids::JobId;
use jobs::{JobTable, RewardOutcome, RunOutcome, RunSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::peer::LogRecord;

const SEEDS: u64 = 500;
const ACTIONS: u64 = 200;
const JOBS: usize = 3;

fn name(index: usize) -> String {
    format!("job-{index}")
}

/// Random life of a book; every record it gives is applied and kept.
fn live(seed: u64) -> (JobTable, Vec<LogRecord>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut book = book();
    let mut log = Vec::new();
    let mut running: Vec<(RunSpec, u32)> = Vec::new();
    for turn in 0..ACTIONS {
        let now = at(turn * 100);
        let mut records = Vec::new();
        match rng.random_range(0..10) {
            0 => records.push(accepted(job(&name(rng.random_range(0..JOBS)), 2))),
            1 if turn > ACTIONS / 2 => {
                let id: JobId = name(rng.random_range(0..JOBS)).parse().expect("an id");
                records.extend(book.end(&id));
            }
            2..5 => running.extend(start_all(&mut book, now).into_iter().map(|spec| (spec, 0))),
            5 => records.extend(book.give_up(now).into_iter().map(|(record, _)| record)),
            6 if !running.is_empty() => {
                let at = rng.random_range(0..running.len());
                let (spec, sent) = &mut running[at];
                let made = events(spec.events + 1, *sent + 2, 3);
                records.push(spec.progress(&made, *sent as usize));
                *sent += 2;
            }
            _ if !running.is_empty() => {
                let at = rng.random_range(0..running.len());
                let (spec, sent) = running.remove(at);
                let made = events(spec.events + 1, sent + rng.random_range(0..3), 3);
                let outcome = match rng.random_range(0..4) {
                    0 => RunOutcome::Cut,
                    1 => RunOutcome::NotRun,
                    _ => RunOutcome::Complete,
                };
                if spec.complete || book.run_ended(now, &spec, &run(outcome, made)) {
                    let end = match rng.random_range(0..4) {
                        0 => RewardOutcome::Missed,
                        1 => RewardOutcome::Failed { attempts: 4 },
                        _ => RewardOutcome::Scored("s".to_owned()),
                    };
                    records.extend(book.scored(now, &spec.item, end));
                }
            }
            _ => {}
        }
        for record in records {
            book.apply(now, record.clone());
            log.push(record);
        }
    }
    (book, log)
}

fn texts(book: &JobTable) -> Vec<Vec<String>> {
    let held = (0..JOBS).map(name).filter(|name| book.contains(&name.parse().expect("an id")));
    held.map(|name| text_of(book, &name)).collect()
}

#[test]
fn a_replay_gives_the_same_results_at_the_same_positions() {
    let mut listed = 0;
    for seed in 0..SEEDS {
        let (lived, log) = live(seed);
        let mut replayed = book();
        for record in log {
            replayed.apply(at(0), record);
        }
        assert_eq!(texts(&replayed), texts(&lived), "seed {seed}");
        let mut copied = book();
        let mut cursor = lived.snapshot_cursor();
        // Small pieces: each job is cut in many places.
        loop {
            let piece = lived.snapshot_piece(&mut cursor, 100);
            if piece.records.is_empty() {
                break;
            }
            for record in piece.records {
                copied.apply(at(0), record);
            }
        }
        assert_eq!(texts(&copied), texts(&lived), "seed {seed}, from a snapshot");
        listed += texts(&lived).iter().map(Vec::len).sum::<usize>();
    }
    assert!(listed > 1_000, "only {listed} results were listed");
}

#[test]
fn no_text_misses_an_event_or_holds_one_twice() {
    for seed in 0..SEEDS {
        let (lived, _) = live(seed);
        for text in texts(&lived).into_iter().flatten().filter(|text| !text.is_empty()) {
            let numbers: Vec<u32> = text
                .split('\n')
                .map(|event| event[1..].parse().expect("an event's number"))
                .collect();
            let expected: Vec<u32> = (1..).take(numbers.len()).collect();
            assert_eq!(numbers, expected, "seed {seed}");
        }
    }
}
