//! Faults of a map or of the transition to the next map, and their places. The text of a finding names the
//! place, the keys, the blocks and the remedy. This module does not detect faults.

use std::fmt;

use serde::Serialize;

use crate::types::{BlockId, Epoch, Span};

/// Reason why a store cannot be a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unfit {
    /// The store is not in the list of stores.
    Unknown,
    /// The store is draining: its blocks are to be moved away.
    Draining,
    /// The store no longer exists.
    Gone,
}

/// Kind of a fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// No block contains these keys.
    Gap,
    /// Several blocks contain these keys.
    Overlap {
        /// Number of blocks in addition to those named.
        more: usize,
    },
    /// A block without keys.
    Empty,
    /// A block whose end is less than its first key.
    Reversed,
    /// A block with keys outside of the range to be covered.
    Outside {
        /// Range to be covered.
        all: Span,
    },
    /// A block identifier that occurs twice.
    UsedTwice,
    /// The identifier of a retired block, used again.
    UsedAgain,
    /// A block that changes without a higher epoch.
    Epoch {
        /// Current epoch.
        held: Epoch,
        /// Epoch after the change.
        found: Epoch,
    },
    /// A store that is not suitable as a holder.
    Holder {
        /// Name of the store.
        store: String,
        /// Reason why the store is not suitable.
        why: Unfit,
        /// Whether the store is listed only as copying.
        copies: bool,
    },
    /// A holder that is listed twice.
    HeldTwice {
        /// Name of the store.
        store: String,
    },
    /// More replicas than a block may have.
    TooMany {
        /// Number of replicas.
        replicas: usize,
        /// Maximum number of replicas.
        most: usize,
    },
    /// Fewer usable holders than the goal.
    Holders {
        /// Number of usable holders.
        sound: u32,
        /// Minimum number of usable holders.
        least: u32,
    },
    /// Usable holders in fewer zones than the goal.
    Zones {
        /// Number of zones with usable holders.
        sound: u32,
        /// Minimum number of zones.
        least: u32,
    },
    /// A store with more load than its capacity.
    Capacity {
        /// Name of the store.
        store: String,
        /// Load of the store.
        load: f64,
        /// Capacity of the store.
        room: f64,
    },
    /// A store that is listed twice.
    StoreTwice {
        /// Name of the store.
        store: String,
    },
    /// A value that is negative or not a finite number.
    Figure {
        /// Name of the setting.
        what: &'static str,
        /// Value found.
        value: String,
    },
    /// No new holder was a holder before, and none has copied the block.
    Unfollowed {
        /// Names of the old holders.
        old: Vec<String>,
        /// Names of the new holders.
        new: Vec<String>,
    },
    /// Old and new holders may accept entries at the same time, because the old ones are not fenced.
    TwoSets {
        /// Names of the old holders that give the keys up.
        old: Vec<String>,
        /// Names of the new holders that take the keys over.
        new: Vec<String>,
    },
    /// At some time during the transition no responding store may be read.
    Unreadable {
        /// Names of the old holders.
        old: Vec<String>,
        /// Names of the new holders that have the keys.
        new: Vec<String>,
    },
    /// Keys that had a holder and have none any more.
    GivenUp,
    /// A version that is not the successor of the current one.
    Version {
        /// Current version.
        held: u64,
        /// Version found.
        found: u64,
    },
}

impl Fault {
    /// Whether a map with this fault prevents a check of the transition, because it is ambiguous which block
    /// some key belongs to.
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, Self::Overlap { .. } | Self::Empty | Self::Reversed | Self::UsedTwice)
    }
}

/// A fault and its place.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// Kind of the fault.
    #[serde(flatten)]
    pub fault: Fault,
    /// Affected keys; `None` if the fault concerns no range.
    pub keys: Option<Span>,
    /// Affected blocks, limited to the first few.
    pub blocks: Vec<BlockId>,
    /// Lines in the file; empty if there is no file.
    pub lines: Vec<u32>,
}

/// Maximum number of blocks named in one finding.
pub(crate) const MAX_NAMED_BLOCKS: usize = 8;

impl Finding {
    pub(crate) fn new(fault: Fault, keys: impl Into<Option<Span>>) -> Self {
        Self { fault, keys: keys.into(), blocks: Vec::new(), lines: Vec::new() }
    }

    pub(crate) fn block(mut self, id: BlockId, line: u32) -> Self {
        if !self.blocks.contains(&id) {
            self.blocks.push(id);
        }
        self.line(line)
    }

