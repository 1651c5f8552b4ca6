//! Identifiers and ranges: blocks, stores, epochs, terms, spans and extents. Each is a newtype, so that the
//! compiler rejects one in place of another.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifier of a block. It is assigned once and never reused, even after the block has split or merged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockId(pub u32);

/// Number of a store in the block map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreId(pub u32);

/// Identifier of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub u64);

/// Term of a coordinator. A store accepts orders only from the highest term that it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u32);

/// Version of a block. The upper 32 bits hold the term, so that two coordinators never assign the same epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Creates the epoch with the sequence number `n` in a term.
    pub fn from_parts(term: Term, sequence: u32) -> Self {
        Self(u64::from(term.0) << 32 | u64::from(sequence))
    }

    /// Returns the term in which this epoch was assigned.
    pub fn term(self) -> Term {
        Term((self.0 >> 32) as u32)
    }
}

impl fmt::Display for BlockId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "block {}", self.0)
    }
}

impl fmt::Display for StoreId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "store {}", self.0)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "epoch {}.{}", self.term().0, self.0 as u32)
    }
}

/// A half-open range of weigher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    /// First weigher number in the range.
    pub first: u64,
    /// First weigher number after the range.
    pub end: u64,
}

impl Span {
    /// Creates the range from `first` up to, but not including, `end`.
    pub fn new(first: u64, end: u64) -> Self {
        Self { first, end }
    }

    /// Whether the range contains no number.
    pub fn is_empty(self) -> bool {
        self.first >= self.end
    }

    /// Whether the range contains a weigher number.
    pub fn contains(self, weigher: u64) -> bool {
        (self.first..self.end).contains(&weigher)
    }

    /// Returns the intersection of two ranges, or `None` if it is empty.
    pub fn intersection(self, other: Self) -> Option<Self> {
        let both = Self { first: self.first.max(other.first), end: self.end.min(other.end) };
        (!both.is_empty()).then_some(both)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.first, self.end)
    }
}

/// Bounding box in degrees, as west, south, east, north (RFC 7946, section 5). If west is greater than east,
/// the box crosses the antimeridian.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Extent(pub [f64; 4]);

impl Extent {
    /// Splits the extent into one or two boxes that do not cross the antimeridian.
    pub(crate) fn boxes(self) -> impl Iterator<Item = [f64; 4]> {
        let [west, south, east, north] = self.0;
        let (first, second) = if west <= east {
            ([west, south, east, north], None)
        } else {
            ([west, south, 180.0, north], Some([-180.0, south, east, north]))
        };
        std::iter::once(first).chain(second)
    }
}
