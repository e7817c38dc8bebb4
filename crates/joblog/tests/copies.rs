//! Copies on disk: records read back by their places, repeated appends, torn tails.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::PathBuf;

use ids::{RecordLocation, ShardIndex};
use joblog::{CopyError, CopyFolder, EpochId, encode_record};
use wire::peer::log_record::Body;
use wire::peer::{JobRef, LogRecord};

const SHARD: ShardIndex = ShardIndex::new(0);

/// A folder that goes with the test.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gannetway-{name}-{}", std::process::id()));
        Self(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _gone = fs::remove_dir_all(&self.0);
    }
}

fn epoch() -> EpochId {
    "1.2.box-1".parse().expect("an epoch")
}

fn record(job: &str) -> LogRecord {
    LogRecord { body: Some(Body::Ended(JobRef { job: job.to_owned() })) }
}

#[test]
fn records_are_read_back_by_their_places() {
    let test = TestFolder::new("places");
    let folder = CopyFolder::open(&test.0).expect("a folder");
    let mut file = folder.create(SHARD, &epoch()).expect("a copy");
    let mut bytes = Vec::new();
    let places: Vec<RecordLocation> =
        ["a", "bb", "ccc"].iter().map(|job| encode_record(&record(job), &mut bytes)).collect();
    file.append(0, &bytes).expect("appended");
    file.sync().expect("on disk");
    let read = folder.load(SHARD, &epoch(), &[places[2], places[0]]).expect("they lie there");
    assert_eq!(read, [record("ccc"), record("a")]);
    let mut seen = Vec::new();
    folder.read(SHARD, &epoch(), |record, place| seen.push((record, place))).expect("readable");
    let found: Vec<RecordLocation> = seen.iter().map(|(_, place)| *place).collect();
    assert_eq!(found, places);
    let wrong = RecordLocation { offset: places[1].offset + 1, len: places[1].len };
    let fault = folder.load(SHARD, &epoch(), &[wrong]).expect_err("no record begins there");
    assert!(matches!(fault, CopyError::NoRecord { .. }), "{fault}");
}

#[test]
fn the_last_append_may_be_repeated() {
    let test = TestFolder::new("repeated");
    let folder = CopyFolder::open(&test.0).expect("a folder");
    let mut file = folder.create(SHARD, &epoch()).expect("a copy");
    let mut bytes = Vec::new();
    encode_record(&record("a"), &mut bytes);
    let len = bytes.len() as u64;
    file.append(0, &bytes).expect("appended");
    file.append(0, &bytes).expect("its answer was lost, it was sent again");
    assert_eq!(file.len(), len);
    file.append(len, &bytes).expect("the next one");
    assert!(file.append(0, &bytes).is_err(), "an older one does not follow");
    assert_eq!(folder.read(SHARD, &epoch(), |_, _| ()).expect("readable"), 2);
}

#[test]
fn a_torn_tail_is_left_out() {
    let test = TestFolder::new("torn");
    let folder = CopyFolder::open(&test.0).expect("a folder");
    let mut file = folder.create(SHARD, &epoch()).expect("a copy");
    let mut bytes = Vec::new();
    encode_record(&record("a"), &mut bytes);
    file.append(0, &bytes).expect("appended");
    let path = fs::read_dir(&test.0).expect("listed").next().expect("a file").expect("read").path();
    let mut tail = OpenOptions::new().append(true).open(path).expect("the copy");
    tail.write_all(&bytes[..bytes.len() - 1]).expect("torn");
    assert_eq!(folder.read(SHARD, &epoch(), |_, _| ()).expect("readable"), 1);
}
