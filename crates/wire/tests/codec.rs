//! The codec and the key, fed what a hostile or broken peer may send.

use arbtest::arbtest;
use bytes::{BufMut, BytesMut};
use ids::BoxId;
use tokio_util::codec::{Decoder, Encoder};
use wire::peer::frame::Body;
use wire::peer::{Cancel, Frame, PlainPart, ResponseItem, response_item};
use wire::{DeploymentKey, FrameCodec, MAX_FRAME, ResponseChecksum};

fn frame(call: u64, why: &str) -> Frame {
    Frame { call, body: Some(Body::Cancel(Cancel { why: why.to_owned() })) }
}

/// Arbitrary bytes end in frames or an error, never in a panic or a frame out of thin air.
#[test]
fn arbitrary_bytes_do_no_harm() {
    for seed in 0..500_u64 {
        arbtest(|u| {
            let mut codec = FrameCodec::default();
            let mut bytes = BytesMut::from(u.bytes(u.len().min(1_000))?);
            while let Ok(Some(_)) = codec.decode(&mut bytes) {}
            Ok(())
        })
        .seed(seed << 32 | 1_024);
    }
}

/// A stream cut anywhere gives a prefix of its frames.
#[test]
fn a_cut_stream_gives_only_whole_frames() {
    for seed in 0..200_u64 {
        arbtest(|u| {
            let count = u.int_in_range(1..=6_u64)?;
            let mut bytes = BytesMut::new();
            let mut codec = FrameCodec::default();
            for call in 0..count {
                codec.encode(frame(call, "x"), &mut bytes).expect("a small frame");
            }
            let cut = u.choose_index(bytes.len())?;
            bytes.truncate(cut);
            let mut calls = Vec::new();
            while let Some(frame) = codec.decode(&mut bytes).expect("no damage, only a cut") {
                calls.push(frame.call);
            }
            assert_eq!(calls, (0..calls.len() as u64).collect::<Vec<u64>>());
            assert!((calls.len() as u64) < count);
            Ok(())
        })
        .seed(seed << 32 | 64);
    }
}

#[test]
fn an_oversized_frame_is_refused_before_it_is_read() {
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(MAX_FRAME).expect("it fits") + 1);
    FrameCodec::default().decode(&mut bytes).unwrap_err();
}

fn part(body: &'static [u8]) -> ResponseItem {
    let part = PlainPart { status: 200, content_type: String::new(), body: body.into() };
    ResponseItem { body: Some(response_item::Body::PlainPart(part)) }
}

#[test]
fn an_end_passes_only_for_the_items_it_counts() {
    let mut sent = ResponseChecksum::default();
    sent.count(&part(b"one"));
    sent.count(&part(b"two"));
    let mut whole = ResponseChecksum::default();
    whole.count(&part(b"one"));
    whole.count(&part(b"two"));
    whole.check(&sent.end()).unwrap();
    for items in [&[b"one"][..], &[b"two", b"one"], &[b"one", b"two", b"two"], &[b"one", b"twx"]] {
        let mut came = ResponseChecksum::default();
        for body in items {
            came.count(&part(*body));
        }
        assert!(came.check(&sent.end()).is_err(), "{items:?}");
    }
}

#[test]
fn only_the_same_key_proves_itself_and_it_is_never_shown() {
    let key = DeploymentKey::new("a-key-of-sixteen-bytes").expect("long enough");
    let other = DeploymentKey::new("another-key-of-bytes!!").expect("long enough");
    let me: BoxId = "box-1".parse().expect("an id");
    let proof = key.prove(b"nonce", &me);
    assert!(key.verify(b"nonce", &me, &proof));
    assert!(!other.verify(b"nonce", &me, &proof));
    assert!(!key.verify(b"other", &me, &proof));
    assert!(key.matches("a-key-of-sixteen-bytes\n") && !key.matches("a-key-of-sixteen-byte"));
    assert!(!format!("{key:?}").contains("sixteen"));
    DeploymentKey::new("short").unwrap_err();
}
