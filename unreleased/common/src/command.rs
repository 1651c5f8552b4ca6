//! What may be proposed to the record, and what comes of it: plain data, in one binary form that every voter reads alike. Names
//! are those of discovery's list and of the operator's file; numbers are the record's own and never leave it.

use std::collections::BTreeMap;

use gingerledge_coverage::Requirements;
use serde::{Deserialize, Serialize};

/// A version of the record: the log's index of the last command that changed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version(pub u64);

/// A booking's number: the index of the command that made it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BookingId(pub u64);

/// The whole of a zone's share.
pub const WHOLE: u16 = 1000;

/// A store's state as discovery and the operators have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StateFact {
    /// Listed, and warm.
    Listed,
    /// Finishes what it has.
    Draining,
    /// No longer listed.
    Gone,
    /// Started a short while ago, with this share of its capacity in thousandths.
    Cold(u16),
    /// Taken out by an operator's hand.
    OutByHand,
}

/// A store as it was found. Facts are taken whatever they do to cover.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SiteFact {
    /// Its name on discovery's list.
    pub store: String,
    /// Its zone.
    pub zone: String,
    /// The zone's region; a zone alone is its own.
    pub region: String,
    /// What it can do, in thousandths of the unit that ranges' loads are told in.
    pub capacity_milli: u64,
    /// Its state.
    pub state: StateFact,
}

/// A block, its range of numbers, and who holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldFact {
    /// The block's number.
    pub block: u32,
    /// The first weigher's number in it.
    pub first: u64,
    /// The first number behind it.
    pub end: u64,
    /// Names of the stores that hold it.
    pub holders: Vec<String>,
    /// Its load, in thousandths.
    pub load_milli: u64,
}

/// The least that has to remain of each range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeastFact {
    /// Sound holders.
    pub holders: u32,
    /// Zones with a sound holder.
    pub zones: u32,
    /// What a zone must have to spare, in thousandths of its room.
    pub headroom_permille: u16,
}

impl LeastFact {
    pub(crate) fn least(self) -> Requirements {
        let headroom = f64::from(self.headroom_permille.min(WHOLE)) / f64::from(WHOLE);
        Requirements { holders: self.holders, zones: self.zones, headroom }
    }

    /// The stricter of both, in each respect.
    pub fn stricter(self, other: Self) -> Self {
        Self {
            holders: self.holders.max(other.holders),
            zones: self.zones.max(other.zones),
            headroom_permille: self.headroom_permille.max(other.headroom_permille),
        }
    }

    /// Whether a range has no more than this, by its sound holders and their zones: one loss more would leave it short.
    pub(crate) fn reached(self, (sound, zones): (u32, u32)) -> bool {
        sound <= self.holders || zones < self.zones
    }
}

/// Stores that are to be away for a while.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Their names.
    pub stores: Vec<String>,
    /// When it is to begin, in Unix time.
    pub from_unix_ms: u64,
    /// How long it lasts.
    pub length_ms: u64,
    /// What has to remain meanwhile.
    pub least: LeastFact,
    /// Who asked for it.
    pub by: String,
}

impl Plan {
    /// When it is to end, in Unix time.
    pub fn end_unix_ms(&self) -> u64 {
        self.from_unix_ms.saturating_add(self.length_ms)
    }

    /// Whether both hold at some moment.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.from_unix_ms < other.end_unix_ms() && other.from_unix_ms < self.end_unix_ms()
    }
}

