//! Chain replication under an agreed membership view, sans I/O.
//!
//! [`Replica`] is one copy of one replicated log in a view that somebody else decides (the partitions of batch jobs).
//! [`ControlChain`] is a replica whose views are decided by a majority of its own voters (the control plane).
//! Neither owns a socket, file, timer or clock: events go in with the time, actions come out.

mod agreement;
mod control_chain;
mod interface;
mod members;
mod message;
mod record;
mod replica;
mod settings;
mod turn;

pub use control_chain::ControlChain;
pub use interface::{ChainAction, ChainEvent};
pub use members::{MemberId, Membership, View};
pub use message::{AgreementMessage, ChainMessage, Heartbeat, ProposalNumber, ReplicaMessage};
pub use record::LogRecord;
pub use replica::{Replica, ReplicaAction, ReplicaEvent};
pub use settings::{ControlChainSettings, ReplicaSettings};
