//! Records as they lie on disk and travel: length, digest, message.

use ids::RecordLocation;
use prost::Message;
use wire::peer::LogRecord;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a record's length.
const LEN_BYTES: usize = 4;
/// Bytes of a record's digest.
const DIGEST_BYTES: usize = 8;

/// Appends a record to `out`, and says where it lies there.
pub fn encode_record(record: &LogRecord, out: &mut Vec<u8>) -> RecordLocation {
    let offset = out.len();
    let body = record.encode_to_vec();
    let len = u32::try_from(body.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&len.to_le_bytes());
    out.extend_from_slice(&xxh3_64(&body).to_le_bytes());
    out.extend_from_slice(&body);
    let len = u32::try_from(out.len() - offset).unwrap_or(u32::MAX);
    RecordLocation { offset: offset as u64, len }
}

/// The whole records at the start of `bytes`, each with its length, and how many bytes they take
/// together. What follows was torn by a loss of power, so nobody has been told that it is kept.
pub fn decode_records(bytes: &[u8]) -> (Vec<(LogRecord, u32)>, usize) {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some((record, len)) = decode_one(&bytes[at..]) {
        records.push((record, u32::try_from(len).unwrap_or(u32::MAX)));
        at += len;
    }
    (records, at)
}

fn decode_one(bytes: &[u8]) -> Option<(LogRecord, usize)> {
    let (len, rest) = bytes.split_first_chunk::<LEN_BYTES>()?;
    let (digest, rest) = rest.split_first_chunk::<DIGEST_BYTES>()?;
    let len = usize::try_from(u32::from_le_bytes(*len)).ok()?;
    let body = rest.get(..len)?;
    if len == 0 || xxh3_64(body) != u64::from_le_bytes(*digest) {
        return None;
    }
    let record = LogRecord::decode(body).ok()?;
    Some((record, LEN_BYTES + DIGEST_BYTES + len))
}
