//! Gathers an engine's stamps into version spans, and refuses what cannot be attributed.
//!
//! A sample's versions are the engine's own stamps on each chunk, never what an order was
//! meant to do. A missing or contradictory stamp makes the whole answer unusable.

use ids::{ContentDigest, DigestWriter, Incarnation, ModelVersion, TokenCount};

use crate::VersionSpan;

/// The engine's stamp on one chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkStamp {
    /// Position of the chunk in the stream, from zero.
    pub index: u32,
    /// Tokens in the chunk.
    pub tokens: TokenCount,
    /// The version that made them; `None` when the engine left the stamp out.
    pub version: Option<ModelVersion>,
    /// Which life of the engine made them.
    pub incarnation: Incarnation,
}

/// Why an answer cannot be used; it is made again.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// A chunk without a version.
    #[error("chunk {index} has no version stamp: the sample is made again")]
    MissingStamp {
        /// The chunk.
        index: u32,
    },
    /// A chunk lost, doubled or out of order.
    #[error("chunk {found} came where {expected} was due: the sample is made again")]
    OutOfOrder {
        /// The chunk due.
        expected: u32,
        /// The chunk that came.
        found: u32,
    },
    /// Chunks of two lives of the engine in one stream.
    #[error("the engine's incarnation changed in mid-stream: the sample is made again")]
    MixedLives,
    /// The end does not match what came.
    #[error(
        "the end states {stated} tokens and other content than the {came} that came: the sample is made again"
    )]
    WrongEnd {
        /// Tokens the end states.
        stated: TokenCount,
        /// Tokens that came.
        came: TokenCount,
    },
    /// The end came before any chunk.
    #[error("the answer is empty: the sample is made again")]
    Empty,
}

/// The stamps and text of one stream, as far as it came.
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
    /// Takes the next chunk.
    pub fn chunk(&mut self, stamp: ChunkStamp, text: &str) -> Result<(), ChunkError> {
        if stamp.index != self.next_index {
            return Err(ChunkError::OutOfOrder { expected: self.next_index, found: stamp.index });
        }
        let Some(version) = stamp.version else {
            return Err(ChunkError::MissingStamp { index: stamp.index });
        };
        if self.incarnation.is_some_and(|first| first != stamp.incarnation) {
            return Err(ChunkError::MixedLives);
        }
        self.incarnation = Some(stamp.incarnation);
        self.next_index += 1;
        self.tokens = self.tokens.saturating_add(stamp.tokens.get());
        self.text.push_str(text);
        self.digest.update(text.as_bytes());
        self.extend(version, stamp.tokens);
        Ok(())
    }

    /// The oldest version stamped so far.
    pub fn oldest(&self) -> Option<ModelVersion> {
        self.spans.iter().map(|span| span.version).min()
    }

    /// Checks the explicit end; gives the spans and the text.
    pub fn finish(
        self,
        tokens: TokenCount,
        digest: ContentDigest,
    ) -> Result<(Vec<VersionSpan>, String), ChunkError> {
        if self.spans.is_empty() {
            return Err(ChunkError::Empty);
        }
        if tokens.get() != self.tokens || digest != self.digest.digest() {
            return Err(ChunkError::WrongEnd {
                stated: tokens,
                came: TokenCount::new(self.tokens),
            });
        }
        Ok((self.spans, self.text))
    }

    fn extend(&mut self, version: ModelVersion, tokens: TokenCount) {
        if let Some(last) = self.spans.last_mut()
            && last.version == version
        {
            last.tokens = TokenCount::new(last.tokens.get() + tokens.get());
            return;
        }
        self.spans.push(VersionSpan { version, tokens });
    }
}
