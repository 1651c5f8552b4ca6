//! The messages between members. Their encoded form goes by the order of variants and fields.

use serde::{Deserialize, Serialize};

use crate::{MemberId, Membership};

/// A message between replicas of one group. Each carries the epoch of the view it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// From a successor or learner: send what follows my last entry.
    Resume {
        /// Epoch of the view.
        epoch: u64,
        /// The sender's last entry.
        last_index: u64,
        /// Whether the sender counts in this view already.
        in_sync: bool,
        /// Whether the sender is outside the chain.
        is_learner: bool,
    },
    /// From a predecessor that has restarted: send [`ReplicaMessage::Resume`].
    RequestResume {
        /// Epoch of the view.
        epoch: u64,
    },
    /// Entries from a predecessor.
    Append {
        /// Epoch of the view.
        epoch: u64,
        /// Index of the first entry; the receiver must hold the one before.
        first_index: u64,
        /// The commands, in order.
        commands: Vec<Vec<u8>>,
        /// Up to where the sender knows the log to be committed.
        commit_index: u64,
        /// Set once the sender counts in this view: a receiver that holds all up to here counts as well.
        in_sync_index: Option<u64>,
    },
    /// A chunk of a snapshot.
    SnapshotChunk {
        /// Epoch of the view.
        epoch: u64,
        /// The last entry in the snapshot.
        index: u64,
        /// Length of the whole snapshot.
        total_bytes: u64,
        /// Where this chunk starts.
        offset: u64,
        /// The chunk.
        bytes: Vec<u8>,
    },
    /// How much of a snapshot has arrived.
    SnapshotChunkAck {
        /// Epoch of the view.
        epoch: u64,
        /// The last entry in the snapshot.
        index: u64,
        /// Bytes received so far without a gap.
        received_bytes: u64,
    },
    /// From a successor or learner: up to where its log is durable and committed.
    Ack {
        /// Epoch of the view.
        epoch: u64,
        /// The sender's last durable entry.
        durable_index: u64,
        /// Up to where the log is committed.
        commit_index: u64,
    },
    /// Asks whether a view is still in force at the receiver.
    ConfirmView {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the confirmation round, chosen by the sender.
        round: u64,
    },
    /// The view is still in force at the sender.
    ViewConfirmed {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the confirmation round.
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
    /// A message was of a view older than that of the sender.
    StaleEpoch {
        /// The sender's epoch.
        epoch: u64,
    },
}

/// The number of a proposal in the vote on the next membership (Paxos): the higher counter wins, then the higher member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Counts the attempts.
    pub counter: u64,
    /// Identity of the proposer's disk.
    pub proposer: u64,
}

/// What a member reports of itself at regular intervals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Epoch of the membership the sender knows (0: none).
    pub epoch: u64,
    /// Whether its disk answers.
    pub disk_ready: bool,
    /// Whether it has sealed that epoch, so that the next one must be decided.
    pub sealed: bool,
    /// The members that it has heard of lately.
    pub live_peers: Vec<MemberId>,
}

/// A message of the vote on memberships.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreementMessage {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// Asks for the membership in force.
    RequestMembership {
        /// The epoch known to the sender.
        epoch: u64,
    },
    /// This membership has been decided.
    MembershipDecided {
        /// The membership.
        members: Membership,
    },
    /// Phase 1: asks for the promise to accept no lower proposal number, which also seals the epoch before.
    Prepare {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The proposal number.
        proposal: ProposalNumber,
    },
    /// Phase 1: promised, sealed and durable.
    Promise {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The proposal number.
        proposal: ProposalNumber,
        /// What the sender has accepted before.
        accepted: Option<(ProposalNumber, Membership)>,
        /// Whether the sender counted in the chain of the epoch before, so that it holds all that was committed.
        in_sync: bool,
    },
    /// Phase 2: asks to accept a value.
    Accept {
        /// The proposal number.
        proposal: ProposalNumber,
        /// The value.
        members: Membership,
    },
    /// Phase 2: accepted and durable.
    Accepted {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The proposal number.
        proposal: ProposalNumber,
    },
    /// A higher proposal number has been promised.
    Rejected {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The promised proposal number.
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
    #[must_use]
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