/// Something proposed. `at` is the version that its proposer checked it at; the record checks again at the one in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// What has to remain of each range whoever asks.
    Goal {
        /// The least.
        least: LeastFact,
    },
    /// Facts on stores.
    Sites {
        /// Those that have changed.
        sites: Vec<SiteFact>,
    },
    /// One step of one zone's share.
    Shares {
        /// Where it was checked.
        at: Version,
        /// The zone.
        zone: String,
        /// How much of what is near stays near, in thousandths.
        permille: u16,
        /// The move of this zone that the proposer saw last: between two moves it has waited, by its own clock.
        follows: Version,
        /// Whether the zone fails again soon after it returned: the next wait doubles.
        again: bool,
    },
    /// The block map's next version.
    Map {
        /// Where it was checked.
        at: Version,
        /// The map's version that it follows.
        from: u64,
        /// Its own.
        to: u64,
        /// The hash of the map that comes of it.
        hash: u64,
        /// Blocks that are new or held otherwise.
        held: Vec<HeldFact>,
        /// Blocks that are no more.
        gone: Vec<u32>,
    },
    /// A maintenance window is booked.
    Book {
        /// Where it was checked.
        at: Version,
        /// What is asked.
        plan: Plan,
    },
    /// A window begins.
    Begin {
        /// Where it was checked.
        at: Version,
        /// Which.
        id: BookingId,
    },
    /// A window is over, and its stores are warm.
    End {
        /// Which.
        id: BookingId,
    },
    /// A window is called off.
    Cancel {
        /// Which.
        id: BookingId,
        /// By whom.
        by: String,
    },
    /// A broker acts under a version.
    Took {
        /// Its name.
        broker: String,
        /// The version.
        version: Version,
    },
}

/// Why something takes a holder away.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LostFact {
    /// Nothing does.
    Sound,
    /// A fact: its state.
    State(String),
    /// A window in force, or one that overlaps.
    Booking(BookingId),
    /// What was proposed.
    Proposed,
    /// Its zone is led away.
    Share(String),
}

/// The range that something would leave short, and what takes each of its holders away.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExampleFact {
    /// The block, if the range lies in one.
    pub block: Option<u32>,
    /// The range's first number.
    pub first: u64,
    /// The first number behind it.
    pub end: u64,
    /// What it falls short of.
    pub short: String,
    /// Its holders.
    pub holders: Vec<(String, LostFact)>,
}

/// A decision of the record, as another names it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Decision {
    /// None: the facts alone.
    #[default]
    Facts,
    /// A zone's share.
    Shares,
    /// The map.
    Map,
    /// A booking.
    Booking(BookingId),
}

/// Why a proposal was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// It would leave a range short.
    #[error("it would leave {}..{} short ({}); it meets {what:?} of version {}", example.first, example.end, example.short, met.0)]
    Uncovered {
        /// The version of the decision that it meets.
        met: Version,
        /// What that decided.
        what: Decision,
        /// The range.
        example: ExampleFact,
    },
    /// It names something that the record does not know.
    #[error("{0} is not known to the record; tell of it first")]
    Unknown(String),
    /// The map has moved on.
    #[error("the map is at version {map} with hash {hash:016x}; make the change from there")]
    Passed {
        /// Its version.
        map: u64,
        /// Its hash.
        hash: u64,
    },
    /// The zone has moved since.
    #[error("the zone moved at version {}; wait from there", met.0)]
    Overtaken {
        /// When.
        met: Version,
    },
    /// A table is full.
    #[error("{what}: {most} are there, which is the most; end some first")]
    Full {
        /// Which.
        what: String,
        /// How many it holds.
        most: u64,
    },
    /// It can't be what was meant.
    #[error("{0}")]
    Unfit(String),
}

/// What else came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Note {
    /// A zone's share has moved.
    Moved {
        /// The zone.
        zone: String,
        /// Its share.
        permille: u16,
    },
    /// A booking stands.
    Booked(BookingId),
    /// A window has begun.
    Begun(BookingId),
    /// A window is over, or called off.
    Ended(BookingId),
    /// A window in force was called back: a fact left a range at its least.
    CalledBack {
        /// Which.
        id: BookingId,
        /// The range.
        example: ExampleFact,
    },
    /// The map has another version.
    Mapped {
        /// Which.
        version: u64,
    },
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// It was taken.
    Taken {
        /// The record's version now.
        version: Version,
        /// What else came of it.
        notes: Vec<Note>,
    },
    /// It was not.
    Refused {
        /// The record's version.
        version: Version,
        /// Why.
        why: Refusal,
    },
    /// It could not be read.
    Unreadable,
}

/// Shares by zone, in thousandths; a zone that is not named has all.
pub type Shares = BTreeMap<String, u16>;

/// The form in which commands stand in the log.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Reads it back; none where it is no such form, or holds more than one value.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(value)
}
