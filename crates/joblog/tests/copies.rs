//! Copies on disk: reading records by location, repeated appends, incomplete records at the end.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::PathBuf;

use ids::{RecordLocation, ShardIndex};
use joblog::{CopyError, CopyFolder, EpochId, encode_record};
use wire::peer::log_record::Body;
use wire::peer::{JobRef, LogRecord};

const SHARD: ShardIndex = ShardIndex::new(0);

/// A folder that is removed when the test ends.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gannetway-{name}-{}", std::process::id()));
        Self(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.0);
    }
}

fn epoch() -> EpochId {
    "1.2.box-1".parse().expect("valid epoch")
}

fn record(job: &str) -> LogRecord {
    LogRecord { body: Some(Body::Ended(JobRef { job: job.to_owned() })) }
}

#[test]
fn records_are_read_back_by_location() {
    let test = TestFolder::new("locations");
    let folder = CopyFolder::open(&test.0).expect("folder opens");
    let mut file = folder.create(SHARD, &epoch()).expect("copy is created");
    let mut bytes = Vec::new();
    let locations: Vec<RecordLocation> = ["a", "bb", "ccc"]
        .iter()
        .map(|job| encode_record(&record(job), epoch().token, &mut bytes))
        .collect();
    file.append(0, &bytes).expect("append succeeds");
    file.sync().expect("sync succeeds");
    let read =
        folder.load(SHARD, &[epoch()], &[locations[2], locations[0]]).expect("records exist");
    assert_eq!(read, [record("ccc"), record("a")]);
    let mut seen = Vec::new();
    folder
        .read(SHARD, &epoch(), |record, location| seen.push((record, location)))
        .expect("copy is readable");
    let found: Vec<RecordLocation> = seen.iter().map(|(_, location)| *location).collect();
    assert_eq!(found, locations);
    let wrong = RecordLocation { offset: locations[1].offset + 1, ..locations[1] };
    let error = folder.load(SHARD, &[epoch()], &[wrong]).expect_err("no record starts there");
    assert!(matches!(error, CopyError::NoRecord { .. }), "{error}");
}

#[test]
fn repeating_the_last_append_changes_nothing() {
    let test = TestFolder::new("repeated");
    let folder = CopyFolder::open(&test.0).expect("folder opens");
    let mut file = folder.create(SHARD, &epoch()).expect("copy is created");
    let mut bytes = Vec::new();
    encode_record(&record("a"), epoch().token, &mut bytes);
    let len = bytes.len() as u64;
    file.append(0, &bytes).expect("append succeeds");
    file.append(0, &bytes).expect("repeated append succeeds");
    assert_eq!(file.len(), len);
    file.append(len, &bytes).expect("next append succeeds");
    assert!(file.append(0, &bytes).is_err(), "an older append is rejected");
    assert_eq!(folder.read(SHARD, &epoch(), |_, _| ()).expect("copy is readable").records, 2);
}

#[test]
fn an_incomplete_last_record_is_ignored() {
    let test = TestFolder::new("torn");
    let folder = CopyFolder::open(&test.0).expect("folder opens");
    let mut file = folder.create(SHARD, &epoch()).expect("copy is created");
    let mut bytes = Vec::new();
    encode_record(&record("a"), epoch().token, &mut bytes);
    file.append(0, &bytes).expect("append succeeds");
    let path =
        fs::read_dir(&test.0).expect("listing").next().expect("a file").expect("entry").path();
    let mut tail = OpenOptions::new().append(true).open(path).expect("copy opens");
    tail.write_all(&bytes[..bytes.len() - 1]).expect("partial write succeeds");
    assert_eq!(folder.read(SHARD, &epoch(), |_, _| ()).expect("copy is readable").records, 1);
}
