//! Chain replication under an agreed membership view, sans I/O.
//!
//! [`Replica`] is one replica of a log whose views are decided by its host; the partitions of batch jobs use it. [`ControlChain`]
//! is a replica whose views are decided by a majority of its own voters; the control plane uses it. Neither owns a socket, file,
//! timer or clock: the host passes in an [`Event`] with the current time, and carries out the [`Action`]s that result.

#![warn(unreachable_pub)]

mod agreement;
mod control_chain;
mod event_dispatch;
mod interface;
mod members;
mod message;
mod pending_writes;
mod record;
mod replica;
mod settings;

pub use control_chain::ControlChain;
pub use interface::{
    Action, ChainAction, ChainEvent, Event, MembershipAction, MembershipEvent, OutgoingSnapshot,
    OutgoingSnapshotState, ReplicaAction, ReplicaEvent, ViewAction, ViewEvent,
};
pub use members::{MemberId, Membership, View};
pub use message::{AgreementMessage, ChainMessage, Heartbeat, ProposalNumber, ReplicaMessage};
pub use record::LogRecord;
pub use replica::Replica;
pub use settings::{ControlChainSettings, ReplicaSettings};
