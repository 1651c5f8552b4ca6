//! What goes into the machine and what comes out.

use std::net::SocketAddr;

use gingerledge_wire::{Entry, RelayMessage, Tick};

/// Something that happened, told by the host.
#[derive(Clone, Debug)]
pub enum Event {
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
    Lost {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// Entries from another source than the tree, at a root from the control chain and its sessions.
    Learned(Vec<Entry>),
    /// A confirmed tick of the control chain, at a root.
    Tick(Tick),
    /// The time of [`crate::Relay::next_timer`] has come.
    Timer,
    /// Control nodes that the host knows of, for instance the seeds. They replace those of the last such event; the
    /// registry's own control nodes are known besides.
    ControlKnown(Vec<SocketAddr>),
}

/// Something that the host shall do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: RelayMessage,
    },
    /// These entries are new in the registry; one that was let go after a long time cut off comes as `Gone`.
    Changed(Vec<Entry>),
}
