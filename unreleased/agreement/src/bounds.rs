//! The settings with a bound, the names, and what can go wrong. Every queue, table and message of this package takes its
//! bound from [`Bounds`].

use std::io;

use thiserror::Error;

use crate::frame::LogError;

/// Milliseconds on the driver's clock, which only goes forward.
pub type Millis = f64;

/// A voter's number in the operator's file; not 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VoterId(pub u64);

/// How fast, and how much at most.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// One step of the protocol's clock.
    pub tick_ms: Millis,
    /// A leader speaks every so many ticks.
    pub heartbeat_ticks: usize,
    /// A voter that has heard of no leader for so many ticks, and up to as many more, asks whether it may campaign; a leader
    /// that has heard of no majority for so many steps down.
    pub election_ticks: usize,
    /// A command's bytes.
    pub command_most: usize,
    /// A machine's snapshot in bytes. One that is longer isn't kept, and the log is full at `log_most`.
    pub snapshot_most: usize,
    /// Entries of one message in bytes, but for a single longer one.
    pub append_most: usize,
    /// Messages of entries underway to one voter.
    pub inflight_most: usize,
    /// Commands proposed here and not yet taken.
    pub proposals_most: usize,
    /// Their bytes.
    pub uncommitted_most: usize,
    /// Reads asked here and not yet fresh.
    pub reads_most: usize,
    /// A read that isn't fresh by then is unmet.
    pub read_ms: Millis,
    /// Entries' bytes behind the last snapshot after which the log is compacted; so are `compact_entries`.
    pub compact_bytes: usize,
    /// Entries behind the last snapshot after which the log is compacted.
    pub compact_entries: usize,
    /// Entries kept before a snapshot, for voters that lag a little.
    pub keep_entries: usize,
    /// The log's entries in bytes: a leader takes no command beyond it.
    pub log_most: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            tick_ms: 100.0,
            heartbeat_ticks: 2,
            election_ticks: 10,
            command_most: 4 << 20,
            snapshot_most: 32 << 20,
            append_most: 1 << 20,
            inflight_most: 16,
            proposals_most: 256,
            uncommitted_most: 16 << 20,
            reads_most: 256,
            read_ms: 3_000.0,
            compact_bytes: 8 << 20,
            compact_entries: 4_096,
            keep_entries: 256,
            log_most: 64 << 20,
        }
    }
}

impl Bounds {
    /// No message is longer; a driver's listener refuses a frame that says it is.
    pub fn message_most(&self) -> usize {
        self.snapshot_most.max(self.append_most + self.command_most) + 4_096
    }

    pub(crate) fn check(&self) -> Result<(), OpenError> {
        let says = |name, value: f64, least| Err(OpenError::Bound { name, value, least });
        if !(self.tick_ms >= 1.0 && self.tick_ms.is_finite()) {
            return says("tick_ms", self.tick_ms, 1.0);
        }
        if self.heartbeat_ticks == 0 {
            return says("heartbeat_ticks", 0.0, 1.0);
        }
        if self.election_ticks <= 2 * self.heartbeat_ticks {
            return says(
                "election_ticks",
                self.election_ticks as f64,
                2.0 * self.heartbeat_ticks as f64 + 1.0,
            );
        }
        let counts = [
            ("command_most", self.command_most),
            ("snapshot_most", self.snapshot_most),
            ("append_most", self.append_most),
            ("inflight_most", self.inflight_most),
            ("proposals_most", self.proposals_most),
            ("reads_most", self.reads_most),
            ("compact_bytes", self.compact_bytes),
            ("compact_entries", self.compact_entries),
            ("log_most", self.log_most),
        ];
        match counts.iter().find(|(_, count)| *count == 0) {
            Some((name, _)) => says(name, 0.0, 1.0),
            None => Ok(()),
        }
    }
}

/// Why a ticket was not met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unmet {
    /// Only the leader takes commands, and a read needs one.
    #[error("not the leader; it is {leader:?}")]
    NotLeader {
        /// Who leads, if that is known here.
        leader: Option<VoterId>,
    },
    /// A bound is reached; later there may be room.
    #[error("no room for it now")]
    Full,
    /// It may or may not be taken; ask again under the same name.
    #[error("it may or may not be taken: ask again under the same name")]
    Lost,
    /// The command is longer than `command_most`.
    #[error("the command is longer than command_most")]
    TooLong,
}

/// A machine can't be restored from these bytes; nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no snapshot of this machine's: {0}")]
pub struct Unreadable(pub String);

/// Why a voter could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The disk's fault.
    #[error("the log's disk: {0}")]
    Io(#[from] io::Error),
    /// The log's.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The snapshot in the log is not this machine's.
    #[error("the log's snapshot: {0}; a later version of this program may have written it")]
    Snapshot(#[from] Unreadable),
    /// A number that can't be worked with.
    #[error("{name} is {value}, and must be {least} at least")]
    Bound {
        /// Which.
        name: &'static str,
        /// Its value.
        value: f64,
        /// The least that it may be.
        least: f64,
    },
    /// Voters must be 3, 5 or 7, no number twice or 0, this voter among them.
    #[error("voters {voters:?} with voter {id} here: name 3, 5 or 7 different numbers, none of them 0, this voter's among them")]
    Voters {
        /// This voter.
        id: u64,
        /// All that were named.
        voters: Vec<u64>,
    },
    /// The log is another voter's, or of another set of voters.
    #[error("the log is of voter {id} among {voters:?}, not of voter {here} among {named:?}: changes of voters are not supported")]
    Other {
        /// The log's voter.
        id: u64,
        /// The log's voters.
        voters: Vec<u64>,
        /// The voter here.
        here: u64,
        /// The voters named.
        named: Vec<u64>,
    },
    /// The consensus library refuses the settings or the state.
    #[error("the consensus library: {0}")]
    Library(String),
}

/// Why a voter died. Nothing that rests on what was being written has been said.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The disk's fault.
    #[error("the log's disk: {0}; this voter is dead until it is opened anew")]
    Io(#[from] io::Error),
    /// A snapshot that was tried and could be read could not be restored.
    #[error("{0}; this voter is dead until it is opened anew")]
    Snapshot(#[from] Unreadable),
    /// The consensus library is at odds with what is stored.
    #[error("the consensus library: {0}; this voter is dead until it is opened anew")]
    Library(String),
    /// It was told to go on after an error.
    #[error("this voter died of an earlier error: open it anew")]
    Dead,
}
