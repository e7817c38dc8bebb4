//! Texts as they are held, logged and sent between boxes: packed.
//!
//! A text is written once, copied to other failure domains, and read many times from all of
//! them. Packing costs a box some ten milliseconds a megabyte and takes a third or more off.

use std::io::Write;

use flate2::Compression;
use flate2::write::{DeflateDecoder, DeflateEncoder};

/// A packed text that cannot be unpacked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a packed text cannot be read: check that all boxes run one release")]
pub struct UnpackError;

/// Packs a text.
pub fn pack_text(text: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::with_capacity(text.len()), Compression::fast());
    // Writing to memory cannot fail.
    let _infallible = encoder.write_all(text);
    encoder.finish().unwrap_or_default()
}

/// Unpacks a text; nothing at all, as for an item that was given up, is the empty text.
pub fn unpack_text(packed: &[u8]) -> Result<Vec<u8>, UnpackError> {
    if packed.is_empty() {
        return Ok(Vec::new());
    }
    let mut decoder = DeflateDecoder::new(Vec::with_capacity(packed.len() * 2));
    decoder.write_all(packed).map_err(|_broken| UnpackError)?;
    decoder.finish().map_err(|_broken| UnpackError)
}
