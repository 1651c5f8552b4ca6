//! The bounds and times of a [`Network`](crate::Network).

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::{FrameLimitSnafu, ListenAddressSnafu, TransportError};
use crate::frame::FRAME_CEILING_BYTES;

const MEBIBYTE: usize = 1024 * 1024;

/// All queues together may hold as much as this many full ones.
const FULL_QUEUES: usize = 4;

/// A connection on which nothing moves that should is broken after this many user timeouts: the peer lives, but does not act.
const STALLED_TIMEOUTS: u32 = 5;

/// An accepted connection is closed after this many of the spans after which its sender should have closed it.
const INBOUND_IDLE_SPANS: u32 = 2;

/// What a network may use, and how long it waits.
#[derive(Debug, Clone)]
pub struct NetworkSettings {
    /// The node's own IPv4 address, which its peers are told; port 0 chooses a free one.
    pub listen: SocketAddr,
    /// The most bytes that one encoded message may have, at most [`FRAME_CEILING_BYTES`].
    pub max_frame_bytes: usize,
    /// The most frames that wait for one peer, including those being written.
    pub queue_frames: usize,
    /// The most bytes that wait for one peer, including those being written. A larger frame is taken while nothing else waits.
    /// The inbox holds as many bytes of messages that have not been taken from it, and all queues together four times as many.
    pub queue_bytes: usize,
    /// The most connections that are accepted from others at a time.
    pub max_inbound: usize,
    /// The most peers that are remembered at a time, connected or not.
    pub max_outbound: usize,
    /// After this time without acknowledgement of what was sent, a connection is broken (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// A connection that has carried nothing for this time is closed by its sender.
    pub idle_close: Duration,
}

impl NetworkSettings {
    /// Defaults for a small fleet, listening on the given address.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            max_frame_bytes: 48 * MEBIBYTE,
            queue_frames: 4096,
            queue_bytes: 16 * MEBIBYTE,
            max_inbound: 256,
            max_outbound: 256,
            user_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(700),
            idle_close: Duration::from_secs(60),
        }
    }

    /// Checks that the settings can be kept.
    pub(crate) fn check(&self) -> Result<(), TransportError> {
        snafu::ensure!(
            (1..=FRAME_CEILING_BYTES).contains(&self.max_frame_bytes),
            FrameLimitSnafu { bytes: self.max_frame_bytes }
        );
        let named = self.listen.is_ipv4() && !self.listen.ip().is_unspecified();
        snafu::ensure!(named, ListenAddressSnafu { address: self.listen });
        Ok(())
    }

    /// The most bytes that wait for all peers together.
    pub(crate) fn total_queue_bytes(&self) -> usize {
        let largest = self.max_frame_bytes.saturating_add(self.queue_bytes);
        self.queue_bytes.saturating_mul(FULL_QUEUES).max(largest)
    }

    /// How long a write may move nothing, and a sender that has begun something may say nothing.
    pub(crate) fn stall_limit(&self) -> Duration {
        self.user_timeout.saturating_mul(STALLED_TIMEOUTS)
    }

    /// How long an accepted connection may carry nothing.
    pub(crate) fn inbound_idle_limit(&self) -> Duration {
        self.idle_close.saturating_mul(INBOUND_IDLE_SPANS)
    }
}
