//! The events that the host passes to the relay, and the actions that the relay returns.

use std::net::SocketAddr;

use gingerledge_wire::{Entry, FreshnessTick, RelayMessage};

/// An event that the host passes to the relay.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// The process is ready to receive internal messages.
    Started,
    /// A message was received.
    Message {
        /// The address at which the sender receives internal messages.
        from: SocketAddr,
        /// The message.
        message: RelayMessage,
    },
    /// The connection to a peer failed, or could not be established.
    PeerDisconnected {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// Entries from a source other than the tree; at a root, from the control chain and the sessions of the control node.
    EntriesReceived(Vec<Entry>),
    /// A confirmed tick of the control chain, at a root.
    Tick(FreshnessTick),
    /// The time returned by [`crate::Relay::next_timer`] has been reached.
    TimerExpired,
    /// Control nodes that the host provides, for example the configured seeds. They replace those of the previous event of this kind;
    /// the control nodes in the registry are used in addition.
    ControlNodesKnown(Vec<SocketAddr>),
}

/// An action that the host carries out.
#[derive(Clone, Debug)]
pub enum RelayAction {
    /// Send a message.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message.
        message: RelayMessage,
    },
    /// Entries that are new in the registry. An entry that was removed because no parent confirmed it is reported as a tombstone.
    EntriesChanged(Vec<Entry>),
}
