//! What happens to a replica, and what its host is to do.

use crate::{LogRecord, MemberId, ReplicaMessage, View};

/// What happens to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEvent {
    /// The process has started; given once, first.
    Started,
    /// A view has been decided. Older and repeated ones are ignored.
    Install {
        /// The view.
        view: View,
    },
    /// Take part in nothing more of this epoch. Answered by [`ReplicaAction::Sealed`].
    Seal {
        /// The epoch.
        epoch: u64,
    },
    /// While outside the chain, follow its tail.
    FollowAsLearner,
    /// A message has arrived.
    Message {
        /// The sender.
        from: MemberId,
        /// The message.
        message: ReplicaMessage,
    },
    /// All records up to those of this token are synced.
    Durable {
        /// The token of a [`ReplicaAction::Persist`].
        token: u64,
    },
    /// Commit a command.
    Submit {
        /// The command.
        command: Vec<u8>,
    },
    /// Tell when everything committed before now is applied here.
    Read {
        /// Chosen by the host.
        token: u64,
    },
    /// The answer to [`ReplicaAction::TakeSnapshot`].
    SnapshotReady {
        /// The last entry applied to the state.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// The time of [`Replica::next_timer`](crate::Replica::next_timer) has come.
    TimerExpired,
}

/// What the host of a replica is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Send a message, once.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Write records and sync them, then give [`ReplicaEvent::Durable`].
    Persist {
        /// Names this action; tokens rise.
        token: u64,
        /// The records, in order.
        records: Vec<LogRecord>,
    },
    /// Apply a committed command to the state.
    Apply {
        /// Number of the entry.
        index: u64,
        /// The command.
        command: Vec<u8>,
        /// Whether this member committed it as the tail.
        reply: bool,
    },
    /// Encode the state and give [`ReplicaEvent::SnapshotReady`].
    TakeSnapshot,
    /// Replace the state.
    InstallSnapshot {
        /// The last entry in the state.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// A read may be answered from the state here.
    ReadReady {
        /// The token of the read.
        token: u64,
        /// The last entry applied.
        index: u64,
    },
    /// A read couldn't be confirmed in time.
    ReadFailed {
        /// The token of the read.
        token: u64,
    },
    /// A command was submitted to a member that isn't the head.
    NotHead {
        /// The command.
        command: Vec<u8>,
        /// The head, where known.
        head: Option<MemberId>,
    },
    /// A command wasn't taken, and won't be committed.
    Busy {
        /// The command.
        command: Vec<u8>,
    },
    /// A view is on the disk and in force here.
    Installed {
        /// Its epoch.
        epoch: u64,
    },
    /// The seal is on the disk; what this member holds won't change before the next view.
    Sealed {
        /// The sealed epoch.
        epoch: u64,
        /// Whether the member counted in it.
        in_sync: bool,
        /// The last entry.
        last_index: u64,
    },
    /// This member holds everything committed before this epoch, and counts in its chain. Given in each view.
    BecameInSync {
        /// The epoch.
        epoch: u64,
    },
    /// A member outside the chain follows this tail.
    LearnerProgress {
        /// The member.
        member: MemberId,
        /// How many committed entries it hasn't got.
        behind: u64,
    },
    /// The tail has confirmed a barrier of the head.
    BarrierCommitted {
        /// The epoch.
        epoch: u64,
        /// Number of the barrier; rises within an epoch, also over restarts.
        number: u64,
        /// Up to where the tail had committed.
        commit_index: u64,
    },
    /// A member knows a newer view than this one.
    OwnViewStale {
        /// The member.
        member: MemberId,
        /// Its epoch.
        epoch: u64,
    },
}
