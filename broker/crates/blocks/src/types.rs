//! The names of things: blocks, stores, epochs, terms, spans and extents. Newtypes, so that none is
//! taken for another.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A block. Given once and never again, also after the block has split or merged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockId(pub u32);

/// A store, as the map numbers it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreId(pub u32);

/// A change under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub u64);

/// A coordinator's term of office. Stores obey the highest they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u32);

/// A block's version: the term in the upper half, so that no two coordinators give the same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The `n`th epoch of a term.
    pub fn of(term: Term, n: u32) -> Self {
        Self(u64::from(term.0) << 32 | u64::from(n))
    }

    /// The term that gave it.
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
    /// The first number in it.
    pub first: u64,
    /// The first number behind it.
    pub end: u64,
}

impl Span {
    /// From `first` up to, and without, `end`.
    pub fn new(first: u64, end: u64) -> Self {
        Self { first, end }
    }

    /// Whether nothing is in it.
    pub fn is_empty(self) -> bool {
        self.first >= self.end
    }

    /// Whether it contains a weigher's number.
    pub fn contains(self, weigher: u64) -> bool {
        (self.first..self.end).contains(&weigher)
    }

    /// What both contain.
    pub fn meet(self, other: Self) -> Option<Self> {
        let both = Self { first: self.first.max(other.first), end: self.end.min(other.end) };
        (!both.is_empty()).then_some(both)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.first, self.end)
    }
}

/// West, south, east, north in degrees (RFC 7946, section 5). West may lie east of east, across the
/// antimeridian.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Extent(pub [f64; 4]);

impl Extent {
    /// One or two boxes that do not cross the antimeridian.
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
