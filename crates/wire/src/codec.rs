//! Encoding of frames on a byte stream.

use std::io::{self, ErrorKind};

use bytes::{BufMut, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::peer::Frame;

/// Maximum length of a frame, in bytes. The prompts of a step and a plain request body fit.
pub const MAX_FRAME: usize = 16 << 20;

/// Maximum length of a record of a job log, in bytes. Further records of up to a megabyte may share its
/// frame.
pub const MAX_RECORD: usize = MAX_FRAME - (1 << 20) - (128 << 10);
/// Length of the number before each frame, in bytes.
const HEAD_BYTES: usize = 4;
/// A larger empty buffer is released before the next frame is encoded.
const MAX_KEPT_BUFFER: usize = 1 << 20;

/// Errors that close the connection.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The connection failed, or a frame exceeds [`MAX_FRAME`].
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame cannot be decoded.
    #[error("a frame cannot be decoded ({0}): check that both boxes run the same release")]
    Malformed(#[from] prost::DecodeError),
}

/// Encodes and decodes [`Frame`]s.
#[derive(Debug)]
pub struct FrameCodec {
    frames: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec();
        Self { frames }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, CodecError> {
        let Some(bytes) = self.frames.decode(src)? else {
            return Ok(None);
        };
        Ok(Some(Frame::decode(bytes)?))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = CodecError;

    fn encode(&mut self, item: Frame, dst: &mut BytesMut) -> Result<(), CodecError> {
        let length = item.encoded_len();
        if length > MAX_FRAME {
            return Err(io::Error::new(ErrorKind::InvalidInput, "frame too long").into());
        }
        if dst.is_empty() && dst.capacity() > MAX_KEPT_BUFFER {
            *dst = BytesMut::new();
        }
        // The frame is encoded in place: a second copy of a large job would count twice.
        dst.reserve(HEAD_BYTES + length);
        dst.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
        item.encode(dst).map_err(io::Error::other)?;
        Ok(())
    }
}
