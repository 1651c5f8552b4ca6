//! The control plane's replicated state: a replica whose views are decided by a majority of its own voters.
//!
//! The host owns the disk, the network and the time. It must keep three promises:
//!
//! - Records of [`ChainAction::Persist`] are written in the order of the actions, and [`ChainEvent::Durable`] is given
//!   only when they and all records before them are synced. One event may stand for all the tokens up to its own, so
//!   the host writes what has queued up with one sync.
//! - A member's identity is on its disk before anybody hears of it, and a disk that has lost anything gets another.
//! - [`ChainEvent::Tick`] is given at [`ControlChain::next_timer`] or soon after it.
//!
//! Messages may be lost, repeated and out of order. Each member that the host hears of is told by
//! [`ChainEvent::MemberAnnounced`]; the host can then reach it under its [`MemberId`].

use std::time::Duration;

use crate::agreement::Agreement;
use crate::turn::{Disk, Turn};
use crate::{ChainMessage, LogRecord, MemberId, Members, Replica, ReplicaSettings, Settings};

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
        seq: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// The time of [`ControlChain::next_timer`] has come.
    Tick,
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
        seq: u64,
        /// The command.
        command: Vec<u8>,
        /// Whether this member committed it as the tail, so that it answers whoever asked.
        reply: bool,
    },
    /// Encode the state and give [`ChainEvent::SnapshotReady`] with the number of the last [`ChainAction::Apply`] or
    /// [`ChainAction::InstallSnapshot`] that was carried out, now or later. [`ControlChain::applied`] may be ahead of that
    /// while actions are still to be carried out.
    TakeSnapshot,
    /// Replace the state. Given after a start from a disk that holds a snapshot, and in catching up.
    InstallSnapshot {
        /// The last entry in the state.
        seq: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// A read may be answered from the state here.
    ReadReady {
        /// The token of the read.
        token: u64,
        /// The last entry applied.
        seq: u64,
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
        members: Members,
    },
    /// This member takes part in nothing more of an epoch: the next membership is being voted on. A voter of a lease
    /// must grant nothing more in this epoch. Given again after a restart.
    Sealed {
        /// The epoch.
        epoch: u64,
    },
    /// This member holds everything committed, and counts in the chain of this epoch.
    BecameFull {
        /// The epoch.
        epoch: u64,
    },
    /// The tail has confirmed a barrier of the head: what is applied up to `committed_seq` was current after it was
    /// sent. Given at members of the chain only; numbers rise within an epoch, and are
    /// used by its head once, over restarts as well.
    Tick {
        /// The epoch.
        epoch: u64,
        /// Number of the barrier.
        number: u64,
        /// Up to where the tail had committed. It may not be applied here yet.
        committed_seq: u64,
    },
}

/// One member of the control group.
#[derive(Clone, Debug)]
pub struct ControlChain {
    pub(crate) agreement: Agreement,
    pub(crate) replica: Replica,
    pub(crate) disk: Disk,
    pub(crate) disk_suspect: Duration,
    /// The first membership, where this member founds the group.
    pub(crate) founding: Option<Members>,
}

impl ControlChain {
    /// A founder with an empty disk. All founders are given the same founders in the same order.
    pub fn found(me: MemberId, founders: Vec<MemberId>, settings: Settings, seed: u64) -> Self {
        let fault_tolerance = settings.fault_tolerance;
        let members = Members { epoch: 1, voters: founders.clone(), chain: founders, fault_tolerance };
        Self { founding: Some(members), ..Self::recover(me, Vec::new(), settings, seed) }
    }

    /// A member with an empty disk that asks the members announced to it to be taken in.
    pub fn join(me: MemberId, settings: Settings, seed: u64) -> Self {
        Self::recover(me, Vec::new(), settings, seed)
    }

    /// A member that starts again with what its disk holds. No record at all is the same as [`ControlChain::join`].
    /// The seed must differ from life to life.
    pub fn recover(me: MemberId, records: Vec<LogRecord>, settings: Settings, seed: u64) -> Self {
        let bounds = ReplicaSettings { min_chain: settings.fault_tolerance + 1, ..settings.replica.clone() };
        let replica = Replica::recover(me, &records, bounds, seed);
        let disk_suspect = settings.disk_suspect;
        let mut agreement = Agreement::new(me, settings, seed);
        for record in &records {
            agreement.restore(record);
        }
        Self { agreement, replica, disk: Disk::default(), disk_suspect, founding: None }
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: ChainEvent, out: &mut Vec<ChainAction>) {
        Turn::new(self, now, out).run(event);
    }

    /// When [`ChainEvent::Tick`] is wanted next.
    pub fn next_timer(&self) -> Option<Duration> {
        let agreement = self.agreement.next_timer();
        Some(self.replica.next_timer().map_or(agreement, |at| at.min(agreement)))
    }

    /// This member's identity.
    pub fn me(&self) -> MemberId {
        self.agreement.me()
    }

    /// The membership in force as far as known here.
    pub fn members(&self) -> Option<&Members> {
        self.agreement.members()
    }

    /// The head of the chain as far as known here.
    pub fn head(&self) -> Option<MemberId> {
        self.members()?.chain.first().copied()
    }

    /// Whether this member is in the chain, holds all that is committed, and hasn't sealed the view.
    pub fn is_serving(&self) -> bool {
        self.replica.is_serving()
    }

    /// The last entry given to the host to apply. It is in the host's state once all actions so far are carried out.
    pub fn applied(&self) -> u64 {
        self.replica.applied()
    }

    /// Everything that must stay on the disk once the state after the last applied entry is encoded as `state`. The
    /// host writes these records after all that it was told to persist before, and may then drop all of that. It must
    /// have done all the actions so far; [`ControlChain::applied`] names the state's entry. None while the state is
    /// being replaced by another member's: ask again later.
    pub fn checkpoint(&self, state: Vec<u8>) -> Option<Vec<LogRecord>> {
        let mut records = self.replica.checkpoint(state)?;
        records.extend(self.agreement.checkpoint());
        Some(records)
    }
}
