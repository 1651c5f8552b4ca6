//! What members say to each other.

use serde::{Deserialize, Serialize};

use crate::{MemberId, Membership};

/// A message between replicas of one group. Each carries the epoch of the view it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// From a successor or learner: go on after my last durable entry.
    Resume {
        /// Epoch of the view.
        epoch: u64,
        /// The sender's last entry.
        last_index: u64,
        /// Whether the sender counts in this view already.
        in_sync: bool,
        /// Whether the sender is outside the chain.
        learner: bool,
    },
    /// From a predecessor that has restarted: tell me where to go on.
    RequestResume {
        /// Epoch of the view.
        epoch: u64,
    },
    /// Entries from a predecessor.
    Append {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the first entry; the receiver must hold the one before.
        first_index: u64,
        /// The commands, in order.
        commands: Vec<Vec<u8>>,
        /// Up to where the sender knows the log to be committed.
        commit_index: u64,
        /// Set once the sender counts in this view: a receiver that holds all up to here counts as well.
        in_sync_index: Option<u64>,
    },
    /// A part of a snapshot.
    SnapshotChunk {
        /// Epoch of the view.
        epoch: u64,
        /// The last entry in the snapshot.
        index: u64,
        /// Length of the whole snapshot.
        total: u64,
        /// Where this part starts.
        offset: u64,
        /// The part.
        bytes: Vec<u8>,
    },
    /// How far a snapshot has arrived.
    SnapshotChunkAck {
        /// Epoch of the view.
        epoch: u64,
        /// The last entry in the snapshot.
        index: u64,
        /// Bytes received so far without a gap.
        received: u64,
    },
    /// From a successor or learner: this much is durable here, and this much committed.
    Ack {
        /// Epoch of the view.
        epoch: u64,
        /// The sender's last durable entry.
        durable_index: u64,
        /// Up to where the log is committed.
        commit_index: u64,
    },
    /// Is this view still in force for you?
    ConfirmView {
        /// Epoch of the view.
        epoch: u64,
        /// Chosen by the asker.
        round: u64,
    },
    /// It is.
    ViewConfirmed {
        /// Epoch of the view.
        epoch: u64,
        /// The probe's round.
        round: u64,
        /// From the tail, if it is certain that nothing beyond was ever acknowledged: up to where the log is committed.
        commit_index: Option<u64>,
    },
    /// A numbered barrier, passed from the head to the tail.
    Barrier {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the barrier.
        number: u64,
    },
    /// The tail has seen a barrier; passed back to the head.
    BarrierCommitted {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the barrier.
        number: u64,
        /// Up to where the tail had committed.
        commit_index: u64,
    },
    /// The message was of an old view.
    StaleEpoch {
        /// The sender's epoch.
        epoch: u64,
    },
}

/// A ballot of the vote on the next membership: the higher counter wins, then the higher member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Counts the attempts.
    pub counter: u64,
    /// Identity of the proposer's disk.
    pub proposer: u64,
}

/// What a member says of itself, regularly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Epoch of the membership the sender knows (0: none).
    pub epoch: u64,
    /// Whether its disk answers.
    pub disk_ready: bool,
    /// Whether it has sealed that epoch, so that the next one must be decided.
    pub sealed: bool,
    /// Whom it has heard of lately.
    pub live_peers: Vec<MemberId>,
}

/// A message of the vote on memberships.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreementMessage {
    /// I am here.
    Heartbeat(Heartbeat),
    /// Which membership is in force? I know of this epoch.
    RequestMembership {
        /// The epoch known to the sender.
        epoch: u64,
    },
    /// This membership has been decided.
    MembershipDecided {
        /// The membership.
        members: Membership,
    },
    /// Promise to take part in nothing lower, and seal the epoch before.
    Prepare {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The ballot.
        proposal: ProposalNumber,
    },
    /// Promised, sealed and durable.
    Promise {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The ballot.
        proposal: ProposalNumber,
        /// What the sender has accepted before.
        accepted: Option<(ProposalNumber, Membership)>,
        /// Whether the sender counted in the chain of the epoch before, so that it holds all that was committed.
        in_sync: bool,
    },
    /// Accept this value.
    Accept {
        /// The ballot.
        proposal: ProposalNumber,
        /// The value.
        members: Membership,
    },
    /// Accepted and durable.
    Accepted {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The ballot.
        proposal: ProposalNumber,
    },
    /// A higher ballot has been promised.
    Rejected {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The promised ballot.
        promised: ProposalNumber,
    },
}

/// Any message of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChainMessage {
    /// Between the replicas.
    Replica(ReplicaMessage),
    /// Between the voters.
    Agreement(AgreementMessage),
}

impl ReplicaMessage {
    /// The epoch that the message belongs to.
    pub fn epoch(&self) -> u64 {
        match self {
            Self::Resume { epoch, .. }
            | Self::RequestResume { epoch }
            | Self::Append { epoch, .. }
            | Self::SnapshotChunk { epoch, .. }
            | Self::SnapshotChunkAck { epoch, .. }
            | Self::Ack { epoch, .. }
            | Self::ConfirmView { epoch, .. }
            | Self::ViewConfirmed { epoch, .. }
            | Self::Barrier { epoch, .. }
            | Self::BarrierCommitted { epoch, .. }
            | Self::StaleEpoch { epoch } => *epoch,
        }
    }
}
