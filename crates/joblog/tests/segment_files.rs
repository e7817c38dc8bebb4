//! Files of sealed segments on disk.

use std::fs;
use std::path::PathBuf;

use ids::{FencingToken, ShardIndex};
use joblog::{CopyError, CopyFolder, EpochId, SealedSegment, encode_record};
use wire::peer::{JobRef, LogRecord, log_record};

const SHARD: ShardIndex = ShardIndex::new(0);

fn epoch() -> EpochId {
    let by = "box-a".parse().expect("valid id");
    EpochId { token: FencingToken::new(3), number: 7, by }
}

/// A folder that is removed when the test ends.
struct TestFolder(PathBuf);

impl TestFolder {
    fn open(name: &str) -> (Self, CopyFolder) {
        let path = std::env::temp_dir().join(format!("gannetway-{name}-{}", std::process::id()));
        let folder = CopyFolder::open(&path).expect("a folder");
        (Self(path), folder)
    }

    fn file_count(&self) -> usize {
        fs::read_dir(&self.0).expect("the folder").count()
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.0);
    }
}

fn records(count: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for number in 0..count {
        let ended = log_record::Body::Ended(JobRef { job: format!("job-{number}") });
        encode_record(&LogRecord { body: Some(ended) }, epoch().token, &mut bytes);
    }
    bytes
}

#[test]
fn a_received_segment_has_its_name_once_it_is_complete() {
    let (_test, folder) = TestFolder::open("received");
    let bytes = records(10);
    let len = bytes.len() as u64;
    let mut incoming = folder.receive_segment(SHARD, &epoch()).expect("a file");
    for piece in bytes.chunks(7) {
        incoming.append(piece).expect("space");
    }
    let segment = |len| SealedSegment { epoch: epoch(), len, copies: Vec::new() };
    assert!(!folder.has_sealed(SHARD, &segment(len)));
    assert!(folder.epochs(SHARD).expect("a folder").is_empty(), "no copy can be read yet");
    incoming.finish(len).expect("complete");
    assert!(folder.has_sealed(SHARD, &segment(len)));
    assert!(!folder.has_sealed(SHARD, &segment(len + 1)));
}

/// Guards against a damaged or short source that passes for a holder of the segment.
#[test]
fn a_damaged_or_short_segment_is_refused() {
    let (test, folder) = TestFolder::open("damaged");
    let bytes = records(10);
    let len = bytes.len();
    let mut damaged = bytes.clone();
    damaged[len / 2] ^= 1;
    let short = &bytes[..len - 1];
    for received in [damaged, short.to_vec(), records(9)] {
        let mut incoming = folder.receive_segment(SHARD, &epoch()).expect("a file");
        incoming.append(&received).expect("space");
        let finished = incoming.finish(len as u64);
        assert!(matches!(finished, Err(CopyError::NoRecord { .. })), "{finished:?}");
        assert!(!folder.has(SHARD, &epoch()));
    }
    // A length within a record is damage too.
    let mut incoming = folder.receive_segment(SHARD, &epoch()).expect("a file");
    incoming.append(short).expect("space");
    assert!(incoming.finish(short.len() as u64).is_err());
    assert_eq!(test.file_count(), 0, "no file is left over");
}

/// Guards against a disk that fills up with the files of interrupted pulls.
#[test]
fn files_of_interrupted_pulls_are_removed_at_start() {
    let (test, folder) = TestFolder::open("interrupted");
    let mut incoming = folder.receive_segment(SHARD, &epoch()).expect("a file");
    incoming.append(&records(1)).expect("space");
    // A crash runs no destructors.
    std::mem::forget(incoming);
    let mut copy = folder.create(SHARD, &epoch()).expect("a copy");
    copy.append(0, &records(1)).expect("space");
    folder.remove_incoming().expect("the folder");
    assert_eq!(test.file_count(), 1);
    assert!(folder.has(SHARD, &epoch()), "copies stay");
}

#[test]
fn pieces_cover_the_file_and_state_its_end() {
    let (_test, folder) = TestFolder::open("pieces");
    let bytes = records(5);
    assert!(folder.read_segment(SHARD, &epoch(), 0, 10).expect("a folder").is_none());
    let mut copy = folder.create(SHARD, &epoch()).expect("a copy");
    copy.append(0, &bytes).expect("space");
    let mut read = Vec::new();
    loop {
        let piece = folder.read_segment(SHARD, &epoch(), read.len() as u64, 16).expect("readable");
        let piece = piece.expect("the file is longer");
        read.extend_from_slice(&piece.bytes);
        if piece.end {
            break;
        }
    }
    assert_eq!(read, bytes);
    let beyond = folder.read_segment(SHARD, &epoch(), bytes.len() as u64, 16);
    assert!(beyond.expect("a folder").is_none());
}
