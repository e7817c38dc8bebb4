//! Encoding of frames on a byte stream.

use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::peer::Frame;

/// Maximum length of a frame, in bytes. The prompts of a step and a plain request body fit.
pub const MAX_FRAME: usize = 16 << 20;

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
        self.frames.encode(Bytes::from(item.encode_to_vec()), dst)?;
        Ok(())
    }
}