    pub(crate) fn line(mut self, line: u32) -> Self {
        if line > 0 && !self.lines.contains(&line) {
            self.lines.push(line);
        }
        self
    }
}

/// Formats the first of the findings and the number of further ones. Returns `None` if there are no findings.
pub fn summary(findings: &[Finding]) -> Option<String> {
    let (first, more) = findings.split_first()?;
    Some(if more.is_empty() {
        first.to_string()
    } else {
        format!("{first} (and {} more faults)", more.len())
    })
}

fn list<T: fmt::Display>(items: &[T]) -> String {
    match items {
        [] => "nobody".to_owned(),
        [one] => one.to_string(),
        [all @ .., last] => {
            let all: Vec<String> = all.iter().map(T::to_string).collect();
            format!("{} and {last}", all.join(", "))
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap => write!(f, "no block has these keys: give them to a neighbour or to a new block"),
            Self::Overlap { more: 0 } => write!(f, "these keys are in each of them: leave them in one"),
            Self::Overlap { more } => {
                write!(f, "these keys are in each of them and {more} more: leave them in one")
            }
            Self::Empty => write!(f, "has no keys: raise its end or leave it out"),
            Self::Reversed => write!(f, "ends before it begins: exchange first and end"),
            Self::Outside { all } => {
                write!(f, "goes beyond {all}, which is all there is to cover: cut it, or widen `keys`")
            }
            Self::UsedTwice => write!(f, "the number stands twice: give the second a number never used"),
            Self::UsedAgain => write!(f, "the number has come to its end: take one never used"),
            Self::Epoch { held, found } => write!(
                f,
                "changes under {found}, which does not rise above {held}: a store could not tell old orders from new; raise it"
            ),
            Self::Holder { store, why, copies } => {
                let what = if *copies { "is to copy it" } else { "is to hold it" };
                match why {
                    Unfit::Unknown => write!(f, "{store} {what}, and nobody has named it: add it to the stores, or correct the name"),
                    Unfit::Draining => write!(f, "{store} {what}, and drains: name another, or end the draining first"),
                    Unfit::Gone => write!(f, "{store} {what}, and is gone: name another"),
                }
            }
            Self::HeldTwice { store } => write!(f, "{store} stands twice: once is enough"),
            Self::TooMany { replicas, most } => {
                write!(f, "{replicas} stores, and {most} is the most: leave some out")
            }
            Self::Holders { sound, least } => {
                write!(f, "{sound} of at least {least} sound holders: add such as are listed")
            }
            Self::Zones { sound, least } => {
                write!(f, "sound holders in {sound} of at least {least} zones: take one in another zone")
            }
            Self::Capacity { store, load, room } => {
                write!(f, "{store} would carry {load:.3}, and can carry {room:.3}: move blocks off it")
            }
            Self::StoreTwice { store } => write!(f, "{store} stands twice: leave one of them out"),
            Self::Figure { what, value } => {
                write!(f, "{what} is {value}: expected a finite number from 0 on")
            }
            Self::Unfollowed { old, new } => write!(
                f,
                "goes from {} to {}, of whom none has a copy: have one of them copy it first, or keep an old holder",
                list(old),
                list(new)
            ),
            Self::TwoSets { old, new } => write!(
                f,
                "{} and {} may take entries at once, for nothing fences off who lets go: raise the epoch",
                list(old),
                list(new)
            ),
            Self::Unreadable { old, new } => write!(
                f,
                "nobody could be read at some time of the passage: of {} before and {} after none answers; bring one back first",
                list(old),
                list(new)
            ),
            Self::Version { held, found } => {
                write!(f, "version {found} does not follow version {held}: {} does", held.saturating_add(1))
            }
            Self::GivenUp => write!(f, "somebody had these keys, and nobody would have them: cover them"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let [line, more @ ..] = self.lines.as_slice() {
            write!(f, "line {line}")?;
            more.iter().try_for_each(|line| write!(f, ", {line}"))?;
            write!(f, ": ")?;
        }
        if let Some(keys) = self.keys {
            write!(f, "keys {keys}: ")?;
        }
        if let [block, more @ ..] = self.blocks.as_slice() {
            write!(f, "{}{}", if more.is_empty() { "block " } else { "blocks " }, block.0)?;
            more.iter().try_for_each(|block| write!(f, ", {}", block.0))?;
            write!(f, ": ")?;
        }
        write!(f, "{}", self.fault)
    }
}
