//! Attribution: what the engine stamped, and nothing else.

use arbtest::arbtest;
use ids::{ContentDigest, DigestWriter, Incarnation, ModelVersion, TokenCount};
use ledger::{ChunkAssembler, ChunkError, ChunkStamp, SlotSet};

fn stamp(index: u32, version: Option<u64>, life: u64) -> ChunkStamp {
    ChunkStamp {
        index,
        tokens: TokenCount::new(8),
        version: version.map(ModelVersion::new),
        incarnation: Incarnation::new(life),
    }
}

#[test]
fn a_swap_in_mid_stream_names_both_versions() {
    let mut trail = ChunkAssembler::default();
    trail.chunk(stamp(0, Some(1), 1), "ab").expect("a good chunk");
    trail.chunk(stamp(1, Some(2), 1), "cd").expect("a good chunk");
    trail.chunk(stamp(2, Some(2), 1), "ef").expect("a good chunk");
    let end = trail.finish(TokenCount::new(24), ContentDigest::of(b"abcdef"));
    let (spans, text) = end.expect("a whole answer");
    let spans: Vec<(u64, u32)> =
        spans.iter().map(|span| (span.version.get(), span.tokens.get())).collect();
    assert_eq!((spans.as_slice(), text.as_str()), ([(1, 8), (2, 16)].as_slice(), "abcdef"));
}

#[test]
fn a_missing_stamp_makes_the_answer_unusable() {
    let mut trail = ChunkAssembler::default();
    let error = trail.chunk(stamp(0, None, 1), "ab");
    assert_eq!(error, Err(ChunkError::MissingStamp { index: 0 }));
}

#[test]
fn chunks_lost_doubled_or_of_two_lives_make_it_unusable() {
    for (index, life) in [(2, 1), (0, 1), (1, 2)] {
        let mut trail = ChunkAssembler::default();
        trail.chunk(stamp(0, Some(1), 1), "ab").expect("a good chunk");
        assert!(trail.chunk(stamp(index, Some(1), life), "cd").is_err(), "{index} {life}");
    }
}

#[test]
fn an_end_that_does_not_match_is_refused() {
    for (tokens, text) in [(16, "ab"), (8, "ac"), (0, "")] {
        let mut trail = ChunkAssembler::default();
        trail.chunk(stamp(0, Some(1), 1), "ab").expect("a good chunk");
        let end = trail.finish(TokenCount::new(tokens), ContentDigest::of(text.as_bytes()));
        assert!(matches!(end, Err(ChunkError::WrongEnd { .. })), "{tokens} {text}");
    }
    let empty = ChunkAssembler::default().finish(TokenCount::new(0), ContentDigest::of(b""));
    assert_eq!(empty, Err(ChunkError::Empty));
}

/// Whatever is lost, doubled or swapped on the way, an answer is whole or refused.
#[test]
fn no_damaged_stream_passes_for_whole() {
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
            let mut came = sent.clone();
            for _ in 0..u.int_in_range(0..=2)? {
                let at = u.choose_index(came.len().max(1))?;
                match u.int_in_range(0..=2)? {
                    0 if !came.is_empty() => drop(came.remove(at)),
                    1 if !came.is_empty() => came.insert(at, came[at].clone()),
                    _ if came.len() > 1 => came.swap(at, (at + 1) % count.min(2) as usize),
                    _ => {}
                }
            }
            let mut trail = ChunkAssembler::default();
            let taken = came.iter().try_for_each(|(stamp, text)| trail.chunk(*stamp, text));
            let end =
                taken.and_then(|()| trail.finish(TokenCount::new(8 * count), digest.digest()));
            if let Ok((_, text)) = end {
                let whole: String = sent.iter().map(|(_, text)| text.as_str()).collect();
                assert_eq!(text, whole);
            }
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}

#[test]
fn a_slot_set_reads_what_it_writes_and_refuses_the_rest() {
    let set: SlotSet = [0, 9, 8_191].into_iter().map(ids::SlotIndex::new).collect();
    assert_eq!(set.to_string().parse(), Ok(set.clone()));
    assert_eq!((set.len(), set.as_bytes().len()), (3, 1_024));
    for bad in ["0", "zz", "é"] {
        assert!(bad.parse::<SlotSet>().is_err(), "{bad}");
    }
}
