//! The records that a member writes to its disk.

use serde::{Deserialize, Serialize};

use crate::{Membership, ProposalNumber, View};

/// One durable record. The host stores records in the order in which they are emitted, and passes them to the recovery in that
/// order after a restart. Their encoding depends on the order of variants and fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// A view has been installed.
    View {
        /// The installed view.
        view: View,
        /// Whether this member is in sync: it holds everything that was committed before this view.
        in_sync: bool,
    },
    /// A view has been installed in which this member is not in sync, and the entries that it does not know to be committed have
    /// been dropped. Both are in one record, so that a power failure cannot separate them.
    Rejoined {
        /// The installed view.
        view: View,
        /// Index of the last entry that is kept.
        last_index: u64,
    },
    /// This member has caught up in a view, and is in sync from here on.
    InSync {
        /// The epoch of the view.
        epoch: u64,
    },
    /// This member no longer takes part in an epoch.
    Sealed {
        /// The sealed epoch.
        epoch: u64,
    },
    /// One entry of the log.
    Entry {
        /// The epoch in which this member wrote the entry.
        epoch: u64,
        /// Index of the entry.
        index: u64,
        /// Index of the last entry known to be committed when this record was written.
        commit_index: u64,
        /// The command of the entry.
        command: Vec<u8>,
    },
    /// The state after an entry; it replaces all entries up to that one.
    Snapshot {
        /// Index of the last entry included in the state.
        index: u64,
        /// The state, as encoded by the host.
        bytes: Vec<u8>,
    },
    /// Reserves barrier numbers for the head of an epoch. After a restart the head continues after the last reserved number.
    BarrierReservation {
        /// The epoch of the head.
        epoch: u64,
        /// The highest number that may have been used.
        reserved: u64,
    },
    /// A membership of the control group has been learned.
    Membership {
        /// The learned membership.
        membership: Membership,
    },
    /// A proposal number for the next membership has been promised. This also seals the preceding epoch.
    Promise {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The proposal number.
        proposal: ProposalNumber,
    },
    /// A value for the next membership has been accepted. This also seals the preceding epoch.
    Accepted {
        /// The proposal number.
        proposal: ProposalNumber,
        /// The accepted membership; its epoch is the one that is to be decided.
        membership: Membership,
    },
}
