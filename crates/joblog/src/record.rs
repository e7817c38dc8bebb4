//! Encoding of log records on disk and on the wire: length, digest, message.

use ids::{FencingToken, RecordLocation};
use prost::Message;
use wire::peer::LogRecord;
use xxhash_rust::xxh3::xxh3_64;

/// Size of a record's length prefix, in bytes.
const LEN_BYTES: usize = 4;
/// Size of a record's digest, in bytes.
const DIGEST_BYTES: usize = 8;

/// Appends an encoded record to `out` and returns its location, with offsets counted from the start
/// of `out`.
pub fn encode_record(
    record: &LogRecord,
    segment: FencingToken,
    out: &mut Vec<u8>,
) -> RecordLocation {
    let offset = out.len();
    let body = record.encode_to_vec();
    let len = u32::try_from(body.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&len.to_le_bytes());
    out.extend_from_slice(&xxh3_64(&body).to_le_bytes());
    out.extend_from_slice(&body);
    let len = u32::try_from(out.len() - offset).unwrap_or(u32::MAX);
    RecordLocation { segment, offset: offset as u64, len }
}

/// Decodes the complete records at the start of `bytes`.
///
/// Returns the records with their encoded lengths, and the total number of bytes they occupy. The
/// remaining bytes are an incomplete write, which was never acknowledged.
pub fn decode_records(bytes: &[u8]) -> (Vec<(LogRecord, u32)>, usize) {
    let mut records = Vec::new();
    let mut used = 0;
    while let Some((record, len)) = decode_one(&bytes[used..]) {
        records.push((record, u32::try_from(len).unwrap_or(u32::MAX)));
        used += len;
    }
    (records, used)
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
