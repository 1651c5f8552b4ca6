//! The messages between members. Their encoding depends on the order of variants and fields.

use serde::{Deserialize, Serialize};

use crate::{MemberId, Membership};

/// A message between replicas of one group. Each message carries the epoch of the view that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Sent by a successor or learner: requests the entries after its last one.
    Resume {
        /// Epoch of the view.
        epoch: u64,
        /// Index of the sender's last entry.
        last_index: u64,
        /// Whether the sender is already in sync in this view.
        in_sync: bool,
        /// Whether the sender is outside the chain.
        is_learner: bool,
    },
    /// Sent by a predecessor that does not know the last entry of its successor: requests [`ReplicaMessage::Resume`].
    RequestResume {
        /// Epoch of the view.
        epoch: u64,
    },
    /// Entries, sent by a predecessor, or by the tail to a learner.
    Append {
        /// Epoch of the view.
        epoch: u64,
        /// Index of the first entry. The receiver must hold the entry before it.
        first_index: u64,
        /// The commands, in order.
        commands: Vec<Vec<u8>>,
        /// Index of the last entry that the sender knows to be committed.
        commit_index: u64,
        /// A receiver that is not in sync becomes in sync in this view once it holds all entries up to this index. Only a sender
        /// that is in sync itself sets it. `None` if the receiver has reported that it is in sync, and for a learner.
        in_sync_index: Option<u64>,
    },
    /// A chunk of a snapshot.
    SnapshotChunk {
        /// Epoch of the view.
        epoch: u64,
        /// Index of the last entry included in the snapshot.
        index: u64,
        /// Length of the complete snapshot, in bytes.
        total_bytes: u64,
        /// Offset of this chunk in the snapshot, in bytes.
        offset: u64,
        /// Content of the chunk.
        bytes: Vec<u8>,
    },
    /// Acknowledges the chunks of a snapshot that have arrived.
    SnapshotChunkAck {
        /// Epoch of the view.
        epoch: u64,
        /// Index of the last entry included in the snapshot.
        index: u64,
        /// Number of bytes received from the start of the snapshot without a gap.
        received_bytes: u64,
    },
    /// Sent by a successor or learner: acknowledges the durable and the committed entries of its log.
    Ack {
        /// Epoch of the view.
        epoch: u64,
        /// Index of the sender's last durable entry.
        durable_index: u64,
        /// Index of the last entry that the sender knows to be committed.
        commit_index: u64,
    },
    /// Requests a confirmation that a view is still in force at the receiver.
    ConfirmView {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the confirmation round, chosen by the sender.
        round: u64,
    },
    /// Confirms that the view is still in force at the sender.
    ViewConfirmed {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the confirmation round.
        round: u64,
        /// From the tail: index of the last committed entry, if it is certain that no later entry has ever been acknowledged.
        commit_index: Option<u64>,
    },
    /// A numbered barrier, forwarded from the head to the tail.
    Barrier {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the barrier.
        number: u64,
    },
    /// Confirms that a barrier has reached the tail; forwarded back to the head.
    BarrierCommitted {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the barrier.
        number: u64,
        /// The commit index of the tail when it confirmed the barrier.
        commit_index: u64,
    },
    /// Response to a message of a view older than that of the sender.
    StaleEpoch {
        /// The sender's epoch.
        epoch: u64,
    },
}

/// The number of a proposal in the vote on the next membership (Paxos). Numbers are ordered by counter, then by proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Number of the attempt.
    pub counter: u64,
    /// The [`MemberId`] of the proposer.
    pub proposer: u64,
}

/// The status that a member reports at regular intervals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Epoch of the sender's membership; 0 if it has none.
    pub epoch: u64,
    /// Whether the sender's disk completes writes in time.
    pub disk_ready: bool,
    /// Whether the sender has sealed that epoch, so that the next membership must be decided.
    pub sealed: bool,
    /// The members whose heartbeats the sender has received within the suspect time-out.
    pub live_peers: Vec<MemberId>,
}

/// A message of the agreement on memberships.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreementMessage {
    /// Reports that the sender is alive, with its status.
    Heartbeat(Heartbeat),
    /// Requests the newest membership of the receiver.
    RequestMembership {
        /// The epoch of the sender's membership; 0 if it has none.
        epoch: u64,
    },
    /// Announces a decided membership.
    MembershipDecided {
        /// The decided membership.
        membership: Membership,
    },
    /// Phase 1: requests a promise to accept no lower proposal number. The promise also seals the preceding epoch.
    Prepare {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The proposal number.
        proposal: ProposalNumber,
    },
    /// Phase 1: the proposal number has been promised and the preceding epoch sealed, durably.
    Promise {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The proposal number.
        proposal: ProposalNumber,
        /// The value that the sender has accepted before, with its proposal number.
        accepted: Option<(ProposalNumber, Membership)>,
        /// Whether the sender was in sync in the chain of the preceding epoch, so that it holds all committed entries.
        in_sync: bool,
    },
    /// Phase 2: requests the acceptance of a value.
    Accept {
        /// The proposal number.
        proposal: ProposalNumber,
        /// The proposed membership.
        membership: Membership,
    },
    /// Phase 2: the value has been accepted, durably.
    Accepted {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The proposal number.
        proposal: ProposalNumber,
    },
    /// Rejects a request, because a higher proposal number has been promised.
    Rejected {
        /// The epoch that is to be decided.
        epoch: u64,
        /// The promised, higher proposal number.
        promised: ProposalNumber,
    },
}

/// A message between members of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChainMessage {
    /// A message between replicas.
    Replica(ReplicaMessage),
    /// A message of the agreement.
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
