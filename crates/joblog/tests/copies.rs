//! Copies on disk: reading records by location, repeated appends, incomplete records at the end.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::PathBuf;

use ids::{RecordLocation, ShardIndex};
use joblog::{CopyError, CopyFolder, EpochId, SealedSegment, ShardPlan, encode_record};
use wire::peer::log_record::Body;
use wire::peer::{JobRef, LogRecord, RoundStart};

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

fn round() -> LogRecord {
    LogRecord { body: Some(Body::Round(RoundStart {})) }
}

/// Writes a copy of `epoch` with these records; returns the locations.
fn write_copy(folder: &CopyFolder, epoch: &EpochId, records: &[LogRecord]) -> Vec<RecordLocation> {
    let mut bytes = Vec::new();
    let locations = records.iter().map(|record| encode_record(record, epoch.token, &mut bytes));
    let locations = locations.collect();
    let mut file = folder.create(SHARD, epoch).expect("copy is created");
    file.append(0, &bytes).expect("append succeeds");
    locations
}

/// Guards against sealing bytes that may be on one copy only.
#[test]
fn the_last_round_marker_ends_the_committed_prefix() {
    let test = TestFolder::new("rounds");
    let folder = CopyFolder::open(&test.0).expect("folder opens");
    let records = [round(), record("a"), round(), record("b"), record("c")];
    let locations = write_copy(&folder, &epoch(), &records);
    let read = folder.read(SHARD, &epoch(), |_, _| ()).expect("copy is readable");
    let end = locations[4].offset + u64::from(locations[4].len);
    assert_eq!((read.committed, read.len, read.records), (locations[2].offset, end, 5));
    let unmarked: EpochId = "2.2.box-1".parse().expect("valid epoch");
    write_copy(&folder, &unmarked, &[record("a"), record("b")]);
    let read = folder.read(SHARD, &unmarked, |_, _| ()).expect("copy is readable");
    assert_eq!(read.committed, 0, "a copy of the previous release has no markers");
}

/// Guards against replaying a failed round beyond the length of a sealed segment, and against
/// serving without a part of it.
#[test]
fn a_sealed_segment_is_read_up_to_its_length() {
    let test = TestFolder::new("sealed");
    let folder = CopyFolder::open(&test.0).expect("folder opens");
    let locations = write_copy(&folder, &epoch(), &[round(), record("a"), round(), record("b")]);
    let len = locations[2].offset;
    let mut segment = SealedSegment { epoch: epoch(), len, copies: Vec::new() };
    let mut seen = Vec::new();
    let read = folder.read_sealed(SHARD, &segment, |record, _| seen.push(record));
    assert_eq!(read.expect("the segment is complete").len, len);
    assert_eq!(seen, [round(), record("a")]);
    assert!(folder.has_sealed(SHARD, &segment));
    segment.len = locations[3].offset + u64::from(locations[3].len) + 1;
    assert!(!folder.has_sealed(SHARD, &segment));
    let error = folder.read_sealed(SHARD, &segment, |_, _| ()).expect_err("a part is missing");
    assert!(matches!(error, CopyError::NoRecord { .. }), "{error}");
}

#[test]
fn records_are_read_from_the_segments_of_the_log() {
    let test = TestFolder::new("segments");
    let folder = CopyFolder::open(&test.0).expect("folder opens");
    let (first, second): (EpochId, EpochId) =
        ("1.2.box-1".parse().expect("valid epoch"), "2.5.box-1".parse().expect("valid epoch"));
    let rival: EpochId = "2.6.box-2".parse().expect("valid epoch");
    let earlier = write_copy(&folder, &first, &[record("a")]);
    let later = write_copy(&folder, &second, &[record("b")]);
    write_copy(&folder, &rival, &[record("x")]);
    let segments = [first, second];
    let read = folder.load(SHARD, &segments, &[later[0], earlier[0], later[0]]);
    assert_eq!(read.expect("records exist"), [record("b"), record("a"), record("b")]);
    let error = folder.load(SHARD, &segments[..1], &[later[0]]).expect_err("not in the log");
    assert!(matches!(error, CopyError::NoSegment { .. }), "{error}");
}

#[test]
fn files_that_no_plan_can_name_are_removed() {
    let test = TestFolder::new("unused");
    let folder = CopyFolder::open(&test.0).expect("folder opens");
    let epochs: Vec<EpochId> = ["1.1.b", "2.1.b", "3.1.b", "3.2.c", "4.1.b"]
        .map(|text| text.parse().expect("valid epoch"))
        .into();
    for epoch in &epochs {
        write_copy(&folder, epoch, &[record("a")]);
    }
    let sealed = SealedSegment { epoch: epochs[0].clone(), len: 1, copies: Vec::new() };
    let plan = ShardPlan { epoch: epochs[2].clone(), copies: Vec::new(), sealed: vec![sealed] };
    let mut removed = folder.remove_unused(SHARD, &plan).expect("files are removed");
    removed.sort_by_key(EpochId::to_string);
    assert_eq!(removed, [epochs[1].clone(), epochs[3].clone()]);
    assert_eq!(folder.epochs(SHARD).expect("listing").len(), 3);
}

/// A repeated append after a failed write must not be acknowledged: it would follow the bytes of the
/// partial write, where no reader finds it.
#[test]
fn copy_accepts_no_appends_after_failed_write() {
    let folder = TestFolder::new("failed-write");
    let copies = CopyFolder::open(&folder.0).expect("opens");
    // Every write to this device fails for lack of space.
    let file = folder.0.join(format!("shard-{SHARD}-{}.log", epoch()));
    std::os::unix::fs::symlink("/dev/full", file).expect("a link");
    let mut copy = copies.create(SHARD, &epoch()).expect("creates");
    assert!(matches!(copy.append(0, b"records"), Err(CopyError::Io(_))));
    assert!(matches!(copy.append(0, b"records"), Err(CopyError::Failed)));
    assert!(matches!(copy.sync(), Err(CopyError::Failed)));
}
