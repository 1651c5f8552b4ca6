//! Bounds and time-outs of a [`Network`](crate::Network).

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::{FrameLimitSnafu, ListenAddressSnafu, TransportError};
use crate::frame::MAX_PAYLOAD_BYTES;

const MEBIBYTE: usize = 1024 * 1024;

/// All queues together may have the bytes of this many full ones.
const FULL_QUEUES: usize = 4;

/// A stalled connection, whose peer is reachable but does not read or write, is closed after this many user time-outs.
const STALL_USER_TIMEOUTS: u32 = 5;

/// An idle accepted connection is closed after this many of the times after which its sender should have closed it.
const INBOUND_IDLE_CLOSES: u32 = 2;

/// Bounds and time-outs of one network.
#[derive(Debug, Clone)]
pub struct NetworkSettings {
    /// The node's own IPv4 address, which is advertised to its peers; port 0 chooses a free one.
    pub listen: SocketAddr,
    /// Bounds one encoded message, at most [`MAX_PAYLOAD_BYTES`].
    pub max_frame_bytes: usize,
    /// Bounds the frames queued for one peer, including those being written.
    pub queue_frames: usize,
    /// Bounds the bytes queued for one peer, including those being written. A larger frame is accepted by an empty queue. The
    /// inbox is bounded by as many bytes, and all queues together by four times as many.
    pub queue_bytes: usize,
    /// Bounds the accepted connections at a time.
    pub max_inbound: usize,
    /// Bounds the peers that messages are sent to at a time, connected or not.
    pub max_outbound: usize,
    /// A connection is closed after this time without acknowledgement of sent data (`TCP_USER_TIMEOUT`, RFC 5482).
    pub user_timeout: Duration,
    /// Bounds the time to open a connection.
    pub connect_timeout: Duration,
    /// A connection without messages for this time is closed by its sender.
    pub idle_close: Duration,
}

impl NetworkSettings {
    /// Defaults for a small fleet, listening on the given address.
    #[must_use]
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

    /// Checks that the settings are in range.
    pub(crate) fn check(&self) -> Result<(), TransportError> {
        snafu::ensure!(
            (1..=MAX_PAYLOAD_BYTES).contains(&self.max_frame_bytes),
            FrameLimitSnafu { bytes: self.max_frame_bytes }
        );
        let is_one_node = self.listen.is_ipv4() && !self.listen.ip().is_unspecified();
        snafu::ensure!(is_one_node, ListenAddressSnafu { address: self.listen });
        Ok(())
    }

    /// Bounds the bytes queued for all peers together.
    pub(crate) fn total_queue_bytes(&self) -> usize {
        let largest = self.max_frame_bytes.saturating_add(self.queue_bytes);
        self.queue_bytes.saturating_mul(FULL_QUEUES).max(largest)
    }

    /// How long a write, or an incomplete handshake or large frame, may make no progress.
    pub(crate) fn stall_timeout(&self) -> Duration {
        self.user_timeout.saturating_mul(STALL_USER_TIMEOUTS)
    }

    /// How long an accepted connection may be idle.
    pub(crate) fn inbound_idle_timeout(&self) -> Duration {
        self.idle_close.saturating_mul(INBOUND_IDLE_CLOSES)
    }
}
