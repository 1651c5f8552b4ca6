//! Errors of a network, and the outcome of sending one message.

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
        /// The address in the settings.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The listen address is not one that peers could connect to.
    #[snafu(display("{address} is no IPv4 address of one node"))]
    ListenAddress {
        /// The address in the settings.
        address: SocketAddr,
    },
    /// The maximum length of a frame is zero, or more than the protocol allows.
    #[snafu(display("frames cannot be limited to {bytes} bytes"))]
    FrameLimit {
        /// The limit in the settings.
        bytes: usize,
    },
}

/// Outcome of [`Network::send`](crate::Network::send).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a message that was dropped is not sent later"]
pub enum SendOutcome {
    /// The message is queued for the peer's connection. It may still be lost.
    Queued,
    /// The message was dropped.
    Dropped(DropReason),
}

impl SendOutcome {
    /// Whether the message was queued.
    #[must_use]
    pub fn is_queued(self) -> bool {
        self == SendOutcome::Queued
    }
}

/// Why a message was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The last connection to the peer failed, and the delay before the next attempt is not over.
    Backoff,
    /// The queue of the peer has reached its bound.
    QueueFull,
    /// The encoded message is longer than a frame may be.
    TooLarge,
    /// The message could not be encoded.
    Encoding,
    /// The table of peers is full, and none of them is unused.
    TooManyPeers,
    /// The peer's address is not of IPv4, or has no port.
    Address,
    /// The inbox has been dropped, so the network is closed.
    Closed,
}
