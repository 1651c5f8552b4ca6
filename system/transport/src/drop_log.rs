//! Logs how many messages were dropped at full queues, a line for each peer and interval.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Number of messages that were dropped since they were last logged, by peer.
#[derive(Debug, Default)]
pub(crate) struct DropLog {
    dropped: BTreeMap<SocketAddr, u64>,
    next_log_at: Duration,
}

impl DropLog {
    /// Counts a message that was dropped at the full queue of a peer, and logs the counts if the last line is long ago.
    pub(crate) fn record(&mut self, now: Duration, peer: SocketAddr) {
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
