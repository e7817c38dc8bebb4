//! A set of slots, stored as a bitmap with one bit per slot.

use std::fmt;
use std::str::FromStr;

use ids::SlotIndex;
use serde::{Deserialize, Serialize};

const BITS: usize = 8;

/// A slot bitmap is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SlotSetError {
    /// The text is not made of pairs of hexadecimal digits.
    #[error("the slot bitmap is not hexadecimal: send two digits per eight slots, slot 0 first")]
    NotHex,
}

/// A set of slot indexes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SlotSet {
    bits: Vec<u8>,
}

impl SlotSet {
    /// Creates a set from a bitmap; slot 0 is the lowest bit of the first byte.
    pub fn from_bytes(bits: Vec<u8>) -> Self {
        let mut set = Self { bits };
        set.trim();
        set
    }

    /// Returns the bitmap, without trailing zero bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bits
    }

    /// Adds a slot. Returns `false` if the set already contained it.
    pub fn insert(&mut self, slot: SlotIndex) -> bool {
        let (byte, mask) = bit_position(slot);
        if byte >= self.bits.len() {
            self.bits.resize(byte + 1, 0);
        }
        let is_new = self.bits[byte] & mask == 0;
        self.bits[byte] |= mask;
        is_new
    }

    /// Whether the slot is in the set.
    pub fn contains(&self, slot: SlotIndex) -> bool {
        let (byte, mask) = bit_position(slot);
        self.bits.get(byte).is_some_and(|bits| bits & mask != 0)
    }

    /// Returns the number of slots in the set.
    pub fn len(&self) -> usize {
        self.bits.iter().map(|bits| bits.count_ones() as usize).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.bits.iter().all(|bits| *bits == 0)
    }

    /// Iterates over the slots in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = SlotIndex> {
        let all = u32::try_from(self.bits.len() * BITS).unwrap_or(u32::MAX);
        (0..all).map(SlotIndex::new).filter(|slot| self.contains(*slot))
    }

    fn trim(&mut self) {
        while self.bits.last() == Some(&0) {
            self.bits.pop();
        }
    }
}

/// Returns the byte index and the bit mask of a slot.
fn bit_position(slot: SlotIndex) -> (usize, u8) {
    (slot.as_usize() / BITS, 1 << (slot.as_usize() % BITS))
}

impl FromIterator<SlotIndex> for SlotSet {
    fn from_iter<I: IntoIterator<Item = SlotIndex>>(iter: I) -> Self {
        let mut set = Self::default();
        for slot in iter {
            set.insert(slot);
        }
        set
    }
}

impl fmt::Display for SlotSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.bits.iter().try_for_each(|bits| write!(f, "{bits:02x}"))
    }
}

impl FromStr for SlotSet {
    type Err = SlotSetError;

    fn from_str(text: &str) -> Result<Self, SlotSetError> {
        if !text.is_ascii() || !text.len().is_multiple_of(2) {
            return Err(SlotSetError::NotHex);
        }
        let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16);
        let bits: Result<Vec<u8>, _> = (0..text.len()).step_by(2).map(byte).collect();
        bits.map(Self::from_bytes).map_err(|_parse| SlotSetError::NotHex)
    }
}

impl TryFrom<String> for SlotSet {
    type Error = SlotSetError;

    fn try_from(text: String) -> Result<Self, SlotSetError> {
        text.parse()
    }
}

impl From<SlotSet> for String {
    fn from(set: SlotSet) -> Self {
        set.to_string()
    }
}
