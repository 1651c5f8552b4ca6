//! The records on the disk of a member, in the order in which they were written.

use serde::{Deserialize, Serialize};

use crate::{Membership, ProposalNumber, View};

/// One durable record. The host encodes records in the order given, and feeds them back in that order after a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// A view has been installed.
    View {
        /// The view.
        view: View,
        /// Whether this member holds everything that was committed before.
        in_sync: bool,
    },
    /// A view has been installed in which this member doesn't count, and entries it doesn't know to be committed are dropped.
    /// Both in one record, so that no loss of power comes between.
    Rejoined {
        /// The view.
        view: View,
        /// The last entry that stays.
        last_index: u64,
    },
    /// This member has caught up in a view, and counts in it from here on.
    InSync {
        /// The view's epoch.
        epoch: u64,
    },
    /// This member takes part in nothing more of this epoch.
    Sealed {
        /// The sealed epoch.
        epoch: u64,
    },
    /// One entry of the log.
    Entry {
        /// The epoch in which it was written here.
        epoch: u64,
        /// Its index.
        index: u64,
        /// Up to where the log was known to be committed when this was written.
        commit_index: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// The state after an entry; it replaces all entries before.
    Snapshot {
        /// The last entry in the state.
        index: u64,
        /// The state, as the host encoded it.
        bytes: Vec<u8>,
    },
    /// The head of an epoch may number barriers up to here; after a restart it continues behind.
    BarrierReservation {
        /// The epoch.
        epoch: u64,
        /// The last number that may have been used.
        reserved: u64,
    },
    /// A membership of the control group has been learned.
    Membership {
        /// The membership.
        members: Membership,
    },
    /// A proposal number for the next membership has been promised. It also seals the epoch before.
    Promise {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The proposal number.
        proposal: ProposalNumber,
    },
    /// A value for the next membership has been accepted. It also seals the epoch before.
    Accepted {
        /// The proposal number.
        proposal: ProposalNumber,
        /// The value; its epoch is the one that is to be decided.
        members: Membership,
    },
}
