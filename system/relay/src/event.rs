//! What goes into the machine and what comes out.

use std::net::SocketAddr;

use gingerledge_wire::{Entry, FreshnessTick, RelayMessage};

/// Something that happened, told by the host.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// The process is up and takes internal messages.
    Started,
    /// A message came in.
    Message {
        /// The address where the sender takes internal messages.
        from: SocketAddr,
        /// The message.
        message: RelayMessage,
    },
    /// The connection to a peer broke, or could not be made.
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

/// Something that the host shall do.
#[derive(Clone, Debug)]
pub enum RelayAction {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: RelayMessage,
    },
    /// These entries are new in the registry; one that was let go after a long time cut off comes as `Gone`.
    EntriesChanged(Vec<Entry>),
}
