//! Compression of texts in memory, in the log and between boxes.
//!
//! A text is written once, copied to other failure domains and read many times, so compression
//! saves memory and traffic for little CPU time.

use std::io::Write;

use flate2::Compression;
use flate2::write::{DeflateDecoder, DeflateEncoder};

/// A packed text is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a packed text cannot be unpacked: check that all boxes run the same release")]
pub struct UnpackError;

/// Packs a text with raw DEFLATE.
pub fn pack_text(text: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::with_capacity(text.len()), Compression::fast());
    // Writing to memory cannot fail.
    let _infallible = encoder.write_all(text);
    encoder.finish().unwrap_or_default()
}

/// Unpacks a text. Empty input, as of an item that was given up, gives the empty text.
pub fn unpack_text(packed: &[u8]) -> Result<Vec<u8>, UnpackError> {
    if packed.is_empty() {
        return Ok(Vec::new());
    }
    let mut decoder = DeflateDecoder::new(Vec::with_capacity(packed.len() * 2));
    decoder.write_all(packed).map_err(|_error| UnpackError)?;
    decoder.finish().map_err(|_error| UnpackError)
}
