//! Assembles the chunks of an engine's response into a text with version spans.
//!
//! The versions of a sample come from the engine's stamp on each chunk, never from the order that
//! loaded the weights. A missing or inconsistent stamp makes the response unusable.

use ids::{ContentDigest, DigestWriter, Incarnation, ModelVersion, TokenCount};

use crate::VersionSpan;

/// Stamp of the engine on one chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkStamp {
    /// Index of the chunk in the stream, from zero.
    pub index: u32,
    /// Number of tokens in the chunk.
    pub tokens: TokenCount,
    /// Version that generated them; `None` if the stamp is missing.
    pub version: Option<ModelVersion>,
    /// Incarnation of the engine that generated them.
    pub incarnation: Incarnation,
}

/// Why a response is unusable. The sample is generated again.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// A chunk has no version stamp.
    #[error("chunk {index} has no version stamp: the sample will be generated again")]
    MissingStamp {
        /// Index of the chunk.
        index: u32,
    },
    /// A chunk is lost, duplicated or out of order.
    #[error("received chunk {found} instead of {expected}: the sample will be generated again")]
    OutOfOrder {
        /// Index of the expected chunk.
        expected: u32,
        /// Index of the received chunk.
        found: u32,
    },
    /// One stream has chunks from two incarnations of the engine.
    #[error("the engine's incarnation changed in mid-stream: the sample will be generated again")]
    MixedIncarnations,
    /// The token count or digest at the end does not match the received chunks.
    #[error(
        "the end of the response ({stated} tokens) does not match the received content ({received} tokens): the sample will be generated again"
    )]
    EndMismatch {
        /// Number of tokens stated at the end.
        stated: TokenCount,
        /// Number of tokens received.
        received: TokenCount,
    },
    /// The response ended without any chunk.
    #[error("the response is empty: the sample will be generated again")]
    Empty,
}

/// Stamps and text received so far from one stream.
#[derive(Debug, Default)]
pub struct ChunkAssembler {
    spans: Vec<VersionSpan>,
    text: String,
    digest: DigestWriter,
    next_index: u32,
    tokens: u32,
    incarnation: Option<Incarnation>,
}

impl ChunkAssembler {
    /// Adds the next chunk.
    ///
    /// # Errors
    ///
    /// The chunk is out of order, has no version, or is from another incarnation of the engine.
    pub fn chunk(&mut self, stamp: ChunkStamp, text: &str) -> Result<(), ChunkError> {
        if stamp.index != self.next_index {
            return Err(ChunkError::OutOfOrder { expected: self.next_index, found: stamp.index });
        }
        let Some(version) = stamp.version else {
            return Err(ChunkError::MissingStamp { index: stamp.index });
        };
        if self.incarnation.is_some_and(|first| first != stamp.incarnation) {
            return Err(ChunkError::MixedIncarnations);
        }
        self.incarnation = Some(stamp.incarnation);
        self.next_index += 1;
        self.tokens = self.tokens.saturating_add(stamp.tokens.get());
        self.text.push_str(text);
        self.digest.update(text.as_bytes());
        self.extend_spans(version, stamp.tokens);
        Ok(())
    }

    /// Returns the oldest version received so far.
    pub fn oldest(&self) -> Option<ModelVersion> {
        self.spans.iter().map(|span| span.version).min()
    }

    /// Checks the end of the stream; returns the spans and the text.
    ///
    /// # Errors
    ///
    /// No chunk was received, or the token count or digest doesn't match.
    pub fn finish(
        self,
        tokens: TokenCount,
        digest: ContentDigest,
    ) -> Result<(Vec<VersionSpan>, String), ChunkError> {
        if self.spans.is_empty() {
            return Err(ChunkError::Empty);
        }
        if tokens.get() != self.tokens || digest != self.digest.digest() {
            return Err(ChunkError::EndMismatch {
                stated: tokens,
                received: TokenCount::new(self.tokens),
            });
        }
        Ok((self.spans, self.text))
    }

    fn extend_spans(&mut self, version: ModelVersion, tokens: TokenCount) {
        if let Some(last) = self.spans.last_mut()
            && last.version == version
        {
            last.tokens = TokenCount::new(last.tokens.get() + tokens.get());
            return;
        }
        self.spans.push(VersionSpan { version, tokens });
    }
}
