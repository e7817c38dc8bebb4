//! Attribution: the versions of a sample are the engine's stamps, and damaged streams are refused.

use arbtest::arbtest;
use ids::{ContentDigest, DigestWriter, Incarnation, ModelVersion, TokenCount};
use ledger::{ChunkAssembler, ChunkError, ChunkStamp, SlotSet};

fn stamp(index: u32, version: Option<u64>, incarnation: u64) -> ChunkStamp {
    ChunkStamp {
        index,
        tokens: TokenCount::new(8),
        version: version.map(ModelVersion::new),
        incarnation: Incarnation::new(incarnation),
    }
}

#[test]
fn a_swap_in_mid_stream_records_both_versions() {
    let mut assembler = ChunkAssembler::default();
    assembler.chunk(stamp(0, Some(1), 1), "ab").expect("valid chunk");
    assembler.chunk(stamp(1, Some(2), 1), "cd").expect("valid chunk");
    assembler.chunk(stamp(2, Some(2), 1), "ef").expect("valid chunk");
    let end = assembler.finish(TokenCount::new(24), ContentDigest::of(b"abcdef"));
    let (spans, text) = end.expect("complete response");
    let spans: Vec<(u64, u32)> =
        spans.iter().map(|span| (span.version.get(), span.tokens.get())).collect();
    assert_eq!((spans.as_slice(), text.as_str()), ([(1, 8), (2, 16)].as_slice(), "abcdef"));
}

#[test]
fn a_missing_stamp_makes_the_response_unusable() {
    let mut assembler = ChunkAssembler::default();
    let error = assembler.chunk(stamp(0, None, 1), "ab");
    assert_eq!(error, Err(ChunkError::MissingStamp { index: 0 }));
}

#[test]
fn lost_duplicated_or_mixed_chunks_make_the_response_unusable() {
    for (index, incarnation) in [(2, 1), (0, 1), (1, 2)] {
        let mut assembler = ChunkAssembler::default();
        assembler.chunk(stamp(0, Some(1), 1), "ab").expect("valid chunk");
        assert!(
            assembler.chunk(stamp(index, Some(1), incarnation), "cd").is_err(),
            "{index} {incarnation}"
        );
    }
}

#[test]
fn a_mismatched_end_is_refused() {
    for (tokens, text) in [(16, "ab"), (8, "ac"), (0, "")] {
        let mut assembler = ChunkAssembler::default();
        assembler.chunk(stamp(0, Some(1), 1), "ab").expect("valid chunk");
        let end = assembler.finish(TokenCount::new(tokens), ContentDigest::of(text.as_bytes()));
        assert!(matches!(end, Err(ChunkError::EndMismatch { .. })), "{tokens} {text}");
    }
    let empty = ChunkAssembler::default().finish(TokenCount::new(0), ContentDigest::of(b""));
    assert_eq!(empty, Err(ChunkError::Empty));
}

/// Guards against accepting a stream with lost, duplicated or swapped chunks as complete.
#[test]
fn damaged_streams_are_refused() {
    for seed in 0..400_u64 {
        arbtest(|u| {
            let count = u.int_in_range(1..=12_u32)?;
            let mut sent: Vec<(ChunkStamp, String)> = Vec::new();
            let mut digest = DigestWriter::default();
            for index in 0..count {
                let text = format!("{}.", u.int_in_range(0..=99)?);
                digest.update(text.as_bytes());
                sent.push((stamp(index, Some(u.int_in_range(1..=2)?), 1), text));
            }
            let mut received = sent.clone();
            for _ in 0..u.int_in_range(0..=2)? {
                let at = u.choose_index(received.len().max(1))?;
                match u.int_in_range(0..=2)? {
                    0 if !received.is_empty() => drop(received.remove(at)),
                    1 if !received.is_empty() => received.insert(at, received[at].clone()),
                    _ if received.len() > 1 => received.swap(at, (at + 1) % count.min(2) as usize),
                    _ => {}
                }
            }
            let mut assembler = ChunkAssembler::default();
            let chunks_added =
                received.iter().try_for_each(|(stamp, text)| assembler.chunk(*stamp, text));
            let end = chunks_added
                .and_then(|()| assembler.finish(TokenCount::new(8 * count), digest.digest()));
            if let Ok((_, text)) = end {
                let expected: String = sent.iter().map(|(_, text)| text.as_str()).collect();
                assert_eq!(text, expected);
            }
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}

#[test]
fn slot_sets_round_trip_and_invalid_bitmaps_are_refused() {
    let set: SlotSet = [0, 9, 8_191].into_iter().map(ids::SlotIndex::new).collect();
    assert_eq!(set.to_string().parse(), Ok(set.clone()));
    assert_eq!((set.len(), set.as_bytes().len()), (3, 1_024));
    for bad in ["0", "zz", "é"] {
        assert!(bad.parse::<SlotSet>().is_err(), "{bad}");
    }
}
