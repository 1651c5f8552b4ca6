//! What can be wrong with a map or with the passage to the next: each kind with its data, and where it was found. It
//! promises that a text names the place, the keys, the blocks and the way out. It finds nothing itself.

use std::fmt;

use serde::Serialize;

use crate::types::{BlockId, Epoch, Span};

/// Why a store can't be a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unfit {
    /// Nobody has named it.
    Unknown,
    /// Its blocks are to leave.
    Draining,
    /// It is no more.
    Gone,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// No block has these keys.
    Gap,
    /// Several blocks have these keys.
    Overlap {
        /// Blocks beside those named.
        more: usize,
    },
    /// A block without keys.
    Empty,
    /// A block whose end lies before its first key.
    Reversed,
    /// A block that goes beyond what is to be covered.
    Outside {
        /// What is to be covered.
        all: Span,
    },
    /// A number that two blocks have.
    UsedTwice,
    /// A number that had come to its end.
    UsedAgain,
    /// A block that changes under an epoch that does not rise.
    Epoch {
        /// The epoch that holds.
        held: Epoch,
        /// The one that would follow.
        found: Epoch,
    },
    /// A holder that can't be one.
    Holder {
        /// Who.
        store: String,
        /// Why not.
        why: Unfit,
        /// Whether it is only to copy.
        copies: bool,
    },
    /// A holder that stands twice.
    HeldTwice {
        /// Who.
        store: String,
    },
    /// More replicas than a block may have.
    TooMany {
        /// So many.
        replicas: usize,
        /// The most.
        most: usize,
    },
    /// Fewer sound holders than the goal.
    Holders {
        /// So many.
        sound: u32,
        /// The goal.
        least: u32,
    },
    /// Sound holders in fewer zones than the goal.
    Zones {
        /// So many.
        sound: u32,
        /// The goal.
        least: u32,
    },
    /// A store with more load than it can carry.
    Capacity {
        /// Who.
        store: String,
        /// What falls on it.
        load: f64,
        /// What it can carry.
        room: f64,
    },
    /// A store that stands twice.
    StoreTwice {
        /// Who.
        store: String,
    },
    /// A figure that is none, or below zero.
    Figure {
        /// Of which key.
        what: &'static str,
        /// What was found.
        value: String,
    },
    /// None of the new holders was one before, and none has copied.
    Unfollowed {
        /// The old holders.
        old: Vec<String>,
        /// The new ones.
        new: Vec<String>,
    },
    /// Old and new holders may take entries at once: nothing fences the old ones off.
    TwoSets {
        /// Old holders that let go.
        old: Vec<String>,
        /// New ones that take over.
        new: Vec<String>,
    },
    /// At some time of the passage no store that answers may be read.
    Unreadable {
        /// The old holders.
        old: Vec<String>,
        /// The new ones that have the keys.
        new: Vec<String>,
    },
    /// Keys that somebody had and nobody has any more.
    GivenUp,
    /// A version that is not the next.
    Version {
        /// The version that holds.
        held: u64,
        /// The one that would follow.
        found: u64,
    },
}

impl Fault {
    /// Whether a passage from a map with this fault can't be proved: of some key it is not said who has it.
    pub fn unclear(&self) -> bool {
        matches!(self, Self::Overlap { .. } | Self::Empty | Self::Reversed | Self::UsedTwice)
    }
}

/// A fault and where it is.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// What is wrong.
    #[serde(flatten)]
    pub fault: Fault,
    /// With which keys; nothing where it is about no range.
    pub keys: Option<Span>,
    /// With which blocks; of many the first few.
    pub blocks: Vec<BlockId>,
    /// On which lines of the file; none where there is no file.
    pub lines: Vec<u32>,
}

/// Blocks named in one finding.
pub(crate) const NAMED_MOST: usize = 8;

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

/// The first of some findings as a text that says how many more there are; nothing for none.
pub fn first_of(findings: &[Finding]) -> Option<String> {
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
