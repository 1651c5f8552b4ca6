//! What a member of the control group is told, and what it wants done.

use crate::{ChainMessage, LogRecord, MemberId, Membership};

/// What happens to a member of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainEvent {
    /// The process has started; given once, first.
    Started,
    /// A message has arrived.
    Message {
        /// The sender.
        from: MemberId,
        /// The message.
        message: ChainMessage,
    },
    /// All records up to those of this token are synced.
    Durable {
        /// The token of a [`ChainAction::Persist`].
        token: u64,
    },
    /// Commit a command. Answered at the head by an [`ChainAction::Apply`] somewhere, some time, or never; the host
    /// recognises its own command in it. Elsewhere by [`ChainAction::NotHead`].
    Submit {
        /// The command.
        command: Vec<u8>,
    },
    /// Tell when everything committed before now is applied here. Any member may be asked.
    Read {
        /// Chosen by the host.
        token: u64,
    },
    /// The host has heard of a member. `replaces` is an identity whose disk is gone for good: the same address has
    /// announced another one since. Members announced again cost nothing.
    MemberAnnounced {
        /// The member.
        member: MemberId,
        /// The identity that its address had before.
        replaces: Option<MemberId>,
    },
    /// The answer to [`ChainAction::TakeSnapshot`].
    SnapshotReady {
        /// The last entry applied to the state.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// The time of [`ControlChain::next_timer`](crate::ControlChain::next_timer) has come.
    TimerExpired,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainAction {
    /// Send a message, once; drop it if the member can't be reached.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: ChainMessage,
    },
    /// Write records and sync them, then give [`ChainEvent::Durable`].
    Persist {
        /// Names this action; tokens rise.
        token: u64,
        /// The records, in order.
        records: Vec<LogRecord>,
    },
    /// Apply a committed command to the state. Each number comes once in the life of a process, in order, starting
    /// after that of the last [`ChainAction::InstallSnapshot`].
    Apply {
        /// Number of the entry.
        index: u64,
        /// The command.
        command: Vec<u8>,
        /// Whether this member committed it as the tail, so that it answers whoever asked.
        reply: bool,
    },
    /// Encode the state and give [`ChainEvent::SnapshotReady`] with the number of the last [`ChainAction::Apply`] or
    /// [`ChainAction::InstallSnapshot`] that was carried out, now or later. [`ControlChain::applied_index`](crate::ControlChain::applied_index) may be ahead of that
    /// while actions are still to be carried out.
    TakeSnapshot,
    /// Replace the state. Given after a start from a disk that holds a snapshot, and in catching up.
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
    /// A command wasn't taken: too many wait, or the view is being changed. It won't be committed.
    Busy {
        /// The command.
        command: Vec<u8>,
    },
    /// A membership is in force here.
    ViewInstalled {
        /// The membership.
        members: Membership,
    },
    /// This member takes part in nothing more of an epoch: the next membership is being voted on. A voter of a lease
    /// must grant nothing more in this epoch. Given again after a restart.
    Sealed {
        /// The epoch.
        epoch: u64,
    },
    /// This member holds everything committed, and counts in the chain of this epoch.
    BecameInSync {
        /// The epoch.
        epoch: u64,
    },
    /// The tail has confirmed a barrier of the head: what is applied up to `committed_seq` was current after it was
    /// sent. Given at members of the chain only; numbers rise within an epoch, and are
    /// used by its head once, over restarts as well.
    BarrierCommitted {
        /// The epoch.
        epoch: u64,
        /// Number of the barrier.
        number: u64,
        /// Up to where the tail had committed. It may not be applied here yet.
        commit_index: u64,
    },
}
