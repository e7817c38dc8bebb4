//! Replay of a log gives the same table, whatever runs and outcomes produced the log.

mod common;

use common::{accepted, at, events, job, run, start_all, table, text_of};
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

/// Performs random actions on a table. Returns the table and the log of all its records.
fn random_history(seed: u64) -> (JobTable, Vec<LogRecord>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = table();
    let mut log = Vec::new();
    let mut running: Vec<(RunSpec, u32)> = Vec::new();
    for action in 0..ACTIONS {
        let now = at(action * 100);
        let mut records = Vec::new();
        match rng.random_range(0..10) {
            0 => records.push(accepted(job(&name(rng.random_range(0..JOBS)), 2))),
            1 if action > ACTIONS / 2 => {
                let id: JobId = name(rng.random_range(0..JOBS)).parse().expect("valid job id");
                records.extend(table.end(&id));
            }
            2..5 => running.extend(start_all(&mut table, now).into_iter().map(|spec| (spec, 0))),
            5 => records.extend(table.give_up(now).into_iter().map(|(record, _)| record)),
            6 if !running.is_empty() => {
                let index = rng.random_range(0..running.len());
                let (spec, sent) = &mut running[index];
                let received = events(spec.events + 1, *sent + 2, 3);
                records.push(spec.progress(&received, *sent as usize));
                *sent += 2;
            }
            _ if !running.is_empty() => {
                let index = rng.random_range(0..running.len());
                let (spec, sent) = running.remove(index);
                let received = events(spec.events + 1, sent + rng.random_range(0..3), 3);
                let outcome = match rng.random_range(0..4) {
                    0 => RunOutcome::Cut,
                    1 => RunOutcome::NotRun,
                    _ => RunOutcome::Complete,
                };
                if spec.complete || table.run_ended(now, &spec, &run(outcome, received)) {
                    let reward = match rng.random_range(0..4) {
                        0 => RewardOutcome::Missed,
                        1 => RewardOutcome::Failed { attempts: 4 },
                        _ => RewardOutcome::Scored("s".to_owned()),
                    };
                    records.extend(table.scored(now, &spec.item, reward));
                }
            }
            _ => {}
        }
        for record in records {
            table.apply(now, record.clone());
            log.push(record);
        }
    }
    (table, log)
}

fn texts(table: &JobTable) -> Vec<Vec<String>> {
    let existing =
        (0..JOBS).map(name).filter(|name| table.contains(&name.parse().expect("valid job id")));
    existing.map(|name| text_of(table, &name)).collect()
}

#[test]
fn replay_and_snapshot_give_the_same_results_at_the_same_positions() {
    let mut listed = 0;
    for seed in 0..SEEDS {
        let (original, log) = random_history(seed);
        let mut replayed = table();
        for record in log {
            replayed.apply(at(0), record);
        }
        assert_eq!(texts(&replayed), texts(&original), "seed {seed}");
        let mut copied = table();
        let mut cursor = original.snapshot_cursor();
        // Pieces of 100 bytes split each job many times.
        loop {
            let piece = original.snapshot_piece(&mut cursor, 100);
            if piece.records.is_empty() {
                break;
            }
            for record in piece.records {
                copied.apply(at(0), record);
            }
        }
        assert_eq!(texts(&copied), texts(&original), "seed {seed}, from a snapshot");
        listed += texts(&original).iter().map(Vec::len).sum::<usize>();
    }
    assert!(listed > 1_000, "only {listed} results were listed");
}

#[test]
fn texts_have_no_missing_or_duplicate_events() {
    for seed in 0..SEEDS {
        let (original, _) = random_history(seed);
        for text in texts(&original).into_iter().flatten().filter(|text| !text.is_empty()) {
            let numbers: Vec<u32> =
                text.split('\n').map(|event| event[1..].parse().expect("event number")).collect();
            let expected: Vec<u32> = (1..).take(numbers.len()).collect();
            assert_eq!(numbers, expected, "seed {seed}");
        }
    }
}
