//! Logs how many messages were dropped before they were sent, a line for each peer and interval.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_transport::DropReason;

/// Minimum interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Number of messages dropped because a queue was full. Other drops are those of a connection that has failed, which is logged.
#[derive(Debug, Default)]
pub(super) struct DropLog {
    dropped: BTreeMap<SocketAddr, u64>,
    next_log_at: Duration,
}

impl DropLog {
    /// Counts a message that was dropped, and logs the counts if the last line is long ago.
    pub(super) fn record(&mut self, now: Duration, peer: SocketAddr, reason: DropReason) {
        if reason != DropReason::QueueFull {
            return;
        }
        *self.dropped.entry(peer).or_default() += 1;
        if now < self.next_log_at {
            return;
        }
        self.next_log_at = now + LOG_INTERVAL;
        for (peer, count) in std::mem::take(&mut self.dropped) {
            log::warn!(peer:%, count; "messages dropped: the queue to a peer is full");
        }
    }
}
