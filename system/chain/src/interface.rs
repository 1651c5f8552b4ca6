//! The events that a host sends to a member, and the actions that the host carries out for the member.
//!
//! A [`Replica`](crate::Replica) and a [`ControlChain`](crate::ControlChain) are driven in the same way; they differ in the
//! messages that they exchange and in how their views are decided. Both therefore use the generic types [`Event`] and [`Action`],
//! whose parameters are the type of the messages and the type of the events or actions about views.

use crate::{ChainMessage, LogRecord, MemberId, Membership, ReplicaMessage, View};

/// An event of a [`Replica`](crate::Replica).
pub type ReplicaEvent = Event<ReplicaMessage, ViewEvent>;
/// An action of a [`Replica`](crate::Replica).
pub type ReplicaAction = Action<ReplicaMessage, ViewAction>;
/// An event of a [`ControlChain`](crate::ControlChain).
pub type ChainEvent = Event<ChainMessage, MembershipEvent>;
/// An action of a [`ControlChain`](crate::ControlChain).
pub type ChainAction = Action<ChainMessage, MembershipAction>;

/// An event that the host sends to a member. `M` is the type of messages between members, `V` the type of events about views.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<M, V> {
    /// The process has started. Sent once, before all other events.
    Started,
    /// A message has arrived.
    Message {
        /// The sender.
        from: MemberId,
        /// The message.
        message: M,
    },
    /// The records of all [`Action::Persist`] up to this token are synced.
    Durable {
        /// The token of an [`Action::Persist`].
        token: u64,
    },
    /// Commit a command. At the head, an [`Action::Apply`] at any member may follow, in which the host recognises its command by
    /// the content; it may also be lost without an action. [`Action::Busy`] follows if the head rejects it. At another member,
    /// [`Action::NotHead`] follows.
    Submit {
        /// The command to commit.
        command: Vec<u8>,
    },
    /// Emit [`Action::ReadReady`] once everything acknowledged before now is applied at this member. Any member serves reads.
    Read {
        /// Identifier of the read, chosen by the host.
        token: u64,
    },
    /// The response to [`Action::TakeSnapshot`].
    SnapshotReady {
        /// Index of the last entry applied to the state.
        index: u64,
        /// The encoded state.
        bytes: Vec<u8>,
    },
    /// The time returned by `next_timer` has been reached.
    TimerExpired,
    /// An event about views.
    View(V),
}

/// An event about the views of a replica, which its host decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewEvent {
    /// A view has been decided. Older and repeated views are ignored.
    Install {
        /// The decided view.
        view: View,
    },
    /// Stop taking part in this epoch. [`ViewAction::Sealed`] follows.
    Seal {
        /// The epoch to seal.
        epoch: u64,
    },
    /// Whenever this member is outside the chain, replicate the committed entries from the tail.
    FollowAsLearner,
}

/// An event about the memberships of the control group, which its voters decide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The host has learned of a member. Announcing a member again has no effect.
    MemberAnnounced {
        /// The announced member.
        member: MemberId,
        /// The identity that the address of this member announced before, if any. The disk of that identity is lost.
        replaces: Option<MemberId>,
    },
}

/// An action that the host carries out for a member. `M` is the type of messages between members, `V` the type of actions about
/// views.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<M, V> {
    /// Send a message once; drop it if the receiver cannot be reached.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: M,
    },
    /// Write records and sync them, then send [`Event::Durable`].
    Persist {
        /// Identifier of this action. Tokens are strictly increasing.
        token: u64,
        /// The records, in order.
        records: Vec<LogRecord>,
    },
    /// Apply a committed command to the state. Within an incarnation of the process, each index occurs once and in order,
    /// starting after the index of the last [`Action::InstallSnapshot`].
    Apply {
        /// Index of the entry.
        index: u64,
        /// The committed command.
        command: Vec<u8>,
        /// Whether this member has committed the command as the tail, so that it has to reply to the client.
        should_reply: bool,
    },
    /// Encode the state and send [`Event::SnapshotReady`], at once or later, with the index of the last [`Action::Apply`] or
    /// [`Action::InstallSnapshot`] carried out at that time. The applied index of the member may be higher, while some actions
    /// are not carried out yet.
    TakeSnapshot,
    /// Replace the state. Emitted after a start from a disk that holds a snapshot, and while catching up.
    InstallSnapshot {
        /// Index of the last entry included in the state.
        index: u64,
        /// The encoded state.
        bytes: Vec<u8>,
    },
    /// A read may be served from the state of this member.
    ReadReady {
        /// The token of the read.
        token: u64,
        /// Index of the last entry applied.
        index: u64,
    },
    /// A read could not be confirmed in time, or too many reads were in progress.
    ReadFailed {
        /// The token of the read.
        token: u64,
    },
    /// A command was submitted to a member that is not the head.
    NotHead {
        /// The rejected command.
        command: Vec<u8>,
        /// The head, if known.
        head: Option<MemberId>,
    },
    /// A command was rejected, because too many are in flight or the view is being changed. It will not be committed.
    Busy {
        /// The rejected command.
        command: Vec<u8>,
    },
    /// This member holds everything committed before this epoch, and is in sync in the chain of this epoch. Emitted in each view.
    BecameInSync {
        /// The epoch in which the member is in sync.
        epoch: u64,
    },
    /// The tail has confirmed a barrier of the head. A state that includes the entries up to `commit_index` includes everything
    /// that was acknowledged before the barrier was sent. Emitted only at members of the chain.
    BarrierCommitted {
        /// The epoch in which the barrier was sent.
        epoch: u64,
        /// Number of the barrier. Numbers increase within an epoch, also across restarts of the head.
        number: u64,
        /// The commit index of the tail when it confirmed the barrier. This member may not have applied the entry yet.
        commit_index: u64,
    },
    /// An action about views.
    View(V),
}

/// An action about the views of a replica, for the host that decides them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewAction {
    /// A view is durable and in force at this member.
    Installed {
        /// The epoch of the view.
        epoch: u64,
    },
    /// The seal is durable. The log of this member will not change before the next view.
    Sealed {
        /// The sealed epoch.
        epoch: u64,
        /// Whether the member was in sync in the sealed epoch.
        in_sync: bool,
        /// Index of the last entry of the log.
        last_index: u64,
    },
    /// A learner outside the chain replicates from this tail.
    LearnerProgress {
        /// The learner.
        member: MemberId,
        /// Number of committed entries that the learner lacks.
        lag: u64,
    },
    /// Another member has a newer view than this one.
    OwnViewStale {
        /// The other member.
        member: MemberId,
        /// The epoch of the other member.
        epoch: u64,
    },
}

/// An action about the memberships of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// A membership is in force at this member.
    Installed {
        /// The membership in force.
        membership: Membership,
    },
    /// This member no longer takes part in an epoch, because the next membership is being voted on. If it is a voter of a lease,
    /// it must grant nothing more in this epoch. Emitted again after a restart.
    Sealed {
        /// The sealed epoch.
        epoch: u64,
    },
}

/// A snapshot that a replica sends to one follower, for a host that limits how many are sent at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingSnapshot {
    /// The follower.
    pub receiver: MemberId,
    /// How far the transfer is.
    pub state: OutgoingSnapshotState,
}

/// How far the transfer of a snapshot is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutgoingSnapshotState {
    /// The host has not encoded the snapshot yet.
    Waiting,
    /// The snapshot is being sent.
    Sending,
    /// The receiver has answered none of several probes.
    Stalled,
}
