//! Best-effort messages between nodes, over pooled and bounded TCP connections.
//!
//! A [`Network`] sends typed messages to nodes named by their listen address, and an [`Inbox`] yields those that arrive. Messages
//! are encoded by bincode into frames with a version and a bounded length. There is one outbound connection a peer, and it is
//! used one way: the peer responds on its own connection. The messages of one connection arrive in order; those in flight when it ends
//! are lost, which [`Incoming::Lost`] reports. Nothing here retransmits: the protocols above do.
//!
//! Everything is bounded: connections in both directions, each peer's queue in frames and bytes, all queues together, a frame's
//! length, large frames that are incomplete, and the inbox, which slows senders down by not reading from them (backpressure).
//! [`Network::send`] never blocks; it returns why a message was dropped.
//!
//! [`Pending`] matches replies to requests for callers whose messages carry a request number.

#![warn(unreachable_pub)]

mod backoff;
mod connection;
mod drop_log;
mod error;
mod frame;
pub mod identity;
mod inbound;
mod inbox;
mod links;
mod network;
mod outbound;
mod pending;
mod queue;
mod receive;
mod settings;
mod shared;
mod socket;

pub use backoff::Backoff;
pub use error::{DropReason, SendOutcome, TransportError};
pub use frame::{FRAME_VERSION, MAX_PAYLOAD_BYTES};
pub use inbox::{Inbox, Incoming};
pub use network::Network;
pub use pending::Pending;
pub use settings::NetworkSettings;
