//! Best-effort messages between nodes, over pooled and bounded TCP connections.
//!
//! A [`Network`] sends typed messages to nodes named by their listen address, and an [`Inbox`] yields those that arrive. Messages
//! are encoded by bincode into frames with a version and a bounded length. There is one outbound connection a peer, and it is
//! used one way: the peer answers on its own. What one connection carries arrives in order; what is in flight when a connection
//! breaks is lost, and [`Incoming::Lost`] says so. Nothing here retransmits: the protocols above do.
//!
//! Everything is bounded: connections both ways, each peer's queue in frames and bytes, all queues together, a frame's length,
//! large frames that are half received, and the inbox, which holds senders up by not reading from them. [`Network::send`] never blocks; it says at once what it drops, and why.
//!
//! [`Pending`] matches replies to requests for callers whose messages carry a request number.

mod backoff;
mod connection;
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
mod socket;

pub use backoff::Backoff;
pub use error::{DropReason, SendOutcome, TransportError};
pub use frame::{FRAME_CEILING_BYTES, FRAME_VERSION};
pub use inbox::{Inbox, Incoming};
pub use network::Network;
pub use pending::Pending;
pub use settings::NetworkSettings;
