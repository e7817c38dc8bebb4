//! A set of slots as a bitmap: 1 KiB for a step of 8,192.

use std::fmt;
use std::str::FromStr;

use ids::SlotIndex;
use serde::{Deserialize, Serialize};

const BITS: usize = 8;

/// Why a bitmap was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SlotSetError {
    /// Not pairs of hexadecimal digits.
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
    /// The set stored in `bits`, slot 0 in the lowest bit of the first byte.
    pub fn from_bytes(bits: Vec<u8>) -> Self {
        let mut set = Self { bits };
        set.trim();
        set
    }

    /// The bitmap's bytes, without trailing zeros.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bits
    }

    /// Adds a slot; `false` when it was there already.
    pub fn insert(&mut self, slot: SlotIndex) -> bool {
        let (byte, mask) = place(slot);
        if byte >= self.bits.len() {
            self.bits.resize(byte + 1, 0);
        }
        let fresh = self.bits[byte] & mask == 0;
        self.bits[byte] |= mask;
        fresh
    }

    /// Whether the slot is in the set.
    pub fn contains(&self, slot: SlotIndex) -> bool {
        let (byte, mask) = place(slot);
        self.bits.get(byte).is_some_and(|bits| bits & mask != 0)
    }

    /// Number of slots in the set.
    pub fn len(&self) -> usize {
        self.bits.iter().map(|bits| bits.count_ones() as usize).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.bits.iter().all(|bits| *bits == 0)
    }

    /// The slots in the set, lowest first.
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

fn place(slot: SlotIndex) -> (usize, u8) {
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
