//! What can go wrong with a network as a whole, and what becomes of one message.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why a network could not be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// The listen address could not be bound.
    #[snafu(display("cannot listen on {address}"))]
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The listen address is not one that peers could be told.
    #[snafu(display("{address} is no IPv4 address of one node"))]
    ListenAddress {
        /// The address asked for.
        address: SocketAddr,
    },
    /// The greatest length of a frame is zero, or more than frames can have.
    #[snafu(display("frames cannot be limited to {bytes} bytes"))]
    FrameLimit {
        /// The limit asked for.
        bytes: usize,
    },
}

/// What became of a message that was given to [`Network::send`](crate::Network::send).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a message that was dropped is not sent later"]
pub enum SendOutcome {
    /// It waits for, or is being written to, the peer's connection. It may still be lost.
    Queued,
    /// It was dropped at once.
    Dropped(DropReason),
}

impl SendOutcome {
    /// Whether the message was taken.
    pub fn is_queued(self) -> bool {
        self == SendOutcome::Queued
    }
}

/// Why a message was dropped at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The last connection to the peer failed, and it is too early to try again.
    Backoff,
    /// As many frames or bytes wait for the peer as may.
    QueueFull,
    /// The encoded message is longer than a frame may be.
    TooLarge,
    /// The message could not be encoded.
    Encoding,
    /// As many peers are in use as may be.
    TooManyPeers,
    /// The peer's address is not of IPv4, or has no port.
    Address,
    /// The inbox has been dropped, so the network is closed.
    Closed,
}
