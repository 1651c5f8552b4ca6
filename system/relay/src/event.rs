//! The events that go into the relay, and the actions that come out.

use std::net::SocketAddr;

use gingerledge_wire::{Entry, FreshnessTick, RelayMessage};

/// An event that the host gives to the relay.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// The process is up and receives internal messages.
    Started,
    /// A message came in.
    Message {
        /// The address where the sender receives internal messages.
        from: SocketAddr,
        /// The message.
        message: RelayMessage,
    },
    /// The connection to a peer failed, or could not be established.
    PeerDisconnected {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// Entries from another source than the tree, at a root from the control chain and its sessions.
    EntriesLearned(Vec<Entry>),
    /// A confirmed tick of the control chain, at a root.
    Tick(FreshnessTick),
    /// The time of [`crate::Relay::next_timer`] has come.
    TimerExpired,
    /// Control nodes that the host knows of, for instance the seeds. They replace those of the last such event; the
    /// registry's own control nodes are known besides.
    ControlNodesKnown(Vec<SocketAddr>),
}

/// An action that the host carries out.
#[derive(Clone, Debug)]
pub enum RelayAction {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: RelayMessage,
    },
    /// These entries are new in the registry; one that was removed because no parent confirmed it comes as a tombstone.
    EntriesChanged(Vec<Entry>),
}
