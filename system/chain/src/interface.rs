//! The events that a host gives to a member, and the actions that the member asks of its host.
//!
//! A [`Replica`](crate::Replica) and a [`ControlChain`](crate::ControlChain) are driven alike; they differ in the messages that
//! they exchange and in who decides their views. So both have the same [`Event`] and [`Action`], with these two as parameters.

use crate::{ChainMessage, LogRecord, MemberId, Membership, ReplicaMessage, View};

/// An event of a [`Replica`](crate::Replica).
pub type ReplicaEvent = Event<ReplicaMessage, ViewEvent>;
/// An action of a [`Replica`](crate::Replica).
pub type ReplicaAction = Action<ReplicaMessage, ViewAction>;
/// An event of a [`ControlChain`](crate::ControlChain).
pub type ChainEvent = Event<ChainMessage, MembershipEvent>;
/// An action of a [`ControlChain`](crate::ControlChain).
pub type ChainAction = Action<ChainMessage, MembershipAction>;

/// An event that the host gives to a member. `M` is a message between members, `V` an event about views.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<M, V> {
    /// The process has started; given once, first.
    Started,
    /// A message has arrived.
    Message {
        /// The sender.
        from: MemberId,
        /// The message.
        message: M,
    },
    /// All records up to those of this token are synced.
    Durable {
        /// The token of an [`Action::Persist`].
        token: u64,
    },
    /// Commit a command. At the head, an [`Action::Apply`] at some member may follow, or nothing; the host recognises its own
    /// command in it. At another member, [`Action::NotHead`] follows.
    Submit {
        /// The command.
        command: Vec<u8>,
    },
    /// Give [`Action::ReadReady`] once everything committed before now is applied here. Any member serves reads.
    Read {
        /// Chosen by the host.
        token: u64,
    },
    /// The response to [`Action::TakeSnapshot`].
    SnapshotReady {
        /// The last entry applied to the state.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// The time of `next_timer` has come.
    TimerExpired,
    /// An event about views.
    View(V),
}

/// An event about the views of a replica, which its host decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewEvent {
    /// A view has been decided. Older and repeated ones are ignored.
    Install {
        /// The view.
        view: View,
    },
    /// Take part in nothing more of this epoch. [`ViewAction::Sealed`] follows.
    Seal {
        /// The epoch.
        epoch: u64,
    },
    /// While outside the chain, follow its tail.
    FollowAsLearner,
}

/// An event about the memberships of the control group, which its voters decide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The host has learned of a member. `replaces` is an identity whose disk is lost: the same address has announced another
    /// one since. Announcing a member again has no effect.
    MemberAnnounced {
        /// The member.
        member: MemberId,
        /// The identity that its address had before.
        replaces: Option<MemberId>,
    },
}

/// An action that the host carries out for a member. `M` is a message between members, `V` an action about views.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<M, V> {
    /// Send a message, once; drop it if the member can't be reached.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: M,
    },
    /// Write records and sync them, then give [`Event::Durable`].
    Persist {
        /// Names this action; tokens rise.
        token: u64,
        /// The records, in order.
        records: Vec<LogRecord>,
    },
    /// Apply a committed command to the state. Each index comes once in an incarnation of the process, in order, starting after
    /// that of the last [`Action::InstallSnapshot`].
    Apply {
        /// Index of the entry.
        index: u64,
        /// The command.
        command: Vec<u8>,
        /// Whether this member committed it as the tail, so that it responds to the client.
        should_reply: bool,
    },
    /// Encode the state and give [`Event::SnapshotReady`] with the index of the last [`Action::Apply`] or
    /// [`Action::InstallSnapshot`] that was carried out, now or later. The applied index of the member may be ahead of that while
    /// actions are still to be carried out.
    TakeSnapshot,
    /// Replace the state. Given after a start from a disk that holds a snapshot, and in catching up.
    InstallSnapshot {
        /// The last entry in the state.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// A read may be served from the state here.
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
    /// A command was rejected: too many are in flight, or the view is being changed. It won't be committed.
    Busy {
        /// The command.
        command: Vec<u8>,
    },
    /// This member holds everything committed before this epoch, and counts in its chain. Given in each view.
    BecameInSync {
        /// The epoch.
        epoch: u64,
    },
    /// The tail has confirmed a barrier of the head: what is applied up to `commit_index` was current after the barrier was
    /// sent. Given at members of the chain only.
    BarrierCommitted {
        /// The epoch.
        epoch: u64,
        /// Number of the barrier; rises within an epoch, also over restarts of the head.
        number: u64,
        /// Up to where the tail had committed. It may not be applied here yet.
        commit_index: u64,
    },
    /// An action about views.
    View(V),
}

/// An action about the views of a replica, for the host that decides them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewAction {
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
    /// A member outside the chain follows this tail.
    LearnerProgress {
        /// The member.
        member: MemberId,
        /// How many committed entries it lacks.
        lag: u64,
    },
    /// A member knows a newer view than this one.
    OwnViewStale {
        /// The member.
        member: MemberId,
        /// Its epoch.
        epoch: u64,
    },
}

/// An action about the memberships of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// A membership is in force here.
    Installed {
        /// The membership.
        members: Membership,
    },
    /// This member takes part in nothing more of an epoch: the next membership is being voted on. A voter of a lease must grant
    /// nothing more in this epoch. Given again after a restart.
    Sealed {
        /// The epoch.
        epoch: u64,
    },
}
