//! The codec, the checksum and the key reject invalid input from a faulty or hostile peer.

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

/// Decoding arbitrary bytes must not panic or loop forever.
#[test]
fn arbitrary_bytes_decode_without_panic() {
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

/// A truncated stream must decode to a prefix of its frames.
#[test]
fn truncated_stream_yields_only_complete_frames() {
    for seed in 0..200_u64 {
        arbtest(|u| {
            let count = u.int_in_range(1..=6_u64)?;
            let mut bytes = BytesMut::new();
            let mut codec = FrameCodec::default();
            for call in 0..count {
                codec.encode(frame(call, "x"), &mut bytes).expect("frame fits");
            }
            let len = u.choose_index(bytes.len())?;
            bytes.truncate(len);
            let mut calls = Vec::new();
            while let Some(frame) =
                codec.decode(&mut bytes).expect("truncation is not a decoding error")
            {
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
fn oversized_frame_is_rejected_before_it_is_read() {
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(MAX_FRAME).expect("fits in u32") + 1);
    FrameCodec::default().decode(&mut bytes).unwrap_err();
}

fn part(body: &'static [u8]) -> ResponseItem {
    let part = PlainPart { status: 200, content_type: String::new(), body: body.into() };
    ResponseItem { body: Some(response_item::Body::PlainPart(part)) }
}

#[test]
fn end_frame_matches_only_its_own_items() {
    let mut sent = ResponseChecksum::default();
    sent.count(&part(b"one"));
    sent.count(&part(b"two"));
    let mut complete = ResponseChecksum::default();
    complete.count(&part(b"one"));
    complete.count(&part(b"two"));
    complete.check(&sent.end()).unwrap();
    for items in [&[b"one"][..], &[b"two", b"one"], &[b"one", b"two", b"two"], &[b"one", b"twx"]] {
        let mut received = ResponseChecksum::default();
        for body in items {
            received.count(&part(*body));
        }
        assert!(received.check(&sent.end()).is_err(), "{items:?}");
    }
}

#[test]
fn only_the_same_key_verifies_and_debug_hides_it() {
    let key = DeploymentKey::new("a-key-of-sixteen-bytes").expect("valid key");
    let other = DeploymentKey::new("another-key-of-bytes!!").expect("valid key");
    let me: BoxId = "box-1".parse().expect("valid ID");
    let mac = key.sign_challenge(b"nonce", &me);
    assert!(key.verify(b"nonce", &me, &mac));
    assert!(!other.verify(b"nonce", &me, &mac));
    assert!(!key.verify(b"other", &me, &mac));
    assert!(key.matches("a-key-of-sixteen-bytes\n") && !key.matches("a-key-of-sixteen-byte"));
    assert!(!format!("{key:?}").contains("sixteen"));
    DeploymentKey::new("short").unwrap_err();
}
